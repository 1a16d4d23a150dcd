// Package link shares what a VM's link takes in among the responses that pass it. The kernel shares it by connections: one
// upstream that sends without end to many callers leaves those of all others next to nothing of a small link.
//
// What a response has beyond what its service's usually have isn't read as fast as it comes, but for all such responses
// together at a share of the link, while requests without such a response are in progress. What isn't read fills the
// connection's buffers, until TCP keeps the upstream from sending more, through a tunnel too. When nobody else needs the
// link, such a response has all of it: it may be sound.
//
//	link.go   the requests in progress, and the pace
//	usual.go  what the responses of a service usually have
//
// Alternatives considered: a pace for each connection, which a faulty upstream multiplies by its callers; ending such
// responses, as package memory does when memory is short: a link that is taken is free again a moment later.
package link

import (
	"context"
	"expvar"
	"io"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"spurhall.example/spurhall/internal/timer"
)

var metrics = expvar.NewMap("link")

const (
	// excessShare is the part of the link that all responses larger than usual have together while others need it.
	excessShare = 0.25
	// leastPiece and pieceTime bound what is read of a response at once, in bytes and as a time of the link.
	leastPiece = 4 << 10
	pieceTime  = time.Millisecond
	// quietTime is how long after the last request without such a response the next one is still expected.
	quietTime = 500 * time.Millisecond
	// roundTrip is the longest one, between halls, at which one connection can have the whole link.
	roundTrip = 10 * time.Millisecond
	// usualBuffer is the kernel's read buffer in bytes: one that isn't to be smaller is left alone.
	usualBuffer = 64 << 10
)

// Link is a VM's link. It is safe for concurrent use.
type Link struct {
	clock  *timer.Service
	rate   float64       // bytes a second; 0: unknown
	piece  int           // bytes that are read of a response at once
	excess *rate.Limiter // of what responses have beyond the usual
	paced  func(Paced)

	mu      sync.Mutex
	others  int       // requests in progress without a response larger than usual
	otherAt time.Time // when the last of them ended
	usual   map[key]float64
}

// Options describes a response.
type Options struct {
	Service, Upstream, Request string
	// Events states that it is a stream, of which each event counts by itself.
	Events bool
}

// Paced is a response that is larger than usual and is slowed for others.
type Paced struct {
	Options
	Bytes, Usual int64
}

// New returns a link that takes in some bytes a second; 0: unknown, nothing is slowed. Paced is called once for each response
// that is slowed; it may be nil.
func New(clock *timer.Service, bytesPerSecond float64, paced func(Paced)) *Link {
	n := max(leastPiece, int(bytesPerSecond*pieceTime.Seconds()))
	return &Link{clock: clock, rate: bytesPerSecond, piece: n, excess: rate.NewLimiter(rate.Limit(excessShare*bytesPerSecond), n), paced: paced, usual: make(map[key]float64)}
}

// ReadBuffer returns the size in bytes of the kernel's read buffer for a connection to an upstream: what it holds has passed
// the link though nobody has read it. 0: the kernel's own.
func (l *Link) ReadBuffer() int {
	if n := int(l.rate * roundTrip.Seconds()); n < usualBuffer {
		return n
	}
	return 0
}

// Request is a request in progress.
type Request struct {
	l      *Link
	excess bool // one of its responses is larger than usual
	ended  bool
}

// Begin begins a request.
func (l *Link) Begin() *Request {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.others++
	return &Request{l: l}
}

// End ends the request.
func (q *Request) End() {
	q.l.mu.Lock()
	defer q.l.mu.Unlock()
	if !q.excess && !q.ended {
		q.l.others--
		q.l.otherAt = q.l.clock.Now()
	}
	q.ended = true
}

// Response is a response to a request. Its methods are called one at a time.
type Response struct {
	q     *Request
	o     Options
	size  int64 // bytes read of it, or of the present event
	paced bool
}

// Response begins a response to the request.
func (q *Request) Response(o Options) *Response { return &Response{q: q, o: o} }

// Next begins the next event of the response: the one before is whole.
func (r *Response) Next() {
	r.Whole()
	r.size = 0
}

// Whole records that the response, or its event, is whole and sound.
func (r *Response) Whole() {
	if r.size > 0 {
		r.q.l.observe(r.key(), r.size)
	}
}

// Took records that n bytes more were read, and waits for their turn.
func (r *Response) Took(ctx context.Context, n int) error {
	r.size += int64(n)
	for ; n > r.q.l.piece; n -= r.q.l.piece {
		if err := r.await(ctx, r.q.l.piece); err != nil {
			return err
		}
	}
	return r.await(ctx, n)
}

// await waits for the turn of some bytes that were read last.
func (r *Response) await(ctx context.Context, n int) error {
	d, cancel := r.delay(n)
	if d <= 0 {
		return nil
	}
	metrics.Add("paced_bytes", int64(n))
	r.report()
	c, stop := r.q.l.clock.After(d)
	defer stop()
	select {
	case <-c:
		return nil
	case <-ctx.Done():
		cancel()
		return context.Cause(ctx)
	}
}

// delay returns how long some bytes wait, and a function that gives their turn up.
func (r *Response) delay(n int) (time.Duration, func()) {
	l := r.q.l
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rate == 0 || r.size <= l.usualSize(r.key()) {
		return 0, nil
	}
	if !r.q.excess && !r.q.ended {
		r.q.excess = true
		l.others--
	}
	now := l.clock.Now()
	if l.others == 0 && now.Sub(l.otherAt) >= quietTime {
		return 0, nil
	}
	v := l.excess.ReserveN(now, n)
	return v.DelayFrom(now), func() { v.CancelAt(l.clock.Now()) }
}

// report reports that the response is slowed, once.
func (r *Response) report() {
	if r.paced {
		return
	}
	r.paced = true
	metrics.Add("paced_responses", 1)
	if l := r.q.l; l.paced != nil {
		l.paced(Paced{Options: r.o, Bytes: r.size, Usual: l.Usual(r.o)})
	}
}

// Reader reads a response at its pace.
func (r *Response) Reader(ctx context.Context, from io.Reader) io.Reader {
	if r.q.l.rate == 0 {
		return from
	}
	return &reader{r: r, ctx: ctx, from: from}
}

type reader struct {
	r    *Response
	ctx  context.Context
	from io.Reader
}

// Read implements io.Reader. What was read is returned at its turn.
func (v *reader) Read(p []byte) (int, error) {
	n, err := v.from.Read(p[:min(len(p), v.r.q.l.piece)])
	if late := v.r.Took(v.ctx, n); err == nil {
		err = late
	}
	return n, err
}
