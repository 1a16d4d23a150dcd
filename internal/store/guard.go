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

// This file keeps one node from using more of the platform than its share, and
// from hammering a platform that is down.

// Calls counts the calls made to the platform, by kind, and those not made
// because the budget was spent or the breaker was open.
var Calls = expvar.NewMap("platform_calls")

// callsByKey counts the calls made to the store by verb and by what they are about: each
// call is paid for, and this tells for what.
var callsByKey = expvar.NewMap("store_calls")

// countKey counts a call about a key. Keys that end in a name of their own, such as a
// node's, count as one.
func countKey(verb, key string) {
	if i := strings.LastIndexByte(key, '/'); i == len(key)-1 || strings.Count(key, "/") > 1 {
		key = key[:max(i, 0)]
	}
	callsByKey.Add(verb+":"+key, 1)
}

// Guard limits and breaks the calls of one node.
type Guard struct {
	clock  *timer.Service
	reads  *rate.Limiter
	writes *rate.Limiter
	mu     sync.Mutex
	failures  int
	openUntil time.Time
	up     bool
	maxBackoff  time.Duration // of the breaker's open time
	untrusted  chan struct{} // closed, and made anew, when a call fails
}

// GuardOptions sets a guard. Rates are calls a second for this node alone.
type GuardOptions struct {
	Reads  float64
	Writes float64
	// Backoff is the longest that the breaker stays open; 0 means two seconds.
	MaxBackoff time.Duration
}

// NewGuard returns a guard that starts with the platform taken as down: the
// first call that succeeds says otherwise.
func NewGuard(clock *timer.Service, o GuardOptions) *Guard {
	if o.MaxBackoff == 0 {
		o.MaxBackoff = backoffLimit
	}
	return &Guard{
		maxBackoff:  o.MaxBackoff,
		untrusted:  make(chan struct{}),
		clock:  clock,
		reads:  rate.NewLimiter(rate.Limit(o.Reads), int(o.Reads)+8),
		writes: rate.NewLimiter(rate.Limit(o.Writes), int(o.Writes)+8),
	}
}

// Up tells whether the last calls succeeded.
func (g *Guard) Up() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.up
}

// SetRates changes the node's share, as nodes come and go.
func (g *Guard) SetRates(o GuardOptions) {
	g.reads.SetLimit(rate.Limit(o.Reads))
	g.writes.SetLimit(rate.Limit(o.Writes))
}

// The breaker opens after this many failures in a row, for a jittered time that
// doubles up to a limit. The first failures pass through, so that one lost
// answer doesn't stop the writers behind it.
const (
	breakerThreshold = 3
	backoffStart = 100 * time.Millisecond
	backoffLimit = 2 * time.Second
)

func (g *Guard) open() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.clock.Now().Before(g.openUntil)
}

// note takes in how a call ended. A failure casts doubt on the watches: one that waits
// for changes can't tell a store that is silent from one that has nothing to say. A store
// that turns a call away for its rate is there, and beginning all watches anew would be more
// calls.
func (g *Guard) recordResult(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.updateBreaker(err) && !errors.Is(err, ErrBudget) {
		close(g.untrusted)
		g.untrusted = make(chan struct{})
	}
}

// count opens the breaker after some failures in a row, and tells whether this was one.
func (g *Guard) updateBreaker(err error) bool {
	if err == nil || errors.Is(err, ErrLeaseGone) || errors.Is(err, ErrCompacted) {
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

// doubted is closed when the next call fails.
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

// Wrap returns kv behind the guard. A watch counts as one read when it begins, and ends
// when any other call fails or another watch does;
// lease keep-alives are never refused, since losing a lease costs more than the
// call.
func (g *Guard) Wrap(kv KV) KV {
	return KV{
		Range: func(ctx context.Context, key, end string) (RangeResult, error) {
			if err := g.admit("reads", g.reads); err != nil {
				return RangeResult{}, err
			}
			countKey("range", key)
			r, err := kv.Range(ctx, key, end)
			g.recordResult(err)
			return r, err
		},
		StaleRange: func(ctx context.Context, prefix string) (RangeResult, error) {
			if err := g.admit("glances", nil); err != nil {
				return RangeResult{}, err
			}
			countKey("glance", prefix)
			r, err := kv.StaleRange(ctx, prefix)
			g.recordResult(err)
			return r, err
		},
		Txn: func(ctx context.Context, t Txn) (TxnResult, error) {
			if err := g.admit("writes", g.writes); err != nil {
				return TxnResult{}, err
			}
			if len(t.Then) > 0 {
				countKey("txn", t.Then[0].Key)
			}
			r, err := kv.Txn(ctx, t)
			g.recordResult(err)
			return r, err
		},
		Grant: func(ctx context.Context, ttl time.Duration) (int64, error) {
			if err := g.admit("leases", nil); err != nil {
				return 0, err
			}
			countKey("grant", "")
			id, err := kv.Grant(ctx, ttl)
			g.recordResult(err)
			return id, err
		},
		KeepAlive: func(ctx context.Context, lease int64) (time.Duration, error) {
			Calls.Add("leases", 1)
			countKey("keep_alive", "")
			d, err := kv.KeepAlive(ctx, lease)
			g.recordResult(err)
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

// watch watches until a call fails.
func (g *Guard) watch(ctx context.Context, kv KV, s Span, f func(WatchBatch) error) error {
	c, cancel := context.WithCancel(ctx)
	defer cancel()
	doubted, ended := false, make(chan struct{})
	doubt := g.watchesUntrusted()
	go func() {
		defer close(ended)
		select {
		case <-doubt:
			doubted = true
			cancel()
		case <-c.Done():
		}
	}()
	var own error // of f, which says nothing of the store
	countKey("watch", s.Key)
	err := kv.Watch(c, s, func(b WatchBatch) error {
		countKey("watch", s.Key) // each answer is followed by another call
		g.recordResult(nil)
		own = f(b)
		return own
	})
	cancel()
	<-ended
	if ctx.Err() != nil || own != nil && errors.Is(err, own) {
		return err
	}
	if doubted {
		return ErrWatchUntrusted
	}
	g.recordResult(err)
	return err
}
