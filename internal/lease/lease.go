// Package lease holds a right that one process at a time may have, such as giving a
// hall's orders to the cloud.
//
// The platform lets a lease lapse when it isn't renewed, but a holder that was
// paused doesn't notice that by itself. Two things keep it harmless. The holder
// measures on its own monotonic clock, from before the last renewal that succeeded,
// and stops itself well before the platform would. And since it may be paused
// between looking at its clock and giving an order, every order carries the fencing
// token, the revision at which it took the lease's key: whoever checks it refuses the
// late order of an earlier holder, and to whoever doesn't only orders that are harmless
// when late are given.
//
// A process that finds its own VM's name at the key takes it over at once: one VM runs
// one process at a time, so the one that took it is dead. The token rises with it. The
// others watch the key, and try when it goes.
//
// Weighed: looking at the key every second or two instead of watching it. Each look is a
// call that is paid for, and a successor comes later by half of the pause.
package lease

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/timer"
)

var errs = errorx.NewNamespace("lease")

// ErrTaken says that another process has it.
var ErrTaken = errs.NewType("taken").New("another process holds the lease")

// safety is the part of the lease's time after which the holder stops itself.
const safetyShare = 0.5

// Lease is one process's side of a lease. It is safe for concurrent use.
type Lease struct {
	kv    store.KV
	clock *timer.Service
	key   string
	owner string
	ttl   time.Duration
	mu    sync.Mutex
	id    int64
	token int64
	validUntil time.Time
	seenRevision  int64           // the store's revision at which another was last seen to hold it
	onError func(err error) // may be nil
}

// New returns a lease that isn't held. ttl is in whole seconds.
func New(kv store.KV, clock *timer.Service, key, owner string, ttl time.Duration) *Lease {
	return &Lease{kv: kv, clock: clock, key: key, owner: owner, ttl: ttl}
}

// Observe names what is called with each error that a step of Run ends with, ErrTaken
// included. It is set before Run.
func (l *Lease) OnError(f func(err error)) { l.onError = f }

// Token returns the fencing token, and whether the lease is held by the holder's own
// clock. It is asked for right before each order.
func (l *Lease) Token() (int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.token, l.token != 0 && l.clock.Now().Before(l.validUntil)
}

// Run renews the lease, and takes it when it can and wanted says so, until the context
// ends.
func (l *Lease) Run(ctx context.Context, wanted func() bool) {
	for ctx.Err() == nil {
		pause := min(l.ttl/checksPerTTL, unwantedPause)
		if l.held() || wanted() {
			pause = l.ttl / checksPerTTL
			err := l.Step(ctx)
			if err != nil && l.onError != nil {
				l.onError(err)
			}
			if errors.Is(err, ErrTaken) {
				pause = l.awaitFree(ctx)
			}
		}
		if l.held() {
			pause = l.ttl / renewalsPerTTL
		}
		_ = l.clock.Sleep(ctx, pause) // the loop's condition sees the end
	}
	l.release()
}

const (
	// renewals is how often in its time a holder renews: twice may fail before it stops.
	renewalsPerTTL = 6
	// looks is how often in that time the others look whether it is free, where the key
	// can't be watched.
	checksPerTTL = 2
	// keyWait is how long a watch of the key may wait. A watch that is silently dead delays a
	// successor; a holder that dies is rare enough.
	watchTimeout = 6 * time.Second
	// unwantedPause is the pause of a process that doesn't want the lease yet, such as one
	// that is still starting. It makes no calls.
	unwantedPause = 50 * time.Millisecond
	// tryWithin spreads the tries of those that see the key go, so that most of them find
	// it taken by a read instead of a lost race: some times what taking it takes.
	retryJitter = 100 * time.Millisecond
)

// errFree ends a watch that has seen the key go.
var errFree = errs.NewType("free").New("the lease is free")

