package edge

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/follow"
	"spurhall.example/spurhall/internal/roster"
	"spurhall.example/spurhall/internal/seat"
)

// This file decides which nodes watch the store. Each change of the upstream list completes a watch, each
// completion is a paid call, and with a watch per node the calls grow with nodes times changes. So two nodes
// of a hall watch, and the others poll one of them with a call that is held open until there is a change. When a node
// watches by itself is decided in package roster (Role).
//
// Alternatives considered: sending changes along with the reports between nodes. Pairs swap reports every
// second or two in a fleet of some 80 nodes, which is all the time that a leaving upstream allows.
// One watcher for the whole fleet: a partitioned hall has to learn of changes to its own upstreams.

const (
	// roleCheckInterval is how often a node checks whether it has to watch.
	roleCheckInterval = 250 * time.Millisecond
)

// watchers returns the nodes of this hall that watch the store.
func (n *Node) watchers() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view(n.clock.Now()).Watchers()
}

// isWatcher reports whether this node is one of the watchers of its hall.
func (n *Node) isWatcher() bool { return slices.Contains(n.watchers(), n.settings.Node) }

// mustWatch reports whether this node has to watch the store now.
func (n *Node) mustWatch() bool {
	starting := n.isStarting()
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.role.MustWatch(n.view(n.clock.Now()), starting, n.holdsSeat.Load())
}

// isStarting reports whether this node lacks the configuration or the upstream list.
func (n *Node) isStarting() bool { return !n.listed.Load() || n.currentCatalog() == nil }

// startsAsFollower reports whether this node, which is starting, waits for its hall's watchers.
func (n *Node) startsAsFollower() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.role.StartsAsFollower(n.view(n.clock.Now()))
}

// watchersToPoll returns the nodes that this one polls.
func (n *Node) watchersToPoll() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.role.ToPoll(n.view(n.clock.Now()))
}

// waitsForNews reports whether this node polls on although the watchers have failed it, since it last had news at
// the given time.
func (n *Node) waitsForNews(lastNews time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return roster.WaitsForNews(n.clock.Since(lastNews), n.settings.Node, n.peers.Size())
}

// takeSeat determines, when the whole system starts for the first time, which nodes of the hall read the store
// for the others (package seat), and reports whether this node is one of them.
func (n *Node) takeSeat(ctx context.Context) bool {
	seats, self := seat.New(n.kv, n.settings.Hall, roster.WatchersPerHall), seat.Holder{Node: n.settings.Node, Address: n.settings.Peers}
	holders, taken := seats.Await(ctx, n.clock, n.log, self, n.settings.Cores)
	if taken {
		return true
	}
	return n.followSeats(holders)
}

// followSeats makes this node follow the holders of its hall's seats until it knows the other nodes. It reports
// whether it is one of the holders itself, as after a call whose response was lost.
func (n *Node) followSeats(holders []seat.Holder) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, h := range holders {
		if h.Node == n.settings.Node {
			return true
		}
		n.peers.GetOrAdd(h.Node, h.Address).Hall = n.settings.Hall
		n.role.Seats = append(n.role.Seats, h.Node)
	}
	return false
}

// followStore watches the store or polls the watchers until the context ends.
func (n *Node) followStore(ctx context.Context) {
	if n.settings.FirstStart {
		if n.takeSeat(ctx) {
			n.holdsSeat.Store(true)
		}
	} else {
		n.registryPoller.Await(ctx)
	}
	for ctx.Err() == nil {
		if n.mustWatch() {
			n.log.Info("watching", zap.Strings("watchers", n.watchers()))
			n.clock.While(ctx, roleCheckInterval, n.mustWatch, n.catalogFollower.Run, n.listFollower.Run)
		} else {
			n.clock.While(ctx, roleCheckInterval, func() bool { return !n.mustWatch() }, n.followWatchers)
		}
	}
}

// followWatchers polls the watchers, and makes this node watch by itself when all of them have failed.
func (n *Node) followWatchers(ctx context.Context) {
	// A node that has watched the store has the whole list, and its watcher sends a part.
	at := follow.NewPosition(n.pools.IsPartial() && !n.partial.Load())
	p := follow.Polling{
		Clock: n.clock, Log: n.log, Names: n.watchersToPoll, Late: n.lag.Late,
		Poll: func(ctx context.Context, name string) error { return n.pollWatcher(ctx, name, at) },
		WaitsFor: func(lastNews time.Time) bool {
			return n.waitsForNews(lastNews) || n.isStarting() && n.startsAsFollower()
		},
	}
	if p.Run(ctx) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.role.WatchItself(n.clock.Now())
	}
}
