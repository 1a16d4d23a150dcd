package quota

import "time"

// This file applies what other nodes have charged. Its work is in proportion to the workspaces that a node uses, not
// to all workspaces.

// applyCharged deducts what a peer has charged since its last report, in place of what it was assumed to charge.
// Only the workspaces that it has used are visited, unless something was assumed: a fleet has hundreds of
// workspaces, and a node uses few of them.
func (q *Quotas) applyCharged(now time.Time, p *peer, charged map[string]float64, late bool) {
	if p.assumed != nil {
		for n, b := range q.buckets {
			q.applyDifference(now, p, n, b, charged[n]-p.charged[n], late)
		}
	} else {
		q.applyUsed(now, p, charged, late)
	}
	p.charged, p.assumed, p.overflow = charged, nil, q.overflows(now)
}

// applyUsed is applyCharged for a peer of which nothing was assumed.
func (q *Quotas) applyUsed(now time.Time, p *peer, charged map[string]float64, late bool) {
	for n, x := range charged {
		if b := q.buckets[n]; b != nil && x != p.charged[n] {
			q.applyDifference(now, p, n, b, x-p.charged[n], late)
		}
	}
	for n, x := range p.charged {
		if _, still := charged[n]; !still && q.buckets[n] != nil {
			q.applyDifference(now, p, n, q.buckets[n], -x, late) // all of it was refunded
		}
	}
}

// applyDifference applies what a peer has charged to one bucket since its last report.
func (q *Quotas) applyDifference(now time.Time, p *peer, n string, b *bucket, d float64, late bool) {
	q.refill(now, b)
	before, assumed, overflow := b.overflow, p.assumedOf(b), 0.0
	if b.index < len(p.overflow) {
		overflow = p.overflow[b.index]
	}
	b.deduct(d-assumed, late, overflow)
	if b.overflow != before {
		q.overflow = nil
	}
	if d > 0 {
		if p.recent == nil {
			p.recent = make(map[string]float64)
		}
		p.recent[n] += d
		b.peersRecent += d
	}
}

// overflows returns the overflow of all buckets now. The result is shared by all peers whose reports arrive at
// the same time, as they do in a digest.
func (q *Quotas) overflows(now time.Time) []float64 {
	if q.overflow != nil && q.overflowAt.Equal(now) && len(q.overflow) == q.nextIndex {
		return q.overflow
	}
	q.overflow, q.overflowAt = make([]float64, q.nextIndex), now
	for _, b := range q.buckets {
		q.refill(now, b)
		q.overflow[b.index] = b.overflow
	}
	return q.overflow
}
