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

	"spurhall.example/spurhall/internal/changelog"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/roster"
	"spurhall.example/spurhall/internal/store"
)

// This file follows the state in the store. Both followers read a whole range and then watch from its
// revision on; any failure of the watch, a compacted history included, leads back to reading the range. The
// state that was read last stays in force meanwhile.
//
// A waiting watch can't tell a lost connection from the absence of changes. It is restarted when another
// call to the store fails, and when peers have reported a change that this node lacks. A store that loses
// its history may leave all waiting watches without a response while it answers all other calls; so the
// catalog's watch waits for less than a configuration change may take, and its failure restarts the others.

// storeRetryPause is the pause after a failure. The guard's breaker adds its own.
const storeRetryPause = 100 * time.Millisecond

const (
	// catalogWatchWait and listWatchWait are how long a watch may wait without an event; each end of a wait
	// costs a call.
	catalogWatchWait = 2 * time.Second
	listWatchWait    = 6 * time.Second
	// batchDelayPerNode and maxBatchDelay set the pause after changes of the list, in proportion to the number
	// of watching nodes: a wave of reclaims or a release arrives as one change per upstream, and each watch
	// response is a paid call that goes to every watcher. The maximum is well below the seconds for which a
	// leaving upstream still serves.
	batchDelayPerNode = 50 * time.Millisecond
	maxBatchDelay     = 500 * time.Millisecond
	// largeBatch is the number of changes in a response from which no pause follows: the store cuts responses off
	// at some 500 entries or 1 MB, so more may be waiting, and with pauses this node would fall behind a store
	// that changes faster than one such response in each of them.
	largeBatch = 100
	// maxListLag is how long this node's list may lack a change that a peer has: two report rounds and the
	// delay of a watch.
	maxListLag = 600 * time.Millisecond
)

// errBehind cancels a watch that lacks a change which peers have reported.
var errBehind = errs.NewType("behind").New("peers have reported later changes")

// follower reads a prefix repeatedly and watches it in between.
type follower struct {
	n             *Node
	name          string
	prefix        string
	watchWait     time.Duration // how long a watch may wait without an event
	applySnapshot func(r store.RangeResult)
	applyBatch    func(b store.WatchBatch)
	failedSince   time.Time // since when the store is unavailable; zero: it is available
	connected     atomic.Bool
	lost          atomic.Bool // the store is unavailable, as far as this node has tried

	mu          sync.Mutex
	cancelWatch context.CancelCauseFunc // cancels the watch in progress
}

func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.readAndWatch(ctx)
		if ctx.Err() != nil {
			break
		}
		if isWatchRestart(err) {
			f.n.log.Info("watch_begun_anew", zap.String("reader", f.name), zap.String("cause", err.Error()))
		} else {
			f.markLost(err)
		}
		_ = f.n.clock.Sleep(ctx, storeRetryPause)
	}
	f.connected.Store(false)
}

// isWatchRestart reports whether a watch ended although the store answers, as far as is known. Entries that
// disappear right after an outage are kept for a while, as they may have lapsed in it, so a restart must not
// count as an outage.
func isWatchRestart(err error) bool {
	return errors.Is(err, store.ErrCompacted) || errors.Is(err, store.ErrWatchUntrusted) || errors.Is(err, errBehind)
}

func (f *follower) markLost(err error) {
	if !f.failedSince.IsZero() {
		return
	}
	f.failedSince = f.n.clock.Now()
	f.lost.Store(true)
	f.connected.Store(false)
	storeUp.Add(f.name, -1)
	f.n.log.Warn("store_lost", zap.String("reader", f.name), zap.String("cause", err.Error()))
}

func (f *follower) markRegained() {
	if !f.connected.Swap(true) {
		f.n.changes.Announce() // followers may wait for it
	}
	if f.failedSince.IsZero() {
		return
	}
	f.n.log.Info("store_regained", zap.String("reader", f.name), zap.Duration("after", f.n.clock.Since(f.failedSince)))
	f.clearFailure()
}

// clearFailure records that the store is available.
func (f *follower) clearFailure() {
	f.failedSince = time.Time{}
	f.lost.Store(false)
	storeUp.Add(f.name, 1)
}

// markStoreAvailable records that a watcher has relayed the store's state to this node: there was no outage,
// though the store may reject this node's own calls. Without that, the node took entries that disappeared for
// lapsed when it watched again itself, and sent requests to upstreams that had left.
func (n *Node) markStoreAvailable() {
	for _, f := range []*follower{n.listFollower, n.catalogFollower} {
		if !f.failedSince.IsZero() {
			f.clearFailure()
		}
	}
}

