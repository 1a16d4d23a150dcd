package edge

import (
	"spurhall.example/spurhall/internal/egress"
	"spurhall.example/spurhall/internal/follow"
	"spurhall.example/spurhall/internal/forward"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/uplink"
	"spurhall.example/spurhall/internal/upstream"
)

// This file connects the connections to upstreams (package uplink) with what is known of the other nodes.

func (n *Node) newUplink(direct upstream.DialFunc) *uplink.Uplink {
	dial := forward.DialOptions()
	dial.ReadBuffer = n.link.ReadBuffer()
	return uplink.New(uplink.Options{
		Clock: n.clock, Log: n.log, Pools: n.pools, Dial: dial, Direct: direct, Peers: n.tunnelPeers, Late: n.lag.Late, OnLost: func() { n.lines.CloseIdle() },
		Leaving: n.isLeaving, MaxWait: follow.MaxAge(n.settings.DrainTime), MaxDescriptors: n.settings.MaxDescriptors, Count: func(event string) { upstreamEvents.Add(event, 1) },
	})
}

// tunnelPeers returns the nodes that may open a connection to an upstream.
func (n *Node) tunnelPeers(e pool.Entry) []egress.Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	list := make([]egress.Peer, 0, n.peers.Size())
	for p := range n.view(now).Present() {
		v := egress.Peer{Name: p.Name, Address: p.Address, Hall: p.Hall, Heard: -1}
		if since, ok := n.peers.Get(p.Name).Reach.LastResponse[e.Hall]; ok {
			v.Heard = since + now.Sub(p.LastSeen)
		}
		list = append(list, v)
	}
	return list
}

// leaveTunnels closes idle connections while some of them go through nodes that are leaving, which wait for them to end.
func (n *Node) leaveTunnels(leaving []string) {
	if n.uplink.Uses(leaving) {
		n.lines.CloseIdle()
	}
}
