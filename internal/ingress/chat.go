package ingress

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"spurhall.example/spurhall/internal/config"
	"spurhall.example/spurhall/internal/dispatch"
	"spurhall.example/spurhall/internal/job"
	"spurhall.example/spurhall/internal/memory"
	"spurhall.example/spurhall/internal/request"
	"spurhall.example/spurhall/internal/stream"
	"spurhall.example/spurhall/internal/upstream"
)

// chatBody has the fields of a chat completion's body that this package uses; the others are
// forwarded unread.
type chatBody struct {
	Model               string             `json:"model"`
	Messages            []upstream.Message `json:"messages"`
	Stream              bool               `json:"stream"`
	MaxTokens           *int               `json:"max_tokens"`
	MaxCompletionTokens *int               `json:"max_completion_tokens"`
	N                   *int               `json:"n"`
}

type chatRequest struct {
	workspace *config.RenderedWorkspace
	service   *config.Service
	raw       []byte
	chat      *ParsedChat
	job       bool
	stream    bool
	trace     string
}

// ParsedChat is the validated body of a chat completion.
type ParsedChat struct {
	Model  string
	Stream bool
	Fields map[string]json.RawMessage
	Body   chatBody
}

const defaultMaxTokens = 256

// ParseChat parses and validates the body of a chat completion.
func ParseChat(raw []byte) (*ParsedChat, error) {
	p := &ParsedChat{}
	if err := json.Unmarshal(raw, &p.Fields); err != nil {
		return nil, fmt.Errorf("the body is not a JSON object: %w", err)
	}
	if err := json.Unmarshal(raw, &p.Body); err != nil {
		return nil, fmt.Errorf("the body is not a chat completion: %w", err)
	}
	b := &p.Body
	if len(b.Messages) == 0 {
		return nil, errors.New("messages is missing or empty")
	}
	for i := range b.Messages {
		if b.Messages[i].Role == "" || len(b.Messages[i].Content) == 0 {
			return nil, fmt.Errorf("messages[%d]: role and content are needed", i)
		}
	}
	if b.N != nil && *b.N != 1 {
		return nil, errors.New("n: only 1 is served")
	}
	if b.MaxTokens == nil {
		b.MaxTokens = b.MaxCompletionTokens
	}
	if b.MaxTokens != nil && *b.MaxTokens < 1 {
		return nil, errors.New("max_tokens: use 1 or more")
	}
	p.Model, p.Stream = b.Model, b.Stream
	return p, nil
}

// MaxTokens returns the requested number of tokens, bounded by the service's limit.
func (p *ParsedChat) MaxTokens(s *config.Service) int {
	n := defaultMaxTokens
	if p.Body.MaxTokens != nil {
		n = *p.Body.MaxTokens
	}
	return min(n, s.Limits.MaxTokens)
}

// DispatchChat returns the chat request for the dispatcher.
func (p *ParsedChat) DispatchChat(r *request.Request, s *config.Service) *dispatch.Chat {
	texts := make([]string, len(p.Body.Messages))
	roles := make([]string, len(p.Body.Messages))
	for i := range p.Body.Messages {
		texts[i], roles[i] = p.Body.Messages[i].Text(), p.Body.Messages[i].Role
	}
	n := p.MaxTokens(s)
	prompt := dispatch.PromptOf(texts, roles, n)
	prompt.Batch = s.Class == config.ClassBatch
	return &dispatch.Chat{
		Record: r.Record(), Workspace: r.Workspace(), Service: s, Body: p.Fields, MaxTokens: n,
		Prompt: prompt, RetryUntilDeadline: r.Job(),
	}
}

// bodyWait is how long a request's body waits unread for room.
const bodyWait = 500 * time.Millisecond

