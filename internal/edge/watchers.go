package edge

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/pair"
	"spurhall.example/spurhall/internal/relay"
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
	// selfWatchDuration is how long a node watches by itself after the watchers failed it.
	selfWatchDuration = 5 * time.Second
	// roleCheckInterval is how often a node checks whether it has to watch.
	roleCheckInterval = 250 * time.Millisecond
)

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
