package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"spurhall.example/spurhall/internal/claim"
	"spurhall.example/spurhall/internal/config"
	"spurhall.example/spurhall/internal/dispatch"
	"spurhall.example/spurhall/internal/stream"
)

// decodePlain reads a call of a plain service whole, so that a caller that breaks
// off midway has run nothing.
func (s *Server) decodePlain(_ context.Context, r *http.Request) (any, error) {
	w, err := s.workspace(r)
	if err != nil {
		return nil, err
	}
	v := w.Service(r.PathValue("service"))
	if v == nil || v.Protocol != config.ProtocolPlain {
		return nil, &Failure{Status: http.StatusNotFound, Outcome: stream.OutcomeNotRun, Message: "this workspace has no plain service " + strconv.Quote(r.PathValue("service"))}
	}
	b, err := s.readBody(r, v.Limits.BodyBytes)
	if err != nil {
		return nil, err
	}
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/s/"+r.PathValue("service"))
	c := &dispatch.Call{
		ID: s.newID(), Workspace: w.Name(), Service: v, Rule: v.MatchCall(r.Method, path), Method: r.Method, Path: path,
		Header: r.Header, Body: b, Deadline: s.o.Clock.Now().Add(time.Duration(v.Timeout)), Caller: caller(r),
	}
	if r.URL.RawQuery != "" {
		c.Path += "?" + r.URL.RawQuery
	}
	return c, nil
}

// caller names who asks, for the share that goes to a legacy address: the same
// caller always gets the same side.
func caller(r *http.Request) string {
	if id := r.Header.Get(headerCaller); id != "" {
		return id
	}
	h, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return h
}

func (s *Server) plain(ctx context.Context, in any) (any, error) {
	c := in.(*dispatch.Call)
	if k := c.Header.Get(headerIdempotencyKey); k != "" && !*c.Rule.Repeatable {
		c.Claim = func(ctx context.Context) (func(*dispatch.Response), *dispatch.Response) {
			return s.claim(ctx, c, claim.HashKey(c.Workspace, c.Service.Name, k))
		}
	}
	a := s.o.Dispatcher.Plain(ctx, c)
	if a.Status == 0 || a.Outcome != stream.OutcomeDone {
		return nil, &Failure{Status: a.Status, Outcome: a.Outcome, Message: a.Failure, RetryAfter: a.RetryAfter, ID: c.ID}
	}
	Outcomes.Add(string(a.Outcome), 1)
	return response(func(_ context.Context, w http.ResponseWriter) error { return writeResponse(w, c.ID, a) }), nil
}

func writeResponse(w http.ResponseWriter, id string, a *dispatch.Response) error {
	h := w.Header()
	for k, v := range a.Header {
		if k != "Connection" && k != "Transfer-Encoding" && k != "Keep-Alive" {
			h[k] = v
		}
	}
	h.Set(HeaderRequest, id)
	h.Set(HeaderOutcome, string(a.Outcome))
	if a.Replayed {
		h.Set(headerReplay, "true")
	}
	if a.Remainder == nil {
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	w.WriteHeader(a.Status)
	if _, err := w.Write(a.Body); err != nil {
		return nil
	}
	if a.Remainder == nil {
		return nil
	}
	defer a.Remainder.Close()
	if _, err := io.Copy(w, a.Remainder); err != nil {
		panic(http.ErrAbortHandler) // a half answer must not look whole
	}
	return nil
}

// claim asks for the permission to run a keyed call.
func (s *Server) claim(ctx context.Context, c *dispatch.Call, key uint64) (func(*dispatch.Response), *dispatch.Response) {
	promises := c.Rule.Outage == config.OutagePromise
	g := s.o.Claims.Claim(ctx, key, c.ID, time.Duration(c.Rule.KeyLifetime), promises)
	if g.Granted {
		return func(a *dispatch.Response) { s.finishClaim(c, a) }, nil
	}
	if g.Reason != claim.ReasonKnown {
		return nil, &dispatch.Response{Outcome: stream.OutcomeNotRun, Status: http.StatusServiceUnavailable, Failure: "not run: " + g.Reason.String(), RetryAfter: time.Second}
	}
	return nil, s.replay(ctx, key)
}

// replay answers a key that is claimed already: with the answer on record, or with
// "unknown", and never by running it.
func (s *Server) replay(ctx context.Context, key uint64) *dispatch.Response {
	v, ok := s.o.Claims.LoadRecord(ctx, key)
	if ok && v.Outcome == string(stream.OutcomeDone) {
		return &dispatch.Response{Outcome: stream.OutcomeDone, Status: v.Status, Header: v.Header, Body: v.Body, Replayed: true}
	}
	return &dispatch.Response{
		Outcome: stream.OutcomeUnknown, Status: http.StatusConflict, RetryAfter: time.Second,
		Failure: "this Idempotency-Key was used before and its answer is not on record: the call is running, or may have run",
	}
}

func (s *Server) finishClaim(c *dispatch.Call, a *dispatch.Response) {
	ran := a.Outcome != stream.OutcomeNotRun
	var v *claim.Record
	if a.Outcome == stream.OutcomeDone && a.Remainder == nil {
		v = &claim.Record{Attempt: c.ID, Outcome: string(a.Outcome), Status: a.Status, Header: recordedHeaders(a.Header), Body: a.Body}
	}
	s.o.Claims.Finish(c.ID, ran, v)
}

func recordedHeaders(h http.Header) map[string][]string {
	r := make(map[string][]string)
	for _, k := range []string{"Content-Type", "Content-Encoding", "Location"} {
		if v := h.Values(k); len(v) > 0 {
			r[k] = v
		}
	}
	return r
}
