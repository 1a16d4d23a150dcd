// Package accept takes callers' connections, no more of them than a process can serve, and tells
// when it can't take any: the balancer asks another listener than the callers', so a node whose
// callers' listener fails would go on getting callers. That is one out of descriptors, or whose
// listener was closed under it. One that is paused answers the balancer as little as its callers.
//
// A node doesn't come to that by itself: it takes only as many callers as it can send on. Out of
// descriptors, it would leave connections for seconds in the listener's queue; their requests would be read
// when their callers have left, and sent on.
package accept

import (
	"errors"
	"expvar"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/timer"
)

const (
	// Keeps is how long a node stays unready after its callers' listener failed. net/http
	// tries again after a second at most; a listener that nobody calls meanwhile shows nothing.
	FailureHold = 2 * time.Second
	// ownDescriptors is what the platform keeps for itself of a process's descriptors, and what
	// a node needs for listeners, other nodes and the store.
	reservedDescriptors = 200 + 200
	// callersShare is the part of the other descriptors that callers' connections may take: a
	// request that is sent on needs one to an upstream, too, and some of these are idle.
	callersShare = 0.45
)

// mostCallers is how many connections of callers a process may have; 0: as many as come.
func maxCallers(descriptors int) int64 {
	return int64(callersShare * float64(max(0, descriptors-reservedDescriptors)))
}

// Listener notes when it failed to take a connection, and closes those that are too many
// at once: their callers try another node before they have sent anything that was read.
type Listener struct {
	net.Listener
	clock  *timer.Service
	log    *zap.Logger
	maxOpen   int64 // connections; 0: any number
	open   atomic.Int64
	failedAt atomic.Int64 // nanoseconds of the clock; 0: it never did
	closed atomic.Bool
}

// New returns a listener of a process that has so many descriptors; 0: any number.
func New(l net.Listener, clock *timer.Service, log *zap.Logger, descriptors int) *Listener {
	return &Listener{Listener: l, clock: clock, log: log, maxOpen: maxCallers(descriptors)}
}

// Accept takes a connection.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			l.closed.Store(true) // whoever serves on it says so
			return nil, err
		case err != nil:
			l.recordFailure("accept_failed", zap.String("cause", err.Error()))
			return nil, err
		case l.maxOpen > 0 && l.open.Load() >= l.maxOpen:
			callersRejected.Add(1)
			l.recordFailure("callers_turned_away", zap.Int64("open", l.open.Load()))
			_ = c.Close()
		default:
			callersOpen.Set(l.open.Add(1))
			return &callerConn{Conn: c, l: l}, nil
		}
	}
}

// fail notes that a connection couldn't be taken, with a line if the last one was a while ago.
func (l *Listener) recordFailure(event string, f ...zap.Field) {
	now := l.clock.Now()
	if !l.Failing(now) {
		l.log.Warn(event, append(f, zap.String("address", l.Addr().String()))...)
	}
	l.failedAt.Store(now.UnixNano())
}

// callerConn is a caller's connection, which counts until it is closed.
type callerConn struct {
	net.Conn
	l    *Listener
	once sync.Once
}

// Close closes the connection.
func (c *callerConn) Close() error {
	c.once.Do(func() { callersOpen.Set(c.l.open.Add(-1)) })
	return c.Conn.Close()
}

// Failing tells whether it failed a moment ago, or is closed.
func (l *Listener) Failing(now time.Time) bool {
	at := l.failedAt.Load()
	return l.closed.Load() || at != 0 && now.Sub(time.Unix(0, at)) < FailureHold
}

var (
	callersOpen       = expvar.NewInt("callers_connected")
	callersRejected = expvar.NewInt("callers_turned_away")
)
