package pool

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// This file combines what the nodes of a hall find out about the reachability of upstreams.
//
// A node of a large fleet sends only a few requests a second. In a partition, each node would have to
// detect it by itself, by failing attempts for as long as the partition lasts. Nodes therefore report to
// their relay which upstreams they could not reach, and when an upstream of each hall last responded to
// them, and the relay forwards it to all nodes of the hall.
//
// An upstream that several nodes of a hall could not reach is chosen last by all of them; one node's
// report is not enough, since the fault may be its own. A hall is considered partitioned off if none of
// its upstreams has responded to any node for a moment in which several attempts failed: if only some
// upstreams of a hall have crashed, the others still respond. A node continues to use upstreams that it
// has reached itself, whatever other nodes report.
//
// Alternatives considered: forwarding it to all halls. Other halls are connected by other paths.

const (
	// minAgreeingNodes is how many other nodes must have failed to reach an upstream for it to be
	// considered unreachable. minPartitionFailures is how many failed attempts at a hall's upstreams are
	// needed for a partition.
	minAgreeingNodes     = 2
	minPartitionFailures = 3
	// partitionSilence is how long no upstream of a hall must have responded for a partition: the duration
	// of a few responses, and the delay of a report and a digest.
	partitionSilence = 800 * time.Millisecond
	// lostTTL is how long an upstream that several nodes could not reach counts as lost capacity: the
	// entry of one that is down lapses in that time, and meanwhile nodes that have others do not send to
	// it.
	lostTTL = 5 * time.Second
	// lostAfter is how long it must have been unreachable before that: a hall that is partitioned off is
	// detected by then, as its nodes are silent, and replacements for its upstreams are not ordered.
	lostAfter = 1250 * time.Millisecond
)

// UnreachableUpstream is an upstream that could not be reached.
type UnreachableUpstream struct {
	Upstream  string
	Born      int64         // start time of its incarnation, from its entry
	Nodes     int           // number of nodes that found it unreachable
	Age       time.Duration // since the latest attempt
	Misplaced bool          // another upstream uses its address, which proves that it has ended
}

// Reachability is what one node, or several, have found out recently.
type Reachability struct {
	Unreachable  []UnreachableUpstream
	LastResponse map[string]time.Duration // since an upstream last responded, by hall
}

// Merge returns the findings of both. o was received the given time ago, by which its ages are increased.
func (r Reachability) Merge(o Reachability, age time.Duration) Reachability {
	s := Reachability{Unreachable: slices.Clone(r.Unreachable), LastResponse: maps.Clone(r.LastResponse)}
	if s.LastResponse == nil {
		s.LastResponse = make(map[string]time.Duration)
	}
	for _, v := range o.Unreachable {
		v.Age += age
		i := slices.IndexFunc(s.Unreachable, func(x UnreachableUpstream) bool { return x.Upstream == v.Upstream && x.Born == v.Born })
		if i < 0 {
			s.Unreachable = append(s.Unreachable, v)
			continue
		}
		x := &s.Unreachable[i]
		x.Nodes, x.Age, x.Misplaced = x.Nodes+v.Nodes, min(x.Age, v.Age), x.Misplaced || v.Misplaced
	}
	for h, since := range o.LastResponse {
		if old, ok := s.LastResponse[h]; !ok || since+age < old {
			s.LastResponse[h] = since + age
		}
	}
	return s
}

// Reachability returns what this node has found out itself.
func (p *Pools) Reachability() Reachability {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	r := Reachability{LastResponse: make(map[string]time.Duration)}
	for m := range p.currentSuspects(now) {
		if age := now.Sub(m.failedAt); m.misplaced || age < unreachableTTL {
			r.Unreachable = append(r.Unreachable, UnreachableUpstream{Upstream: m.entry.ID, Born: m.entry.Born, Nodes: 1, Age: age, Misplaced: m.misplaced})
		}
	}
	slices.SortFunc(r.Unreachable, func(a, b UnreachableUpstream) int { return cmp.Compare(a.Upstream, b.Upstream) })
	for h, t := range p.lastResponse {
		if age := now.Sub(t); age < peerReportTTL {
			r.LastResponse[h] = age
		}
	}
	return r
}

