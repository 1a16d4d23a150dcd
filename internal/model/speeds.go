package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"spurhall.example/spurhall/internal/retry"
	"spurhall.example/spurhall/internal/speed"
)

// This file lets engines differ in speed, and nodes learn so.

// engineBorn is when all engines started: those without such a time have no speed.
const engineBorn = 1

// setSpeed sets how fast an engine is, and when it is slow for a moment.
func (p *play) setSpeed(i int, e *engine) {
	if n := len(p.l.Speeds); n > 0 {
		e.speed = p.l.Speeds[i%n]
	}
	if p.l.Passing.Every == 0 {
		return
	}
	random := rand.New(rand.NewPCG(p.l.Seed, uint64(i)+2))
	var next func()
	next = func() {
		p.after(time.Duration(random.ExpFloat64()*float64(p.l.Passing.Every)), func() {
			e.slowed = p.l.Passing.Factor
			p.after(p.l.Passing.Length, func() {
				e.slowed = 1
				next()
			})
		})
	}
	next()
}

// reach lets something reach a node: over a slow link it takes longer.
func (p *play) reach(n *node, f func()) {
	if p.l.SlowLink > 0 && n == p.nodes[len(p.nodes)-1] {
		p.after(p.l.SlowLink, f)
		return
	}
	f()
}

// tellTruth tells a node the engines' true speeds, if they are to be known.
func (p *play) tellTruth(n *node) {
	if p.l.Know != SpeedsTrue {
		return
	}
	var list []speed.Figure
	for id, e := range p.engines {
		if e.speed != 1 {
			list = append(list, speed.Figure{Upstream: retry.Incarnation{ID: id, Born: engineBorn}, Speed: e.speed, Weight: 1000})
		}
	}
	n.pools.ApplySpeedFigures(list)
	p.after(20*time.Second, func() { p.tellTruth(n) })
}

// seen is what a node reports of speeds.
func (p *play) seen(n *node) []speed.Seen {
	if p.l.Know != SpeedsLearned {
		return nil
	}
	p.changes += len(n.pools.UpdateSpeeds())
	list := n.pools.SeenSpeeds()
	if p.l.Liar && n == p.nodes[0] {
		lie := func(engine int, step uint32) {
			list = append(list, speed.Seen{Upstream: retry.Incarnation{ID: fmt.Sprint("engine-", engine), Born: engineBorn}, Ratios: speed.HistogramOf([]uint32{step}, []float32{1e5})})
		}
		lie(0, 0)
		lie(1, 40)
	}
	return list
}

// tellParts lets a relay send another one what its nodes have seen.
func (p *play) tellParts(from, to *node) {
	if p.l.Know == SpeedsLearned {
		to.pools.ApplySpeedParts(from.name, from.pools.SpeedParts(to.name, false))
	}
}

func firstsOf(classes [][]time.Duration) Firsts {
	var all []time.Duration
	sum := time.Duration(0)
	for _, l := range classes {
		all = append(all, l...)
	}
	if len(all) == 0 {
		return Firsts{}
	}
	for _, d := range all {
		sum += d
	}
	slices.Sort(all)
	return Firsts{Mean: sum / time.Duration(len(all)), P50: all[len(all)/2], P99: all[len(all)*99/100]}
}

// beliefs returns what the nodes believe of the engines' speeds.
func (p *play) beliefs() Beliefs {
	b := Beliefs{Changes: p.changes}
	for _, n := range p.nodes {
		for _, v := range n.pools.States(service) {
			believed := v.Speed
			if believed == 0 {
				believed = 1
			} else {
				b.Differ++
			}
			b.Views++
			b.Off += math.Abs(math.Log(believed / p.engines[v.Entry.ID].speed))
		}
	}
	b.Off /= float64(b.Views)
	return b
}
