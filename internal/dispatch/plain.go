package dispatch

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"spurhall.example/spurhall/internal/admit"
	"spurhall.example/spurhall/internal/config"
	"spurhall.example/spurhall/internal/member"
	"spurhall.example/spurhall/internal/retry"
	"spurhall.example/spurhall/internal/route"
	"spurhall.example/spurhall/internal/stream"
	"spurhall.example/spurhall/internal/upstream"
)

// Call is one call of a plain service.
type Call struct {
	ID        string
	Workspace string
	Service   *config.Service
	Rule      config.Call
	Method    string
	Path      string // with the query, relative to the service
	Header    http.Header
	Body      []byte
	Deadline  time.Time
	Caller    string // caller's identity, which determines the share sent to a legacy address
	// Claim asks for permission to send a call that must not be repeated and has a key; nil if none is
	// needed. It returns the function that ends the claim, or a final response.
	Claim func(ctx context.Context) (func(a *Response), *Response)
}

// Response is the final response to a call.
type Response struct {
	Outcome    stream.Outcome
	Status     int
	Header     http.Header
	Body       []byte
	Remainder  io.ReadCloser // unread part of a body longer than maxBufferedBody, or nil
	Failure    string
	RetryAfter time.Duration
	Replayed   bool
}

// maxBufferedBody is how much of a response, in bytes, is read before its first byte is forwarded: a shorter
// response that breaks off becomes an error and is never forwarded in part.
const maxBufferedBody = 1 << 20

// Plain runs a call and returns its final response.
func (d *Dispatcher) Plain(ctx context.Context, c *Call) *Response {
	x, cancel := context.WithTimeout(ctx, c.Deadline.Sub(d.o.Clock.Now()))
	p := d.pool(c.Service.Pool)
	l := d.beginProgress(c.ID)
	if r := d.checkQuarantine(c.identity); r != nil {
		cancel()
		return finalResponse(l.giveUp(), r)
	}
	leave, err := p.enter(x, c.admission(d))
	if err != nil {
		cancel()
		return finalResponse(l.giveUp(), err)
	}
	a := p.call(x, c, l)
	if a.Remainder == nil {
		leave()
		cancel()
		return a
	}
	a.Remainder = &closingBody{ReadCloser: a.Remainder, onClose: func() { leave(); cancel() }}
	return a
}

// closingBody calls a function when the body is closed.
type closingBody struct {
	io.ReadCloser
	onClose func()
}

// Close closes the body and ends the request.
func (e *closingBody) Close() error {
	err := e.ReadCloser.Close()
	e.onClose()
	return err
}

func (c *Call) admission(d *Dispatcher) admit.Request {
	return admission(d, c.ID, c.Workspace, c.Service, 1, c.Deadline)
}

func admission(d *Dispatcher, id, workspace string, s *config.Service, size float64, deadline time.Time) admit.Request {
	r := admit.Request{
		ID: id, Workspace: workspace, Cost: size,
		Limits:  admit.Limits{Rate: s.Limits.RequestsPerSecond, InFlight: s.Limits.InFlight, Queue: s.Limits.Queue, Weight: s.Share},
		MaxWait: time.Duration(s.LatencyTarget),
	}
	if s.Class == config.ClassBatch {
		r.Class = admit.ClassBatch
		r.MaxWait = deadline.Sub(d.o.Clock.Now())
	}
	return r
}

// finalResponse returns the final response to a request that is not tried again.
func finalResponse(o stream.Outcome, err error) *Response {
	a := &Response{Outcome: o, Status: http.StatusBadGateway, Failure: err.Error(), RetryAfter: time.Second}
	var r *Rejection
	switch {
	case o == stream.OutcomeNotRun:
		a.Status = http.StatusServiceUnavailable
	case errors.Is(err, context.DeadlineExceeded):
		a.Status = http.StatusGatewayTimeout
	}
	if !errors.As(err, &r) {
		return a
	}
	a.RetryAfter = r.after
	if r.cause == string(admit.CauseRate) || r.cause == string(admit.CauseInFlight) {
		a.Status = http.StatusTooManyRequests
	}
	return a
}

// call claims the key if necessary, and sends until there is a final response.
func (p *pool) call(ctx context.Context, c *Call, l *progress) *Response {
	l.fire("admit")
	if c.Claim == nil {
		return p.send(ctx, c, l)
	}
	l.fire("claim")
	end, a := c.Claim(ctx)
	if a != nil {
		l.fire(map[stream.Outcome]string{
			stream.OutcomeDone: "replay", stream.OutcomeNotRun: "give-up", stream.OutcomeUnknown: "doubt",
		}[a.Outcome])
		return a
	}
	l.fire("granted")
	a = p.send(ctx, c, l)
	end(a)
	return a
}

