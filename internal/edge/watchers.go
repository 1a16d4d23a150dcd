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
	// registryWait is how long a starting node waits for the registry, which takes 2 s if a thousand nodes read it
	// at once. firstStartDelay is how long after its start a node reads it when the whole system starts: until
	// then the others have registered.
	registryWait    = 3 * time.Second
	firstStartDelay = 800 * time.Millisecond
	pollGap         = 100 * time.Millisecond // between two polls without news
	// repeatedFailures is the number of failed polls in a row of which one is logged.
	repeatedFailures = 20
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
	return roster.WaitsForNews(n.clock.Since(lastNews), n.settings.Node, n.peers.size())
}

// awaitRegistry waits until this node has tried to read the registry, or was sent it, for a limited time.
func (n *Node) awaitRegistry(ctx context.Context) {
	for !n.registryTried.Load() && n.clock.Since(n.start) < registryWait {
		if n.clock.Sleep(ctx, relayPoll) != nil {
			return
		}
	}
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
		n.peers.getOrAdd(h.Node, h.Address).Hall = n.settings.Hall
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
		n.awaitRegistry(ctx)
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

// followWatchers polls the watchers one after the other, and makes this node watch by itself when all of
// them have failed in a row.
func (n *Node) followWatchers(ctx context.Context) {
	failed, lastNews := 0, n.clock.Now()
	// A node that has watched the store has the whole list, and its watcher sends a part.
	at := follow.NewPosition(n.pools.IsPartial() && !n.partial.Load())
	n.log.Info("following", zap.Strings("watchers", n.watchersToPoll()))
	for ctx.Err() == nil {
		names := n.watchersToPoll()
		name := names[failed%len(names)]
		asked := n.clock.Now()
		err := n.pollWatcher(ctx, name, at)
		if err == nil {
			failed, lastNews = 0, n.clock.Now()
			continue
		}
		if ctx.Err() != nil {
			return
		}
		failed++
		if failed <= roster.WatchersPerHall || failed%repeatedFailures == 0 {
			n.log.Info("follow_failed", zap.String("peer", name), zap.Int("in_a_row", failed), zap.String("cause", err.Error()),
				zap.Duration("took", n.clock.Since(asked)), zap.Duration("late", n.lag.Late()))
		}
		if n.waitsForNews(lastNews) || n.isStarting() && n.startsAsFollower() {
			_ = n.clock.Sleep(ctx, pollGap) // the loop condition checks the context
			continue
		}
		if failed >= roster.WatchersPerHall {
			n.mu.Lock()
			n.role.WatchItself(n.clock.Now())
			n.mu.Unlock()
			return
		}
	}
}
