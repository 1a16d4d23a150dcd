package forward

import (
	"io"
	"net/http"
	"sync"
	"time"

	"spurhall.example/spurhall/internal/accept"
	"spurhall.example/spurhall/internal/memory"
)

// This file looks at callers while they send a body, or take a plain response.
//
// A body is given up when its caller's deadline has passed (408), or if others have no room and it has come too slowly for long
// to be whole by then (503): in neither case has the request run. A byte now and then is no progress.
//
// What they don't take is held for them, so it is bounded in time:
// after the deadline, or when others have no room (package memory), a caller who has taken nothing for long gets no more. One
// who reads on isn't cut, however slowly it reads.
//
// Alternatives considered: a write deadline for each piece. The kernel takes some MB of a connection at once, and then nothing
// until a third of them is read, so it would cut those who read slowly.

// errUnsent means that a request's body isn't whole at its deadline.
var errUnsent = errs.NewType("unsent").New("the body isn't whole at the request's deadline")

// errUntaken means that a caller has taken nothing of its response for long, and its deadline has passed.
var errUntaken = errs.NewType("untaken").New("the caller takes nothing of its response")

// watch looks at a caller from time to time.
type watch struct {
	s    *Server
	held *memory.Hold
	// look reports whether the caller has done something since the last look.
	look func() bool
	// over returns why the caller gets no more time, or nil.
	over func(idle bool) error
	// end ends what the caller takes or sends. The watch's lock is held.
	end func()

	mu    sync.Mutex
	cause error // why it was ended; nil: it wasn't
	done  bool
	stop  func() // the next look
}

// begin begins to look.
func (w *watch) begin() {
	w.held.Follow(w.endWith)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stop = w.s.o.Clock.AfterFunc(memory.LookPause, w.check)
}

// check looks once.
func (w *watch) check() {
	w.mu.Lock()
	if w.done || w.cause != nil {
		w.mu.Unlock()
		return
	}
	active := w.look()
	w.stop = w.s.o.Clock.AfterFunc(memory.LookPause, w.check)
	w.mu.Unlock()
	if err := w.over(w.held.Look(active)); err != nil {
		w.endWith(err)
	}
}

func (w *watch) endWith(cause error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.done && w.cause == nil {
		w.cause = cause
		w.end()
	}
}

// finish ends the looks, and returns why the caller was ended; nil: it wasn't.
func (w *watch) finish() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done = true
	w.stop()
	return w.cause
}

// past is a deadline that ends a read or a write at once.
var past = time.Unix(1, 0)

// watchReader looks at a caller while it takes a response.
func (s *Server) watchReader(c *http.ResponseController, q *request, h *memory.Hold, written *countingWriter) *watch {
	var last uint64
	w := &watch{s: s, held: h}
	w.look = func() bool {
		n, more, known := accept.Acked(q.http.Context())
		if !known {
			n, more = written.count(), true
		}
		active := n != last || !more
		last = n
		return active
	}
	w.over = func(idle bool) error {
		if idle && s.o.Clock.Now().After(q.deadline.Add(writeSlack)) {
			return errUntaken
		}
		return nil
	}
	w.end = func() { _ = c.SetWriteDeadline(past) } // unsupported only by test recorders
	w.begin()
	return w
}

// countingWriter counts what is written.
type countingWriter struct {
	io.Writer
	mu sync.Mutex
	n  uint64
}

// Write implements io.Writer.
func (w *countingWriter) Write(b []byte) (int, error) {
	k, err := w.Writer.Write(b)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.n += uint64(k)
	return k, err
}

func (w *countingWriter) count() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.n
}

// unknownRest is what is expected of a body of unknown length, in bytes: a piece of one.
const unknownRest = 64 << 10

// sender counts what arrives of a request's body.
type sender struct {
	io.Reader
	mu sync.Mutex
	n  int64
}

// Read implements io.Reader.
func (r *sender) Read(b []byte) (int, error) {
	k, err := r.Reader.Read(b)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.n += int64(k)
	return k, err
}

func (r *sender) count() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.n
}

// watchSender looks at a caller while it sends a body of a length; -1: unknown.
func (s *Server) watchSender(c *http.ResponseController, q *request, h *memory.Hold, r *sender, length int64) *watch {
	deadline := q.arrived.Add(defaultMaxWait)
	if d := q.meta.WaitLimit; d > 0 && d < defaultMaxWait {
		deadline = q.arrived.Add(d)
	}
	var last int64
	w := &watch{s: s, held: h}
	w.look = func() bool {
		n := r.count()
		sent, rest := n-last, int64(unknownRest)
		if length >= 0 {
			rest = length - n
		}
		last = n
		looks := deadline.Sub(s.o.Clock.Now()) / memory.LookPause
		return sent*int64(max(looks, 1)) >= rest
	}
	w.over = func(bool) error {
		if s.o.Clock.Now().After(deadline) {
			return errUnsent
		}
		return nil
	}
	w.end = func() { _ = c.SetReadDeadline(past) } // unsupported only by test recorders
	w.begin()
	return w
}
