package pool

import (
	"time"

	"spurhall.example/spurhall/internal/retry"
)

// This file is when callers may come back that are turned away while all upstreams of a service rest.
//
// The load that it answers: for 0.2 to 5 s all that comes is turned away, at each node. Told the end of
// the rest, all would be there in one moment: of 400 callers turned away within a second of rest 320 find no
// place and wait behind each other, and with them whoever comes anew (TestCallersComeBackInOrder). So each is
// told the moment at which its turn is: as many as there are places come at once, the others at the pace at
// which requests end. A node goes by its share of both, since it can't ask the others before it answers.

// comeBackSpread bounds how much later than the end of the rest a caller is told to come: few callers have longer
// to wait for, and how long requests last is a guess. More turns than it holds begin again at its start, so that
// those beyond it come evenly, too, and not all at its end.
const comeBackSpread = 5 * time.Second

// ComeBack returns how long a caller that is turned away now is to stay away, where all upstreams that could
// take it rest; else 0. Each call takes a turn.
func (p *Pools) ComeBack(service string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	var list []retry.Lifetime
	slots := 0
	for _, m := range p.services[service] {
		if !m.entry.Leaving && !m.gone {
			list = append(list, m.entry.lifetime())
			slots += m.entry.Slots
		}
	}
	rest := p.rests.Soonest(now, list)
	if rest == 0 {
		return 0
	}
	return p.service(service).turn(now, rest, float64(slots)/float64(p.nodes(now)))
}

// turn returns when the next caller may come, given the places that this node counts on once the rest is over.
func (s *service) turn(now time.Time, rest time.Duration, places float64) time.Duration {
	if places <= 0 {
		return rest
	}
	end := now.Add(rest)
	pace := time.Duration(s.lasts / places * float64(time.Millisecond))
	if s.turns.Before(end) {
		s.turns = end
	}
	at := s.turns.Add(-time.Duration(places-1) * pace) // as many as there are places come at once
	s.turns = s.turns.Add(pace)
	return rest + max(0, at.Sub(end))%comeBackSpread
}

// nodes is how many nodes share the upstreams, this one included: those that were heard of lately.
func (p *Pools) nodes(now time.Time) int {
	n := 1
	if now.Sub(p.shared) <= sharesKeep {
		n += len(p.covered)
	}
	for name, v := range p.peers {
		if now.Sub(v.at) <= peerKeeps && !p.covers(now, name) {
			n++
		}
	}
	return n
}
