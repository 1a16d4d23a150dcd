package edge

import (
	"context"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/changelog"
	"spurhall.example/spurhall/internal/follow"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/roster"
	"spurhall.example/spurhall/internal/store"
)

// This file follows the state in the store, through the readers of package follow. A store that loses its history may leave
// all waiting watches without a response while it answers all other calls; so the catalog's watch waits for less than a
// configuration change may take, and its failure restarts the others.

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
	// maxListLag is how long this node's list may lack a change that a peer has: two report rounds and the
	// delay of a watch.
	maxListLag = 600 * time.Millisecond
)

// markStoreAvailable records that a watcher has relayed the store's state to this node: there was no outage,
// though the store may reject this node's own calls. Without that, the node took entries that disappeared for
// lapsed when it watched again itself, and sent requests to upstreams that had left.
func (n *Node) markStoreAvailable() {
	n.listFollower.ClearFailure()
	n.catalogFollower.ClearFailure()
}

// batchDelay returns how long changes are batched in a fleet of this size.
func (n *Node) batchDelay() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	watching := min(n.peers.Size(), roster.WatchersPerHall*max(1, len(n.settings.Halls)))
	return min(batchDelayPerNode*time.Duration(watching), maxBatchDelay)
}

// recordListChange applies the newest change of the list that a peer has reported.
func (n *Node) recordListChange(peer string, change int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	have := n.pools.Revision()
	n.lacksList.Hear(now, change, have)
	lacked, lacks := n.lacksList.For(now)
	if waited := min(lacked, now.Sub(n.listRestartedAt)); lacks && waited > roster.MaxLag(maxListLag, n.settings.Node, n.peers.Size()) {
		if n.listed.Load() { // else its first read hasn't ended yet
			n.log.Warn("watch_behind", zap.String("reader", listReader), zap.String("peer", peer),
				zap.Int64("revision", have), zap.Int64("change", n.lacksList.Newest()), zap.Duration("for", lacked))
		}
		n.listRestartedAt = now
		n.missVersions("a watch that is behind", 0)
		n.listFollower.Restart()
		n.role.WatchItself(now)
	}
}

// listReader is how the reader of the upstream list is called in the log.
const listReader = "upstreams"

// newReader returns a reader of the store for this node.
func (n *Node) newReader(o follow.ReaderOptions) *follow.Reader {
	o.Clock, o.Log, o.KV, o.Pause, o.OnConnected = n.clock, n.log, func() store.KV { return n.kv }, n.batchDelay, func() { n.changes.Announce() }
	o.CountUp = func(d int64) { storeUp.Add(o.Name, d) }
	return follow.NewReader(o)
}

func (n *Node) newCatalogFollower() *follow.Reader {
	apply := func(p store.Pair) {
		switch {
		case p.Key == n.options.CatalogKey:
			n.applyCatalog(p.Value, "store")
		case strings.HasPrefix(p.Key, n.options.OrderPrefix):
			n.applyOrder(p, "store")
		}
	}
	return n.newReader(follow.ReaderOptions{
		Name: "catalog", Prefix: n.options.OperatorPrefix, WatchWait: catalogWatchWait,
		ApplySnapshot: func(r store.RangeResult) {
			n.unreadableOrders.Keep(r.Pairs)
			// Orders first: requests are served as soon as there is a configuration.
			slices.SortStableFunc(r.Pairs, func(a, b store.Pair) int { return strings.Compare(b.Key, a.Key) })
			for _, p := range r.Pairs {
				apply(p)
			}
		},
		ApplyBatch: func(b store.WatchBatch) {
			for _, e := range b.Events {
				switch {
				case !e.Deleted:
					apply(e.Pair)
				case strings.HasPrefix(e.Pair.Key, n.options.OrderPrefix):
					n.unreadableOrders.Clear(e.Pair.Key)
					n.withdrawOrder(e.Pair.Key, e.Pair.Modified)
				}
			}
		},
	})
}

func (n *Node) newListFollower() *follow.Reader {
	return n.newReader(follow.ReaderOptions{
		Name: listReader, Prefix: n.options.EntryPrefix, WatchWait: listWatchWait, ApplySnapshot: n.applyListSnapshot, ApplyBatch: n.applyListBatch,
	})
}

// applyListSnapshot applies the whole upstream list as read from the store.
func (n *Node) applyListSnapshot(r store.RangeResult) {
	returned := n.listFollower.Lost()
	n.unreadableEntries.Keep(r.Pairs)
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

// applyListBatch applies changes of the upstream list.
func (n *Node) applyListBatch(b store.WatchBatch) {
	n.updateList("store", func(now time.Time, l *pool.List) {
		for _, e := range b.Events {
			n.applyListEvent(now, l, e)
		}
		l.Advance(b.Revision)
	})
}

func (n *Node) applyListEvent(now time.Time, l *pool.List, e store.Event) {
	if e.Deleted {
		n.unreadableEntries.Clear(e.Pair.Key)
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
			if n.unreadableEntries.Record(n.log.Warn, "entry_unreadable", p, err) {
				upstreamEvents.Add("unreadable", 1)
			}
			undecodable = append(undecodable, p)
			continue
		}
		n.unreadableEntries.Clear(p.Key)
		decoded = append(decoded, pool.Item{Entry: e, Revision: p.Modified})
	}
	return decoded, undecodable
}

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
