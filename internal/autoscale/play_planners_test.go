package autoscale

import (
	"math"
	"time"

	"spurhall.example/spurhall/internal/capacity"
)

// This file has the planners that a played day is given to.

// playPlanner is a way to plan.
type playPlanner interface {
	Observe(now time.Duration, load capacity.Work, halls []HallState)
	Plan(now time.Duration, s MixSpec, halls []HallState) []Count
	Refused(now time.Duration, hall string)
	Granted(hall string)
	Known(now time.Duration) Known
	Restore(now time.Duration, k Known)
}

func newKept(first bool) playPlanner {
	o := DefaultMixOptions(boot)
	o.FirstStart = first
	return NewMixPlanner(o)
}

// fixedSpares is the way with a fixed number of spares, no hold and no trend, and without a predecessor's knowledge.
type fixedSpares struct{ *MixPlanner }

func newFixedSpares(first bool) playPlanner { return fixedSpares{newKept(first).(*MixPlanner)} }

func (fixedSpares) Restore(time.Duration, Known) {}

func (f fixedSpares) Plan(now time.Duration, s MixSpec, halls []HallState) []Count {
	need := math.Max(f.need(now), f.keepFound(f.foundFloor(now), true, halls))
	safe := need
	if !f.inWave(now) {
		safe -= survivingReclaimable(halls)
	}
	counts, floors := make([]Count, len(halls)), make([]int, len(halls))
	for i, h := range halls {
		part := need / float64(len(halls))
		counts[i] = Count{Hall: h.Hall, Reclaimable: f.reclaimable(now, int(math.Ceil(part))+f.o.SparePerHall, h)}
		floors[i] = f.standaloneFloor(now, part, h, counts[i].Reclaimable)
	}
	spread(max(minOnDemand, int(math.Ceil(safe))), s, halls, floors, counts)
	for i := range counts {
		counts[i].Reclaimable = max(0, min(counts[i].Reclaimable, s.Max-counts[i].OnDemand))
	}
	return counts
}
