package edge

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/message"
	"spurhall.example/spurhall/internal/pair"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/relay"
	"spurhall.example/spurhall/internal/wire"
)

// This file decides which nodes watch the store. Each change of the upstream list completes a watch, each
// completion is a paid call, and with a watch per node the calls grow with nodes times changes. So two nodes
// of a hall watch, and the others poll one of them with a call that is held open until there is a change.
//
// A node that gets no updates from the watchers, or that learns of a change which they lack, watches by
// itself for a while. A starting node does so until it has received reports from its hall: it needs the
// store's state at once.
//
// Alternatives considered: sending changes along with the reports between nodes. Pairs swap reports every
// second or two in a fleet of some 80 nodes, which is all the time that a leaving upstream allows.
// One watcher for the whole fleet: a partitioned hall has to learn of changes to its own upstreams.

const (
	// watchersPerHall is how many nodes of a hall watch: with two, the loss of one costs the others a
	// time-out.
	watchersPerHall = 2
	// followWaitLimit is how long a poll without changes is held, and followTimeout how long a response may
	// take: a frozen watcher has to be abandoned well within the time in which a leaving upstream has to be
	// known.
	followWaitLimit = 400 * time.Millisecond
	followTimeout   = followWaitLimit + 250*time.Millisecond
	// selfWatchDuration is how long a node watches by itself after the watchers failed it.
	selfWatchDuration = 5 * time.Second
	// roleCheckInterval is how often a node checks whether it has to watch.
	roleCheckInterval = 250 * time.Millisecond
)

// errNoUpdates reports that a node doesn't watch the store, or that its list is behind.
var errNoUpdates = errs.NewType("no_news").New("the node has no news of the store")

// changeFeed notifies waiting calls of changes to the configuration and the list.
type changeFeed struct {
	mu       sync.Mutex
	notify   chan struct{} // closed by the next change
	sequence int64         // of the list
}

func newChangeFeed() *changeFeed { return &changeFeed{notify: make(chan struct{})} }

func (v *changeFeed) announce() {
	v.mu.Lock()
	defer v.mu.Unlock()
	close(v.notify)
	v.notify = make(chan struct{})
}

func (v *changeFeed) announceList() {
	v.mu.Lock()
	v.sequence++
	v.mu.Unlock()
	v.announce()
}

// subscribe returns the list's sequence and a channel that the next change closes.
func (v *changeFeed) subscribe() (int64, <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.sequence, v.notify
}

// watchers returns the nodes of this hall that watch the store: the first in the hall's order among the
// responsive nodes that reach the store, or among all responsive nodes if none reaches it. While views
// differ, a node may poll one that doesn't watch; the response says so.
func (n *Node) watchers() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.watchersLocked(n.clock.Now())
}

// watchersLocked is watchers with the node's lock held.
func (n *Node) watchersLocked(now time.Time) []string {
	limit := pair.UnresponsiveAfter(n.peers.size())
	responsive, connected := map[string]float64{n.settings.Node: n.settings.Cores}, map[string]float64{}
	if n.guard.Up() {
		connected[n.settings.Node] = n.settings.Cores
	}
	for _, p := range n.peers.peers {
		if p.hall != n.settings.Hall || p.leaving || now.Sub(p.lastSeen) > limit {
			continue
		}
		responsive[p.name] = p.cores
		if p.storeUp {
			connected[p.name] = p.cores
		}
	}
	if len(connected) == 0 {
		connected = responsive
	}
	names := relay.RankNodes(connected)
	return names[:min(len(names), watchersPerHall)]
}

// isWatcherLocked is isWatcher with the node's lock held.
func (n *Node) isWatcherLocked(now time.Time) bool {
	return slices.Contains(n.watchersLocked(now), n.settings.Node)
}

// isWatcher reports whether this node is one of the watchers of its hall.
func (n *Node) isWatcher() bool { return slices.Contains(n.watchers(), n.settings.Node) }

// startSelfWatch makes this node watch by itself for a while. The node's lock is held.
func (n *Node) startSelfWatch(now time.Time) { n.selfWatchUntil = now.Add(selfWatchDuration) }

// mustWatch reports whether this node has to watch the store now.
func (n *Node) mustWatch() bool {
	now := n.clock.Now()
	n.mu.Lock()
	selfWatch := now.Before(n.selfWatchUntil)
	n.mu.Unlock()
	return selfWatch || !n.listed.Load() || n.currentCatalog() == nil || n.isWatcher()
}

