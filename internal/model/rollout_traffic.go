package model

import (
	"math"
	"time"

	"spurhall.example/spurhall/internal/rollout"
)

// This file is the callers of a played roll-out, and the answers that they get.

// arrive lets a request come.
func (p *rolloutPlay) arrive() {
	p.after(time.Duration(p.random.ExpFloat64()/p.l.Rate*float64(time.Second)), func() {
		p.arrive()
		n := p.nodes[p.random.IntN(len(p.nodes))]
		for n.down {
			if n = p.nodes[p.random.IntN(len(p.nodes))]; p.random.Float64() < 0.01 {
				return // all are down
			}
		}
		x := p.random.Float64()
		for _, r := range p.l.Routes {
			if x -= r.Part; x < 0 {
				p.send(n, r)
				return
			}
		}
	})
}

// send sends a request to one side or the other.
func (p *rolloutPlay) send(n *rolloutNode, r RolloutRoute) {
	if p.now < p.l.Duration {
		p.out.Reached++
	}
	offered := n.trial.TakeCredit(p.time(), r.Name)
	if p.ended && p.stored.Stage == rollout.StageCompleted || offered || n.trial.Side(p.time()) == rollout.SideTarget {
		p.atTarget(n, r, offered)
		return
	}
	p.oldRunning++
	v, k := &move{n: n, r: r}, p.number
	if r.Moves {
		p.movable[k] = v
	}
	p.answer(n, r, -1, r.Lasts, p.random.Float64() < 0.002+p.failing, 1, func() {
		if !v.moved {
			p.oldRunning--
			delete(p.movable, k)
		}
	})
}

// atTarget sends a request to the target.
func (p *rolloutPlay) atTarget(n *rolloutNode, r RolloutRoute, offered bool) {
	k := p.l.Target
	if offered && !p.l.Even {
		k = min(k, n.trial.TrialUpstreams(p.l.InService))
	}
	rank := p.random.IntN(k)
	id := p.targetName(rank)
	p.running[id]++
	p.out.Sent++
	p.out.LastSent = p.now
	if !p.ended && p.state.Stage < rollout.StageFifth {
		p.out.Exposed = math.Max(p.out.Exposed, float64(p.out.Sent)-p.l.Exposure*float64(p.out.Reached))
	}
	v, fails, slow := p.l.Version, 0.002+p.failing, 1.0
	if p.now >= v.From && (v.Route == "" || v.Route == r.Name) && float64(p.running[id]) > v.Load*p.usual {
		fails, slow = fails+v.Fails, math.Max(1, v.Slow)
	}
	if id == p.ill {
		fails = 0.5
	}
	failed := p.random.Float64() < fails
	if v.Bad() && (failed || slow > 1) {
		p.out.BadSent++
		if p.out.BadSent == 50 {
			p.out.Fiftieth = p.now
		}
	}
	p.answer(n, r, rank, time.Duration(slow*float64(r.Lasts)), failed, slow, func() { p.running[id]-- })
}

// answer lets a request be answered, and noted by its node if that still lives.
func (p *rolloutPlay) answer(n *rolloutNode, r RolloutRoute, rank int, lasts time.Duration, failed bool, slow float64, done func()) {
	x := slow * math.Exp(0.6*p.random.NormFloat64())
	first := time.Duration(x * float64(r.First))
	trial := n.trial
	note := func(a rollout.Response) {
		if trial == n.trial && !n.down {
			trial.Observe(r.Name, rank, a)
		}
	}
	p.after(first, func() {
		if failed {
			note(rollout.Response{Failed: true})
			done()
			return
		}
		note(rollout.Response{Started: true, First: x})
		p.after(max(0, min(lasts-first, 500*time.Millisecond)), func() { note(rollout.Response{Pace: 30 * slow * math.Exp(0.3*p.random.NormFloat64())}) })
		p.after(max(0, lasts-first), done)
	})
}
