// Package accept accepts callers' connections, no more of them than a process can serve, and reports
// when it can't accept any. The balancer checks another listener than the callers', so a node whose
// callers' listener fails would continue to get callers. This happens when the process is out of
// descriptors, or when the listener was closed by other code. A paused process answers the balancer as
// little as its callers.
//
// A node doesn't run out of descriptors by itself, since it accepts only as many callers as it can
// forward. Without descriptors, it would leave connections in the listener's queue for seconds; their
// requests would be read and forwarded after their callers have left.
//
// In a planned stop, Drain closes callers' connections, each of them between two requests (caller.go).
package accept

import (
	"context"
	"crypto/tls"
	"errors"
	"expvar"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/catalog"
	"spurhall.example/spurhall/internal/timer"
)

const (
	// FailureHold is how long a node stays unready after its callers' listener failed. net/http retries
	// after a second at most, and a listener without calls shows no failure meanwhile.
	FailureHold = 2 * time.Second
	// reservedDescriptors is the number of a process's descriptors that the platform reserves, plus
	// those that a node needs for listeners, other nodes and the store.
	reservedDescriptors = 200 + 200
	// callersShare is the part of the other descriptors that callers' connections may use: a forwarded
	// request also needs one to an upstream, and some of the upstream connections are idle.
	callersShare = 0.45
	waitPoll     = 20 * time.Millisecond
)

// MaxCallers is the maximum number of callers' connections of a process that has so many descriptors; 0: no limit.
func MaxCallers(descriptors int) int {
	return int(callersShare * float64(max(0, descriptors-reservedDescriptors)))
}

// Listener records when accepting a connection failed. Above the limit of connections, one that holds a place without a whole
// request gives way (yield.go); if there is none, the new one is closed at once: its caller tries another node before
// anything that it sent was read.
type Listener struct {
	net.Listener
	Identify func(h http.Header) string // the id of a request; nil: nobody knows

	clock    *timer.Service
	log      *zap.Logger
	maxOpen  int          // connections; 0: no limit
	counter  *expvar.Int  // of its connections
	failedAt atomic.Int64 // nanoseconds of the clock; 0: never
	closed   atomic.Bool
	draining atomic.Bool
	look     look        // of Accept
	ended    atomic.Bool // nothing is accepted any more
	tls      *tls.Config // nil: none
	mu       sync.Mutex
	callers  map[*callerConn]bool
	held     int64 // bytes of memory that connections hold
	leaving  int64 // of these, by connections that give way
	maxHeld  int64 // 0: no bound
	messages bool  // bodies are counted, too
	released *sync.Cond
	limits   catalog.Limits
	yieldLog yieldLog
}

// New returns a listener of a process that has so many descriptors; 0: no limit.
func New(l net.Listener, clock *timer.Service, log *zap.Logger, descriptors int) *Listener {
	v := NewBounded(l, clock, log, MaxCallers(descriptors))
	v.counter = callersOpen
	return v
}

// nodePlaces is how many connections other nodes may have besides those on behalf of callers: a few calls in progress from each
// that calls this one at the same time. Idle ones give way.
const nodePlaces = 100

// NewForNodes returns a listener for other nodes, of a process that serves so many callers of theirs and has so much memory, in bytes.
func NewForNodes(l net.Listener, clock *timer.Service, log *zap.Logger, callers int, memory int64) *Listener {
	v := NewBounded(l, clock, log, callers+nodePlaces)
	v.SetMessageMemory(int64(MessageShare * float64(memory)))
	return v
}

// NewBounded returns a listener that takes so many connections; 0: no limit.
func NewBounded(l net.Listener, clock *timer.Service, log *zap.Logger, places int) *Listener {
	v := &Listener{Listener: l, clock: clock, log: log, maxOpen: places, counter: othersOpen, callers: make(map[*callerConn]bool)}
	v.released = sync.NewCond(&v.mu)
	return v
}

const (
	// watcherPlaces is how many connections those who watch a process may have: the balancer, and some operators.
	watcherPlaces = 64
	// watcherHeads is what the heads of their requests may take, in bytes: one of the largest size.
	watcherHeads = 1 << 20
)

// NewForWatchers returns a listener for those who watch a process.
func NewForWatchers(l net.Listener, clock *timer.Service, log *zap.Logger) *Listener {
	v := NewBounded(l, clock, log, watcherPlaces)
	v.SetHeadMemory(watcherHeads)
	return v
}

