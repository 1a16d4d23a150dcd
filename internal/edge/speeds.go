package edge

import (
	"expvar"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/logging"
	"spurhall.example/spurhall/internal/message"
	"spurhall.example/spurhall/internal/pair"
	"spurhall.example/spurhall/internal/wire"
)

// This file shares how fast upstreams are lastingly (package speed). What a node has seen is part of its reports.
// Where each pair swaps reports in each round, every node joins them; else the relays do, send each other parts
// with their groups, and their nodes the figures with the digests.

// maxSpeedLines bounds the lines that one round logs.
const maxSpeedLines = 8

// upstreamSpeeds counts the changes of upstreams' lasting speeds.
var upstreamSpeeds = expvar.NewMap("upstream_speeds")

// updateSpeeds computes the speeds anew, and logs those that changed.
func (n *Node) updateSpeeds() {
	for i, v := range n.pools.UpdateSpeeds() {
		upstreamSpeeds.Add("changes", 1)
		if i >= maxSpeedLines {
			upstreamSpeeds.Add("not_logged", 1)
			continue
		}
		n.log.Info("upstream_speed", zap.String("upstream", v.Entry.ID), zap.String("service", v.Entry.Service), zap.Int64("born", v.Entry.Born),
			logging.Hundredths("speed", v.Speed), logging.Hundredths("before", v.Before), logging.Hundredths("responses", v.Weight))
	}
}

// swapsAllPairs reports whether each pair of nodes swaps reports in each round, so that no relays are needed.
func (n *Node) swapsAllPairs() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return pair.Interval(n.peers.Size()) <= pair.Round
}

// mergeSeenSpeeds merges what the sender of a report has seen.
func (n *Node) mergeSeenSpeeds(r *wire.NodeReport) {
	n.pools.ApplySeenSpeeds(r.Node, message.SeenSpeedsFromWire(r.Speeds))
}
