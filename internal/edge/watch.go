package edge

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/store"
)

// This file follows what the store holds. Both followers read a whole range and then
// watch from its revision on; whatever breaks the watch, a compacted history included,
// leads back to the range. What is held meanwhile stays in force.

// followPause is the pause after a failure. The guard's breaker adds its own.
const followPause = 100 * time.Millisecond

// follower reads a prefix again and again, and watches it in between.
type follower struct {
	n      *Node
	name   string
	prefix string
	whole  func(r store.RangeResult)
	change func(b store.WatchBatch)
	failed time.Time // since when the store doesn't answer; zero: it does
}

func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		if !errors.Is(err, store.ErrCompacted) {
			f.lost(err)
		}
		_ = f.n.clock.Sleep(ctx, followPause)
	}
}

func (f *follower) lost(err error) {
	if !f.failed.IsZero() {
		return
	}
	f.failed = f.n.clock.Now()
	storeUp.Add(f.name, -1)
	f.n.log.Warn("store_lost", zap.String("reader", f.name), zap.String("cause", err.Error()))
}

func (f *follower) regained() {
	if f.failed.IsZero() {
		return
	}
	f.n.log.Info("store_regained", zap.String("reader", f.name), zap.Duration("after", f.n.clock.Since(f.failed)))
	f.failed = time.Time{}
	storeUp.Add(f.name, 1)
}

func (f *follower) follow(ctx context.Context) error {
	end := store.PrefixEnd(f.prefix)
	r, err := f.n.kv.Range(ctx, f.prefix, end)
	if err != nil {
		return err
	}
	f.whole(r)
	f.regained()
	return f.n.kv.Watch(ctx, f.prefix, end, r.Revision+1, func(b store.WatchBatch) error {
		f.regained()
		f.change(b)
		return nil
	})
}

func (n *Node) catalogFollower() *follower {
	take := func(p store.Pair) {
		if p.Key == n.o.CatalogKey {
			n.accept(p.Value, "store")
		}
	}
	return &follower{
		n: n, name: "catalog", prefix: n.o.CatalogKey,
		whole: func(r store.RangeResult) {
			for _, p := range r.Pairs {
				take(p)
			}
		},
		change: func(b store.WatchBatch) {
			for _, e := range b.Events {
				if !e.Deleted {
					take(e.Pair)
				}
			}
		},
	}
}

func (n *Node) listFollower() *follower {
	f := &follower{n: n, name: "upstreams", prefix: n.o.EntryPrefix}
	f.whole = func(r store.RangeResult) {
		back := !f.failed.IsZero()
		n.update("store", func(now time.Time, l *pool.List) {
			if back {
				l.StoreReturned(now)
			}
			l.Replace(now, r.Revision, n.items(r.Pairs))
		})
		n.listed.Store(true)
	}
	f.change = func(b store.WatchBatch) {
		n.update("store", func(now time.Time, l *pool.List) {
			for _, e := range b.Events {
				n.change(now, l, e)
			}
			l.Advance(b.Revision)
		})
	}
	return f
}

func (n *Node) change(now time.Time, l *pool.List, e store.Event) {
	if e.Deleted {
		l.Delete(now, e.Pair.Key[min(len(n.o.EntryPrefix), len(e.Pair.Key)):])
		return
	}
	for _, v := range n.items([]store.Pair{e.Pair}) {
		l.Put(v)
	}
}

func (n *Node) items(pairs []store.Pair) []pool.Item {
	r := make([]pool.Item, 0, len(pairs))
	for _, p := range pairs {
		e, err := n.o.DecodeEntry(p.Key, p.Value)
		if err != nil {
			n.log.Warn("entry_unreadable", zap.String("key", p.Key), zap.Int64("revision", p.Modified), zap.String("cause", err.Error()))
			continue
		}
		r = append(r, pool.Item{Entry: e, Revision: p.Modified})
	}
	return r
}

// update changes the list, and tells what became of it.
func (n *Node) update(source string, f func(now time.Time, l *pool.List)) {
	changes := n.pools.Update(func(l *pool.List) { f(n.clock.Now(), l) })
	for _, c := range changes {
		upstreamEvents.Add(c.Event, 1)
		n.log.Info("upstream_"+c.Event, zap.String("upstream", c.Entry.ID), zap.String("service", c.Entry.Service), zap.String("hall", c.Entry.Hall),
			zap.String("address", c.Entry.Address), zap.Bool("reclaimable", c.Entry.Reclaimable), zap.Duration("leaves_in", c.Entry.LeavesIn),
			zap.String("source", source), zap.Int64("revision", n.pools.Revision()))
		if c.Event == "gone" {
			n.lines.Forget(c.Entry.ID)
		}
	}
}

// expireEvery is how often entries that went missing in an outage are looked at.
const expireEvery = 200 * time.Millisecond

func (n *Node) expire(ctx context.Context) {
	n.clock.Every(ctx, expireEvery, func(time.Time) {
		n.update("lapsed", func(now time.Time, l *pool.List) { l.Expire(now) })
	})
}
