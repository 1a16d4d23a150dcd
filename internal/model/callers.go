package model

import (
	"fmt"
	"time"

	"spurhall.example/spurhall/internal/call"
	"spurhall.example/spurhall/internal/order"
	"spurhall.example/spurhall/internal/pool"
)

// This file plays what callers do, what nodes tell engines where room is short, and troubles.

// engineDefault is the priority that engines give to a request without one.
const engineDefault = 5

// attempt is one attempt of a caller at a node.
type attempt struct {
	n    *node
	c    *Class
	q    *request
	need pool.Request
	at   time.Duration
}

// send makes an attempt of a caller that first asked at q.at.
func (p *play) send(c *Class, q *request, parts []call.Part) {
	a := &attempt{n: p.nodes[p.random.IntN(len(p.nodes))], c: c, q: q, at: p.now}
	a.need = pool.Request{ID: fmt.Sprint(p.number), Service: service, Prompt: q.prompt, Output: q.output, Parts: parts, Engine: true}
	p.dispatch(a)
}

// dispatch sends an attempt to an engine.
func (p *play) dispatch(a *attempt) {
	u := p.pick(a.n, a.need)
	e := p.engines[u.Entry().ID]
	measured := a.q.at >= p.l.Warm
	x := u.Expected()
	d := p.decide(a, u, x)
	if d.Differs() {
		u.SetOutOfTurn(d.Overtakes())
	}
	j := &job{q: a.q, priority: engineDefault, out: int(a.q.output), counts: measured, from: p.engines[u.Fetch()]}
	if d.Priority != order.Unset {
		j.priority = d.Priority
	}
	inTime := false
	j.started = func(now time.Duration) {
		p.reach(a.n, u.Started)
		if measured {
			p.record(a.q.class, now, now-a.q.at)
			inTime = now-a.q.at <= a.c.Target
		}
	}
	j.done = func(time.Duration) {
		p.reach(a.n, func() { u.End(pool.ResultGood) })
		if inTime && a.c.Gap > 0 && j.pause > a.c.Gap {
			p.paused[a.q.class]++
		}
	}
	j.lost = func() {
		u.End(pool.ResultFailed)
		if !j.begun {
			j.begun = true
			p.dispatch(a)
		}
	}
	e.take(j)
	if a.c.Wait > 0 {
		p.after(a.at+a.c.Wait-p.now, func() { p.leave(a, j, e, u) })
	}
}

// leave ends an attempt whose caller leaves without a first event.
func (p *play) leave(a *attempt, j *job, e *engine, u *pool.Use) {
	if j.begun {
		return
	}
	j.begun = true
	e.leave(j)
	u.End(pool.ResultInconclusive)
	if a.c.Again > 0 && p.now-a.q.at < 2*a.c.Wait {
		p.after(a.c.Again, func() { p.send(a.c, a.q, a.need.Parts) })
	}
}

// decide is the order of an attempt at its engine.
func (p *play) decide(a *attempt, u *pool.Use, x pool.Expected) order.Decision {
	v := order.Request{
		ID: a.need.ID, Rank: a.c.Rank, Ranks: p.ranks, Target: a.c.Target, Tightest: p.tightest, Elapsed: p.now - a.q.at, Wait: x.Wait, Reading: x.Reading,
		Engine: u.Entry().ID, Candidates: u.Choice().Candidates,
	}
	short, _ := a.n.orders.Short(p.clock.Service().Now(), service, v)
	if p.l.Order == nil {
		return order.Decision{Priority: order.Unset}
	}
	return p.l.Order(v, short)
}

// record records a first event.
func (p *play) record(class int, now, after time.Duration) {
	p.firsts[class] = append(p.firsts[class], after)
	if after <= p.l.Classes[class].Target {
		p.dry[class] = max(p.dry[class], now-max(p.lastInTime[class], p.l.Warm))
		p.lastInTime[class] = now
	}
}

// change brings a trouble about, and its end.
func (p *play) change(c Change) {
	p.after(c.At, func() {
		if c.Times > 0 {
			p.times = c.Times
		}
		if c.Slow > 0 {
			p.slow(c.Slow)
		}
		if c.Lost > 0 {
			p.lose(int(c.Lost * float64(p.l.Engines)))
		}
	})
	p.after(c.At+c.For, func() {
		p.times = 1
		p.slow(1)
		if c.Lost > 0 {
			p.replace(int(c.Lost * float64(p.l.Engines)))
		}
	})
}

func (p *play) slow(x float64) {
	for _, e := range p.engines {
		e.slowed = x
	}
}

// lose ends the first n engines.
func (p *play) lose(n int) {
	p.list(p.items[n:])
	for _, v := range p.items[:n] {
		p.engines[v.Entry.ID].stop()
	}
}

// replace starts a new engine for each of the first n.
func (p *play) replace(n int) {
	for i := range p.items[:n] {
		v := &p.items[i].Entry
		v.ID += "-new"
		v.Address = v.ID
		p.engines[v.ID] = newEngine(&p.World, &p.l.Engine, v.ID)
	}
	p.list(p.items)
}

func (p *play) list(items []pool.Item) {
	for _, n := range p.nodes {
		n.pools.Update(func(l *pool.List) { l.Replace(p.clock.Service().Now(), 1, items) })
	}
}
