package model

import (
	"slices"
	"time"

	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/relay"
)

// This file lets nodes learn of each other.

// tell is one round of a node.
func (p *play) tell(n *node) {
	p.after(round, func() { p.tell(n) })
	if p.l.Spread == SpreadPairs {
		p.tellPairs(n)
		return
	}
	p.tellRelay(n)
}

// tellPairs swaps with the nodes whose turn it is: after so many rounds, each once.
func (p *play) tellPairs(n *node) {
	i := slices.Index(p.nodes, n)
	turn := int(p.now / round)
	every := max(1, (len(p.nodes)-1+pairsARound-1)/pairsARound)
	for j := i + 1; j < len(p.nodes); j++ {
		if (i+j+turn)%every == 0 {
			p.swap(n, p.nodes[j])
		}
	}
}

func (p *play) swap(a, b *node) {
	la, pa := a.pools.Report()
	lb, pb := b.pools.Report()
	sa, sb := p.seen(a), p.seen(b)
	p.after(hop, func() {
		a.pools.ApplyReport(b.name, lb, pb, nil)
		b.pools.ApplyReport(a.name, la, pa, nil)
		a.pools.ApplySeenSpeeds(b.name, sb)
		b.pools.ApplySeenSpeeds(a.name, sa)
	})
}

func (p *play) hallOf(hall string) relay.Ranking {
	nodes := make(map[string]float64)
	for _, n := range p.nodes {
		if n.hall == hall {
			nodes[n.name] = 1
		}
	}
	return relay.Rank(nodes)
}

func (p *play) named(name string) *node {
	return p.nodes[slices.IndexFunc(p.nodes, func(n *node) bool { return n.name == name })]
}

func (p *play) tellRelay(n *node) {
	loads, placed := n.pools.Report()
	n.sequence++
	seen := p.seen(n)
	r := relay.Report{Node: n.name, Incarnation: "1", Sequence: n.sequence, Uptime: p.now, Loads: loads, Placed: placed}
	ordered := p.hallOf(n.hall)
	now := p.clock.Service().Now()
	if ordered.Relays().Has(n.name) {
		n.book.ApplyReport(now, r)
		n.book.Expire(now)
		p.digest(n)
		p.swapRelays(n)
		return
	}
	h := p.named(ordered.ReportTargets(n.name)[0])
	p.after(hop, func() {
		now := p.clock.Service().Now()
		h.book.ApplyReport(now, r)
		h.pools.ApplySeenSpeeds(n.name, seen)
		figures := h.pools.SpeedFigures(n.name, false)
		lifetime, version := n.view.KnownVersion(now, h.name)
		d := h.book.Digest(now, n.name, h.book.BaseVersion(lifetime, version))
		p.after(hop, func() {
			p.take(n, h, d)
			n.pools.ApplySpeedFigures(figures)
		})
	})
}

// pick chooses an engine for a request of a node.
func (p *play) pick(n *node, need pool.Request) *pool.Use {
	if p.l.Spread == SpreadPlaced {
		if h := p.named(p.hallOf(n.hall).ReportTargets(n.name)[0]); h != n {
			return n.pools.PickAt(need, h.pools.PlaceFor(n.name, need))
		}
	}
	return n.pools.Pick(need)
}

func (p *play) take(n, from *node, d relay.Digest) {
	covered := make(map[string]bool)
	for _, w := range n.view.ApplyDigest(p.clock.Service().Now(), from.name, d) {
		covered[w.Node] = true
	}
	n.pools.ApplyPeerLoads(d.Shares, covered, d.Placed)
}

// swapRelays swaps with the relays behind this one in name.
func (p *play) swapRelays(n *node) {
	for h := 0; h < p.l.Halls; h++ {
		for _, name := range p.hallOf(p.nodes[h].hall).Relays().Names() {
			if name <= n.name {
				continue
			}
			o := p.named(name)
			p.after(hop, func() {
				p.group(n, o)
				p.group(o, n)
			})
		}
	}
}

func (p *play) group(from, to *node) {
	now := p.clock.Service().Now()
	lifetime, version := to.book.KnownVersion(from.name)
	g := from.book.Group(now, from.book.BaseVersion(lifetime, version))
	if p.l.Spread == SpreadPlaced {
		g.Share.Loads = append(g.Share.Loads, from.pools.Pending()...)
	}
	to.book.MergeGroup(now, g)
	p.tellParts(from, to)
	if p.l.Spread == SpreadPlaced {
		p.digest(to)
	}
}

// digest takes in what a relay knows by itself.
func (p *play) digest(n *node) {
	now := p.clock.Service().Now()
	_, version := n.view.KnownVersion(now, n.name)
	d := n.book.Digest(now, n.name, version)
	if p.l.Spread == SpreadPlaced {
		d.Shares[0].Complete = true
		n.pools.DropReported(func(node string, at time.Time) bool { return n.book.LastSeen(node).After(at.Add(hop)) })
	}
	p.take(n, n, d)
}
