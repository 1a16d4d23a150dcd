package forward

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"spurhall.example/spurhall/internal/fault"
	"spurhall.example/spurhall/internal/link"
	"spurhall.example/spurhall/internal/memory"
)

// This file reads the bodies of requests and of plain responses, which are held whole, within the memory that there is for all
// of them (package memory).

const (
	// maxBody bounds a request's body, in bytes, until the configuration sets a limit.
	maxBody = 64 << 20
	// bodyWait is how long a request's body waits unread for room. Callers give a node that hasn't read their request about a
	// second.
	bodyWait = 500 * time.Millisecond
	// maxResponseBody bounds the body of a plain response, in bytes: one without end is no response.
	maxResponseBody = 16 << 20
)

var (
	// errOversized is errIncompleteResponse for a response that is larger than any may be, or that ended as the one furthest
	// beyond what is usual when memory was short.
	errOversized = fault.Because(errIncompleteResponse, "it is larger than there is room for")
	// errNoRoom is errIncompleteResponse for a response for which this node has no memory, whatever its size.
	errNoRoom = fault.Because(errIncompleteResponse, "this node has no room for it")
)

// readBody reads the complete body: it may have to be sent twice, and net/http does not notice that the
// caller has disconnected while the body is unread. One that isn't whole by its caller's deadline is refused: nobody would wait for
// the response.
func (s *Server) readBody(w http.ResponseWriter, q *request) error {
	limit := maxBody
	if c := s.o.Catalog(); c != nil && c.Limits().MaxBodyBytes > 0 {
		limit = c.Limits().MaxBodyBytes
	}
	h := q.held.Hold(memory.Options{Kind: memory.KindRequest, MaxWait: bodyWait})
	c := http.NewResponseController(w)
	if !q.bodyRead {
		_ = c.SetReadDeadline(s.o.Clock.WallOf(q.arrived.Add(q.callerWait()))) // unsupported only by test recorders
	}
	b, err := h.ReadBody(q.http.Context(), q.http.Body, q.http.ContentLength, int64(limit))
	if !q.bodyRead {
		_ = c.SetReadDeadline(time.Time{}) // the connection is read on while the response is awaited
	}
	if err != nil {
		h.Release() // what is left of it may be read on (unread.go), and isn't kept
	}
	switch {
	case errors.Is(err, memory.ErrTooLong):
		return &rejection{status: http.StatusRequestEntityTooLarge, reason: "the body is larger than the limit"}
	case errors.Is(err, memory.ErrFull):
		count("bodies_without_room", 1)
		return &rejection{status: http.StatusServiceUnavailable, reason: fault.Reason(err), retry: retryOtherNode}
	case errors.Is(err, os.ErrDeadlineExceeded):
		count("bodies_late", 1)
		return &rejection{status: http.StatusRequestTimeout, reason: "the body isn't whole at the request's deadline"}
	case err != nil:
		q.bodyRead = true
		return &rejection{status: http.StatusBadRequest, reason: "the body broke off"}
	}
	h.Complete()
	q.bodyRead = true
	q.body = b.Bytes()
	return nil
}

// holdResponse begins to count what an attempt's response takes.
func (a *attempt) holdResponse(q *request) {
	e := a.use.Entry()
	a.held = q.held.Hold(memory.Options{Kind: memory.KindResponse, Service: e.Service, Upstream: e.ID, End: func(err error) { a.cancel(roomError(err, "")) }})
}

// readPlain reads a plain response's body.
func (s *Server) readPlain(a *attempt) error {
	b, err := a.held.ReadBody(a.ctx, a.line.Reader(a.ctx, a.head.Body), bodyLength(a.head), maxResponseBody)
	switch {
	case errors.Is(err, memory.ErrTooLong):
		return fault.Because(errEndless, "the body is longer than %d bytes", maxResponseBody)
	case err != nil:
		return roomError(err, "the body broke off")
	}
	a.held.Complete()
	if a.head.StatusCode < http.StatusMultipleChoices { // signed: others may be anything
		a.line.Whole()
		s.o.Memory.Observe(a.use.Entry().Service, b.Len())
	}
	a.body = b
	return nil
}

// bodyLength returns the length that a response's body was announced with, or -1. The length of a response to HEAD is that of
// a body which doesn't come.
func bodyLength(head *http.Response) int64 {
	if head.Body == http.NoBody {
		return 0
	}
	return head.ContentLength
}

// roomError returns the error for a response that couldn't be read to its end.
func roomError(err error, what string) error {
	switch {
	case errors.Is(err, memory.ErrOversized):
		return fault.Because(errOversized, "%s", fault.Reason(err))
	case errors.Is(err, memory.ErrFull):
		return fault.Because(errNoRoom, "%s", fault.Reason(err))
	}
	return fault.Because(readError(err), "%s: %s", what, fault.Reason(err))
}

// freeEvent is the size in bytes up to which an event isn't counted: a stream holds one at a time.
const freeEvent = 16 << 10

// eventRoom counts what the events of a stream take.
type eventRoom struct {
	ctx  context.Context
	held *memory.Hold
	line *link.Response
}

// take counts an event that has grown by n bytes to size, and waits for their turn.
func (r eventRoom) take(size, n int) error {
	if err := r.grow(size, n); err != nil || r.line == nil {
		return err
	}
	return r.line.Took(r.ctx, n)
}

// grow counts an event that has grown by n bytes to size.
func (r eventRoom) grow(size, n int) error {
	switch {
	case r.held == nil || size <= freeEvent:
		return nil
	case size-n <= freeEvent:
		return r.held.Take(r.ctx, int64(size))
	}
	return r.held.Take(r.ctx, int64(n))
}

// next gives back what the last event took.
func (r eventRoom) next() {
	if r.held != nil {
		r.held.Return()
	}
	if r.line != nil {
		r.line.Next()
	}
}
