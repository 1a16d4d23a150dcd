package pool

import (
	"time"

	"spurhall.example/spurhall/internal/brittle"
	"spurhall.example/spurhall/internal/call"
)

// This file keeps requests from brittle upstreams that may have to reject them (package brittle).

// ObserveBrittle records what an upstream's response, to a request sent at the given time, states about the rejections
// that it bears. It reports whether the service has become brittle or is brittle no longer.
func (p *Pools) ObserveBrittle(e Entry, v call.Brittle, sent time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.brittle.Observe(p.clock.Now(), sent, e.Service, brittle.Statement{Brittle: v.Stated, Rejections: v.Rejections})
}

// HoldOff keeps new requests of this node from the upstream for a while if it is brittle, since it rejected the request
// or broke off. It returns for how long.
func (u *Use) HoldOff() time.Duration {
	u.p.mu.Lock()
	defer u.p.mu.Unlock()
	now := u.p.clock.Now()
	return u.p.brittle.HoldOff(now, u.entry.Service, u.entry.ID, u.p.nodes(now))
}

// brittleWait returns how long a brittle upstream can't take a request of this node. The peers' load must be that of its
// service (sumPeerLoad).
func (p *Pools) brittleWait(now time.Time, m *member) time.Duration {
	if !p.brittle.IsBrittle(now, m.entry.Service) {
		return 0
	}
	s := p.service(m.entry.Service)
	all := float64(m.load.Running) + p.peerLoad(m).running
	l := brittle.Load{Own: m.load.Running, All: all, Slots: m.entry.Slots, Nodes: p.nodes(now)}
	return p.brittle.Wait(now, m.entry.Service, m.entry.ID, l, time.Duration(s.durationMs*float64(time.Millisecond)))
}
