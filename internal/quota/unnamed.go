package quota

import "time"

// This file shares quotas with nodes that are assumed to exist and aren't known by name: a process that starts behind a cut
// knows neither the registry nor the nodes on the other side. They are assumed to charge as silent nodes are.

// setUnnamed sets how many nodes are assumed beside those that are known. With fewer nodes, each of them has a larger part, so
// that what is returned to the buckets is shared with those that remain unnamed.
func (q *Quotas) setUnnamed(now time.Time, count int) {
	for len(q.unnamed) < count {
		q.unnamed = append(q.unnamed, &peer{lastSeen: now})
	}
	if len(q.unnamed) == count {
		return
	}
	before := float64(len(q.peers) + len(q.unnamed) + 1)
	ended := q.unnamed[count:]
	q.unnamed = q.unnamed[:count]
	growth := before/float64(len(q.peers)+count+1) - 1
	for _, b := range q.buckets {
		q.refill(now, b)
		x := 0.0
		for _, p := range ended {
			x += p.assumedOf(b)
		}
		for _, p := range q.unnamed {
			more := growth * p.assumedOf(b)
			p.assume(b, more)
			x -= more
		}
		b.fill(x)
	}
}

// takeUnnamed returns the state of a node that becomes known: that of an unnamed one, if there is one.
func (q *Quotas) takeUnnamed(now time.Time) *peer {
	last := len(q.unnamed) - 1
	if last < 0 {
		return &peer{lastSeen: now}
	}
	p := q.unnamed[last]
	q.unnamed = q.unnamed[:last]
	return p
}

// deductUnnamed deducts what unnamed nodes may have charged in a round, and, in a node's first one, its even share of the level.
func (q *Quotas) deductUnnamed(d float64) {
	nodes := q.Nodes()
	for _, b := range q.buckets {
		level, refill := max(0, b.level), b.limit.Rate*d
		for _, p := range q.unnamed {
			x := refill / nodes
			if !p.unresponsive {
				x += level / nodes
			}
			p.assume(b, x)
			b.level -= x
		}
	}
	for _, p := range q.unnamed {
		p.unresponsive = true
	}
}

// assumedOf returns what a node is assumed to have charged to a bucket.
func (p *peer) assumedOf(b *bucket) float64 {
	if b.index < len(p.assumed) {
		return p.assumed[b.index]
	}
	return 0
}

// assume adds what a node is assumed to have charged to a bucket.
func (p *peer) assume(b *bucket, x float64) {
	if n := b.index + 1 - len(p.assumed); n > 0 {
		p.assumed = append(p.assumed, make([]float64, n)...)
	}
	p.assumed[b.index] += x
}
