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
type dated struct {
	kv    KV
	clock *era.Clock
	mu    sync.Mutex
	eras  map[int64]int64 // by lease that was granted here: its era
}

// WithEra returns a store whose revisions have their era in them. The clock hears of each answer of kv
// before kv returns it.
func WithEra(kv KV, clock *era.Clock) KV {
	d := &dated{kv: kv, clock: clock, eras: make(map[int64]int64)}
	r := KV{Range: d.read, Txn: d.txn, Grant: d.grant, KeepAlive: d.keepAlive, Revoke: d.revoke, Watch: d.watch}
	if kv.StaleRange != nil {
		r.StaleRange = d.glance
	}
	return r
}

// errRose says that the era rose during a call that changes nothing.
var errRose = fault.Because(ErrUnavailable, "the store came back from a copy meanwhile")

func (d *dated) read(ctx context.Context, key, end string) (RangeResult, error) {
	return d.dateRead(func() (RangeResult, error) { return d.kv.Range(ctx, key, end) })
}

func (d *dated) glance(ctx context.Context, prefix string) (RangeResult, error) {
	return d.dateRead(func() (RangeResult, error) { return d.kv.StaleRange(ctx, prefix) })
}

func (d *dated) dateRead(f func() (RangeResult, error)) (RangeResult, error) {
	now := d.clock.Now()
	r, err := f()
	if err != nil {
		return r, err
	}
	if now == 0 { // the first answer says the era that it is of
		now = d.clock.Now()
	}
	if d.clock.Now() != now {
		return RangeResult{}, errRose
	}
	if err := d.date(now, &r.Revision); err != nil {
		return RangeResult{}, err
	}
	d.clock.See(r.Revision)
	for i := range r.Pairs {
		if err := d.date(now, &r.Pairs[i].Created, &r.Pairs[i].Modified); err != nil {
			return RangeResult{}, err
		}
	}
	return r, nil
}

// date turns the store's numbers into revisions.
func (d *dated) date(now int64, numbers ...*int64) error {
	for _, n := range numbers {
		r, err := era.Revision(now, *n)
		if err != nil {
			return fault.Because(ErrUnknown, "%s", fault.Reason(err))
		}
		*n = r
	}
	return nil
}

func (d *dated) txn(ctx context.Context, t Txn) (TxnResult, error) {
	now := d.clock.Now()
	raw := t
	raw.If = make([]Compare, len(t.If))
	for i, c := range t.If {
		if c.Target != CompareVersion {
			n, ok := era.Within(now, c.Number)
			if !ok {
				return TxnResult{}, nil
			}
			c.Number = n
		}
		raw.If[i] = c
	}
	for _, o := range append(t.Then[:len(t.Then):len(t.Then)], t.Else...) {
		if o.Lease != 0 && !d.granted(now, o.Lease) {
			return TxnResult{}, ErrLeaseGone
		}
	}
	r, err := d.kv.Txn(ctx, raw)
	if err != nil {
		return r, err
	}
	if d.clock.Now() != now {
		return TxnResult{}, fault.Because(ErrUnknown, "the store came back from a copy meanwhile")
	}
	if r.Succeeded {
		err = d.date(now, &r.Revision)
	}
	return r, err
}

func (d *dated) grant(ctx context.Context, ttl time.Duration) (int64, error) {
	now := d.clock.Now()
	id, err := d.kv.Grant(ctx, ttl)
	if err != nil {
		return 0, err
	}
	if now == 0 {
		now = d.clock.Now()
	}
	if d.clock.Now() != now {
		return 0, errRose // it lapses, if it is there
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.eras[id] = now
	return id, nil
}

func (d *dated) keepAlive(ctx context.Context, id int64) (time.Duration, error) {
	now := d.clock.Now()
	if !d.granted(now, id) {
		d.forget(id)
		return 0, ErrLeaseGone
	}
	left, err := d.kv.KeepAlive(ctx, id)
	if d.clock.Now() != now {
		err = ErrLeaseGone
	}
	if errors.Is(err, ErrLeaseGone) {
		d.forget(id)
	}
	return left, err
}

func (d *dated) revoke(ctx context.Context, id int64) error {
	here := d.granted(d.clock.Now(), id)
	d.forget(id)
	if !here {
		return nil
	}
	return d.kv.Revoke(ctx, id)
}

// granted tells whether a lease is of an era. One that wasn't granted here, as that of a process
// before, was read in the era that is known.
func (d *dated) granted(now, id int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.eras[id]
	return !ok || e == now
}

func (d *dated) forget(id int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.eras, id)
}

func (d *dated) watch(ctx context.Context, s Span, f func(WatchBatch) error) error {
	now := d.clock.Now()
	n, ok := era.Within(now, s.From)
	if !ok {
		return ErrCompacted
	}
	s.From = n
	return d.kv.Watch(ctx, s, func(b WatchBatch) error {
		if d.clock.Now() != now {
			return ErrCompacted
		}
		if err := d.date(now, &b.Revision); err != nil {
			return err
		}
		d.clock.See(b.Revision)
		for i := range b.Events {
			if err := d.date(now, &b.Events[i].Pair.Created, &b.Events[i].Pair.Modified); err != nil {
				return err
			}
		}
		return f(b)
	})
}
