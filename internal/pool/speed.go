package pool

import (
	"math"
	"time"

	"spurhall.example/spurhall/internal/speed"
)

// This file applies what package speed learns of the upstreams' lasting speeds. A choice compares upstreams by the
// time that each would take at its own speed, and what is taught of the service's engines is what a usual engine
// would have shown. What an upstream is like for a moment is in pace.go, as far as it differs from the lasting
// speed.
//
// In a large fleet the figures come from a relay, in a small one from this node's own joiner.

// SpeedChange is a change of what is believed of an upstream's lasting speed.
type SpeedChange struct {
	Entry  Entry
	Before float64 // times as fast as usual
	Speed  float64
	Weight float64 // evidence, in responses
}

const (
	// loggedRatio is the logarithm of the ratio from which a change of speed is reported to operators.
	loggedRatio = 0.25
	// maxSpeedChanges bounds the changes that are kept for operators.
	maxSpeedChanges = 64
)

// speeds is what is known of the upstreams' lasting speeds.
type speeds struct {
	observer *speed.Observer
	joiner   *speed.Joiner
	unusual  map[*member]struct{}   // upstreams that differ from the usual
	received map[*member]struct{}   // upstreams with a figure that a relay sent
	excess   map[string]*speedCount // by service
	changes  []SpeedChange
}

// speedCount is the number of a service's upstreams that differ from the usual, and the sum of the differences.
type speedCount struct {
	upstreams int
	sum       float64
}

func newSpeeds() speeds {
	return speeds{
		observer: speed.NewObserver(), joiner: speed.NewJoiner(), unusual: make(map[*member]struct{}), received: make(map[*member]struct{}),
		excess: make(map[string]*speedCount),
	}
}

// memberSpeed is the lasting speed of one upstream.
type memberSpeed struct {
	excess     float64      // times as fast as usual, less 1: the zero value is the usual
	figure     speed.Figure // that a relay sent
	receivedAt time.Time    // zero: none
	logged     float64      // excess as last reported to operators
}

// value returns how many times as fast as usual the upstream is.
func (s *memberSpeed) value() float64 { return 1 + s.excess }

// speedOf returns the current figure of an upstream.
func (p *Pools) speedOf(now time.Time, m *member) speed.Figure {
	if !m.speed.receivedAt.IsZero() && now.Sub(m.speed.receivedAt) <= speed.FigureTTL {
		return m.speed.figure
	}
	f, _ := p.speeds.joiner.Figure(m.entry.Incarnation())
	return f
}

// setSpeed sets an upstream's speed to its current figure.
func (p *Pools) setSpeed(now time.Time, m *member) {
	f := p.speedOf(now, m)
	p.setExcess(m, f.Speed-1)
	before := 1 + m.speed.logged
	if math.Abs(math.Log(f.Speed/before)) < loggedRatio && f.Usual() == (m.speed.logged == 0) {
		return
	}
	m.speed.logged = f.Speed - 1
	if len(p.speeds.changes) < maxSpeedChanges {
		p.speeds.changes = append(p.speeds.changes, SpeedChange{Entry: m.entry, Before: before, Speed: f.Speed, Weight: f.Weight})
	}
}

func (p *Pools) setExcess(m *member, x float64) {
	if x == m.speed.excess {
		return
	}
	c := p.speeds.excess[m.entry.Service]
	if c == nil {
		c = &speedCount{}
		p.speeds.excess[m.entry.Service] = c
	}
	if m.speed.excess != 0 {
		c.upstreams--
		c.sum -= m.speed.excess
		delete(p.speeds.unusual, m)
	}
	if x != 0 {
		c.upstreams++
		c.sum += x
		p.speeds.unusual[m] = struct{}{}
	}
	if m.speed.excess = x; c.upstreams == 0 {
		delete(p.speeds.excess, m.entry.Service)
	}
}

// forgetSpeed drops what is known of an incarnation's speed.
func (p *Pools) forgetSpeed(m *member) {
	p.setExcess(m, 0)
	m.speed = memberSpeed{}
	delete(p.speeds.received, m)
	id := m.entry.Incarnation()
	p.speeds.observer.Forget(id)
	p.speeds.joiner.Forget(id)
}

// sumSpeeds returns the sum of the relative speeds of a service's upstreams.
func (p *Pools) sumSpeeds(service string) float64 {
	n := float64(len(p.services[service]))
	if c := p.speeds.excess[service]; c != nil {
		n += c.sum
	}
	return n
}