// awaitFree watches the key until it goes, and returns the pause before the next try.
func (l *Lease) awaitFree(ctx context.Context) time.Duration {
	span := store.PrefixSpan(l.key, l.seenRevision+1)
	span.Wait = watchTimeout
	err := l.kv.Watch(ctx, span, func(b store.WatchBatch) error {
		for _, e := range b.Events {
			if e.Deleted && e.Pair.Key == l.key {
				return errFree
			}
		}
		return nil
	})
	if errors.Is(err, errFree) {
		return rand.N(retryJitter)
	}
	return l.ttl / checksPerTTL
}

func (l *Lease) held() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.id != 0
}

// Step takes or renews the lease once.
func (l *Lease) Step(ctx context.Context) error {
	l.mu.Lock()
	id := l.id
	l.mu.Unlock()
	if id == 0 {
		return l.acquire(ctx)
	}
	// The time runs from before the call: the platform may have renewed at once, or
	// only just before it answered.
	before := l.clock.Now()
	_, err := l.kv.KeepAlive(ctx, id)
	switch {
	case err == nil:
		l.mu.Lock()
		l.validUntil = before.Add(time.Duration(safetyShare * float64(l.ttl)))
		l.mu.Unlock()
	case errors.Is(err, store.ErrLeaseGone):
		l.clear()
	}
	return err
}

// take looks first: a look is a read, and a try that fails is three writes.
func (l *Lease) acquire(ctx context.Context) error {
	seen, err := l.kv.Range(ctx, l.key, "")
	if err != nil {
		return err
	}
	l.seenRevision = seen.Revision
	unchanged, dead := store.Absent(l.key), int64(0)
	if len(seen.Pairs) > 0 {
		v := seen.Pairs[0]
		if string(v.Value) != l.owner {
			return ErrTaken
		}
		unchanged, dead = store.Unmodified(l.key, v.Modified), v.Lease
	}
	before := l.clock.Now()
	id, err := l.kv.Grant(ctx, l.ttl)
	if err != nil {
		return err
	}
	r, err := l.kv.Txn(ctx, store.Txn{
		If:   []store.Compare{unchanged},
		Then: []store.Op{{Kind: store.OpPut, Key: l.key, Value: []byte(l.owner), Lease: id}},
	})
	switch {
	case errors.Is(err, store.ErrUnknown):
		err = l.readBack(ctx, id, before)
	case err == nil && r.Succeeded:
		l.setHeld(id, r.Revision, before)
	default:
		_ = l.kv.Revoke(ctx, id) // else it lapses by itself
		if err == nil {
			err = ErrTaken
		}
	}
	if err == nil && dead != 0 {
		_ = l.kv.Revoke(ctx, dead) // else it lapses by itself
	}
	return err
}

// readBack settles a take that got no answer: the key tells by its lease.
func (l *Lease) readBack(ctx context.Context, id int64, before time.Time) error {
	r, err := l.kv.Range(ctx, l.key, "")
	if err != nil {
		return err // the lease lapses by itself
	}
	if len(r.Pairs) == 1 && r.Pairs[0].Lease == id && string(r.Pairs[0].Value) == l.owner {
		l.setHeld(id, r.Pairs[0].Modified, before)
		return nil
	}
	_ = l.kv.Revoke(ctx, id)
	return ErrTaken
}

func (l *Lease) setHeld(id, token int64, before time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.id, l.token = id, token
	l.validUntil = before.Add(time.Duration(safetyShare * float64(l.ttl)))
}

func (l *Lease) clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.id, l.token = 0, 0
}

// Forget drops the lease without a word to the store, which has lost it: who takes it next may do so
// at once.
func (l *Lease) Forget() { l.clear() }

// Resign gives the lease up at once; it may be taken again later.
func (l *Lease) Resign() { l.release() }

const releaseTimeout = time.Second

func (l *Lease) release() {
	l.mu.Lock()
	id := l.id
	l.mu.Unlock()
	l.clear()
	if id == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	_ = l.kv.Revoke(ctx, id)
}
