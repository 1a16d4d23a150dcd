package edge

import (
	"time"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/limit"
	"spurhall.example/spurhall/internal/message"
	"spurhall.example/spurhall/internal/wire"
)

// This file shares the rate limits that upstreams set for all nodes together (package limit). They are part of
// every report, digest and swap, like the crash evidence: a node keeps to the limit of an overloaded upstream
// even if it has received no response from that upstream itself.

// mergeLimits merges the limits that another node knows.
func (n *Node) mergeLimits(m []*wire.Limited, source string) {
	for _, w := range n.pools.ApplyLimits(message.LimitsFromWire(n.clock.Now(), m)) {
		n.logLimit(source, w)
	}
}

// logLimit logs that a limit is set, changed or lifted, and the source.
func (n *Node) logLimit(source string, w limit.Observation) {
	f := []zap.Field{zap.String("upstream", w.Upstream.ID), zap.Int64("born", w.Upstream.Born), zap.String("source", source)}
	if w.Lifted {
		upstreamEvents.Add("limits_lifted", 1)
		n.log.Info("limit_lifted", f...)
		return
	}
	upstreamEvents.Add("limits_named", 1)
	n.log.Info("limit_named", append(f, zap.Float64("rate", w.Rate))...)
}

// updateLimitSenders sets the nodes that share limits: those that are responsive or registered, and not
// leaving. Where relays place the requests at engines, only the relays share an engine's limit. A process that
// doesn't know the other nodes yet has no share: after a loss of all processes, each would use the whole rate.
// The node's lock is held.
func (n *Node) updateLimitSenders(now time.Time) {
	switch {
	case !n.knowsPeers(now):
		n.pools.SetSenders(nil, nil)
	case n.limitSharing.Take(now, n.pools.HasLimits()):
		v := n.view(now)
		n.pools.SetSenders(v.Senders(), v.Placers())
	}
}
