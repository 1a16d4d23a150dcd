package autoscale

import "time"

// This file lets a planner continue from what another process knew: the loss of all processes and a wave often
// have the same cause, and a new process would measure for a whole boot before it knew either.

// Known is what a planner leaves to its successor.
type Known struct {
	Need   float64
	Notice time.Duration // age of the last notice; negative: none was seen
	Hold   time.Duration // learned from the intervals between waves; 0: none is
}

// restoredNeed is the need that the previous process knew.
type restoredNeed struct {
	need  float64
	until time.Duration // from then on it doesn't count, whatever was measured
}

// restoredBoots is how many boot times a restored need counts at the most: traffic may have ended since.
const restoredBoots = 4

// Known returns what is known now.
func (m *MixPlanner) Known(now time.Duration) Known {
	k := Known{Need: m.need(now), Notice: -1, Hold: m.waves.hold}
	if m.waves.seen {
		k.Notice = now - m.waves.last
	}
	return k
}

// Restore continues from what the previous holder of the duties knew, where this process knows less. Invalid
// values are ignored.
func (m *MixPlanner) Restore(now time.Duration, k Known) {
	if k.Need > 0 && isFinite(k.Need) {
		m.restored = restoredNeed{need: k.Need, until: now + restoredBoots*m.o.Boot}
	}
	if k.Hold > 0 {
		m.waves.hold = max(m.waves.hold, min(k.Hold, maxHoldBoots*m.o.Boot))
	}
	if at := now - k.Notice; k.Notice >= 0 && (!m.waves.seen || at > m.waves.last) {
		m.waves.seen, m.waves.last = true, at
	}
}