func (p *pool) send(ctx context.Context, c *Call, l *progress) *Response {
	tried := newAttempts()
	for {
		t, ok := p.legacy(c)
		if !ok {
			t, ok = p.pick(c.Service, &route.Prompt{}, tried)
		}
		if !ok {
			return finalResponse(l.giveUp(), p.rejectNoUpstream(c.ID))
		}
		l.fire("route")
		l.fire("send")
		sent := p.d.o.Clock.Now()
		a, err := p.sendOnce(ctx, c, &t)
		if err == nil {
			l.fire("finish")
			p.d.recordComplete(c.identity)
			return a
		}
		l.attemptFailed(err)
		p.d.recordSevered(ctx, err, c.identity, &t.fact)
		if r := p.d.recheckQuarantine(c.identity); r != nil {
			return finalResponse(l.giveUp(), r)
		}
		tried.record(t.fact.ID, err, p.d.o.Clock.Since(sent))
		if p.d.crashedElsewhere(c.identity, tried) {
			return finalResponse(l.giveUp(), err)
		}
		again := p.mayRetry(tried, retry.Attempt{
			Repeatable: *c.Rule.Repeatable, MayHaveRun: !errors.Is(err, upstream.ErrNotSent) && !errors.Is(err, upstream.ErrRejected),
			TimeLeft: c.Deadline.Sub(p.d.o.Clock.Now()),
		})
		if !again || ctx.Err() != nil {
			return finalResponse(l.giveUp(), err)
		}
		p.d.o.Event("retry", c.ID, fmt.Sprintf("%s: %v", t.fact.ID, err))
	}
}

// legacy returns the address that still serves a share of the callers. The share is of callers, not of calls, and
// the callers at 10 per cent are a part of those at 20: one moved off the address at 20 per cent stays off at 10.
func (p *pool) legacy(c *Call) (target, bool) {
	l := &c.Service.Legacy
	if l.Percent <= 0 || !IsLegacyCaller(c.Workspace, c.Caller, l.Percent) {
		return target{}, false
	}
	f := member.Fact{ID: "legacy:" + l.Address, Address: l.Address}
	p.mu.Lock()
	p.countLocked(&f)
	p.mu.Unlock()
	return target{fact: f}, true
}

// IsLegacyCaller reports whether a caller belongs to the share that is still served at the legacy address.
func IsLegacyCaller(workspace, caller string, percent float64) bool {
	h := route.HashID(workspace + "\x00" + caller)
	return float64(h%10000) < percent*100
}

func (p *pool) sendOnce(ctx context.Context, c *Call, t *target) (*Response, error) {
	r, err := c.request(ctx, t.fact.Address)
	if err != nil {
		p.recordOutcome(t.fact.ID, err, false)
		return nil, err
	}
	s, err := p.d.o.Client.DoChecked(r, *c.Rule.Repeatable, func() error { return p.d.mayWrite(ctx, t.fact.ID) })
	if err != nil {
		p.recordOutcome(t.fact.ID, err, ctx.Err() == nil && !errors.Is(err, upstream.ErrWithheld))
		return nil, err
	}
	if c.Service.IsRejection(s.StatusCode) {
		_ = s.Body.Close()
		err := upstream.Rejected(s, "")
		p.recordOutcome(t.fact.ID, err, false)
		return nil, err
	}
	if id := s.Header.Get("X-Request-Id"); id != "" && id != c.ID {
		_ = s.Body.Close()
		p.recordOutcome(t.fact.ID, upstream.ErrRequestMismatch, true)
		return nil, upstream.ErrRequestMismatch
	}
	a, err := readResponse(s)
	p.recordOutcome(t.fact.ID, err, ctx.Err() == nil)
	return a, err
}

// readResponse reads a response's body up to the buffer limit.
func readResponse(s *http.Response) (*Response, error) {
	b, err := io.ReadAll(io.LimitReader(s.Body, maxBufferedBody))
	if err != nil {
		_ = s.Body.Close()
		return nil, fmt.Errorf("%w: the answer broke off: %w", readError(err), err)
	}
	a := &Response{Outcome: stream.OutcomeDone, Status: s.StatusCode, Header: s.Header, Body: b}
	if len(b) == maxBufferedBody {
		a.Remainder = s.Body
		return a, nil
	}
	return a, s.Body.Close()
}

// hopByHop lists the headers that apply to a single connection and are not forwarded.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Proxy-Connection", "Authorization", "Host",
}

func (c *Call) request(ctx context.Context, address string) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, c.Method, "http://"+address+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", upstream.ErrNotSent, err)
	}
	r.Header = c.Header.Clone()
	for _, h := range hopByHop {
		r.Header.Del(h)
	}
	r.Header.Set("X-Request-Id", c.ID)
	r.Header.Set("X-Workspace", c.Workspace)
	return r, nil
}
