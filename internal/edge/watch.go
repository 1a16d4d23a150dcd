package edge

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/store"
)

// This file follows what the store holds. Both followers read a whole range and then
// watch from its revision on; whatever breaks the watch, a compacted history included,
// leads back to the range. What is held meanwhile stays in force.
//
// A watch that waits can't tell silence from calm. It is begun anew when another call to
// the store fails, and when other nodes have heard of a change that this one hasn't. A
// store that forgets its history may leave all watches that wait without an answer, and
// answer all other calls; so the catalog's watch waits for less than what a change of the
// configuration may take, and its failure makes the others begin anew, too.

// followPause is the pause after a failure. The guard's breaker adds its own.
const followPause = 100 * time.Millisecond

const (
	// catalogWait and listWait are how long a watch may have nothing to tell; each end of a
	// wait costs a call.
	catalogWait = 2 * time.Second
	listWait    = 6 * time.Second
	// gatherNode and gatherLimit set the pause after changes of the list, so much for each
	// node that watches: a wave of reclaims or a release comes as a change for each upstream,
	// each answer to a watch is a call that is paid for, and all that watch get it. The limit
	// is well below the seconds for which a leaving upstream still serves.
	gatherNode  = 50 * time.Millisecond
	gatherLimit = 500 * time.Millisecond
	// behindFor is how long this node's list may lack a change that another node has: two
	// reports, and the delay of a watch.
	behindFor = 600 * time.Millisecond
)

// errBehind ends a watch that lacks what other nodes have heard.
var errBehind = errs.NewType("behind").New("other nodes have heard of later changes")

// follower reads a prefix again and again, and watches it in between.
type follower struct {
	n       *Node
	name    string
	prefix  string
	wait    time.Duration // how long a watch may have nothing to tell
	whole   func(r store.RangeResult)
	change  func(b store.WatchBatch)
	failed  time.Time // since when the store doesn't answer; zero: it does
	inTouch atomic.Bool

	mu   sync.Mutex
	stop context.CancelCauseFunc // of the watch under way
}

func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.follow(ctx)
		if ctx.Err() != nil {
			break
		}
		if begunAnew(err) {
			f.n.log.Info("watch_begun_anew", zap.String("reader", f.name), zap.String("cause", err.Error()))
		} else {
			f.lost(err)
		}
		_ = f.n.clock.Sleep(ctx, followPause)
	}
	f.inTouch.Store(false)
}

// begunAnew tells whether a watch ended though the store answers, as far as is known.
// What goes from the list right after an outage may have lapsed in it and is believed for
// a while, so no outage is made up.
func begunAnew(err error) bool {
	return errors.Is(err, store.ErrCompacted) || errors.Is(err, store.ErrWatchUntrusted) || errors.Is(err, errBehind)
}

func (f *follower) lost(err error) {
	if !f.failed.IsZero() {
		return
	}
	f.failed = f.n.clock.Now()
	f.inTouch.Store(false)
	storeUp.Add(f.name, -1)
	f.n.log.Warn("store_lost", zap.String("reader", f.name), zap.String("cause", err.Error()))
}

func (f *follower) regained() {
	f.inTouch.Store(true)
	if f.failed.IsZero() {
		return
	}
	f.n.log.Info("store_regained", zap.String("reader", f.name), zap.Duration("after", f.n.clock.Since(f.failed)))
	f.failed = time.Time{}
	storeUp.Add(f.name, 1)
}

// followed notes that a node that watches has told this one what the store holds: it wasn't
// away, though it may turn this node away. Without that, the node took what went from the
// list for lapsed when it watched again itself, and sent requests to upstreams that had left.
func (n *Node) followed() {
	for _, f := range []*follower{n.listReader, n.catalogReader} {
		if !f.failed.IsZero() {
			f.failed = time.Time{}
			storeUp.Add(f.name, 1)
		}
	}
}

func (f *follower) follow(ctx context.Context) error {
	r, err := f.n.kv.Range(ctx, f.prefix, store.PrefixEnd(f.prefix))
	if err != nil {
		return err
	}
	f.whole(r)
	f.regained()
	c, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	f.set(stop)
	span := store.PrefixSpan(f.prefix, r.Revision+1)
	span.Wait = f.wait
	err = f.n.kv.Watch(c, span, func(b store.WatchBatch) error {
		f.regained()
		f.change(b)
		if len(b.Events) > 0 {
			return f.n.clock.Sleep(c, f.n.gather())
		}
		return nil
	})
	if errors.Is(context.Cause(c), errBehind) {
		return errBehind
	}
	return err
}

// gather is how long changes are gathered in a fleet of this size.
func (n *Node) gather() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	watching := min(n.peers.size(), watchersAHall*max(1, len(n.s.Halls)))
	return min(gatherNode*time.Duration(watching), gatherLimit)
}

func (f *follower) set(stop context.CancelCauseFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stop = stop
}

// again ends the watch under way: the range is read anew.
func (f *follower) again() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stop != nil {
		f.stop(errBehind)
	}
}

