package edge

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/relay"
)

// This file asks the engines what they have cached after a loss of all nodes. A node that
// starts while others run is told by them; only where all that are heard began with it is
// the knowledge lost. The list holds up the engine's work, so each engine is asked once, by
// one of the relays of its hall, and the answer goes on to the others as placements do.

const (
	// recallAfter is how long after it knows the upstreams a node asks: by then it has heard
	// from others, if there are any.
	recallAfter = 300 * time.Millisecond
	// togetherWithin is how much earlier a node may have begun that began with this one: a
	// loss of all nodes spares none for longer than their restarts take.
	togetherWithin = 3 * time.Second
)

// recallCached asks this node's part of the engines.
func (n *Node) recallCached(ctx context.Context) {
	if n.s.FirstStart || n.o.Cached == nil {
		return
	}
	select {
	case <-n.known:
	case <-ctx.Done():
		return
	}
	if n.clock.Sleep(ctx, recallAfter) != nil || !n.beganTogether() {
		return
	}
	for _, e := range n.enginesToAsk() {
		parts, err := n.o.Cached(ctx, e.Address)
		if err != nil {
			n.log.Info("cached_unread", zap.String("upstream", e.ID), zap.String("cause", err.Error()))
			continue
		}
		n.pools.Held(e.ID, parts)
		n.log.Info("cached_found", zap.String("upstream", e.ID), zap.Int("parts", len(parts)))
	}
}

// beganTogether tells whether no node is heard that began well before this one.
func (n *Node) beganTogether() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.peers.peers {
		if !p.began.IsZero() && n.start.Sub(p.began) > togetherWithin && p.heard.After(n.start) {
			return false
		}
	}
	return true
}

// enginesToAsk returns the engines of this hall that fall to this node.
func (n *Node) enginesToAsk() []pool.Entry {
	n.mu.Lock()
	relays := relay.Relays(n.hallNodes(n.clock.Now(), n.s.Hall))
	n.mu.Unlock()
	c := n.current()
	var list []pool.Entry
	for _, v := range n.pools.Items() {
		e := v.Entry
		if s := c.Service(e.Service); s == nil || s.Engine == nil || e.Hall != n.s.Hall || e.Leaving || len(relays) == 0 {
			continue
		}
		if relays[xxhash.Sum64String(e.ID)%uint64(len(relays))] == n.s.Node {
			list = append(list, e)
		}
	}
	return list
}
