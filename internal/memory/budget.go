// Package memory bounds the bytes that a process holds of requests and responses together. A bound for each of them isn't
// enough: a process that takes more memory than its VM has ends, and with it everything else that it holds.
//
// Bytes are taken before they are read, and given back when their holder ends (Hold). While there is room, nobody notices.
// When there is none, whoever wants more waits, unread, so that its sender waits too; the others go on. What is small goes
// before what is large, by a part that is set aside for it.
//
// Waiting alone would let one upstream's garbage keep everybody else waiting. So when room is short, the response ends that
// is furthest beyond what its service usually sends, by what whole responses have shown. If there is none, a whole one ends whose
// caller has taken hardly anything of it for long (idle.go). If all that hold a part of a message
// wait for the rest, none of them can be done first: the newest one ends.
//
//	budget.go  who gets room, and who is ended for it
//	scope.go   the holds of one request
//	idle.go    whose callers don't take what they asked for
//	read.go    reads a body within the budget
//	usual.go   what the responses of a service usually weigh
//
// Alternatives considered: a weighted semaphore (golang.org/x/sync), which can't choose whom to end and is held up by whoever
// wants most; a tighter limit of the garbage collector, which only makes it work harder.
package memory

import (
	"container/list"
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"spurhall.example/spurhall/internal/timer"
)

var errs = errorx.NewNamespace("memory")

var (
	// ErrOversized means that a response was ended, when room was short, as the one furthest beyond what is usual.
	ErrOversized = errs.NewType("oversized").New("the response is far larger than its service's usually are, and the memory is short")
	// ErrUntaken means that a whole response was ended, when room was short, as its caller has taken hardly anything of it for the
	// longest.
	ErrUntaken = errs.NewType("untaken").New("the caller takes hardly anything of the response, and the memory is short")
	// ErrFull means that there is no room, and no prospect of any.
	ErrFull = errs.NewType("full").New("the memory for requests and responses is used up")
)

var metrics = expvar.NewMap("memory")

// Kind is what a hold is for. Each kind has a half of the budget: a request that has room for its body waits for room for its
// response, and must not wait for others that do the same.
type Kind int

// The kinds of holds.
const (
	KindRequest Kind = iota
	KindResponse
	kinds
)

func (k Kind) String() string { return [...]string{"requests", "responses"}[k] }

// Share is the part of a VM's memory that requests and responses may take together. What the process itself takes and what the
// garbage collector hasn't freed yet need the rest.
const Share = 1.0 / 3

const (
	// smallSize is the size in bytes up to which a message is small.
	smallSize = 64 << 10
	// smallShare is the part of the budget that is set aside for small messages.
	smallShare = 1.0 / 8
	// excessive is how many times the usual size of its service a response may reach before it is ended for others.
	excessive = 4
	// sparedFor is how long a response that has room for all of it isn't ended as excessive: one of 1 MB is whole by then on a link of
	// 20 Mbit/s.
	sparedFor = 500 * time.Millisecond
)

// Budget is the bytes that may be held. It is safe for concurrent use.
type Budget struct {
	clock *timer.Service
	mu    sync.Mutex
	kinds [kinds]part
	usual map[string]float64 // size of a service's responses, in bytes
	ended func(Ended)
	short func() // nil: nobody is told
}

// part is the budget of one kind.
type part struct {
	limit, used int64
	holds       *list.List // of *Hold, the oldest first
	waiting     *list.List // of *Hold, in the order in which they wait
	lookedAt    time.Time  // when the callers were last looked at
}

// Ended is a response that is ended so that others get room.
type Ended struct {
	Service, Upstream string
	Bytes             int64         // that it holds
	Usual             int64         // that a response of its service has
	Used, Limit       int64         // of all responses
	Untaken           time.Duration // for which its caller took hardly anything; 0: it was excessive
}

// New returns a budget of some bytes. Ended is called, without a lock, for each response that is ended for others; it may be
// nil.
func New(clock *timer.Service, limit int64, ended func(Ended)) *Budget {
	b := &Budget{clock: clock, usual: make(map[string]float64), ended: ended}
	for i := range b.kinds {
		b.kinds[i] = part{limit: limit / int64(kinds), holds: list.New(), waiting: list.New()}
	}
	return b
}

// OnShort has f called, without a lock, whenever requests wait for room. It is set before the budget is used.
func (b *Budget) OnShort(f func()) { b.short = f }

// Limit returns how many bytes of a kind may be held together.
func (b *Budget) Limit(k Kind) int64 { return b.kinds[k].limit }

// Used returns how many bytes of a kind are held.
func (b *Budget) Used(k Kind) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.kinds[k].used
}

// Options describes a hold. Service and Upstream are those of a response.
type Options struct {
	Kind              Kind
	Service, Upstream string
	// End ends what the hold is for, which then releases it. It is called without a lock, at most once; nil: it can't be ended.
	End func(error)
	// MaxWait is how long it may wait for room at once; 0: until its context ends.
	MaxWait time.Duration
}

