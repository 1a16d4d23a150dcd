// Package lease grants a right that one process at a time may have, such as giving a hall's orders to
// the cloud.
//
// The platform lets a lease expire when it isn't renewed, but a paused holder doesn't notice that by
// itself. Two measures keep such a holder harmless. It measures on its own monotonic clock, from before
// the last successful renewal, and stops well before the platform would expire the lease. And since it
// may be paused between reading its clock and giving an order, every order carries the fencing token,
// the revision at which the holder wrote the lease's key: a receiver that checks the token rejects the
// late order of an earlier holder, and a receiver that doesn't is given only orders that are harmless
// when late.
//
// A process that finds its own VM's name at the key takes the lease over at once: one VM runs one
// process at a time, so the process that took it is down. The token rises with it. The other processes
// watch the key, and try to take the lease when the key is deleted.
//
// Alternatives considered: polling the key every second or two instead of watching it. Each poll is a
// call that is paid for, and a successor takes over later by half of the interval.
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

// ErrTaken reports that another process holds the lease.
var ErrTaken = errs.NewType("taken").New("another process holds the lease")

// safetyShare is the part of the lease's TTL after which the holder stops itself.
const safetyShare = 0.5

// Lease is one process's side of a lease. It is safe for concurrent use.
type Lease struct {
	kv           store.KV
	clock        *timer.Service
	key          string
	owner        string
	ttl          time.Duration
	mu           sync.Mutex
	id           int64
	token        int64
	validUntil   time.Time
	seenRevision int64           // the store's revision at which another process was last seen to hold it
	onError      func(err error) // may be nil
}

// New returns a lease that isn't held. ttl must be in whole seconds.
func New(kv store.KV, clock *timer.Service, key, owner string, ttl time.Duration) *Lease {
	return &Lease{kv: kv, clock: clock, key: key, owner: owner, ttl: ttl}
}

// OnError sets the callback for each error that a step of Run returns, ErrTaken included. It must be
// called before Run.
func (l *Lease) OnError(f func(err error)) { l.onError = f }

// Token returns the fencing token, and whether the lease is held by the holder's own clock. Callers ask
// right before each order.
func (l *Lease) Token() (int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.token, l.token != 0 && l.clock.Now().Before(l.validUntil)
}

// Run renews the lease, and takes it when it is free and wanted returns true, until the context ends.
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
		_ = l.clock.Sleep(ctx, pause) // the loop's condition checks the context
	}
	l.release()
}

const (
	// renewalsPerTTL is how often a holder renews within a TTL: two renewals may fail before it stops.
	renewalsPerTTL = 6
	// checksPerTTL is how often within a TTL the other processes check whether the lease is free, where
	// the key can't be watched.
	checksPerTTL = 2
	// watchTimeout bounds one watch of the key. A watch whose connection is lost without notice delays
	// a successor; holders crash rarely enough for that.
	watchTimeout = 6 * time.Second
	// unwantedPause is the poll interval of a process that doesn't want the lease yet, such as one that
	// is still starting. It makes no calls.
	unwantedPause = 50 * time.Millisecond
	// retryJitter spreads the attempts of the processes that see the key deleted, so that most of them
	// find it taken by a read instead of a lost race: a few times as long as it takes to take the
	// lease.
	retryJitter = 100 * time.Millisecond
)

// errFree ends a watch that has seen the deletion of the key.
var errFree = errs.NewType("free").New("the lease is free")

// awaitFree watches the key until it is deleted, and returns the pause before the next attempt.
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
	// The time counts from before the call: the platform may have renewed at any time until it responded.
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

// acquire reads the key first: this is one read, while a failed attempt to take the lease is three
// writes.
func (l *Lease) acquire(ctx context.Context) error {
	seen, err := l.kv.Range(ctx, l.key, "")
	if err != nil {
		return err
	}
	l.seenRevision = seen.Revision
	unchanged, stale := store.Absent(l.key), int64(0)
	if len(seen.Pairs) > 0 {
		v := seen.Pairs[0]
		if string(v.Value) != l.owner {
			return ErrTaken
		}
		unchanged, stale = store.Unmodified(l.key, v.Modified), v.Lease
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
		_ = l.kv.Revoke(ctx, id) // on failure it expires by itself
		if err == nil {
			err = ErrTaken
		}
	}
	if err == nil && stale != 0 {
		_ = l.kv.Revoke(ctx, stale) // on failure it expires by itself
	}
	return err
}

// readBack resolves an acquire without a response: the lease id at the key shows whether it succeeded.
func (l *Lease) readBack(ctx context.Context, id int64, before time.Time) error {
	r, err := l.kv.Range(ctx, l.key, "")
	if err != nil {
		return err // the lease expires by itself
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

// Forget drops the lease without a call to the store, for a store that has lost it: the next process
// may take it at once.
func (l *Lease) Forget() { l.clear() }

// Resign gives up the lease at once; it may be taken again later.
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