// ApplyReachability applies what the other nodes of this hall have found out. It returns the halls that
// are newly considered partitioned off because of it.
func (p *Pools) ApplyReachability(r Reachability) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	failures := make(map[string]int)
	for _, v := range r.Unreachable {
		m := p.members[v.Upstream]
		if m == nil || v.Born != m.entry.Born {
			continue
		}
		m.misplaced = m.misplaced || v.Misplaced
		p.suspect(m)
		at := now.Add(-v.Age)
		if !m.respondedAt.Before(at) {
			continue // this node has reached it since
		}
		if v.Age < partitionSilence {
			failures[m.entry.Hall] += v.Nodes
		}
		if v.Nodes >= minAgreeingNodes && v.Age < unreachableTTL && at.After(m.unreachableAt) {
			if now.Sub(m.lostAt) >= lostTTL || !m.respondedAt.Before(m.lostAt) {
				m.lostSince = at
			}
			m.unreachableAt, m.lostAt = at, at
		}
	}
	var partitioned []string
	for h, n := range failures {
		silence, known := r.LastResponse[h]
		if n < minPartitionFailures || known && silence < partitionSilence || now.Sub(p.lastResponse[h]) < partitionSilence {
			continue
		}
		if now.Sub(p.partitionedAt[h]) >= unreachableTTL {
			partitioned = append(partitioned, h)
		}
		p.partitionedAt[h] = now
	}
	return partitioned
}

// partitionedHalls returns the halls that are considered partitioned off from this node, by its own
// attempts or by those of several other nodes.
func (p *Pools) partitionedHalls(now time.Time) map[string]bool {
	failed := make(map[string]int)
	for m := range p.currentSuspects(now) {
		h := m.entry.Hall
		if now.Sub(m.failedAt) < unreachableTTL && m.failedAt.After(p.lastResponse[h]) {
			failed[h]++
		}
	}
	partitioned := make(map[string]bool, len(failed))
	for h, n := range failed {
		partitioned[h] = n >= partitionAfter
	}
	for h, t := range p.partitionedAt {
		if now.Sub(t) < unreachableTTL && t.After(p.lastResponse[h]) {
			partitioned[h] = true
		}
	}
	return partitioned
}

// suspect records that an upstream may be unreachable.
func (p *Pools) suspect(m *member) { p.suspects[m] = struct{}{} }

// currentSuspects drops the upstreams that have been reachable for long, or are no longer listed, from the
// suspects, and returns the others.
func (p *Pools) currentSuspects(now time.Time) map[*member]struct{} {
	for m := range p.suspects {
		recent := now.Sub(m.failedAt) < lostTTL || now.Sub(m.unreachableAt) < lostTTL || now.Sub(m.lostAt) < lostTTL
		if p.members[m.entry.ID] != m || !m.misplaced && !recent {
			delete(p.suspects, m)
		}
	}
	return p.suspects
}

// Lost returns the upstreams that do not count as capacity though the store lists them: several nodes
// could not reach them, or another upstream uses their address. Upstreams of a hall that several nodes
// found partitioned off, and whose nodes are silent, are not included: they continue to serve their own
// hall. reporting is the set of halls whose nodes send reports.
func (p *Pools) Lost(reporting map[string]bool) map[string]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lost(p.clock.Now(), reporting)
}

func (p *Pools) lost(now time.Time, reporting map[string]bool) map[string]bool {
	lost := make(map[string]bool)
	for m := range p.currentSuspects(now) {
		h := m.entry.Hall
		partitioned := now.Sub(p.partitionedAt[h]) < lostTTL && !reporting[h] && h != p.hall
		if m.misplaced || !partitioned && now.Sub(m.lostAt) < lostTTL && now.Sub(m.lostSince) >= lostAfter && m.respondedAt.Before(m.lostAt) {
			lost[m.entry.ID] = true
		}
	}
	return lost
}