func (f *follower) readAndWatch(ctx context.Context) error {
	r, err := f.n.kv.Range(ctx, f.prefix, store.PrefixEnd(f.prefix))
	if err != nil {
		return err
	}
	f.applySnapshot(r)
	f.markRegained()
	c, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	f.setCancel(stop)
	span := store.PrefixSpan(f.prefix, r.Revision+1)
	span.Wait = f.watchWait
	err = f.n.kv.Watch(c, span, func(b store.WatchBatch) error {
		f.markRegained()
		f.applyBatch(b)
		if len(b.Events) == 0 || len(b.Events) >= largeBatch {
			return nil
		}
		return f.n.clock.Sleep(c, f.n.batchDelay())
	})
	if errors.Is(context.Cause(c), errBehind) {
		return errBehind
	}
	return err
}

// batchDelay returns how long changes are batched in a fleet of this size.
func (n *Node) batchDelay() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	watching := min(n.peers.size(), roster.WatchersPerHall*max(1, len(n.settings.Halls)))
	return min(batchDelayPerNode*time.Duration(watching), maxBatchDelay)
}

func (f *follower) setCancel(stop context.CancelCauseFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelWatch = stop
}

// restart ends the watch in progress, so that the range is read again.
func (f *follower) restart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancelWatch != nil {
		f.cancelWatch(errBehind)
	}
}

// recordListChange applies the newest change of the list that a peer has reported.
func (n *Node) recordListChange(peer string, change int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	n.peerListChange = max(n.peerListChange, change)
	have := n.pools.Revision()
	n.lacksList.Hear(now, change, have)
	switch {
	case have >= n.peerListChange:
		n.behindSince = time.Time{}
	case n.behindSince.IsZero():
		n.behindSince = now
	case now.Sub(n.behindSince) > roster.MaxLag(maxListLag, n.settings.Node, n.peers.size()):
		n.log.Warn("watch_behind", zap.String("reader", n.listFollower.name), zap.String("peer", peer),
			zap.Int64("revision", have), zap.Int64("change", n.peerListChange), zap.Duration("for", now.Sub(n.behindSince)))
		n.behindSince = now
		n.listFollower.restart()
		n.startSelfWatch(now)
	}
}

func (n *Node) newCatalogFollower() *follower {
	apply := func(p store.Pair) {
		switch {
		case p.Key == n.options.CatalogKey:
			n.applyCatalog(p.Value, "store")
		case strings.HasPrefix(p.Key, n.options.OrderPrefix):
			n.applyOrder(p, "store")
		}
	}
	return &follower{
		n: n, name: "catalog", prefix: n.options.OperatorPrefix, watchWait: catalogWatchWait,
		applySnapshot: func(r store.RangeResult) {
			// Orders first: requests are served as soon as there is a configuration.
			slices.SortStableFunc(r.Pairs, func(a, b store.Pair) int { return strings.Compare(b.Key, a.Key) })
			for _, p := range r.Pairs {
				apply(p)
			}
		},
		applyBatch: func(b store.WatchBatch) {
			for _, e := range b.Events {
				switch {
				case !e.Deleted:
					apply(e.Pair)
				case strings.HasPrefix(e.Pair.Key, n.options.OrderPrefix):
					n.withdrawOrder(e.Pair.Key, e.Pair.Modified)
				}
			}
		},
	}
}

func (n *Node) newListFollower() *follower {
	f := &follower{n: n, name: "upstreams", prefix: n.options.EntryPrefix, watchWait: listWatchWait}
	f.applySnapshot = func(r store.RangeResult) {
		returned := !f.failedSince.IsZero()
		items, undecodable := n.decodeEntries(r.Pairs)
		n.partial.Store(false)
		n.updateList("store", func(now time.Time, l *pool.List) {
			if returned {
				l.StoreReturned(now)
			}
			l.Replace(now, r.Revision, items)
			n.voidEntries(l, undecodable)
		})
		n.listed.Store(true)
		n.signalInitialized()
	}
	f.applyBatch = func(b store.WatchBatch) {
		n.updateList("store", func(now time.Time, l *pool.List) {
			for _, e := range b.Events {
				n.applyListEvent(now, l, e)
			}
			l.Advance(b.Revision)
		})
	}
	return f
}

