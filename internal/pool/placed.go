package pool

import "time"

// This file places requests for other nodes. In a large fleet a node asks its relay where to
// send a prompt: the relay places the prompts of all its nodes one after the other, and
// knows of each at once. Nodes that choose by themselves know of each other's choices some
// tenths of a second late.
//
// The load that this answers is that of unseen.go (TestRelaysPlace plays it).
//
// Weighed: one node that places for the whole fleet. A hall that is cut off has to go on.

// pending is a request that was placed for another node, until the node's own reports tell
// of it.
type pending struct {
	node string
	at   time.Time
	load Load
}

// PlaceFor chooses an upstream for a request of another node, and counts it there. It returns
// the upstream's id, or nothing if there is none.
func (p *Pools) PlaceFor(node string, n Request) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	v, ok := p.choose(now, n)
	if !ok {
		return ""
	}
	p.limits.Take(now, v.member.entry.Incarnation(), n.Engine)
	l := Load{Upstream: v.member.entry.ID, Running: 1, Queued: v.reads, Reserved: n.Prompt + n.Output}
	p.pending = append(p.pending, pending{node: node, at: now, load: l})
	p.place(now, v.member, n.Parts)
	return l.Upstream
}

// Pending returns what was placed for others and isn't told of by them yet.
func (p *Pools) Pending() []Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]Load, len(p.pending))
	for i, v := range p.pending {
		list[i] = v.load
	}
	return list
}

// Settle drops the requests that were placed for others and that the shares tell of by now.
func (p *Pools) DropReported(told func(node string, at time.Time) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	left := p.pending[:0]
	for _, v := range p.pending {
		if !told(v.node, v.at) && p.clock.Now().Sub(v.at) <= peerKeeps {
			left = append(left, v)
		}
	}
	p.pending = left
}
