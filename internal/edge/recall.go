package edge

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/relay"
)

// This file asks the engines what they have cached when a process starts amid the work, as
// all do after a loss of all nodes. The list holds up the engine's work, so each engine is
// asked once, by one of the relays of its hall, and the answer goes on to the others as
// placements do. Asking only once it is clear that no node is left that knows took a second
// more, in which most of the callers came back.

const (
	// recallWithin is how long after its start a process waits until it has found the
	// others: without them it can't tell which engines fall to it.
	recallWithin = 500 * time.Millisecond
	recallPoll   = 20 * time.Millisecond
)

// recallCached asks this node's part of the engines.
func (n *Node) recallCached(ctx context.Context) {
	if n.s.FirstStart || n.o.FetchCachedParts == nil {
		return
	}
	select {
	case <-n.known:
	case <-ctx.Done():
		return
	}
	for n.clock.Since(n.start) < recallWithin && !n.foundOthers() {
		if n.clock.Sleep(ctx, recallPoll) != nil {
			return
		}
	}
	for _, e := range n.enginesToAsk() {
		if !n.pools.AllowQuery(e) {
			n.log.Info("cached_unasked", zap.String("upstream", e.ID), zap.String("cause", "it rests, or has had what it takes"))
			continue
		}
		sent := n.clock.Now()
		parts, said, err := n.o.FetchCachedParts(ctx, e.Address)
		n.heard(e, said, sent)
		if err != nil {
			n.log.Info("cached_unread", zap.String("upstream", e.ID), zap.Duration("asks_rest", said.Cooldown), zap.String("cause", err.Error()))
			continue
		}
		n.pools.ApplyCachedParts(e.ID, parts)
		n.log.Info("cached_found", zap.String("upstream", e.ID), zap.Int("parts", len(parts)))
	}
}

// foundOthers tells whether the registry of the nodes has been read.
func (n *Node) foundOthers() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.looked
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
