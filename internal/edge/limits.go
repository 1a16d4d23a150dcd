package edge

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/limit"
	"spurhall.example/spurhall/internal/message"
	"spurhall.example/spurhall/internal/pair"
	"spurhall.example/spurhall/internal/relay"
	"spurhall.example/spurhall/internal/wire"
)

// This file carries the limits that upstreams name for all nodes together (package limit). They go with every
// report, digest and swap, like what is known of requests that end upstreams: a node that had no answer of an
// upstream in need keeps to its limit all the same.

// hearLimits takes in what another node knows.
func (n *Node) hearLimits(m []*wire.Limited, source string) {
	for _, w := range n.pools.ApplyLimits(message.LimitsFromWire(n.clock.Now(), m)) {
		n.noteLimit(source, w)
	}
}

// noteLimit tells that a limit is named, changed or lifted, and who said so.
func (n *Node) noteLimit(source string, w limit.Observation) {
	f := []zap.Field{zap.String("upstream", w.Upstream.ID), zap.Int64("born", w.Upstream.Born), zap.String("source", source)}
	if w.Lifted {
		upstreamEvents.Add("limits_lifted", 1)
		n.log.Info("limit_lifted", f...)
		return
	}
	upstreamEvents.Add("limits_named", 1)
	n.log.Info("limit_named", append(f, zap.Float64("rate", w.Rate))...)
}

// shareLimits says which nodes share limits: those that this one hears or finds in the registry, and that don't
// leave. Where relays place the requests at engines, they alone share an engine's. A process that doesn't know yet
// who else there is has no share: after a loss of all, each would take the whole rate. The node's lock is held.
func (n *Node) shareLimits(now time.Time) {
	var nodes, placers []string
	if !n.knowsOthers(now) {
		n.pools.SetSenders(nil, nil)
		return
	}
	if !n.isLeaving() {
		nodes = append(nodes, n.s.Node)
	}
	for _, p := range n.peers.peers {
		if !p.leaving && n.isThere(now, p) {
			nodes = append(nodes, p.name)
		}
	}
	slices.Sort(nodes)
	if pair.Interval(n.peers.size()) > pair.Round {
		placers = n.relays(now, relay.Active)
	}
	n.pools.SetSenders(nodes, placers)
}