// readBody reads the complete body within the memory that there is for all of them. It counts until the request has its response.
func (s *Server) readBody(r *http.Request, limit int64) ([]byte, error) {
	h := s.o.Memory.Hold(memory.Options{Kind: memory.KindRequest, MaxWait: bodyWait})
	context.AfterFunc(r.Context(), h.Release)
	b, err := h.ReadBody(r.Context(), r.Body, r.ContentLength, limit)
	if err != nil {
		h.Release()
	}
	switch {
	case errors.Is(err, memory.ErrTooLong):
		return nil, &Failure{Status: http.StatusRequestEntityTooLarge, Outcome: stream.OutcomeNotRun, Message: fmt.Sprintf("the body is larger than this service's limit of %d bytes", limit)}
	case errors.Is(err, memory.ErrFull):
		return nil, &Failure{Status: http.StatusServiceUnavailable, Outcome: stream.OutcomeNotRun, Message: "this node has no room for the body; ask again, the balancer will choose another", RetryAfter: time.Second}
	case err != nil:
		return nil, badRequest("the body could not be read: %v", err)
	}
	h.Complete()
	return b.Bytes(), nil
}

// maxChatBody bounds the body of a chat request until its service is known, whose own limit may
// be lower.
const maxChatBody = 8 << 20

func (s *Server) decodeChat(_ context.Context, r *http.Request) (any, error) {
	w, err := s.workspace(r)
	if err != nil {
		return nil, err
	}
	raw, err := s.readBody(r, maxChatBody)
	if err != nil {
		return nil, err
	}
	p, err := ParseChat(raw)
	if err != nil {
		return nil, badRequest("%v", err)
	}
	v := w.ChatService(p.Model)
	if v == nil {
		return nil, badRequest("model %q: this workspace has no chat service of that name", p.Model)
	}
	if int64(len(raw)) > v.Limits.BodyBytes {
		return nil, &Failure{Status: http.StatusRequestEntityTooLarge, Outcome: stream.OutcomeNotRun, Message: fmt.Sprintf("the body is larger than this service's limit of %d bytes", v.Limits.BodyBytes)}
	}
	async := strings.Contains(r.Header.Get("Prefer"), "respond-async")
	return &chatRequest{workspace: w, service: v, raw: raw, chat: p, job: async, stream: p.Stream, trace: r.Header.Get("Traceparent")}, nil
}

func (s *Server) chat(ctx context.Context, in any) (any, error) {
	c := in.(*chatRequest)
	r := request.New(request.Spec{
		ID: s.newID(), Workspace: c.workspace.Name(), Service: c.service.Name, Body: c.raw, Job: c.job,
		AcceptedAt: s.o.Clock.Now(), Owner: s.o.Node,
	})
	if c.job {
		return s.acceptJob(ctx, r)
	}
	s.o.Registry.Replace(r)
	s.o.Start(r)
	if c.stream {
		return s.streamFrom(r, 0), nil
	}
	return s.completeResponse(r), nil
}

func (s *Server) acceptJob(ctx context.Context, r *request.Request) (any, error) {
	held, err := s.o.AcceptJob(ctx, r)
	if err != nil {
		o := stream.OutcomeNotRun
		if errors.Is(err, job.ErrUncertain) {
			o = stream.OutcomeUnknown
		}
		return nil, &Failure{Status: http.StatusServiceUnavailable, Outcome: o, Message: "the job was not accepted: " + err.Error(), RetryAfter: 2 * time.Second, ID: r.ID()}
	}
	s.o.Registry.Replace(r)
	s.o.Start(r)
	return response(func(_ context.Context, w http.ResponseWriter) error {
		w.Header().Set(HeaderRequest, r.ID())
		w.Header().Set(HeaderHeld, held)
		w.Header().Set("Location", "/v1/jobs/"+r.ID())
		w.Header().Set("Preference-Applied", "respond-async")
		return writeJSON(w, http.StatusAccepted, map[string]string{"id": r.ID(), "status": "accepted", "held": held})
	}), nil
}

