package edge

import "go.uber.org/zap"

// This file logs what happens to other nodes; package roster decides which events get a line of their own.

// logPeer logs an event of another node, or counts it. The node's lock is held.
func (n *Node) logPeer(event string, fields ...zap.Field) {
	if n.events.Take(event, n.peers.size()) {
		n.log.Info(event, fields...)
	}
}

// flushPeerLog logs the totals of a round. The node's lock is held.
func (n *Node) flushPeerLog() {
	if c := n.events.EndRound(n.view(n.clock.Now()).IsWatcher()); len(c) > 0 {
		n.log.Info("peers_changed", zap.Int("found", c["peer_found"]), zap.Int("heard", c["peer_heard"]), zap.Int("silent", c["peer_silent"]),
			zap.Int("gone", c["peer_gone"]), zap.Int("known", len(n.peers.peers)))
	}
}
