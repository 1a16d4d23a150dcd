package autoscale

import (
	"math"
	"time"
)

// This file decides how long on-demand upstreams that were ordered for a wave of reclaims are kept, for halls that
// are reclaimed again and again while upstreams take a boot to come back.
//
// From a notice on the base carries the need alone. None of it is given up before two holds have ended: the time
// in which the next wave is expected, learned from the intervals between waves, and the time for which the
// reclaimable ones that replace it have served. From then on half of it at the most goes in each boot time, so that
// an error can be mended before it costs more. Where halls go on lacking reclaimable ones, the base stays at the
// need less what survives the loss of a hall.
//
// Alternatives considered, in docs/design/room.md: lowering it to the need right after a wave; keeping it for the
// loss of several halls beyond the hold.

const (
	// firstHoldBoots is the hold before an interval between waves was seen, in boot times: upstreams come back
	// in one or two of them where they are available again.
	firstHoldBoots = 4
	// maxHoldBoots bounds the learned hold: waves further apart aren't waited for.
	maxHoldBoots = 12
	// holdIntervals is the learned hold in intervals between two waves: the next may come later than the last.
	holdIntervals = 1.25
)

// waves records the waves of reclaims that a process has seen.
type waves struct {
	seen bool
	last time.Duration // latest notice
	hold time.Duration // learned, from the last notice on; 0: none

	refused                   bool
	refusedSince, lastRefused time.Duration // of refusals that follow each other
}

// refuse records that a hall had no reclaimable upstreams available. Refusals less than a hold apart follow each
// other.
func (w *waves) refuse(now, hold time.Duration) {
	if !w.refused || now-w.lastRefused >= hold {
		w.refused, w.refusedSince = true, now
	}
	w.lastRefused = now
}

// add records a notice. Notices more than gap apart belong to different waves.
func (w *waves) add(now, gap, maxHold time.Duration) {
	if w.seen && now-w.last >= gap {
		w.learn(now-w.last, gap, maxHold)
	}
	w.seen, w.last = true, max(w.last, now)
}

// learn records the time between two waves. The hold rises at once and falls by half of the difference.
func (w *waves) learn(interval, minHold, maxHold time.Duration) {
	h := time.Duration(holdIntervals * float64(interval))
	if h > maxHold {
		h = minHold // it would end before the next wave at any rate
	}
	w.hold = max(h, (w.hold+h)/2)
}

// within reports whether the last notice is less than a time ago.
func (w *waves) within(now, d time.Duration) bool { return w.seen && now-w.last < d }

// inWave reports whether halls not hit yet are likely to be next.
func (m *MixPlanner) inWave(now time.Duration) bool { return m.waves.within(now, m.o.WaveHold) }

// hold returns how long after a notice the base isn't lowered.
func (m *MixPlanner) hold() time.Duration {
	if m.waves.hold > 0 {
		return max(m.waves.hold, m.o.WaveHold)
	}
	return max(firstHoldBoots*m.o.Boot, m.o.WaveHold)
}

// keepsBase reports whether none of the base is given up: for a hold from a notice on, or from a first refusal,
// which is all that a new process sees of a wave.
func (m *MixPlanner) keepsBase(now time.Duration) bool {
	if !m.exceedsSpares {
		return false
	}
	return m.waves.within(now, m.hold()) || m.waves.refused && now-m.waves.refusedSince < m.hold()
}

// base is the capacity that on-demand upstreams have to have.
type base struct {
	value  float64 // when it was last planned
	at     time.Duration
	served window // negative: what reclaimable ones would have carried
}

// lower returns the base where so much is required now: half of it at the most goes in each period of half.
func (b *base) lower(now time.Duration, required float64, half time.Duration) float64 {
	if half > 0 {
		left := b.value * math.Exp2(-float64(now-b.at)/float64(half))
		required = math.Max(required, left)
	}
	b.value, b.at = required, now
	return required
}

// BeginTerm tells the planner that another process may have given the orders up to now.
func (m *MixPlanner) BeginTerm() { m.inTerm = false }

// takeOver starts a term from the existing on-demand upstreams: whoever ordered them may have had reasons that this
// process hasn't seen. They are the most that are listed within findPeriod.
func (m *MixPlanner) takeOver(now time.Duration, halls []HallState) {
	if !m.inTerm {
		m.inTerm, m.termSince, m.termFound = true, now, -1
	}
	found := onDemandOf(halls)
	if now-m.termSince > findPeriod || found <= m.termFound || !m.settled(now) && m.o.FirstStart {
		return
	}
	m.base.value, m.base.at = found, now
	if m.termFound < 0 {
		m.base.served = window{}
	}
	m.termFound = found
}

// onDemandNeed returns the part of the need that on-demand upstreams have to carry, beside reclaimable ones. Those
// that exist are kept until what replaces them has served for a hold; none are ordered for that.
func (m *MixPlanner) onDemandNeed(now time.Duration, need, ahead float64, halls []HallState) float64 {
	left := survivingReclaimable(halls)
	least := -m.base.served.add(now, m.o.ShrinkDelay, -left) // of a hold
	required := math.Max(0, need-left)
	if m.inWave(now) {
		required = ahead
	}
	if !m.exceedsSpares {
		m.base.value, m.base.at = required, now
		return required
	}
	if m.keepsBase(now) {
		required = math.Max(required, m.base.value)
	}
	has := math.Max(m.base.value, onDemandOf(halls))
	required = math.Max(required, math.Min(need-least, has))
	return m.base.lower(now, required, m.o.Boot)
}
