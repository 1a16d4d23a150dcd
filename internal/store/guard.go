package store

import (
	"context"
	"errors"
	"expvar"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"spurhall.example/spurhall/internal/timer"
)

// This file limits the rate of one node's calls to its share of the platform's rate, and has a
// circuit breaker that spares a platform that is down.

// Calls counts the calls made to the platform, by kind, and those not made because the
// node's rate was exceeded or the breaker was open.
var Calls = expvar.NewMap("platform_calls")

// callsByKey counts the calls made to the store by verb and key. Each call has a price, and this
// metric shows what causes the cost.
var callsByKey = expvar.NewMap("store_calls")

// countKey counts a call for a key. Keys that differ only in a name at their end, such as a
// node's, are counted together.
func countKey(verb, key string) {
	if i := strings.LastIndexByte(key, '/'); i == len(key)-1 || strings.Count(key, "/") > 1 {
		key = key[:max(i, 0)]
	}
	callsByKey.Add(verb+":"+key, 1)
}

// Guard is the rate limiter and circuit breaker for the store calls of one node.
type Guard struct {
	clock      *timer.Service
	reads      *rate.Limiter
	writes     *rate.Limiter
	mu         sync.Mutex
	failures   int
	openUntil  time.Time
	up         bool
	contact    time.Time     // when the latest call that was answered was made, or a watch's response arrived
	maxBackoff time.Duration // of the breaker's open time
	untrusted  chan struct{} // closed and replaced when a call fails
}

// GuardOptions configures a Guard. Rates are calls per second of this node.
type GuardOptions struct {
	Reads  float64
	Writes float64
	// MaxBackoff is the longest time that the breaker stays open; 0 means two seconds.
	MaxBackoff time.Duration
}

// NewGuard returns a guard. The platform counts as down until the first call succeeds.
func NewGuard(clock *timer.Service, o GuardOptions) *Guard {
	if o.MaxBackoff == 0 {
		o.MaxBackoff = backoffLimit
	}
	return &Guard{
		maxBackoff: o.MaxBackoff,
		untrusted:  make(chan struct{}),
		clock:      clock,
		reads:      rate.NewLimiter(rate.Limit(o.Reads), int(o.Reads)+8),
		writes:     rate.NewLimiter(rate.Limit(o.Writes), int(o.Writes)+8),
	}
}

// Up reports whether the platform is up, as judged by the latest calls.
func (g *Guard) Up() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.up
}

// Contact returns up to when the platform is known to have been within reach: when the latest call was made that was
// answered, or when a watch's response arrived.
func (g *Guard) Contact() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.contact
}

// SetRates changes the node's rates, which depend on the number of nodes.
func (g *Guard) SetRates(reads, writes float64) {
	g.reads.SetLimit(rate.Limit(reads))
	g.writes.SetLimit(rate.Limit(writes))
}

// The breaker opens after breakerThreshold consecutive failures, for a jittered time that
// doubles from backoffStart to a limit. It doesn't open at the first failure, so that one
// lost response doesn't stop the writes that follow.
const (
	breakerThreshold = 3
	backoffStart     = 100 * time.Millisecond
	backoffLimit     = 2 * time.Second
)

func (g *Guard) open() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.clock.Now().Before(g.openUntil)
}

// recordResult records the result of a call that was made at a time. A failure ends all watches, since a waiting watch
// can't distinguish an unresponsive store from one without changes. ErrBudget doesn't: a store
// that rejects a call for its rate is reachable, and restarting all watches would add calls.
func (g *Guard) recordResult(sent time.Time, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	failed := g.updateBreaker(err)
	if err == nil && sent.After(g.contact) {
		g.contact = sent
	}
	if failed && !errors.Is(err, ErrBudget) {
		close(g.untrusted)
		g.untrusted = make(chan struct{})
	}
}

// updateBreaker opens the breaker after breakerThreshold consecutive failures, and reports whether
// err is a failure.
func (g *Guard) updateBreaker(err error) bool {
	if err == nil || errors.Is(err, ErrLeaseGone) || errors.Is(err, ErrCompacted) || errors.Is(err, ErrNotTaken) {
		g.failures, g.up = 0, true
		return false
	}
	if errors.Is(err, context.Canceled) {
		return false
	}
	g.failures++
	g.up = g.up && g.failures < breakerThreshold
	if g.failures >= breakerThreshold {
		d := backoffStart << min(g.failures-breakerThreshold, 5)
		d = min(d, g.maxBackoff)
		g.openUntil = g.clock.Now().Add(d/2 + rand.N(d/2+1))
	}
	return true
}

