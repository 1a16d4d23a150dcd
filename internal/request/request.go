// Package request holds the model requests that this node has accepted, or keeps
// for another node: what was asked for, whose it is, and the answer so far.
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
	mu        sync.Mutex
	id        string
	workspace string
	service   string
	body      []byte
	job       bool
	accepted  time.Time
	owner     string // the node that runs it
	from      string // the node that handed it over, if any
	record    *stream.Record
	cancel    func()
	done      chan struct{} // closes when it no longer runs here
	moved     bool
}

// Spec is what a request is made of.
type Spec struct {
	ID        string
	Workspace string
	Service   string
	Body      []byte
	Job       bool
	AcceptedAt  time.Time
	Owner     string
	PreviousOwner      string // the owner before, known only to the one after it
	Tokens    []string
	Attempt   int
	Outcome   stream.Outcome
	Failure   string
}

// New returns a request.
func New(s Spec) *Request {
	r := &Request{
		id: s.ID, workspace: s.Workspace, service: s.Service, body: s.Body, job: s.Job,
		accepted: s.AcceptedAt, owner: s.Owner, from: s.PreviousOwner, record: stream.Restore(s.ID, s.Tokens, s.Attempt),
	}
	if s.Outcome != stream.OutcomeOpen {
		r.record.Finish(s.Outcome, s.Failure, 0, s.AcceptedAt)
	}
	return r
}

// ID returns the id.
func (r *Request) ID() string { return r.id }

// Workspace returns the name of the workspace it belongs to.
func (r *Request) Workspace() string { return r.workspace }

// Service returns the name of the service it asked for.
func (r *Request) Service() string { return r.service }

// Body returns the caller's body.
func (r *Request) Body() []byte { return r.body }

// Job tells whether it was accepted as a job.
func (r *Request) Job() bool { return r.job }

// Accepted returns when it was accepted.
func (r *Request) AcceptedAt() time.Time { return r.accepted }

// Record returns the answer.
func (r *Request) Record() *stream.Record { return r.record }

// Owner returns the node that runs it.
func (r *Request) Owner() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.owner
}

// From returns the node that had the request before, if it was taken over.
func (r *Request) PreviousOwner() string { return r.from }

// SetOwner changes who runs it.
func (r *Request) SetOwner(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.owner = id
}

// Running notes that the request runs here, with what stops it. The function it returns
// is called when it no longer does.
func (r *Request) MarkRunning(cancel func()) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancel, r.moved, r.done = cancel, false, make(chan struct{})
	return sync.OnceFunc(func() { close(r.done) })
}

// Abandon stops the running request, which then ends without an answer.
func (r *Request) Cancel() {
	r.mu.Lock()
	f := r.cancel
	r.mu.Unlock()
	if f != nil {
		f()
	}
}

// Stop stops the running request here and waits until it has stopped, without ending its
// record: it goes on elsewhere, or is run here again.
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

// Moved tells whether it was stopped here because it goes on elsewhere.
func (r *Request) Moved() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.moved
}

// Spec returns the request as it stands.
func (r *Request) Spec() Spec {
	v := r.record.Read(0)
	return Spec{
		ID: r.id, Workspace: r.workspace, Service: r.service, Body: r.body, Job: r.job, AcceptedAt: r.accepted,
		Owner: r.Owner(), Tokens: v.Tokens, Attempt: r.record.Attempt(), Outcome: v.Outcome, Failure: v.Failure,
	}
}

// Wire returns the form between processes.
func (s *Spec) Wire() *wire.HeldRequest {
	return &wire.HeldRequest{
		Id: s.ID, Workspace: s.Workspace, Service: s.Service, Body: s.Body, Pieces: s.Tokens, Job: s.Job,
		Attempt: int32(s.Attempt), Outcome: string(s.Outcome), Failure: s.Failure,
		AcceptedUnixMs: s.AcceptedAt.UnixMilli(), Owner: s.Owner,
	}
}

// FromWire reads the form between processes.
func FromWire(w *wire.HeldRequest) Spec {
	return Spec{
		ID: w.Id, Workspace: w.Workspace, Service: w.Service, Body: w.Body, Tokens: w.Pieces, Job: w.Job,
		Attempt: int(w.Attempt), Outcome: stream.Outcome(w.Outcome), Failure: w.Failure,
		AcceptedAt: time.UnixMilli(w.AcceptedUnixMs), Owner: w.Owner,
	}
}

// MarshalJSON writes the form that is journalled.
func (s Spec) MarshalJSON() ([]byte, error) { return json.Marshal(s.Wire()) }

// UnmarshalJSON reads the form that is journalled.
func (s *Spec) UnmarshalJSON(b []byte) error {
	var w wire.HeldRequest
	if err := json.Unmarshal(b, &w); err != nil {
		return err
	}
	*s = FromWire(&w)
	return nil
}

// Registry holds the requests by id. It is safe for concurrent use.
type Registry struct {
	mu   sync.Mutex
	held map[string]*Request
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{held: make(map[string]*Request)} }

// Add puts a request in, unless there is one of that id, which it then returns.
func (g *Registry) Add(r *Request) (*Request, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if o := g.held[r.id]; o != nil {
		return o, false
	}
	g.held[r.id] = r
	return r, true
}

// Replace puts a request in, whatever was there.
func (g *Registry) Replace(r *Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.held[r.id] = r
}

// Get returns a request, or nil.
func (g *Registry) Get(id string) *Request {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.held[id]
}

// Remove takes a request out.
func (g *Registry) Remove(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.held, id)
}

// List returns the requests that keep accepts.
func (g *Registry) List(keep func(r *Request) bool) []*Request {
	g.mu.Lock()
	defer g.mu.Unlock()
	var l []*Request
	for _, r := range g.held {
		if keep(r) {
			l = append(l, r)
		}
	}
	return l
}

// Sweep drops the requests that ended before a time, so that memory follows use.
func (g *Registry) Sweep(before time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for id, r := range g.held {
		v := r.record.Read(0)
		if v.Outcome != stream.OutcomeOpen && v.FinishedAt.Before(before) {
			delete(g.held, id)
			n++
		}
	}
	return n
}
