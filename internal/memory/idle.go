package memory

import "time"

// This file ends holds whose callers keep them without using them. When room is short and nothing is excessive, a message whose
// caller has done nothing for long yields to one that hasn't begun: that one's caller may be quicker, and isn't told anything
// untrue. Silence is counted in looks, not by the clock: a process that stood still has seen nothing of its callers meanwhile.

const (
	// LookPause is the time from one look at a hold's caller to the next.
	LookPause = 250 * time.Millisecond
	// idleLooks is how many looks in a row a caller may do nothing: 2 s, in which a segment that was lost three times is sent
	// again (0.2, 0.6 and 1.4 s after the first time).
	idleLooks = 8
)

// Follow replaces what ends the hold. From then on Look may find its caller idle.
func (h *Hold) Follow(end func(error)) {
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	h.o.End = end
}

// Look records whether the hold's caller has done something since the last look, and reports whether it is idle. One that
// waits for room doesn't count as idle: nobody reads what its caller sends.
func (h *Hold) Look(active bool) (idle bool) {
	b := h.b
	b.mu.Lock()
	h.idle++
	if active || h.queue != nil {
		h.idle = 0
	}
	idle = h.isIdle()
	end := b.makeRoom(&b.kinds[h.o.Kind])
	b.mu.Unlock()
	end()
	return idle
}

func (h *Hold) isIdle() bool { return h.idle >= idleLooks }

// idlest returns the hold whose caller has done nothing for longest; nil: none is idle.
func (p *part) idlest() *Hold {
	var most *Hold
	for e := p.holds.Front(); e != nil; e = e.Next() {
		h := e.Value.(*Hold)
		if h.o.End != nil && h.bytes > 0 && h.isIdle() && (most == nil || h.idle > most.idle) {
			most = h
		}
	}
	return most
}
