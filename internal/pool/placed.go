package pool

import "time"

// This file chooses upstreams on behalf of other nodes. In a large fleet a node asks its relay where to
// send a prompt. The relay places the prompts of all its nodes one after the other and takes each
// placement into account at once, while nodes that choose by themselves learn of each other's choices some
// tenths of a second late.
//
// This addresses the same load as unreported.go (TestRelaysPlace simulates it).
//
// Alternatives considered: one node that places the requests of the whole fleet. A hall that is
// partitioned off has to continue without it.

// pending is a request that was placed for another node and is not yet contained in that node's reports.
type pending struct {
	node string
	at   time.Time
	load Load
}

// PlaceFor chooses an upstream for a request of another node, and counts it there. It returns the
// upstream's id, or an empty string if there is none.
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
	p.recordPlacement(now, v.member, n.Parts)
	return l.Upstream
}

// Pending returns the requests that were placed for other nodes and are not yet contained in their
// reports.
func (p *Pools) Pending() []Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]Load, len(p.pending))
	for i, v := range p.pending {
		list[i] = v.load
	}
	return list
}

// DropReported drops the placed requests that the nodes' reports contain by now. reported returns whether a
// node's reports cover its requests of a given time.
func (p *Pools) DropReported(reported func(node string, at time.Time) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	left := p.pending[:0]
	for _, v := range p.pending {
		if !reported(v.node, v.at) && p.clock.Now().Sub(v.at) <= peerReportTTL {
			left = append(left, v)
		}
	}
	p.pending = left
}
