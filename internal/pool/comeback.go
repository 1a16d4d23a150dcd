package pool

import "time"

// This file is when callers may come back that are turned away while all upstreams of a service rest, or have
// had what they take.
// Their order is retry.Turns; here is what there is room for.

// ComeBack returns how long a caller that is turned away now is to stay away, where all upstreams that could
// take it rest or have had what they take; else 0. Each call takes a turn.
func (p *Pools) RetryAfter(service string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	s := p.service(service)
	var places, pace float64 // of all nodes; pace is in requests a second
	soonest := time.Duration(0)
	for _, m := range p.services[service] {
		if m.entry.Leaving || m.gone {
			continue
		}
		l := m.entry.Incarnation()
		rate, limited := p.limits.Rate(now, l)
		wait := p.rests.Wait(now, l)
		if limited {
			wait = max(wait, p.limits.Wait(now, l, s.size.Slots > 0))
		}
		if wait == 0 {
			return 0
		}
		if soonest == 0 || wait < soonest {
			soonest = wait
		}
		ends := float64(m.entry.Slots) * 1000 / s.lasts
		if limited && rate < ends {
			pace += rate
			continue
		}
		places += float64(m.entry.Slots)
		pace += ends
	}
	if soonest == 0 {
		return 0
	}
	nodes := float64(p.nodes(now))
	return s.turns.Next(now, soonest, places/nodes, pace/nodes)
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
