package retry

import "time"

// Window bounds the retries in every time span of a given length, as operators configure it: at most ratio
// x firsts + extra, where firsts are requests sent for the first time. The bound holds over all nodes
// together without coordination: if each node keeps to the ratio of its own firsts and to its share of
// extra, so does the sum.
//
// The sliding span is approximated by slots of a tenth of it. A retry counts as long as any part of its
// slot lies in the span, a first only while its slot lies wholly in the span, so that both rounding errors
// make the bound stricter.
type Window struct {
	ratio      float64
	extra      float64
	slotLength time.Duration
	extraFrom  time.Duration // before it the extra retries count as spent
	firsts     [windowSlots]float64
	repeats    [windowSlots]float64
	newest     int64 // number of the newest slot
}

const (
	spanSlots   = 10
	windowSlots = spanSlots + 1
)

// NewWindow returns a window. extra is this node's share of the extra retries.
func NewWindow(ratio, extra float64, span time.Duration) *Window {
	return &Window{ratio: ratio, extra: extra, slotLength: max(1, span/spanSlots)}
}

// SetExtra changes this node's share of the extra retries.
func (w *Window) SetExtra(a float64) { w.extra = a }

// WithholdExtra has the extra retries count as spent before a time: a process before this one may have spent them within
// the same span, and nobody knows.
func (w *Window) WithholdExtra(until time.Duration) { w.extraFrom = until }

// extraAt returns the extra retries that may be in use at a time.
func (w *Window) extraAt(now time.Duration) float64 {
	if now < w.extraFrom {
		return 0
	}
	return w.extra
}

func (w *Window) advance(now time.Duration) int {
	n := int64(now / w.slotLength)
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

// First records a request sent for the first time.
func (w *Window) First(now time.Duration) { w.firsts[w.advance(now)]++ }

// Take spends one retry. It returns false if none is left.
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
	if repeats+1 > w.ratio*firsts+w.extraAt(now) {
		return false
	}
	w.repeats[at]++
	return true
}

// Return returns a retry that was taken and of which nothing was sent. It leaves the oldest slot that has one: those in
// newer ones count for longer, so that the bound holds whichever it was.
func (w *Window) Return(now time.Duration) {
	at := w.advance(now)
	for i := 1; i <= windowSlots; i++ {
		if r := &w.repeats[(at+i)%windowSlots]; *r > 0 {
			*r--
			return
		}
	}
}