// Hold is the bytes that one request or one response holds. Its methods may be called at the same time as Release, and
// otherwise one at a time.
type Hold struct {
	b           *Budget
	o           Options
	bytes       int64
	wants       int64                // bytes that it waits for
	granted     chan struct{}        // closed when it has got them, or has been ended
	cause       error                // why it was ended; nil: it wasn't
	place       *list.Element        // among the holds; nil: released
	queue       *list.Element        // among those that wait; nil: it doesn't
	complete    bool                 // it takes no more
	idle        func() time.Duration // for how long its caller has taken hardly anything; nil: its caller isn't looked at
	sparedUntil time.Time            // it isn't ended as excessive before
	givenUp     bool                 // it was ended because its caller took hardly anything for so long:
	untaken     time.Duration
}

// Hold begins a hold of no bytes.
func (b *Budget) Hold(o Options) *Hold {
	h := &Hold{b: b, o: o}
	b.mu.Lock()
	defer b.mu.Unlock()
	h.place = b.kinds[o.Kind].holds.PushBack(h)
	return h
}

// Take takes some bytes more, and waits for them if there is no room. The error is ErrOversized or ErrFull if the hold is to
// end so that others get room, or the context's.
func (h *Hold) Take(ctx context.Context, n int64) error {
	b := h.b
	b.mu.Lock()
	p := &b.kinds[h.o.Kind]
	switch {
	case h.cause != nil:
		b.mu.Unlock()
		return h.cause
	case h.place == nil || h.bytes+n > p.limit:
		b.mu.Unlock()
		return ErrFull
	case p.grant(h, n):
		b.mu.Unlock()
		return nil
	}
	h.wants, h.granted = n, make(chan struct{})
	h.queue = p.waiting.PushBack(h)
	end := b.makeRoom(p)
	b.mu.Unlock()
	metrics.Add("waits_"+h.o.Kind.String(), 1)
	end()
	err := h.await(ctx)
	b.mu.Lock()
	if h.queue == nil {
		defer b.mu.Unlock()
		return h.cause
	}
	p.leave(h)
	end = b.settle(p)
	b.mu.Unlock()
	end()
	return err
}

// settle gives what room there is to those that wait, and returns the call that makes more.
func (b *Budget) settle(p *part) (end func()) {
	p.grantWaiting()
	return b.makeRoom(p)
}

// tellShort returns end, and with it the call that tells that requests wait.
func (b *Budget) tellShort(p *part, end func()) func() {
	if b.short == nil || p != &b.kinds[KindRequest] || p.waiting.Len() == 0 {
		return end
	}
	return func() {
		end()
		b.short()
	}
}

// await waits until the hold has got what it wants, and returns the error if it doesn't.
func (h *Hold) await(ctx context.Context) error {
	var late <-chan time.Time
	if h.o.MaxWait > 0 {
		c, stop := h.b.clock.After(h.o.MaxWait)
		defer stop()
		late = c
	}
	for {
		look, stop := h.b.nextLook(h.o.Kind)
		select {
		case <-h.granted:
			stop()
			return nil
		case <-late:
			stop()
			return ErrFull
		case <-ctx.Done():
			stop()
			return context.Cause(ctx)
		case <-look:
			h.b.lookAgain(h.o.Kind)
		}
	}
}

// Complete records that the hold takes no more: it will be released without that others are.
func (h *Hold) Complete() {
	b, end := h.b, func() {}
	b.mu.Lock()
	h.complete = true
	if h.cause != nil { // it was to end, and is whole
		end = b.settle(&b.kinds[h.o.Kind])
	}
	b.mu.Unlock()
	end()
}

// Return gives all bytes back. The hold may take others.
func (h *Hold) Return() { h.giveBack(false) }

// Release gives all bytes back, and ends the hold. Only the first call has an effect.
func (h *Hold) Release() { h.giveBack(true) }

func (h *Hold) giveBack(last bool) {
	b := h.b
	b.mu.Lock()
	if h.place == nil || !last && h.bytes == 0 {
		b.mu.Unlock()
		return
	}
	p := &b.kinds[h.o.Kind]
	p.used -= h.bytes
	h.bytes = 0
	if last {
		h.leave(p)
	}
	end := b.settle(p)
	b.mu.Unlock()
	end()
}

// leave removes the hold.
func (h *Hold) leave(p *part) {
	p.holds.Remove(h.place)
	h.place = nil
	if h.queue != nil {
		h.finish(p, ErrFull)
	}
}

// grant gives a hold some bytes if there is room. One that is large gets none before those that wait already.
func (p *part) grant(h *Hold, n int64) bool {
	if h.bytes+n > smallSize && p.waiting.Len() > 0 && h.queue != p.waiting.Front() || !p.fits(h, n) {
		return false
	}
	p.add(h, n)
	return true
}

