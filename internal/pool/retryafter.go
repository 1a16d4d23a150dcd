package pool

import "time"

// This file computes when rejected callers may return while all upstreams of a service are in a cooldown,
// have used up their limits, or are brittle and full. retry.ReturnSchedule assigns the return times; this file provides the
// capacity.

// RetryAfter returns how long a caller that is rejected now must wait before it returns, if all upstreams
// that could take its request are in a cooldown, have used up their limits, or are brittle and full;
// otherwise 0. Each call assigns a return time.
func (p *Pools) RetryAfter(service string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	s := p.service(service)
	p.sumPeerLoad(now, service, p.engine(now, service))
	var slots, pace float64 // over all nodes; pace is in requests a second
	soonest := time.Duration(0)
	for _, m := range p.services[service] {
		if m.entry.Leaving || m.misplaced {
			continue
		}
		l := m.entry.Incarnation()
		rate, limited := p.limits.Rate(now, l)
		wait := p.cooldowns.Wait(now, l)
		if limited {
			wait = max(wait, p.limits.Wait(now, l, s.size.Slots > 0))
		}
		wait = max(wait, p.brittleWait(now, m))
		if wait == 0 {
			return 0
		}
		if soonest == 0 || wait < soonest {
			soonest = wait
		}
		finish := float64(m.entry.Slots) * 1000 / s.durationMs
		if limited && rate < finish {
			pace += rate
			continue
		}
		slots += float64(m.entry.Slots)
		pace += finish
	}
	if soonest == 0 {
		return 0
	}
	nodes := float64(p.nodes(now))
	return s.returns.Next(now, soonest, slots/nodes, pace/nodes)
}

// nodes returns how many nodes share the upstreams: this one and those whose reports are recent.
func (p *Pools) nodes(now time.Time) int {
	n := 1
	if now.Sub(p.peerLoadsAt) <= peerLoadTTL {
		n += len(p.covered)
	}
	for name, v := range p.reports {
		if now.Sub(v.at) <= peerReportTTL && !p.covers(now, name) {
			n++
		}
	}
	return n
}
