package pool

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// This file is what the nodes of a hall find out together about who can be reached.
//
// A node of a large fleet sends some requests a second. When another hall is cut off, each node
// of this one would have to find out by itself, by tries in vain as long as the cut lasts. So
// nodes tell their relay which upstreams they couldn't reach, and when one of each hall last
// answered them, and the relay tells all nodes of the hall.
//
// What several nodes of a hall couldn't reach is asked last by all of them; one node's word
// isn't enough, since the trouble may be its own. A hall is taken for cut off when none of
// its upstreams has answered anybody for a moment in which several tries failed: where some
// upstreams of a hall have died, the others go on answering. What one node has reached itself
// it goes on using, whatever the others say.
//
// Weighed: telling it to all halls. Another hall's way there is another one.

const (
	// agreeing is how many other nodes have to have failed to reach an upstream, and cutTries
	// how many of a hall's upstreams they have to have failed at for a cut.
	agreeing = 2
	cutTries = 3
	// cutQuiet is how long nobody has heard of a hall that is taken for cut off: some answers'
	// time, with the delay of a report and a digest.
	cutQuiet = 800 * time.Millisecond
	// lostKeeps is how long an upstream that several nodes couldn't reach is no capacity: its
	// entry lapses in that time if it is dead, and nobody asks it meanwhile who has others.
	lostKeeps = 5 * time.Second
	// lostAfter is how long it has to have been so: a hall that is cut off is known to be by
	// then, since its nodes aren't heard, and what it has isn't ordered a second time.
	lostAfter = 1250 * time.Millisecond
)

// Unreached is an upstream that couldn't be reached.
type UnreachableUpstream struct {
	Upstream string
	Born     int64         // of its life, as its entry says
	Nodes    int           // that found so
	Age      time.Duration // since the newest try
	Misplaced     bool          // another upstream has its address: that is proof
}

// Reach is what one node, or several, have found out lately.
type Reachability struct {
	Unreachable []UnreachableUpstream
	LastResponse  map[string]time.Duration // since an upstream last answered, by hall
}

// Plus returns what both have found, where o is by so much older than it says.
func (r Reachability) Merge(o Reachability, older time.Duration) Reachability {
	s := Reachability{Unreachable: slices.Clone(r.Unreachable), LastResponse: maps.Clone(r.LastResponse)}
	if s.LastResponse == nil {
		s.LastResponse = make(map[string]time.Duration)
	}
	for _, v := range o.Unreachable {
		v.Age += older
		i := slices.IndexFunc(s.Unreachable, func(x UnreachableUpstream) bool { return x.Upstream == v.Upstream && x.Born == v.Born })
		if i < 0 {
			s.Unreachable = append(s.Unreachable, v)
			continue
		}
		x := &s.Unreachable[i]
		x.Nodes, x.Age, x.Misplaced = x.Nodes+v.Nodes, min(x.Age, v.Age), x.Misplaced || v.Misplaced
	}
	for h, age := range o.LastResponse {
		if old, ok := s.LastResponse[h]; !ok || age+older < old {
			s.LastResponse[h] = age + older
		}
	}
	return s
}

// Reach returns what this node has found out itself.
func (p *Pools) Reachability() Reachability {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	r := Reachability{LastResponse: make(map[string]time.Duration)}
	for id, m := range p.members {
		if age := now.Sub(m.failed); m.gone || age < unreachableKeeps {
			r.Unreachable = append(r.Unreachable, UnreachableUpstream{Upstream: id, Born: m.entry.Born, Nodes: 1, Age: age, Misplaced: m.gone})
		}
	}
	slices.SortFunc(r.Unreachable, func(a, b UnreachableUpstream) int { return cmp.Compare(a.Upstream, b.Upstream) })
	for h, t := range p.reached {
		if age := now.Sub(t); age < peerKeeps {
			r.LastResponse[h] = age
		}
	}
	return r
}

// TakeReach takes in what the other nodes of this hall have found out, and returns the halls
// that are taken for cut off by it and weren't.
func (p *Pools) ApplyReachability(r Reachability) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	tries := make(map[string]int)
	for _, v := range r.Unreachable {
		m := p.members[v.Upstream]
		if m == nil || v.Born != m.entry.Born {
			continue
		}
		m.gone = m.gone || v.Misplaced
		at := now.Add(-v.Age)
		if !m.answered.Before(at) {
			continue // this node has reached it since
		}
		if v.Age < cutQuiet {
			tries[m.entry.Hall] += v.Nodes
		}
		if v.Nodes >= agreeing && v.Age < unreachableKeeps && at.After(m.silent) {
			if now.Sub(m.lost) >= lostKeeps || !m.answered.Before(m.lost) {
				m.lostSince = at
			}
			m.silent, m.lost = at, at
		}
	}
	var cut []string
	for h, n := range tries {
		quiet, known := r.LastResponse[h]
		if n < cutTries || known && quiet < cutQuiet || now.Sub(p.reached[h]) < cutQuiet {
			continue
		}
		if now.Sub(p.told[h]) >= unreachableKeeps {
			cut = append(cut, h)
		}
		p.told[h] = now
	}
	return cut
}

// cutHalls returns the halls that are taken for cut off from this node: by its own tries, or
// by those of several others.
func (p *Pools) cutHalls(now time.Time) map[string]bool {
	failed := make(map[string]int)
	for _, m := range p.members {
		h := m.entry.Hall
		if now.Sub(m.failed) < unreachableKeeps && m.failed.After(p.reached[h]) {
			failed[h]++
		}
	}
	cut := make(map[string]bool, len(failed))
	for h, n := range failed {
		cut[h] = n >= cutAfter
	}
	for h, t := range p.told {
		if now.Sub(t) < unreachableKeeps && t.After(p.reached[h]) {
			cut[h] = true
		}
	}
	return cut
}

// Lost returns the upstreams that are no capacity, though the store lists them: several nodes
// couldn't reach them, or another upstream has their address. Those of a hall that several
// nodes found cut off, and of whose nodes nothing is heard, aren't among them: they go on
// serving their own hall.
func (p *Pools) Lost(heard map[string]bool) map[string]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	lost := make(map[string]bool)
	for id, m := range p.members {
		cut := now.Sub(p.told[m.entry.Hall]) < lostKeeps && !heard[m.entry.Hall] && m.entry.Hall != p.hall
		if m.gone || !cut && now.Sub(m.lost) < lostKeeps && now.Sub(m.lostSince) >= lostAfter && m.answered.Before(m.lost) {
			lost[id] = true
		}
	}
	return lost
}
