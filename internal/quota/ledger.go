package quota

import (
	"math"
	"time"
)

// This file sums up charges over the operators' window.

const (
	// ledgerSlots is the number of slots of a window. A charge is known to the slot.
	ledgerSlots = 64
	// ledgerSize is one more slot: the oldest one leaves the window little by little.
	ledgerSize = ledgerSlots + 1
)

// ledger holds what was charged in the last window, by slots of time. Times are offsets from the start of the process,
// and may be negative.
type ledger struct {
	width  time.Duration // of a slot
	newest int64         // number of the newest slot
	slots  [ledgerSize]float64
	sum    float64
}

func newLedger(window, at time.Duration) *ledger {
	l := &ledger{width: window / ledgerSlots}
	l.newest = l.slotAt(at)
	return l
}

func (l *ledger) slotAt(at time.Duration) int64 {
	return int64(math.Floor(float64(at) / float64(l.width)))
}

// at returns the place of a slot.
func (l *ledger) at(slot int64) *float64 {
	return &l.slots[((slot%ledgerSize)+ledgerSize)%ledgerSize]
}

// advance drops the slots that have left the window.
func (l *ledger) advance(at time.Duration) {
	slot := l.slotAt(at)
	if slot-l.newest >= ledgerSize {
		l.slots, l.sum, l.newest = [ledgerSize]float64{}, 0, slot
		return
	}
	for l.newest < slot {
		l.newest++
		p := l.at(l.newest)
		l.sum -= *p
		*p = 0
	}
}

// total returns what was charged in the window that ends now.
func (l *ledger) total(at time.Duration) float64 {
	l.advance(at)
	return l.sum - *l.at(l.newest - ledgerSlots)*l.elapsed(at)
}

// elapsed returns the part of the newest slot that has passed.
func (l *ledger) elapsed(at time.Duration) float64 {
	return float64(at)/float64(l.width) - float64(l.newest)
}

// add records tokens charged at a time.
func (l *ledger) add(at time.Duration, tokens float64) {
	slot := l.slotAt(at)
	if slot > l.newest {
		l.advance(at)
	}
	if slot <= l.newest-ledgerSize {
		return
	}
	*l.at(slot) += tokens
	l.sum += tokens
}

// spread records tokens charged evenly between two times. What has left the window is left out.
func (l *ledger) spread(from, to time.Duration, tokens float64) {
	if tokens < 0 {
		l.removeOldest(-tokens)
		return
	}
	l.advance(to)
	first, last := l.slotAt(from), l.slotAt(to)
	if first >= last {
		l.add(to, tokens)
		return
	}
	part := tokens * float64(l.width) / float64(to-from)
	l.add(from, part*(1-(float64(from)/float64(l.width)-float64(first))))
	for s := max(first+1, l.newest-ledgerSize); s < last; s++ {
		l.add(time.Duration(s)*l.width, part)
	}
	l.add(to, part*(float64(to)/float64(l.width)-float64(last)))
}

// removeAt takes tokens back that were charged at a time, and returns how many. There are none of one that has left.
func (l *ledger) removeAt(at time.Duration, tokens float64) float64 {
	slot := l.slotAt(at)
	if slot <= l.newest-ledgerSize || slot > l.newest {
		return 0
	}
	p := l.at(slot)
	x := min(*p, max(0, tokens))
	*p -= x
	l.sum -= x
	return x
}

// removeOldest takes tokens back whose time isn't known, from the oldest slots first: those that are left stay in the window
// for no shorter time than what was charged.
func (l *ledger) removeOldest(tokens float64) {
	for s := l.newest - ledgerSlots; s <= l.newest && tokens > 0; s++ {
		p := l.at(s)
		x := min(*p, tokens)
		*p -= x
		l.sum -= x
		tokens -= x
	}
}

// subtract takes away what another ledger of the same slots has.
func (l *ledger) subtract(at time.Duration, o *ledger) {
	l.advance(at)
	o.advance(at)
	for s := l.newest - ledgerSlots; s <= l.newest; s++ {
		x := min(*l.at(s), *o.at(s))
		*l.at(s) -= x
		l.sum -= x
	}
}

// last returns what was charged in the time d before now.
func (l *ledger) last(at, d time.Duration) float64 {
	l.advance(at)
	first := l.slotAt(at - d)
	if first <= l.newest-ledgerSize {
		return l.sum
	}
	if first == l.newest {
		return *l.at(first) * min(1, float64(d)/max(1, l.elapsed(at)*float64(l.width)))
	}
	x := *l.at(first) * (1 - (float64(at-d)/float64(l.width) - float64(first)))
	for s := first + 1; s <= l.newest; s++ {
		x += *l.at(s)
	}
	return x
}

// until returns what was charged up to a time and is still in the window.
func (l *ledger) until(at, to time.Duration) float64 {
	return max(0, l.total(at)-l.last(at, max(0, at-to)))
}

// leaving returns what leaves the window in the time d from now.
func (l *ledger) leaving(at, d time.Duration) float64 {
	return max(0, l.total(at)-l.last(at, ledgerSlots*l.width-d))
}

// freeing returns the time until the given number of tokens has left the window.
func (l *ledger) freeing(at time.Duration, tokens float64) time.Duration {
	l.advance(at)
	for s := l.newest - ledgerSlots; s <= l.newest; s++ {
		if tokens -= *l.at(s); tokens <= 0 {
			return max(0, time.Duration(s+1+ledgerSlots)*l.width-at)
		}
	}
	return ledgerSlots * l.width
}