// observesSpeed reports whether the request's times say something of the upstream's lasting speed. They don't on trial
// or while warming up, with cached parts to fetch, where others overtake the request, or for an upstream whose
// processes can't be told apart. The time
// that is expected of a plain upstream knows no queue, so its responses count only if nothing else was known to run there.
func (u *Use) observesSpeed() bool {
	if u.onTrial || u.overtaken || u.fetchFrom != "" || u.entry.Born == 0 || u.p.members[u.entry.ID] != u.m {
		return false
	}
	return (u.engine || u.alone) && !u.p.clock.Now().Before(u.m.coldUntil)
}

// observeSpeed records how long a response took, relative to the time that was expected of a usual upstream.
func (u *Use) observeSpeed(now time.Time, ms float64) {
	if !u.observesSpeed() {
		return
	}
	usual, peers := u.usualMs, u.entry.Service
	if !u.engine {
		usual, peers = u.p.service(u.entry.Service).responseMs, u.entry.Service+"\x00"+u.entry.Hall // much of the time may be the way there
	}
	u.p.speeds.observer.Observe(now, peers, u.entry.Incarnation(), ms/usual, u.m.speed.value())
}

// UpdateSpeeds computes the speeds anew from what was seen and received, and returns the changes that matter to
// operators since the last call.
func (p *Pools) UpdateSpeeds() []SpeedChange {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.speeds.joiner.Heard(now, "")
	for _, s := range p.speeds.observer.Recent(now) {
		if m := p.incarnation(s.Upstream.ID, s.Upstream.Born); m != nil {
			p.speeds.joiner.ApplySeen(now, "", m.entry.Service, s)
		}
	}
	for _, f := range p.speeds.joiner.Update(now) {
		if m := p.incarnation(f.Upstream.ID, f.Upstream.Born); m != nil {
			p.setSpeed(now, m)
		}
	}
	for m := range p.speeds.received {
		if now.Sub(m.speed.receivedAt) > speed.FigureTTL {
			m.speed.receivedAt = time.Time{}
			delete(p.speeds.received, m)
			p.setSpeed(now, m)
		}
	}
	list := p.speeds.changes
	p.speeds.changes = nil
	return list
}

// incarnation returns the member of an incarnation, or nil if it isn't listed, or its processes can't be told apart.
func (p *Pools) incarnation(id string, born int64) *member {
	if m := p.members[id]; m != nil && m.entry.Born == born && born != 0 {
		return m
	}
	return nil
}

// SeenSpeeds returns what this node has seen of the upstreams that responded to it recently.
func (p *Pools) SeenSpeeds() []speed.Seen {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.speeds.observer.Recent(p.clock.Now())
}

// ApplySeenSpeeds applies what another node has seen, as that node reported it to this one.
func (p *Pools) ApplySeenSpeeds(node string, list []speed.Seen) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.speeds.joiner.Heard(now, node)
	for _, s := range list {
		if m := p.incarnation(s.Upstream.ID, s.Upstream.Born); m != nil {
			p.speeds.joiner.ApplySeen(now, node, m.entry.Service, s)
		}
	}
}

// SpeedParts returns what another relay is to be sent of what the nodes have seen that report to this one. fresh
// states that the receiver knows nothing that was sent to its name before.
func (p *Pools) SpeedParts(receiver string, fresh bool) []speed.Part {
	p.mu.Lock()
	defer p.mu.Unlock()
	if fresh {
		p.speeds.joiner.ForgetReceiver(receiver)
	}
	return p.speeds.joiner.Parts(p.clock.Now(), receiver)
}

// ApplySpeedParts applies what the nodes have seen that report to another relay.
func (p *Pools) ApplySpeedParts(source string, list []speed.Part) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for _, v := range list {
		if m := p.incarnation(v.Upstream.ID, v.Upstream.Born); m != nil {
			p.speeds.joiner.ApplyPart(now, source, m.entry.Service, v)
		}
	}
}

// SpeedFigures returns the speeds that a node that reports to this one is to be sent.
func (p *Pools) SpeedFigures(receiver string, fresh bool) []speed.Figure {
	p.mu.Lock()
	defer p.mu.Unlock()
	if fresh {
		p.speeds.joiner.ForgetReceiver(receiver)
	}
	return p.speeds.joiner.Figures(p.clock.Now(), receiver)
}

// ApplySpeedFigures applies the speeds that a relay sent.
func (p *Pools) ApplySpeedFigures(list []speed.Figure) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for _, f := range list {
		if m := p.incarnation(f.Upstream.ID, f.Upstream.Born); m != nil {
			m.speed.figure, m.speed.receivedAt = f.Valid(), now
			p.speeds.received[m] = struct{}{}
			p.setSpeed(now, m)
		}
	}
}
