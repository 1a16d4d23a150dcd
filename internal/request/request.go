// Package request holds the model requests that this node has accepted or keeps a copy of
// for another node: the call itself, the node that runs it, and the response so far.
package request

import (
	"encoding/json"
	"sync"
	"time"

	"spurhall.example/spurhall/internal/stream"
	"spurhall.example/spurhall/internal/wire"
)

// Request is one accepted model request.
type Request struct {
	mu            sync.Mutex
	id            string
	workspace     string
	service       string
	body          []byte
	job           bool
	acceptedAt    time.Time
	owner         string // the node that runs the request
	previousOwner string // the node that handed the request over, if any
	record        *stream.Record
	cancel        func()
	done          chan struct{} // closed when the request no longer runs on this node
	moved         bool
}

// Spec is the state of a request as it is journalled and sent to other nodes.
type Spec struct {
	ID            string
	Workspace     string
	Service       string
	Body          []byte
	Job           bool
	AcceptedAt    time.Time
	Owner         string
	PreviousOwner string // only set on the node that took the request over; neither sent nor journalled
	Tokens        []string
	Attempt       int
	Outcome       stream.Outcome
	Failure       string
}

// New returns a request with the state of a spec.
func New(s Spec) *Request {
	r := &Request{
		id: s.ID, workspace: s.Workspace, service: s.Service, body: s.Body, job: s.Job,
		acceptedAt: s.AcceptedAt, owner: s.Owner, previousOwner: s.PreviousOwner, record: stream.Restore(s.ID, s.Tokens, s.Attempt),
	}
	if s.Outcome != stream.OutcomeOpen {
		r.record.Finish(s.Outcome, s.Failure, 0, s.AcceptedAt)
	}
	return r
}

// ID returns the request id.
func (r *Request) ID() string { return r.id }

// Workspace returns the name of the workspace that sent the request.
func (r *Request) Workspace() string { return r.workspace }

// Service returns the name of the requested service.
func (r *Request) Service() string { return r.service }

// Body returns the body as the caller sent it.
func (r *Request) Body() []byte { return r.body }

// Job reports whether the request was accepted as a job.
func (r *Request) Job() bool { return r.job }

// AcceptedAt returns the time at which the request was accepted.
func (r *Request) AcceptedAt() time.Time { return r.acceptedAt }

// Record returns the record of the response.
func (r *Request) Record() *stream.Record { return r.record }

// Owner returns the node that runs the request.
func (r *Request) Owner() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.owner
}

// PreviousOwner returns the node that the request was taken over from, or "".
func (r *Request) PreviousOwner() string { return r.previousOwner }

// SetOwner sets the node that runs the request.
func (r *Request) SetOwner(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.owner = id
}

// MarkRunning records that the request runs on this node and that cancel stops it. The
// caller calls the returned function once the request no longer runs.
func (r *Request) MarkRunning(cancel func()) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancel, r.moved, r.done = cancel, false, make(chan struct{})
	return sync.OnceFunc(func() { close(r.done) })
}

// Cancel stops the running request, which then ends without a response.
func (r *Request) Cancel() {
	r.mu.Lock()
	f := r.cancel
	r.mu.Unlock()
	if f != nil {
		f()
	}
}

// Stop stops the running request on this node and waits until it has stopped. The record
// stays open, as the request continues on another node or is started here again.
func (r *Request) Stop() {
	r.mu.Lock()
	f, done := r.cancel, r.done
	r.moved = true
	r.mu.Unlock()
	if f != nil {
		f()
		<-done
	}
}

// Moved reports whether Stop was called since the request last started on this node.
func (r *Request) Moved() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.moved
}

// Spec returns the current state of the request.
func (r *Request) Spec() Spec {
	v := r.record.Read(0)
	return Spec{
		ID: r.id, Workspace: r.workspace, Service: r.service, Body: r.body, Job: r.job, AcceptedAt: r.acceptedAt,
		Owner: r.Owner(), Tokens: v.Tokens, Attempt: r.record.Attempt(), Outcome: v.Outcome, Failure: v.Failure,
	}
}

// Wire returns the wire message of the spec.
func (s *Spec) Wire() *wire.HeldRequest {
	return &wire.HeldRequest{
		Id: s.ID, Workspace: s.Workspace, Service: s.Service, Body: s.Body, Pieces: s.Tokens, Job: s.Job,
		Attempt: int32(s.Attempt), Outcome: string(s.Outcome), Failure: s.Failure,
		AcceptedUnixMs: s.AcceptedAt.UnixMilli(), Owner: s.Owner,
	}
}

// FromWire returns the spec of a wire message.
func FromWire(w *wire.HeldRequest) Spec {
	return Spec{
		ID: w.Id, Workspace: w.Workspace, Service: w.Service, Body: w.Body, Tokens: w.Pieces, Job: w.Job,
		Attempt: int(w.Attempt), Outcome: stream.Outcome(w.Outcome), Failure: w.Failure,
		AcceptedAt: time.UnixMilli(w.AcceptedUnixMs), Owner: w.Owner,
	}
}

// MarshalJSON encodes the spec for the journal.
func (s Spec) MarshalJSON() ([]byte, error) { return json.Marshal(s.Wire()) }

// UnmarshalJSON decodes a spec from the journal.
func (s *Spec) UnmarshalJSON(b []byte) error {
	var w wire.HeldRequest
	if err := json.Unmarshal(b, &w); err != nil {
		return err
	}
	*s = FromWire(&w)
	return nil
}

// Registry holds a node's requests by id. It is safe for concurrent use.
type Registry struct {
	mu       sync.Mutex
	requests map[string]*Request
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{requests: make(map[string]*Request)} }

// Add adds a request. If the id is already present, it returns that request and false.
func (g *Registry) Add(r *Request) (*Request, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if o := g.requests[r.id]; o != nil {
		return o, false
	}
	g.requests[r.id] = r
	return r, true
}

// Replace adds a request, in place of the one with the same id if there is one.
func (g *Registry) Replace(r *Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.requests[r.id] = r
}

// Get returns a request, or nil.
func (g *Registry) Get(id string) *Request {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.requests[id]
}

// Remove removes a request.
func (g *Registry) Remove(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.requests, id)
}

// List returns the requests for which keep returns true, in no particular order.
func (g *Registry) List(keep func(r *Request) bool) []*Request {
	g.mu.Lock()
	defer g.mu.Unlock()
	var l []*Request
	for _, r := range g.requests {
		if keep(r) {
			l = append(l, r)
		}
	}
	return l
}

// Sweep removes the requests that ended before a time, to bound memory, and returns their
// number.
func (g *Registry) Sweep(before time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for id, r := range g.requests {
		v := r.record.Read(0)
		if v.Outcome != stream.OutcomeOpen && v.FinishedAt.Before(before) {
			delete(g.requests, id)
			n++
		}
	}
	return n
}