func writeJSON(w http.ResponseWriter, status int, v any) error {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	return json.NewEncoder(w).Encode(v)
}

func failureOf(id string, v *stream.View) *Failure {
	f := &Failure{Status: http.StatusBadGateway, Outcome: v.Outcome, Message: v.Failure, RetryAfter: v.RetryAfter, ID: id}
	if v.Outcome == stream.OutcomeNotRun {
		f.Status = http.StatusServiceUnavailable
	}
	return f
}

// completeResponse waits for the end of the request and writes the response in one piece.
func (s *Server) completeResponse(r *request.Request) response {
	return func(ctx context.Context, w http.ResponseWriter) error {
		defer r.Record().AddReader(s.o.Clock.Now)()
		n := 0
		var v stream.View
		for v.Outcome == stream.OutcomeOpen {
			var err error
			if v, err = r.Record().Wait(ctx, n); err != nil {
				return nil // the caller has disconnected
			}
			n += len(v.Tokens)
		}
		if v.Outcome != stream.OutcomeDone {
			writeFailure(w, failureOf(r.ID(), &v))
			return nil
		}
		w.Header().Set(HeaderRequest, r.ID())
		w.Header().Set(HeaderOutcome, string(v.Outcome))
		return writeJSON(w, http.StatusOK, completion(r))
	}
}

func completion(r *request.Request) map[string]any {
	u, n := r.Record().Usage(), r.Record().Len()
	return map[string]any{
		"id": "chatcmpl-" + r.ID(), "object": "chat.completion", "created": r.AcceptedAt().Unix(), "model": r.Service(),
		"choices": []any{map[string]any{
			"index": 0, "finish_reason": "stop",
			"message": map[string]string{"role": "assistant", "content": r.Record().Text()},
		}},
		"usage": map[string]any{
			"prompt_tokens": u.Prompt, "completion_tokens": n, "total_tokens": u.Prompt + n,
			"prompt_tokens_details": map[string]int{"cached_tokens": u.Cached},
		},
	}
}

// callerWriteTimeout bounds the time of one write to a caller.
const callerWriteTimeout = 10 * time.Second

// streamFrom streams the response from an offset on while it is generated. The header is sent
// with the first token, so that a request that fails before gets an error status.
func (s *Server) streamFrom(r *request.Request, from int) response {
	return func(ctx context.Context, w http.ResponseWriter) error {
		defer r.Record().AddReader(s.o.Clock.Now)()
		v, err := r.Record().Wait(ctx, from)
		if err != nil {
			return nil
		}
		if v.Outcome != stream.OutcomeOpen && v.Outcome != stream.OutcomeDone && len(v.Tokens) == 0 {
			writeFailure(w, failureOf(r.ID(), &v))
			return nil
		}
		h := w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-store")
		h.Set(HeaderRequest, r.ID())
		h.Set("Trailer", HeaderOutcome)
		w.WriteHeader(http.StatusOK)
		out := &eventWriter{w: w, c: http.NewResponseController(w), now: s.o.Clock.Wall, id: r.ID(), next: from}
		for {
			if err := out.write(v.Tokens); err != nil {
				return nil // the caller has disconnected or is too slow; it can resume by id
			}
			if v.Outcome != stream.OutcomeOpen && len(v.Tokens) == 0 || v.Outcome != stream.OutcomeOpen && out.next == r.Record().Len() {
				break
			}
			if v, err = r.Record().Wait(ctx, out.next); err != nil {
				return nil
			}
		}
		h.Set(HeaderOutcome, string(v.Outcome))
		out.end(&v)
		return nil
	}
}

// eventWriter writes server-sent events; the id of an event is request:offset.
type eventWriter struct {
	w    http.ResponseWriter
	c    *http.ResponseController
	now  func() time.Time // wall-clock time, which write deadlines need
	id   string
	next int
}

