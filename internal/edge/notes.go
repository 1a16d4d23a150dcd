package edge

import (
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/pair"
)

// This file keeps the log lines about other nodes to the fleet's size. A line for each pair
// grows with its square: when all nodes of 95 return at once these lines were seven in ten
// of the log. So in a fleet in which pairs don't swap reports in each round, the nodes that
// watch the store for their hall tell of each other node, and all others how many there
// were in a round.

// notes counts what was not told by itself since the last round.
type notes struct {
	teller bool // this node tells of each other node
	counts map[string]int
}

// notePeer logs an event of another node, or counts it. The node's lock is held.
func (n *Node) notePeer(event string, fields ...zap.Field) {
	if n.notes.teller || pair.Interval(n.peers.size()) == pair.Round {
		n.log.Info(event, fields...)
		return
	}
	if n.notes.counts == nil {
		n.notes.counts = make(map[string]int)
	}
	n.notes.counts[event]++
}

// tellPeers logs what was counted in a round, and settles whether this node tells of each
// other node in the next. The node's lock is held.
func (n *Node) tellPeers() {
	n.notes.teller = n.watchesFor(n.clock.Now())
	if len(n.notes.counts) == 0 {
		return
	}
	c := n.notes.counts
	n.notes.counts = nil
	n.log.Info("peers_changed", zap.Int("found", c["peer_found"]), zap.Int("heard", c["peer_heard"]), zap.Int("silent", c["peer_silent"]),
		zap.Int("gone", c["peer_gone"]), zap.Int("known", len(n.peers.peers)))
}
