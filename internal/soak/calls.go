package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// This file draws a day's requests.

// partCalls draws the streams with a part that crashes engines.
func (d *Day) partCalls(r *rand.Rand) []Call {
	var list []Call
	for _, f := range d.Faults {
		if f.Kind != FaultPart {
			continue
		}
		for at := f.At; at < f.End(); at += time.Duration(r.ExpFloat64() / f.X * float64(time.Second)) {
			parts := [][]string{{CommonPart, BadPart}, {BadPart, CommonPart}, {CommonPart, neighbourPart(len(list)), BadPart}}[r.IntN(3)]
			list = append(list, Call{At: at, Daemon: r.IntN(d.Daemons), Route: []Route{RouteStream, RouteResume}[r.IntN(2)], Key: KeyWide, Size: 10, Parts: parts})
		}
	}
	return list
}

// neighbourPart is one of some parts that a share of the streams have.
func neighbourPart(i int) string { return fmt.Sprintf("e%d", i%5) }

// pressingCalls draws the calls to daemons that are stopped under pressure.
func (d *Day) pressingCalls(r *rand.Rand) []Call {
	var list []Call
	for _, f := range d.Faults {
		if f.Kind != FaultPress {
			continue
		}
		for _, i := range f.Who {
			for at := f.At + pressStart; at < f.At+pressEnd; at += time.Duration(r.ExpFloat64() / pressRate * float64(time.Second)) {
				list = append(list, Call{At: at, Daemon: i, Route: []Route{RoutePlain, RouteAgain}[r.IntN(2)], Key: KeyWide, Size: 10})
			}
		}
	}
	return list
}

// Calls draws the day's requests: at any time, whatever became of those before.
func (d *Day) Calls() []Call {
	r := rand.New(rand.NewPCG(d.Seed, 0xca11))
	list := d.pressingCalls(rand.New(rand.NewPCG(d.Seed, 0x9e55)))
	list = append(list, d.partCalls(rand.New(rand.NewPCG(d.Seed, 0xbad1)))...)
	list = append(list, d.endlessCalls(rand.New(rand.NewPCG(d.Seed, 0xe4d2)))...)
	list = append(list, d.triedCallsOf()...)
	list = append(list, d.rowCalls(rand.New(rand.NewPCG(d.Seed, 0x0d08)))...)
	list = append(list, d.uploadCalls(rand.New(rand.NewPCG(d.Seed, 0x0b1d)))...)
	own := rand.New(rand.NewPCG(d.Seed, 0x0a27))
	sharesParts := d.Large > 0 || slices.ContainsFunc(d.Faults, func(f Fault) bool { return f.Kind == FaultPart })
	for at := time.Duration(0); ; {
		at += time.Duration(r.ExpFloat64() / d.PerSecond * float64(time.Second))
		if at >= d.Traffic {
			slices.SortStableFunc(list, func(a, b Call) int { return cmp.Compare(a.At, b.At) })
			return list
		}
		c := Call{At: at, Daemon: r.IntN(d.Daemons), Key: KeyWide, Size: 10 + r.IntN(40)}
		c.Route = []Route{RoutePlain, RoutePlain, RouteAgain, RouteAgain, RouteStream, RouteResume, RouteResume, RouteMoving}[r.IntN(8)]
		switch x := r.IntN(20); {
		case x < 6:
			c.Key = KeyNarrow
		case x < 8:
			c.Key = KeyWithdrawn
		}
		if sharesParts && (c.Route == RouteStream || c.Route == RouteResume) {
			c.Parts = []string{CommonPart, neighbourPart(len(list))}
			for range d.ownParts() {
				c.Parts = append(c.Parts, fmt.Sprintf("%x", own.Uint64()))
			}
		}
		list = append(list, c)
	}
}