func (e *eventWriter) write(pieces []string) error {
	if len(pieces) == 0 {
		return nil
	}
	_ = e.c.SetWriteDeadline(e.now().Add(callerWriteTimeout))
	for _, p := range pieces {
		j, _ := json.Marshal(p)
		_, err := fmt.Fprintf(e.w, "id: %s:%d\ndata: {\"id\":\"chatcmpl-%s\",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":%s}}]}\n\n", e.id, e.next, e.id, j)
		if err != nil {
			return err
		}
		e.next++
	}
	return e.c.Flush()
}

func (e *eventWriter) end(v *stream.View) {
	if v.Outcome == stream.OutcomeDone {
		_, _ = fmt.Fprintf(e.w, "id: %s:%d\ndata: {\"id\":\"chatcmpl-%s\",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n", e.id, e.next, e.id)
	} else {
		_, _ = fmt.Fprintf(e.w, "event: error\ndata: %s\n\n", errorJSON(v.Failure, http.StatusBadGateway, v.Outcome))
	}
	_ = e.c.Flush()
}

type resumeRequest struct {
	workspace string
	id        string
	from      int
}

// decodeResume reads the request's id, and the offset after the last event that the caller has
// received.
func (s *Server) decodeResume(_ context.Context, r *http.Request) (any, error) {
	w, err := s.workspace(r)
	if err != nil {
		return nil, err
	}
	q := &resumeRequest{workspace: w.Name(), id: r.PathValue("id")}
	last := r.Header.Get("Last-Event-ID")
	if last == "" {
		return q, nil
	}
	i := strings.LastIndexByte(last, ':')
	if i < 0 || last[:i] != q.id {
		return nil, badRequest("Last-Event-ID %q does not belong to request %s; use the id of the last event received", last, q.id)
	}
	n, err := strconv.Atoi(last[i+1:])
	if err != nil || n < 0 {
		return nil, badRequest("Last-Event-ID %q: the offset is not a number", last)
	}
	q.from = n + 1
	return q, nil
}

func (s *Server) find(ctx context.Context, q *resumeRequest) (*request.Request, error) {
	r := s.o.Registry.Get(q.id)
	if r == nil {
		r = s.o.Find(ctx, q.id, q.workspace)
	}
	if r == nil || r.Workspace() != q.workspace {
		return nil, &Failure{Status: http.StatusNotFound, Message: "no request of this id is held; it may have ended long ago", ID: q.id}
	}
	return r, nil
}

func (s *Server) resume(ctx context.Context, in any) (any, error) {
	q := in.(*resumeRequest)
	r, err := s.find(ctx, q)
	if err != nil {
		return nil, err
	}
	if n := r.Record().Len(); q.from > n+1 {
		return nil, &Failure{Status: http.StatusBadRequest, Message: fmt.Sprintf("offset %d is beyond the answer so far, which has %d tokens", q.from, n), ID: q.id}
	}
	return s.streamFrom(r, q.from), nil
}

func (s *Server) jobStatus(ctx context.Context, in any) (any, error) {
	q := in.(*resumeRequest)
	r, err := s.find(ctx, q)
	if err != nil {
		return nil, err
	}
	return response(func(_ context.Context, w http.ResponseWriter) error {
		v := r.Record().Read(0)
		w.Header().Set(HeaderRequest, r.ID())
		switch v.Outcome {
		case stream.OutcomeOpen:
			return writeJSON(w, http.StatusOK, map[string]any{"id": r.ID(), "status": "running", "tokens": len(v.Tokens)})
		case stream.OutcomeDone:
			w.Header().Set(HeaderOutcome, string(v.Outcome))
			return writeJSON(w, http.StatusOK, map[string]any{"id": r.ID(), "status": "done", "result": completion(r)})
		}
		w.Header().Set(HeaderOutcome, string(v.Outcome))
		return writeJSON(w, http.StatusOK, map[string]any{"id": r.ID(), "status": "failed", "error": v.Failure})
	}), nil
}
