package pool

import (
	"cmp"
	"slices"
	"time"
)

// This file is what is believed of upstreams, for operators. Nothing is decided by it.

// State is what a node believes of one upstream, and does about it.
type State struct {
	Entry     Entry
	Misplaced bool          // another upstream has its address
	Cooldown      time.Duration // how long it gets nothing from this node; 0: it may
	Limited   bool          // it names a rate for all nodes together
	Rate      float64       // requests a second
	LimitAge  time.Duration // since it last said so
	Share     float64       // requests a second of this node's; 0: others may send there
	Slowness  float64       // times as long as usual that its answers are believed to take
	UnreachableAge time.Duration // since it couldn't be reached; negative: it could, or that was too long ago to count
	Running   int           // requests of this node there
}

// States returns what is believed of the upstreams of a service, or of all, by id.
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
	s := State{Entry: m.entry, Misplaced: m.gone, Cooldown: p.rests.Wait(now, l), Slowness: m.pace.slowness(now), UnreachableAge: -1, Running: m.load.Running}
	if w, share, named := p.limits.Lookup(now, l); named {
		s.Limited, s.Rate, s.LimitAge, s.Share = true, w.Rate, now.Sub(w.At), share
	}
	if d := now.Sub(m.silent); d < unreachableKeeps {
		s.UnreachableAge = d
	}
	return s
}
