package edge

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/pool"
)

// This file asks the engines which prompt parts they have cached when a process starts in a running system,
// as all processes do after a loss of all nodes. Listing delays the engine's work, so only one of the relays
// of its hall asks each engine, once, and the result spreads like placements. Asking only after it is certain
// that no remaining node has the data took a second more, in which most of the callers had reconnected.

const (
	// cachedWaitLimit is how long after its start a process waits to discover the other nodes: without them
	// it can't determine which engines are assigned to it.
	cachedWaitLimit = 500 * time.Millisecond
	cachedPoll      = 20 * time.Millisecond
)

// restoreCachedParts asks the engines that are assigned to this node.
func (n *Node) restoreCachedParts(ctx context.Context) {
	if n.settings.FirstStart || n.options.FetchCachedParts == nil {
		return
	}
	select {
	case <-n.initialized:
	case <-ctx.Done():
		return
	}
	for n.clock.Since(n.start) < cachedWaitLimit && !n.hasReadRegistry() {
		if n.clock.Sleep(ctx, cachedPoll) != nil {
			return
		}
	}
	for _, e := range n.assignedEngines() {
		if !n.pools.AllowQuery(e) {
			n.log.Info("cached_unasked", zap.String("upstream", e.ID), zap.String("cause", "in cooldown, or its rate limit is used up"))
			continue
		}
		sent := n.clock.Now()
		parts, response, err := n.options.FetchCachedParts(ctx, e.Address)
		n.observeResponse(e, response, sent)
		if err != nil {
			n.log.Info("cached_unread", zap.String("upstream", e.ID), zap.Duration("asks_rest", response.Cooldown), zap.String("cause", err.Error()))
			continue
		}
		n.pools.ApplyCachedParts(e.ID, parts)
		n.log.Info("cached_found", zap.String("upstream", e.ID), zap.Int("parts", len(parts)))
	}
}

// hasReadRegistry reports whether the registry of nodes has been read.
func (n *Node) hasReadRegistry() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.role.RegistryRead
}

// assignedEngines returns the engines of this hall that are assigned to this node.
func (n *Node) assignedEngines() []pool.Entry {
	n.mu.Lock()
	relays := n.view(n.clock.Now()).HallNodes(n.settings.Hall).Relays().Names()
	n.mu.Unlock()
	c := n.currentCatalog()
	var list []pool.Entry
	for _, v := range n.pools.Items() {
		e := v.Entry
		if s := c.Service(e.Service); s == nil || s.Engine == nil || e.Hall != n.settings.Hall || e.Leaving || len(relays) == 0 {
			continue
		}
		if relays[xxhash.Sum64String(e.ID)%uint64(len(relays))] == n.settings.Node {
			list = append(list, e)
		}
	}
	return list
}
