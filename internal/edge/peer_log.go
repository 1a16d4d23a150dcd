package edge

import (
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/pair"
)

// This file limits the log lines about other nodes. With a line for each pair, they grow with the square of
// the fleet's size: when all 95 nodes of a fleet returned at once, they were seven tenths of the log. So in a
// fleet in which pairs don't swap reports in each round, the nodes that watch the store for their hall log
// each event, and all others log a round's totals.

// peerLog counts the events since the last round that weren't logged individually.
type peerLog struct {
	verbose bool // this node logs each event
	counts  map[string]int
}

// logPeer logs an event of another node, or counts it. The node's lock is held.
func (n *Node) logPeer(event string, fields ...zap.Field) {
	if n.peerLog.verbose || pair.Interval(n.peers.size()) == pair.Round {
		n.log.Info(event, fields...)
		return
	}
	if n.peerLog.counts == nil {
		n.peerLog.counts = make(map[string]int)
	}
	n.peerLog.counts[event]++
}

// flushPeerLog logs the totals of a round, and decides whether this node logs each event of the next one. The
// node's lock is held.
func (n *Node) flushPeerLog() {
	n.peerLog.verbose = n.isWatcherLocked(n.clock.Now())
	if len(n.peerLog.counts) == 0 {
		return
	}
	c := n.peerLog.counts
	n.peerLog.counts = nil
	n.log.Info("peers_changed", zap.Int("found", c["peer_found"]), zap.Int("heard", c["peer_heard"]), zap.Int("silent", c["peer_silent"]),
		zap.Int("gone", c["peer_gone"]), zap.Int("known", len(n.peers.peers)))
}