// followStore watches the store or polls the watchers until the context ends.
func (n *Node) followStore(ctx context.Context) {
	for ctx.Err() == nil {
		if n.mustWatch() {
			n.log.Info("watching", zap.Strings("watchers", n.watchers()))
			n.runWhile(ctx, n.mustWatch, n.catalogFollower.run, n.listFollower.run)
		} else {
			n.runWhile(ctx, func() bool { return !n.mustWatch() }, n.followWatchers)
		}
	}
}

// runWhile runs the tasks for as long as the condition holds, and returns when they have ended.
func (n *Node) runWhile(ctx context.Context, holds func() bool, duties ...func(context.Context)) {
	c, cancel := context.WithCancel(ctx)
	var w sync.WaitGroup
	for _, f := range duties {
		w.Add(1)
		go func() {
			defer w.Done()
			f(c)
		}()
	}
	for holds() && n.clock.Sleep(c, roleCheckInterval) == nil {
	}
	cancel()
	w.Wait()
}

// followWatchers polls the watchers one after the other, and makes this node watch by itself when all of
// them have failed in a row.
func (n *Node) followWatchers(ctx context.Context) {
	failed := 0
	var from listSource
	n.log.Info("following", zap.Strings("watchers", n.watchers()))
	for ctx.Err() == nil {
		names := n.watchers()
		name := names[failed%len(names)]
		err := n.pollWatcher(ctx, name, &from)
		if err == nil {
			failed = 0
			continue
		}
		if ctx.Err() != nil {
			return
		}
		failed++
		n.log.Info("follow_failed", zap.String("peer", name), zap.String("cause", err.Error()))
		if failed >= watchersPerHall {
			n.mu.Lock()
			n.startSelfWatch(n.clock.Now())
			n.mu.Unlock()
			return
		}
	}
}

// listSource identifies the process and sequence that this node's list came from.
type listSource struct {
	incarnation string
	sequence    int64
}

// pollWatcher requests changes from one watcher and applies them.
func (n *Node) pollWatcher(ctx context.Context, name string, from *listSource) error {
	n.mu.Lock()
	p := n.peers.peers[name]
	n.mu.Unlock()
	if p == nil || p.client == nil {
		return errNoUpdates
	}
	version := int64(-1)
	if c := n.currentCatalog(); c != nil {
		version = c.Version()
	}
	c, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	a, err := p.client.Follow(c, connect.NewRequest(&wire.FollowRequest{CatalogVersion: version, Lifetime: from.incarnation, ListSequence: from.sequence}))
	if err != nil {
		return err
	}
	m := a.Msg
	if !m.Watching || m.HasList && m.ListRevision < n.pools.LastChange() {
		return errNoUpdates
	}
	n.markStoreAvailable()
	if len(m.Catalog) > 0 {
		n.applyCatalog(m.Catalog, name)
	}
	if m.HasList {
		items := message.ItemsFromWire(m.List)
		n.updateList(name, func(now time.Time, l *pool.List) { l.Replace(now, m.ListRevision, items) })
		*from = listSource{m.Lifetime, m.ListSequence}
	}
	return nil
}

// Follow responds as soon as there is a change that the caller lacks.
func (s *edgeService) Follow(ctx context.Context, r *connect.Request[wire.FollowRequest]) (*connect.Response[wire.FollowResponse], error) {
	n := s.n
	timeout, stop := n.clock.After(followWaitLimit)
	defer stop()
	for {
		sequence, changed := n.changes.subscribe()
		a := n.updatesFor(r.Msg, sequence)
		if !a.Watching || a.HasList || len(a.Catalog) > 0 {
			return connect.NewResponse(a), nil
		}
		select {
		case <-changed:
		case <-timeout:
			return connect.NewResponse(a), nil
		case <-ctx.Done():
			return nil, errors.Join(errNoUpdates, ctx.Err())
		}
	}
}

// updatesFor returns what a caller lacks of the configuration and of this node's list, whose sequence is at
// least the one given.
func (n *Node) updatesFor(r *wire.FollowRequest, sequence int64) *wire.FollowResponse {
	a := &wire.FollowResponse{Watching: n.catalogFollower.connected.Load() && n.listFollower.connected.Load(), Lifetime: n.options.Incarnation, ListSequence: sequence}
	if !a.Watching {
		return a
	}
	if h := n.catalog.Load(); h != nil && h.catalog.Version() > r.CatalogVersion {
		a.Catalog = h.raw
	}
	if r.Lifetime == n.options.Incarnation && r.ListSequence == sequence {
		return a
	}
	a.HasList, a.ListRevision = true, n.pools.Revision()
	a.List = n.listToWire()
	return a
}

func (n *Node) listToWire() []*wire.ListItem {
	var list []*wire.ListItem
	for _, i := range n.pools.Items() {
		list = append(list, message.ItemToWire(i))
	}
	return list
}
