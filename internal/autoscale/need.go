package autoscale

import (
	"math"
	"time"
)

// This file measures the need of a service, for traffic that swings by a third within some boot times and comes in
// clumps and surges.
//
// The need is the highest of the last seconds: it rises at once and falls late. What is ordered for a wave serves
// only after a boot, so the trend of these seconds is followed to then, within a bound: a clump of a second moves
// the line through seven by little, and a surge that has doubled the work isn't taken for one that doubles it again.
//
// On-demand upstreams (the base) are ordered by the trend in a wave only: in calm times spares cover a rise. Reclaimable
// ones cost little, and are ordered by it in calm times, too, where the loss of a hall exceeds the fixed spares.
//
// Alternatives considered: ordering for the need now. Through a rise it grows in small steps, each of them late by a
// boot.

const (
	// maxTrend bounds the need that is ordered for, relative to the need now: an error of the line costs a quarter.
	maxTrend = 1.25
	// listMargin is what an order takes beyond a boot to serve: until it is placed, and its upstreams are listed.
	listMargin = 2 * time.Second
	// minTrendSamples is the number of needs from which a line through them is followed.
	minTrendSamples = 8
)

// recordNeed keeps the needs of the last ShrinkDelay. Needs before the first work do not count, and neither do infinite
// ones.
func (m *MixPlanner) recordNeed(now time.Duration, need float64) {
	if !isFinite(need) {
		return
	}
	if !m.hasWork {
		if need <= idleNeed {
			return
		}
		m.hasWork, m.workSince = true, now
	}
	m.recent = append(m.recent, sample{now, need})
	old := 0
	for now-m.recent[old].at > m.o.ShrinkDelay {
		old++
	}
	m.recent = m.recent[old:]
}

// need returns the highest need of the last ShrinkDelay, so it rises at once and falls when the need has been
// lower for that long. What the previous holder has left counts until this process has measured for as long.
func (m *MixPlanner) need(now time.Duration) float64 {
	high := 0.0
	if !m.settled(now) && now < m.restored.until {
		high = m.restored.need
	}
	for _, v := range m.recent {
		high = math.Max(high, v.value)
	}
	return high
}

// ahead returns the need at the time when an order placed now serves.
func (m *MixPlanner) ahead(now time.Duration) float64 {
	need := m.need(now)
	if !m.settled(now) || len(m.recent) < minTrendSamples {
		return need
	}
	value, slope := m.trend(now)
	ahead := value + slope*(m.o.Boot+listMargin).Seconds()
	if !isFinite(ahead) {
		return need
	}
	return math.Max(need, math.Min(ahead, m.o.MaxTrend*need))
}

func isFinite(x float64) bool { return !math.IsNaN(x) && !math.IsInf(x, 0) }

// mostCarried returns what as many upstreams carry as all halls may have: a need beyond it is no count.
func mostCarried(s MixSpec, halls []HallState) float64 {
	sum := 0.0
	for _, h := range halls {
		sum += float64(s.Max) * math.Max(1, h.speed())
	}
	return sum
}

// trend returns the value now and the slope, by second, of the line through the recent needs.
func (m *MixPlanner) trend(now time.Duration) (value, slope float64) {
	var n, st, sv, stt, stv float64
	for _, v := range m.recent {
		t := (v.at - now).Seconds()
		n++
		st += t
		sv += v.value
		stt += t * t
		stv += t * v.value
	}
	d := n*stt - st*st
	if d <= 0 {
		return sv / n, 0
	}
	slope = (n*stv - st*sv) / d
	return (sv - slope*st) / n, slope
}

// recordFound records the on-demand upstreams that existed before this process could measure any work.
func (m *MixPlanner) recordFound(now time.Duration, halls []HallState) {
	if !m.observed {
		m.observed, m.firstObserved = true, now
	}
	if !m.hasWork || now-m.firstObserved <= findPeriod {
		m.foundOnDemand = math.Max(m.foundOnDemand, onDemandOf(halls))
	}
}

// foundFloor returns the on-demand upstreams found at the start, until work has been measured for a while: the
// first work says little about the load to come, and a process that has just started measures too little.
func (m *MixPlanner) foundFloor(now time.Duration) float64 {
	if m.settled(now) {
		return 0
	}
	return m.foundOnDemand
}

// settled returns whether work has been measured for long enough that fewer upstreams may be ordered.
func (m *MixPlanner) settled(now time.Duration) bool {
	return m.hasWork && now-m.workSince >= m.o.ShrinkDelay
}

// keepFound returns the part of the found upstreams that stays on demand, whatever was measured: all of them if
// an earlier process ordered them, and those that still exist if no reclaimable ones replace them.
func (m *MixPlanner) keepFound(found float64, buys bool, halls []HallState) float64 {
	switch {
	case !m.o.FirstStart:
		return found
	case !buys || len(m.refusals) > 0:
		return math.Min(found, onDemandOf(halls))
	}
	return 0
}
