package pool

import (
	"cmp"
	"slices"
	"time"
)

// This file shows operators what a node believes of its upstreams. No decision depends on it.

// State is what a node believes of one upstream, and how it treats it.
type State struct {
	Entry          Entry
	Misplaced      bool          // another upstream uses its address
	Cooldown       time.Duration // how long this node still sends it no requests; 0: none
	Limited        bool          // it states a rate for all nodes together
	Rate           float64       // requests a second
	LimitAge       time.Duration // since it last stated the rate
	Share          float64       // this node's share in requests a second; 0: only other nodes may send to it
	Slowness       float64       // how many times as long as usual its responses are believed to take
	Speed          float64       // how many times as fast as usual it is lastingly; 0: not known to differ
	SpeedEvidence  float64       // responses that this rests on
	UnreachableAge time.Duration // since it was last unreachable; negative: reachable, or too long ago to count
	Running        int           // requests of this node in progress there
}

// States returns the state of the upstreams of a service, or of all services if it is empty, sorted by
// service and id.
func (p *Pools) States(service string) []State {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	var list []State
	for _, m := range p.members {
		if service == "" || m.entry.Service == service {
			list = append(list, p.state(now, m))
		}
	}
	slices.SortFunc(list, func(a, b State) int {
		return cmp.Or(cmp.Compare(a.Entry.Service, b.Entry.Service), cmp.Compare(a.Entry.ID, b.Entry.ID))
	})
	return list
}

func (p *Pools) state(now time.Time, m *member) State {
	l := m.entry.Incarnation()
	s := State{Entry: m.entry, Misplaced: m.misplaced, Cooldown: p.cooldowns.Wait(now, l), Slowness: m.pace.slowness(now), UnreachableAge: -1, Running: m.load.Running}
	if w, share, named := p.limits.Lookup(now, l); named {
		s.Limited, s.Rate, s.LimitAge, s.Share = true, w.Rate, now.Sub(w.At), share
	}
	if f := p.speedOf(now, m); f.Weight > 0 {
		s.SpeedEvidence = f.Weight
		if !f.Usual() {
			s.Speed = f.Speed
		}
	}
	if d := now.Sub(m.unreachableAt); d < unreachableTTL {
		s.UnreachableAge = d
	}
	return s
}
