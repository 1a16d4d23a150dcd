package store

import (
	"context"
	"errors"
	"sync"
	"time"

	"spurhall.example/spurhall/internal/era"
	"spurhall.example/spurhall/internal/fault"
)

// This file puts the era before all revisions of a store that may come back from an older copy of
// itself (package era), and keeps calls that rest on an earlier era from reaching it:
//
//   - a condition on a revision of another era doesn't hold: its number may be another write's by now;
//   - a watch doesn't go on from one: what lies before its number may never have been heard;
//   - a lease of another era is gone: its id may be another's, and renewing that would keep up a
//     belief in a lease that nobody has.
//
// A call during which the era rises is treated as one whose answer was lost.

// dated is a store whose era a clock knows.
type eraStore struct {
	kv    KV
	clock *era.Tracker
	mu    sync.Mutex
	leaseEras  map[int64]int64 // by lease that was granted here: its era
}

// Dated returns a store whose revisions have their era in them. The clock hears of each answer of kv
// before kv returns it.
func WithEra(kv KV, clock *era.Tracker) KV {
	d := &eraStore{kv: kv, clock: clock, leaseEras: make(map[int64]int64)}
	r := KV{Range: d.read, Txn: d.txn, Grant: d.grant, KeepAlive: d.keepAlive, Revoke: d.revoke, Watch: d.watch}
	if kv.StaleRange != nil {
		r.StaleRange = d.staleRead
	}
	return r
}

// errRose says that the era rose during a call that changes nothing.
var errEraRose = fault.Because(ErrUnavailable, "the store came back from a copy meanwhile")

func (d *eraStore) read(ctx context.Context, key, end string) (RangeResult, error) {
	return d.readWithEra(func() (RangeResult, error) { return d.kv.Range(ctx, key, end) })
}

func (d *eraStore) staleRead(ctx context.Context, prefix string) (RangeResult, error) {
	return d.readWithEra(func() (RangeResult, error) { return d.kv.StaleRange(ctx, prefix) })
}

func (d *eraStore) readWithEra(f func() (RangeResult, error)) (RangeResult, error) {
	now := d.clock.Current()
	r, err := f()
	if err != nil {
		return r, err
	}
	if now == 0 { // the first answer says the era that it is of
		now = d.clock.Current()
	}
	if d.clock.Current() != now {
		return RangeResult{}, errEraRose
	}
	if err := d.addEra(now, &r.Revision); err != nil {
		return RangeResult{}, err
	}
	d.clock.ObserveRevision(r.Revision)
	for i := range r.Pairs {
		if err := d.addEra(now, &r.Pairs[i].Created, &r.Pairs[i].Modified); err != nil {
			return RangeResult{}, err
		}
	}
	return r, nil
}

// date turns the store's numbers into revisions.
func (d *eraStore) addEra(now int64, numbers ...*int64) error {
	for _, n := range numbers {
		r, err := era.Revision(now, *n)
		if err != nil {
			return fault.Because(ErrUnknown, "%s", fault.Reason(err))
		}
		*n = r
	}
	return nil
}

func (d *eraStore) txn(ctx context.Context, t Txn) (TxnResult, error) {
	now := d.clock.Current()
	raw := t
	raw.If = make([]Compare, len(t.If))
	for i, c := range t.If {
		if c.Target != CompareVersion {
			n, ok := era.NumberIn(now, c.Number)
			if !ok {
				return TxnResult{}, nil
			}
			c.Number = n
		}
		raw.If[i] = c
	}
	for _, o := range append(t.Then[:len(t.Then):len(t.Then)], t.Else...) {
		if o.Lease != 0 && !d.leaseInEra(now, o.Lease) {
			return TxnResult{}, ErrLeaseGone
		}
	}
	r, err := d.kv.Txn(ctx, raw)
	if err != nil {
		return r, err
	}
	if d.clock.Current() != now {
		return TxnResult{}, fault.Because(ErrUnknown, "the store came back from a copy meanwhile")
	}
	if r.Succeeded {
		err = d.addEra(now, &r.Revision)
	}
	return r, err
}

func (d *eraStore) grant(ctx context.Context, ttl time.Duration) (int64, error) {
	now := d.clock.Current()
	id, err := d.kv.Grant(ctx, ttl)
	if err != nil {
		return 0, err
	}
	if now == 0 {
		now = d.clock.Current()
	}
	if d.clock.Current() != now {
		return 0, errEraRose // it lapses, if it is there
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaseEras[id] = now
	return id, nil
}

func (d *eraStore) keepAlive(ctx context.Context, id int64) (time.Duration, error) {
	now := d.clock.Current()
	if !d.leaseInEra(now, id) {
		d.forget(id)
		return 0, ErrLeaseGone
	}
	left, err := d.kv.KeepAlive(ctx, id)
	if d.clock.Current() != now {
		err = ErrLeaseGone
	}
	if errors.Is(err, ErrLeaseGone) {
		d.forget(id)
	}
	return left, err
}

func (d *eraStore) revoke(ctx context.Context, id int64) error {
	here := d.leaseInEra(d.clock.Current(), id)
	d.forget(id)
	if !here {
		return nil
	}
	return d.kv.Revoke(ctx, id)
}

// granted tells whether a lease is of an era. One that wasn't granted here, as that of a process
// before, was read in the era that is known.
func (d *eraStore) leaseInEra(now, id int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.leaseEras[id]
	return !ok || e == now
}

func (d *eraStore) forget(id int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.leaseEras, id)
}

func (d *eraStore) watch(ctx context.Context, s Span, f func(WatchBatch) error) error {
	now := d.clock.Current()
	n, ok := era.NumberIn(now, s.From)
	if !ok {
		return ErrCompacted
	}
	s.From = n
	return d.kv.Watch(ctx, s, func(b WatchBatch) error {
		if d.clock.Current() != now {
			return ErrCompacted
		}
		if err := d.addEra(now, &b.Revision); err != nil {
			return err
		}
		d.clock.ObserveRevision(b.Revision)
		for i := range b.Events {
			if err := d.addEra(now, &b.Events[i].Pair.Created, &b.Events[i].Pair.Modified); err != nil {
				return err
			}
		}
		return f(b)
	})
}
