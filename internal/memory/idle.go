package memory

import "time"

// This file ends whole responses whose callers don't take them. When room is short and nothing is excessive, such a response yields
// to one that hasn't begun: that one's caller may be quicker, and isn't told anything untrue. Callers are looked at only while
// somebody waits.

const (
	// lookPause is how long one who waits for room waits until the callers of others are looked at again, and lookInterval the
	// shortest time between two looks, however many wait.
	lookPause    = 100 * time.Millisecond
	lookInterval = 50 * time.Millisecond
)

// follow has a whole response end for others: idle returns for how long its caller has taken hardly anything, 0 if that isn't long,
// and giveUp ends it.
func (h *Hold) follow(idle func() time.Duration, giveUp func()) {
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	h.idle, h.o.End = idle, func(error) { giveUp() }
}

// idlest returns the hold whose caller has taken hardly anything for the longest, and for how long; nil: none for long.
func (b *Budget) idlest(p *part) (most *Hold, longest time.Duration) {
	now := b.clock.Now()
	if now.Sub(p.lookedAt) < lookInterval {
		return nil, 0
	}
	p.lookedAt = now
	for e := p.holds.Front(); e != nil; e = e.Next() {
		h := e.Value.(*Hold)
		if h.idle == nil || h.givenUp || h.bytes <= smallSize {
			continue
		}
		if d := h.idle(); d > longest {
			most, longest = h, d
		}
	}
	return most, longest
}

// giveUp ends a whole response whose caller doesn't take it. The budget's lock is held, as in end.
func (b *Budget) giveUp(p *part, h *Hold, untaken time.Duration) func() {
	h.givenUp, h.untaken = true, untaken
	return b.end(p, h, ErrUntaken)
}

// nextLook returns when one who waits for room of a kind looks again. Nobody takes requests.
func (b *Budget) nextLook(k Kind) (look <-chan time.Time, stop func()) {
	if k != KindResponse {
		return nil, func() {}
	}
	return b.clock.After(lookPause)
}

// lookAgain looks whether somebody yields meanwhile.
func (b *Budget) lookAgain(k Kind) {
	b.mu.Lock()
	end := b.makeRoom(&b.kinds[k])
	b.mu.Unlock()
	end()
}