func (n *Node) applyListEvent(now time.Time, l *pool.List, e store.Event) {
	if e.Deleted {
		l.Remove(now, e.Pair.Modified, n.entryID(e.Pair.Key))
		return
	}
	items, undecodable := n.decodeEntries([]store.Pair{e.Pair})
	for _, v := range items {
		l.Put(v)
	}
	n.voidEntries(l, undecodable)
}

func (n *Node) entryID(key string) string { return key[min(len(n.options.EntryPrefix), len(key)):] }

// voidEntries marks the entries whose values can't be decoded.
func (n *Node) voidEntries(l *pool.List, pairs []store.Pair) {
	for _, p := range pairs {
		l.MarkUnreadable(p.Modified, n.entryID(p.Key))
	}
}

// decodeEntries decodes entries, and returns the pairs that can't be decoded.
func (n *Node) decodeEntries(pairs []store.Pair) (decoded []pool.Item, undecodable []store.Pair) {
	decoded = make([]pool.Item, 0, len(pairs))
	for _, p := range pairs {
		e, err := n.options.DecodeEntry(p.Key, p.Value)
		if err != nil {
			n.unreadableEntries.record(n.log, p, err)
			undecodable = append(undecodable, p)
			continue
		}
		n.unreadableEntries.clear(p.Key)
		decoded = append(decoded, pool.Item{Entry: e, Revision: p.Modified})
	}
	return decoded, undecodable
}

// unreadableEntries maps the keys of undecodable entries to the reasons that were logged. Only the list
// follower uses it.
type unreadableEntries map[string]string

// maxUnreadableEntries bounds the remembered keys, and so the log lines about them.
const maxUnreadableEntries = 256

// record logs a key and its reason once.
func (u unreadableEntries) record(log *zap.Logger, p store.Pair, err error) {
	reason := err.Error()
	if u[p.Key] == reason || len(u) >= maxUnreadableEntries {
		return
	}
	u[p.Key] = reason
	upstreamEvents.Add("unreadable", 1)
	log.Warn("entry_unreadable", zap.String("key", p.Key), zap.Int64("revision", p.Modified), zap.String("cause", reason))
}

func (u unreadableEntries) clear(key string) { delete(u, key) }

// The sources of changes that a node makes by itself, as the log names them.
const (
	sourceAnswer = "answer" // an upstream's response stated it
	sourceLapsed = "lapsed" // an entry that went missing in an outage wasn't written again
)

// maxListedChanges is how many changes of one update get a line each: a whole list of a large fleet would be
// thousands of lines at each node.
const maxListedChanges = 256

// updateList changes the list and logs the resulting events.
func (n *Node) updateList(source string, f func(now time.Time, l *pool.List)) {
	before := n.pools.LastChange()
	u := n.pools.Update(func(l *pool.List) { f(n.clock.Now(), l) })
	if len(u.Touched) > 0 || n.pools.LastChange() != before {
		n.changes.Append(changelog.Update{Revision: n.pools.Revision(), Local: source == sourceAnswer || source == sourceLapsed, Length: n.pools.Len(), IDs: u.Touched})
	}
	n.noteVersions(u.Changes)
	for i, c := range u.Changes {
		upstreamEvents.Add(c.Event, 1)
		if c.Event == "gone" {
			n.lines.Forget(c.Entry.ID)
		}
		if i >= maxListedChanges {
			continue
		}
		n.log.Info("upstream_"+c.Event, zap.String("upstream", c.Entry.ID), zap.String("service", c.Entry.Service), zap.String("hall", c.Entry.Hall),
			zap.String("address", c.Entry.Address), zap.String("version", c.Entry.Version), zap.Bool("reclaimable", c.Entry.Reclaimable), zap.Duration("leaves_in", c.Entry.LeavesIn),
			zap.Int64("born", c.Entry.Born), zap.Bool("leaving", c.Entry.Leaving),
			zap.String("source", source), zap.Int64("revision", n.pools.Revision()))
	}
	if more := len(u.Changes) - maxListedChanges; more > 0 {
		n.log.Info("upstreams_changed", zap.Int("not_listed", more), zap.Int("upstreams", n.pools.Len()), zap.String("source", source), zap.Int64("revision", n.pools.Revision()))
	}
}

// expireInterval is how often entries that went missing in an outage are checked.
const expireInterval = 200 * time.Millisecond

func (n *Node) expireMissing(ctx context.Context) {
	n.clock.Every(ctx, expireInterval, func(time.Time) {
		n.updateList(sourceLapsed, func(now time.Time, l *pool.List) { l.Expire(now) })
	})
}