// noteChange takes in the newest change of the list that another node has heard of.
func (n *Node) noteChange(peer string, change int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	n.othersChange = max(n.othersChange, change)
	have := n.pools.Revision()
	switch {
	case have >= n.othersChange:
		n.behind = time.Time{}
	case n.behind.IsZero():
		n.behind = now
	case now.Sub(n.behind) > behindFor:
		n.log.Warn("watch_behind", zap.String("reader", n.listReader.name), zap.String("peer", peer),
			zap.Int64("revision", have), zap.Int64("change", n.othersChange), zap.Duration("for", now.Sub(n.behind)))
		n.behind = now
		n.listReader.again()
		n.watchAlone(now)
	}
}

func (n *Node) catalogFollower() *follower {
	take := func(p store.Pair) {
		switch {
		case p.Key == n.o.CatalogKey:
			n.accept(p.Value, "store")
		case strings.HasPrefix(p.Key, n.o.OrderPrefix):
			n.takeOrder(p, "store")
		}
	}
	return &follower{
		n: n, name: "catalog", prefix: n.o.OperatorPrefix, wait: catalogWait,
		whole: func(r store.RangeResult) {
			// Orders first: once there is a configuration, requests are served.
			slices.SortStableFunc(r.Pairs, func(a, b store.Pair) int { return strings.Compare(b.Key, a.Key) })
			for _, p := range r.Pairs {
				take(p)
			}
		},
		change: func(b store.WatchBatch) {
			for _, e := range b.Events {
				switch {
				case !e.Deleted:
					take(e.Pair)
				case strings.HasPrefix(e.Pair.Key, n.o.OrderPrefix):
					n.takeBack(e.Pair.Key, e.Pair.Modified)
				}
			}
		},
	}
}

func (n *Node) listFollower() *follower {
	f := &follower{n: n, name: "upstreams", prefix: n.o.EntryPrefix, wait: listWait}
	f.whole = func(r store.RangeResult) {
		back := !f.failed.IsZero()
		items, bad := n.items(r.Pairs)
		n.update("store", func(now time.Time, l *pool.List) {
			if back {
				l.StoreReturned(now)
			}
			l.Replace(now, r.Revision, items)
			n.void(l, bad)
		})
		n.listed.Store(true)
		n.knowsMore()
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
		l.Remove(now, e.Pair.Modified, n.entryID(e.Pair.Key))
		return
	}
	items, bad := n.items([]store.Pair{e.Pair})
	for _, v := range items {
		l.Put(v)
	}
	n.void(l, bad)
}

func (n *Node) entryID(key string) string { return key[min(len(n.o.EntryPrefix), len(key)):] }

// void takes in keys whose values can't be read.
func (n *Node) void(l *pool.List, bad []store.Pair) {
	for _, p := range bad {
		l.MarkUnreadable(p.Modified, n.entryID(p.Key))
	}
}

// items reads entries, and returns the pairs that can't be read.
func (n *Node) items(pairs []store.Pair) (sound []pool.Item, bad []store.Pair) {
	sound = make([]pool.Item, 0, len(pairs))
	for _, p := range pairs {
		e, err := n.o.DecodeEntry(p.Key, p.Value)
		if err != nil {
			n.unreadable.note(n.log, p, err)
			bad = append(bad, p)
			continue
		}
		n.unreadable.sound(p.Key)
		sound = append(sound, pool.Item{Entry: e, Revision: p.Modified})
	}
	return sound, bad
}

// unreadable is the keys whose entries can't be read, with the reasons that were logged. It is
// the list's reader's own.
type unreadable map[string]string

// unreadableLimit bounds the keys whose reasons are remembered, and so the lines on them.
const unreadableLimit = 256

// note logs a key and its reason, once.
func (u unreadable) note(log *zap.Logger, p store.Pair, err error) {
	reason := err.Error()
	if u[p.Key] == reason || len(u) >= unreadableLimit {
		return
	}
	u[p.Key] = reason
	upstreamEvents.Add("unreadable", 1)
	log.Warn("entry_unreadable", zap.String("key", p.Key), zap.Int64("revision", p.Modified), zap.String("cause", reason))
}

func (u unreadable) sound(key string) { delete(u, key) }

// update changes the list, and tells what became of it.
func (n *Node) update(source string, f func(now time.Time, l *pool.List)) {
	before := n.pools.LastChange()
	changes := n.pools.Update(func(l *pool.List) { f(n.clock.Now(), l) })
	if len(changes) > 0 || n.pools.LastChange() != before {
		n.news.announceList()
	}
	for _, c := range changes {
		upstreamEvents.Add(c.Event, 1)
		n.log.Info("upstream_"+c.Event, zap.String("upstream", c.Entry.ID), zap.String("service", c.Entry.Service), zap.String("hall", c.Entry.Hall),
			zap.String("address", c.Entry.Address), zap.String("version", c.Entry.Version), zap.Bool("reclaimable", c.Entry.Reclaimable), zap.Duration("leaves_in", c.Entry.LeavesIn),
			zap.Int64("born", c.Entry.Born), zap.Bool("leaving", c.Entry.Leaving),
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
