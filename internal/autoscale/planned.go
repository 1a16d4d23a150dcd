package autoscale

import (
	"math"
	"time"
)

// Planned explains the counts of a plan.
type Planned struct {
	Need        float64 // upstreams of the usual speed that carry the work
	Ahead       float64 // need when an order placed now serves
	Survives    float64 // what the reclaimable upstreams carry that are left if one hall loses all
	Spares      int     // reclaimable ones planned beyond the need
	OnDemand    int     // planned over all halls
	Reclaimable int
	Kept        int // planned beyond what calm times need
	Wave        bool
	Small       bool          // the fixed spares carry the loss of a hall: nothing is held
	Hold        time.Duration // from the last notice on, in which the base isn't lowered; 0 in a small pool
	Reason      Reason
}

// Reason says why a plan has more than calm times need.
type Reason string

// The reasons, the first that applies.
const (
	ReasonUnmeasured Reason = "unmeasured" // what was found stays until the work is known
	ReasonWave       Reason = "wave"
	ReasonHold       Reason = "hold"     // the next wave is expected
	ReasonLack       Reason = "lack"     // halls lack reclaimable upstreams
	ReasonReplaced   Reason = "replaced" // on-demand ones were replaced too recently
	ReasonCalm       Reason = "calm"
)

// Planned returns the explanation of the last plan.
func (m *MixPlanner) Planned() Planned { return m.planned }

// Changed reports whether a plan differs from another in its counts or its reason.
func (p Planned) Changed(o Planned) bool {
	return p.OnDemand != o.OnDemand || p.Reclaimable != o.Reclaimable || p.Reason != o.Reason
}

// explain records why these counts were planned: p has the need, lacks is whether halls lack reclaimable upstreams.
func (m *MixPlanner) explain(now time.Duration, p Planned, buys, lacks bool, s MixSpec, halls []HallState, counts []Count) {
	p.Wave, p.Small = m.inWave(now), !m.exceedsSpares
	if !p.Small {
		p.Hold = m.hold()
	}
	p.Survives = survivingReclaimable(halls)
	for _, c := range counts {
		p.OnDemand += c.OnDemand
		p.Reclaimable += c.Reclaimable
	}
	p.Spares = max(0, p.Reclaimable-int(math.Ceil(p.Need)))
	if buys {
		calm := minOnDemand
		for _, n := range m.reclaimableCounts(p.Need, p.Need, s.Max, halls) {
			calm += n
		}
		p.Kept = max(0, p.OnDemand+p.Reclaimable-calm)
	}
	p.Reason = m.reason(now, lacks, p)
	m.planned = p
}

func (m *MixPlanner) reason(now time.Duration, lacks bool, p Planned) Reason {
	switch {
	case !m.settled(now):
		return ReasonUnmeasured
	case p.Wave:
		return ReasonWave
	case m.keepsBase(now):
		return ReasonHold
	case lacks:
		return ReasonLack
	case !p.Small && p.OnDemand > max(minOnDemand, int(math.Ceil(p.Need-p.Survives))):
		return ReasonReplaced
	}
	return ReasonCalm
}