// UseTLS has the listener's connections use TLS if t is not nil. It is called before the listener is served.
func (l *Listener) UseTLS(t *tls.Config) { l.tls = t }

// Accept returns the next connection within the limit.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		switch {
		case l.draining.Load() && errors.Is(err, os.ErrDeadlineExceeded) && l.look.next(l.clock.Now(), l.Listener):
			_ = l.setDeadline(l.clock.Wall().Add(lastLook)) // fails only if it is closed
		case l.draining.Load() && (errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed)):
			l.ended.Store(true)
			return nil, http.ErrServerClosed
		case errors.Is(err, net.ErrClosed):
			l.closed.Store(true) // the server on this listener reports it
			return nil, err
		case err != nil:
			l.recordFailure("accept_failed", zap.String("cause", err.Error()))
			return nil, err
		case l.maxOpen > 0 && l.Open() >= l.maxOpen && !l.makePlace():
			callersRejected.Add(1)
			l.recordFailure("callers_turned_away", zap.Int("open", l.Open()))
			_ = c.Close()
		default:
			return l.add(c), nil
		}
	}
}

func (l *Listener) add(c net.Conn) *callerConn {
	if l.tls != nil {
		c = tls.Server(c, l.tls)
	}
	v := &callerConn{Conn: c, listener: l, standing: standing{since: l.clock.Now()}}
	l.mu.Lock()
	l.callers[v] = true
	l.mu.Unlock()
	l.counter.Add(1)
	v.drain()
	return v
}

func (l *Listener) remove(c *callerConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.callers, c)
	if !c.standing.serving {
		l.release(c)
	}
	l.counter.Add(-1)
}

// Drain stops accepting, closes the connections without a request, and each other one once its request has its
// response. Accept then returns http.ErrServerClosed, with which the server on this listener closes it and ends.
func (l *Listener) Drain() error {
	l.draining.Store(true)
	err := l.setDeadline(longAgo)
	for _, c := range l.open() {
		c.drain()
	}
	return err
}

// open returns the callers' connections.
func (l *Listener) open() []*callerConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.callers))
}

// setDeadline sets the deadline of Accept, so that what waits in the kernel's queue is still accepted. A listener
// that has none is closed.
func (l *Listener) setDeadline(t time.Time) error {
	if v, ok := l.Listener.(interface{ SetDeadline(t time.Time) error }); ok {
		return v.SetDeadline(t)
	}
	return l.Listener.Close()
}

// Close closes the listener.
func (l *Listener) Close() error {
	err := l.Listener.Close()
	l.ended.Store(true)
	return err
}

// Drained reports whether nothing is accepted any more and all callers' connections are closed.
func (l *Listener) Drained() bool { return l.ended.Load() && l.Open() == 0 }

// DrainAll drains listeners that are served, and waits until each is drained or the context ends.
func DrainAll(ctx context.Context, list ...*Listener) error {
	var all []error
	for _, l := range list {
		all = append(all, l.Drain())
	}
	for _, l := range list {
		all = append(all, l.wait(ctx))
	}
	return errors.Join(all...)
}

func (l *Listener) wait(ctx context.Context) error {
	for !l.Drained() {
		if err := l.clock.Sleep(ctx, waitPoll); err != nil {
			return err
		}
	}
	return nil
}

// recordFailure records that a connection couldn't be accepted, and logs it unless the last failure was
// recent.
func (l *Listener) recordFailure(event string, f ...zap.Field) {
	now := l.clock.Now()
	if !l.Failing(now) {
		l.log.Warn(event, append(f, zap.String("address", l.Addr().String()))...)
	}
	l.failedAt.Store(now.UnixNano())
}

// Open returns the number of callers' connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.callers)
}

// Failing reports whether the listener failed recently, or is closed.
func (l *Listener) Failing(now time.Time) bool {
	at := l.failedAt.Load()
	return l.closed.Load() || at != 0 && now.Sub(time.Unix(0, at)) < FailureHold
}

var (
	callersOpen     = expvar.NewInt("callers_connected")
	othersOpen      = expvar.NewInt("others_connected") // other nodes, and who watches this one
	callersRejected = expvar.NewInt("callers_turned_away")
	callersCut      = expvar.NewInt("callers_cut")
	callersCrossed  = expvar.NewInt("callers_crossed")
	callersYielded  = expvar.NewMap("callers_yielded") // by what ran short
)
