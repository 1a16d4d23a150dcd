package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// This file finds the sets of parts that the known crashes have in common, and decides whether they suffice to quarantine
// them.

// find returns the quarantined sets that follow from the crashes.
func (p *partTracker) find() []*partQuarantine {
	p.cluster()
	all := make(map[PartKey][]*knownCrash, len(p.refs))
	for _, c := range p.crashes {
		for _, x := range c.Prompt.parts {
			k := PartKey{Service: c.Prompt.service, Part: x}
			all[k] = append(all[k], c)
		}
	}
	var list []*partQuarantine
	for {
		k, ok := p.worst(all, list)
		if !ok {
			return p.withoutExplained(list)
		}
		q := &partQuarantine{service: k.Service, crashes: all[k], workspaces: make(map[uint64]bool), unproved: !p.answeredSince(k.Service, all[k][0].At)}
		for _, c := range q.crashes {
			q.workspaces[c.Prompt.workspace] = true
		}
		for o, crashes := range all {
			if o.Service == k.Service && slices.Equal(crashes, all[k]) {
				q.parts = append(q.parts, o.Part)
			}
		}
		slices.Sort(q.parts)
		list = append(list, q)
	}
}

// withoutExplained removes the sets whose crashes the others explain, those closest to the fewest crashes first, and marks
// the crashes of the others.
func (p *partTracker) withoutExplained(list []*partQuarantine) []*partQuarantine {
	closest := make(map[*partQuarantine]int)
	for _, q := range list {
		for _, c := range q.crashes {
			if c.Begun {
				closest[q]++
			}
		}
	}
	for _, q := range slices.SortedStableFunc(slices.Values(list), func(x, y *partQuarantine) int { return cmp.Compare(closest[x], closest[y]) }) {
		others := slices.DeleteFunc(slices.Clone(list), func(o *partQuarantine) bool { return o == q })
		k := PartKey{Service: q.service, Part: q.parts[0]}
		if !p.suffices(k, unexplained(k, q.crashes, others)) {
			list = others
		}
	}
	for _, c := range p.crashes {
		c.held = false
	}
	for _, q := range list {
		for _, c := range q.crashes {
			c.held = true
		}
	}
	return list
}

// cluster finds out which crashes are the same one, as observed by several requests, and which of these were closest.
func (p *partTracker) cluster() {
	type start struct {
		at    time.Time
		index int
	}
	latest := make(map[string]start)
	begun := make(map[int]bool)
	next := 0
	for _, c := range p.crashes {
		v, ok := latest[c.Upstream]
		if !ok || c.At.Sub(v.at) >= sameCrashWindow {
			v = start{c.At, next}
			latest[c.Upstream] = v
			next++
		}
		c.cluster = v.index
		begun[c.cluster] = begun[c.cluster] || c.Begun
	}
	for _, c := range p.crashes {
		c.weak = begun[c.cluster] && !c.Begun
	}
}

// worst returns the part with the most crashes that no quarantined set explains, if these are enough to quarantine it.
func (p *partTracker) worst(all map[PartKey][]*knownCrash, held []*partQuarantine) (worst PartKey, found bool) {
	most := 0
	for k, crashes := range all {
		if len(crashes) < partCrashThreshold || slices.ContainsFunc(held, func(q *partQuarantine) bool { return q.service == k.Service && slices.Contains(q.parts, k.Part) }) {
			continue
		}
		left := unexplained(k, crashes, held)
		if !p.suffices(k, left) {
			continue
		}
		n := countClusters(left)
		if !found || cmp.Or(cmp.Compare(n, most), cmp.Compare(len(all[worst]), len(crashes)), cmp.Compare(worst.Part, k.Part)) > 0 {
			worst, most, found = k, n, true
		}
	}
	return worst, found
}

// unexplained returns the crashes under a part that no quarantined set explains: at these no request had the part together
// with the set, and none with the set had just begun to be answered.
func unexplained(k PartKey, crashes []*knownCrash, held []*partQuarantine) []*knownCrash {
	explained, closest := make(map[int]bool), make(map[int]bool)
	for _, q := range held {
		for _, c := range q.crashes {
			closest[c.cluster] = closest[c.cluster] || c.Begun
		}
	}
	for _, c := range crashes {
		if closest[c.cluster] || slices.ContainsFunc(held, func(q *partQuarantine) bool { return q.service == k.Service && c.Prompt.hasAll(q.parts) }) {
			explained[c.cluster] = true
		}
	}
	if len(explained) == 0 {
		return crashes
	}
	var list []*knownCrash
	for _, c := range crashes {
		if !explained[c.cluster] {
			list = append(list, c)
		}
	}
	return list
}

// suffices reports whether crashes under a part are enough to quarantine it.
func (p *partTracker) suffices(k PartKey, crashes []*knownCrash) bool {
	strong := slices.DeleteFunc(slices.Clone(crashes), func(c *knownCrash) bool { return c.weak })
	if !recur(strong, partCrashThreshold) && !recur(crashes, weakPartThreshold) {
		return false
	}
	first, last := crashes[0].At, crashes[len(crashes)-1].At
	clusters, all := countClusters(crashes), p.clustersBetween(k.Service, first, last)
	if !p.answeredSince(k.Service, first) {
		return clusters == all && recur(strong, partCrashThreshold) && countClusters(strong) >= unprovedPartThreshold
	}
	return float64(clusters) >= partShare*float64(all)
}

// answeredSince reports whether a request of a service was answered after a time.
func (p *partTracker) answeredSince(service uint64, since time.Time) bool {
	answer := p.answers[PartKey{Service: service, Any: true}]
	return answer != nil && answer.At.After(since)
}

// recur reports whether crashes are of so many upstreams, in as many bursts and under as many requests; one request less
// if there is one burst more.
func recur(crashes []*knownCrash, least int) bool {
	if len(crashes) < least {
		return false
	}
	requests := make(map[uint64]bool)
	for _, c := range crashes {
		requests[c.Request] = true
	}
	bursts := min(countPartBursts(crashes), countClusters(crashes))
	return bursts >= least && len(requests) >= least || bursts > least && len(requests) >= least-1
}

// clustersBetween returns how many upstreams crashed under requests of a service in a span.
func (p *partTracker) clustersBetween(service uint64, first, last time.Time) int {
	var list []*knownCrash
	for _, c := range p.crashes {
		if c.Prompt.service == service && !c.At.Before(first) && !c.At.After(last) {
			list = append(list, c)
		}
	}
	return countClusters(list)
}

// countClusters returns how many upstreams' crashes the crashes observed are.
func countClusters(list []*knownCrash) int {
	seen := make(map[int]bool, len(list))
	for _, c := range list {
		seen[c.cluster] = true
	}
	return len(seen)
}

// countPartBursts counts crashes, which are sorted by time, with those within partBurst of the first of a burst as one.
func countPartBursts(list []*knownCrash) int {
	n := 0
	var first time.Time
	for _, c := range list {
		if n == 0 || c.At.Sub(first) >= partBurst {
			n, first = n+1, c.At
		}
	}
	return n
}
