package retry

import "time"

// Window bounds repeats against first sends in every span of a given length, as an
// operator states it: at most ratio x firsts + extra. It is one node's part of a
// bound that holds over all nodes together, and it needs nobody else for that: each
// node keeps to the ratio of its own firsts and to its share of the extra, and so
// does the sum.
//
// Sliding spans are kept by slots of a tenth of the span. A slot counts as long as any
// instant of it lies in the span for repeats, and only once it lies wholly in it for
// firsts, so the rounding errs on the safe side both times.
type Window struct {
	ratio   float64
	extra   float64
	slot    time.Duration
	firsts  [windowSlots]float64
	repeats [windowSlots]float64
	newest  int64 // number of the newest slot
}

const (
	spanSlots   = 10
	windowSlots = spanSlots + 1
)

// NewWindow returns a window. extra is this node's part.
func NewWindow(ratio, extra float64, span time.Duration) *Window {
	return &Window{ratio: ratio, extra: extra, slot: max(1, span/spanSlots)}
}

// SetExtra changes this node's part of the extra.
func (w *Window) SetExtra(a float64) { w.extra = a }

func (w *Window) advance(now time.Duration) int {
	n := int64(now / w.slot)
	if n-w.newest > windowSlots {
		w.newest = n - windowSlots
	}
	for w.newest < n {
		w.newest++
		i := w.newest % windowSlots
		w.firsts[i], w.repeats[i] = 0, 0
	}
	return int(w.newest % windowSlots)
}

// First notes a request sent for the first time.
func (w *Window) First(now time.Duration) { w.firsts[w.advance(now)]++ }

// Take spends one repeat, or says that none is left.
func (w *Window) Take(now time.Duration) bool {
	at := w.advance(now)
	firsts, repeats := 0.0, 0.0
	oldest := (at + 1) % windowSlots
	for i := range w.firsts {
		repeats += w.repeats[i]
		if i != oldest {
			firsts += w.firsts[i]
		}
	}
	if repeats+1 > w.ratio*firsts+w.extra {
		return false
	}
	w.repeats[at]++
	return true
}
