package autoscale

import "math"

// This file decides how many reclaimable upstreams each hall should have, for the load of a service whose halls
// are reclaimed one at a time and whole.
//
// Without the hall that has most of them, the rest still carry the need: of three halls each has half of it. Few
// upstreams need more than that against bursts, so each hall has at least a fixed number beyond its part. What a
// hall has beyond its count stands for what others lack, and isn't given up before they have theirs.
//
// A pool is small while the fixed spares carry the loss of a hall. All that is kept beyond them, the holds and the
// trend begin above that size, and it stays large for a while.
//
// Alternatives considered: a fixed number of spares for any size, which carries the loss of a hall only where
// upstreams are few, and has on-demand ones ordered for the rest at several times the cost; a hall's count
// without regard to the others, which gives up survivors while upstreams are missing.

// spareHoldBoots is how long reclaimable upstreams are kept for the highest need, in boot times: they cost little,
// and a loss while traffic rises again finds what a boot couldn't bring in time.
const spareHoldBoots = 4

// sizeHoldBoots is how long a pool stays one whose loss exceeds the spares, in boot times: as long as the longest
// hold, so that the size doesn't end one, and swings of traffic don't change it.
const sizeHoldBoots = 12

// speed is the mean relative speed of a hall's ready upstreams, 1 if unknown.
func (h HallState) speed() float64 {
	if h.Speed > 0 {
		return h.Speed
	}
	return 1
}

// reclaimableCapacity is what a hall's reclaimable upstreams carry, in upstreams of the service's usual speed.
func (h HallState) reclaimableCapacity() float64 { return float64(h.Reclaimable) * h.speed() }

// onDemandCapacity is what a hall's on-demand upstreams carry.
func (h HallState) onDemandCapacity() float64 { return float64(h.OnDemand) * h.speed() }

// meanSpeed returns the mean relative speed of all ready upstreams.
func meanSpeed(halls []HallState) float64 {
	n, sum := 0.0, 0.0
	for _, h := range halls {
		k := float64(h.OnDemand + h.Reclaimable)
		n += k
		sum += k * h.speed()
	}
	if n == 0 {
		return 1
	}
	return sum / n
}

func onDemandOf(halls []HallState) float64 {
	n := 0.0
	for _, h := range halls {
		n += h.onDemandCapacity()
	}
	return n
}

// survivingReclaimable returns what the reclaimable upstreams carry that are left if the hall with most of them
// loses all.
func survivingReclaimable(halls []HallState) float64 {
	sum, most := 0.0, 0.0
	for _, h := range halls {
		sum += h.reclaimableCapacity()
		most = math.Max(most, h.reclaimableCapacity())
	}
	return sum - most
}

// lossExceedsSpares reports whether the loss of a hall takes more than the fixed spares of the others carry. Where it
// doesn't, a loss needs no room of its own: on-demand upstreams that are kept for the next one, or reclaimable ones
// for the last, would cost a small pool more than they serve.
func (m *MixPlanner) lossExceedsSpares(need float64, halls int) bool {
	carried := float64(m.o.SparePerHall * halls * (halls - 1)) // a hall's part, by the spares of the others
	return halls > 1 && need > carried+1e-9
}

// hallCapacity returns what each of so many halls should carry with reclaimable upstreams: its part of the need and
// some spare ones, and as much as is wanted of all halls without one.
func hallCapacity(need, want float64, halls, spare int) float64 {
	part := math.Ceil(need/float64(halls)-1e-9) + float64(spare)
	if halls == 1 {
		return part
	}
	return math.Max(part, math.Ceil(want/float64(halls-1)-1e-9))
}

// reclaimableCounts returns how many reclaimable upstreams each hall should have, of those it has room for.
func (m *MixPlanner) reclaimableCounts(need, want float64, most int, halls []HallState) []int {
	wants := make([]int, len(halls))
	for i, h := range halls {
		c := math.Ceil(need/float64(len(halls)) - 1e-9)
		if m.hasWork {
			c = hallCapacity(need, want, len(halls), m.o.SparePerHall)
		}
		room := max(0, most-min(h.OnDemand, minOnDemand))
		wants[i] = int(math.Min(math.Ceil(c/h.speed()-1e-9), float64(room)))
	}
	return wants
}

// lackOf returns what halls lack of the reclaimable upstreams they should have, in upstreams of the usual speed.
// While the base is held all of it counts; otherwise what a hall has no room for beside its on-demand upstreams
// doesn't: these carry the need that reclaimable ones have no room for.
func lackOf(wants []int, most int, held bool, halls []HallState) float64 {
	lack := 0.0
	for i, h := range halls {
		want := wants[i]
		if !held {
			want = min(want, most-h.OnDemand)
		}
		lack += float64(max(0, want-h.Reclaimable)) * h.speed()
	}
	return lack
}

// keptCounts returns the counts with the surplus of halls that isn't given up: all of it while a wave lasts, and
// otherwise as much as other halls lack.
func keptCounts(wants []int, lack float64, wave bool, halls []HallState) []int {
	kept := make([]int, len(wants))
	for i, h := range halls {
		surplus := max(0, h.Reclaimable-wants[i])
		if !wave {
			surplus = min(surplus, int(math.Ceil(lack/h.speed())))
		}
		kept[i] = wants[i] + surplus
	}
	return kept
}