// fits reports whether there is room for some bytes more of a hold.
func (p *part) fits(h *Hold, n int64) bool {
	room := p.limit
	if h.bytes+n > smallSize {
		room -= int64(smallShare * float64(p.limit))
	}
	return p.used+n <= room || p.used <= h.bytes // alone, it may have it all
}

func (p *part) add(h *Hold, n int64) {
	p.used += n
	h.bytes += n
}

// grantWaiting gives room to those that wait, in order.
func (p *part) grantWaiting() {
	for e := p.waiting.Front(); e != nil; {
		h, next := e.Value.(*Hold), e.Next()
		if p.grant(h, h.wants) {
			h.finish(p, nil)
		}
		e = next
	}
}

// grantParts gives room to those that hold a part and fit, though others wait before them, and reports whether there were any.
// If all that hold a part wait, the others' turn doesn't come before theirs.
func (p *part) grantParts() (any bool) {
	for e := p.waiting.Front(); e != nil; {
		h, next := e.Value.(*Hold), e.Next()
		if h.bytes > 0 && p.fits(h, h.wants) {
			p.add(h, h.wants)
			h.finish(p, nil)
			any = true
		}
		e = next
	}
	return any
}

// finish ends the wait of a hold.
func (h *Hold) finish(p *part, cause error) {
	if cause != nil {
		h.cause = cause
	}
	p.leave(h)
	close(h.granted)
}

func (p *part) leave(h *Hold) {
	p.waiting.Remove(h.queue)
	h.queue, h.wants = nil, 0
}

// makeRoom chooses whom to end while somebody waits, and returns the call that ends it.
func (b *Budget) makeRoom(p *part) (end func()) {
	return b.tellShort(p, b.chooseToEnd(p))
}

// chooseToEnd returns the call that ends whom makeRoom chooses.
func (b *Budget) chooseToEnd(p *part) (end func()) {
	none := func() {}
	if p.waiting.Len() == 0 || p.ending() {
		return none
	}
	if h := b.mostExcessive(p); h != nil {
		return b.end(p, h, ErrOversized)
	}
	if h, d := b.idlest(p); h != nil {
		return b.giveUp(p, h, d)
	}
	if p.stalled() && !p.grantParts() {
		return b.end(p, p.newestWaiting(), ErrFull)
	}
	return none
}

// ending reports whether a hold that was ended hasn't been released: its bytes come back soon. One that is whole by then doesn't
// end: it is released when its caller has it.
func (p *part) ending() bool {
	for e := p.holds.Front(); e != nil; e = e.Next() {
		if h := e.Value.(*Hold); h.cause != nil && h.bytes > 0 && (!h.complete || h.givenUp) {
			return true
		}
	}
	return false
}

// mostExcessive returns the hold that is furthest beyond the usual size of its service; nil: none is far beyond.
func (b *Budget) mostExcessive(p *part) *Hold {
	var most *Hold
	worst := float64(excessive)
	for e := p.holds.Front(); e != nil; e = e.Next() {
		h := e.Value.(*Hold)
		if h.o.End == nil || h.complete || h.bytes <= smallSize || b.clock.Now().Before(h.sparedUntil) {
			continue
		}
		if x := float64(h.bytes+h.wants) / b.usualSize(h.o.Service); x > worst {
			most, worst = h, x
		}
	}
	return most
}

// stalled reports whether all that hold bytes wait for more.
func (p *part) stalled() bool {
	for e := p.holds.Front(); e != nil; e = e.Next() {
		if h := e.Value.(*Hold); h.bytes > 0 && h.queue == nil {
			return false
		}
	}
	return true
}

// newestWaiting returns the newest hold of those that hold a part and wait for the rest.
func (p *part) newestWaiting() *Hold {
	for e := p.holds.Back(); e != nil; e = e.Prev() {
		if h := e.Value.(*Hold); h.queue != nil && h.bytes > 0 {
			return h
		}
	}
	return p.waiting.Back().Value.(*Hold)
}

// end ends a hold. The budget's lock is held; the call that is returned is made without it.
func (b *Budget) end(p *part, h *Hold, cause error) func() {
	v := Ended{Service: h.o.Service, Upstream: h.o.Upstream, Bytes: h.bytes, Usual: int64(b.usualSize(h.o.Service)), Used: p.used, Limit: p.limit, Untaken: h.untaken}
	h.cause = cause
	if h.queue != nil {
		h.finish(p, cause)
	}
	stop := h.o.End // as of now: what is whole by the time of the call isn't given up for having been excessive
	return func() {
		metrics.Add("ended_"+h.o.Kind.String(), 1)
		if b.ended != nil && h.o.Kind == KindResponse {
			b.ended(v)
		}
		if stop != nil {
			stop(cause)
		}
	}
}