// watchesUntrusted returns a channel that is closed when the next call fails.
func (g *Guard) watchesUntrusted() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.untrusted
}

func (g *Guard) admit(kind string, l *rate.Limiter) error {
	if g.open() {
		Calls.Add("broken", 1)
		return ErrUnavailable
	}
	if l != nil && !l.Allow() {
		Calls.Add("over_budget", 1)
		return ErrBudget
	}
	Calls.Add(kind, 1)
	return nil
}

// Wrap returns kv behind the guard. A watch counts as one read when it starts, and ends when any
// other call or another watch fails. Lease keep-alives are never rejected, since losing a lease
// costs more than the call.
func (g *Guard) Wrap(kv KV) KV {
	return KV{
		Range: func(ctx context.Context, key, end string) (RangeResult, error) {
			if err := g.admit("reads", g.reads); err != nil {
				return RangeResult{}, err
			}
			countKey("range", key)
			sent := g.clock.Now()
			r, err := kv.Range(ctx, key, end)
			g.recordResult(sent, err)
			return r, err
		},
		StaleRange: func(ctx context.Context, prefix string) (RangeResult, error) {
			if err := g.admit("glances", nil); err != nil {
				return RangeResult{}, err
			}
			countKey("glance", prefix)
			sent := g.clock.Now()
			r, err := kv.StaleRange(ctx, prefix)
			g.recordResult(sent, err)
			return r, err
		},
		Txn: func(ctx context.Context, t Txn) (TxnResult, error) {
			if err := g.admit("writes", g.writes); err != nil {
				return TxnResult{}, err
			}
			if len(t.Then) > 0 {
				countKey("txn", t.Then[0].Key)
			}
			sent := g.clock.Now()
			r, err := kv.Txn(ctx, t)
			g.recordResult(sent, err)
			return r, err
		},
		Grant: func(ctx context.Context, ttl time.Duration) (int64, error) {
			if err := g.admit("leases", nil); err != nil {
				return 0, err
			}
			countKey("grant", "")
			sent := g.clock.Now()
			id, err := kv.Grant(ctx, ttl)
			g.recordResult(sent, err)
			return id, err
		},
		KeepAlive: func(ctx context.Context, lease int64) (time.Duration, error) {
			Calls.Add("leases", 1)
			countKey("keep_alive", "")
			sent := g.clock.Now()
			d, err := kv.KeepAlive(ctx, lease)
			g.recordResult(sent, err)
			return d, err
		},
		Revoke: func(ctx context.Context, lease int64) error {
			countKey("revoke", "")
			return kv.Revoke(ctx, lease)
		},
		Watch: func(ctx context.Context, s Span, f func(WatchBatch) error) error {
			if err := g.admit("watches", g.reads); err != nil {
				return err
			}
			return g.watch(ctx, kv, s, f)
		},
	}
}

// watch runs a watch that ends with ErrWatchUntrusted when any other call fails.
func (g *Guard) watch(ctx context.Context, kv KV, s Span, f func(WatchBatch) error) error {
	c, cancel := context.WithCancel(ctx)
	defer cancel()
	untrusted, ended := false, make(chan struct{})
	failed := g.watchesUntrusted()
	go func() {
		defer close(ended)
		select {
		case <-failed:
			untrusted = true
			cancel()
		case <-c.Done():
		}
	}()
	var callback error // the error of f, which doesn't concern the store
	countKey("watch", s.Key)
	err := kv.Watch(c, s, func(b WatchBatch) error {
		countKey("watch", s.Key) // each response is followed by another call
		g.recordResult(g.clock.Now(), nil)
		callback = f(b)
		return callback
	})
	cancel()
	<-ended
	if ctx.Err() != nil || callback != nil && errors.Is(err, callback) {
		return err
	}
	if untrusted {
		return ErrWatchUntrusted
	}
	g.recordResult(time.Time{}, err)
	return err
}
