package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// This file decides which requests are held back, from the ends of all, and until when.

// candidate is a request with as many ends as prove something.
type candidate struct {
	print Print
	s     *suspect
	began int
}

// settle derives anew which requests are held back, and returns what became different. Those
// with most ends come first: they are the best explanation of these, and only what is left
// counts against the others. Two requests that were at just the same ends can't be told
// apart, and are both held back.
func (b *Book) settle() []Change {
	if !b.stale {
		return nil
	}
	b.stale = false
	list := b.candidates()
	var explained, group []End
	var changes []Change
	for i, c := range list {
		if i > 0 && weigh(list[i-1], c) != 0 {
			explained, group = append(explained, group...), nil
		}
		left := unexplained(c.s.ends, explained)
		if len(left) >= Proof {
			group = append(group, left...)
		}
		changes = b.hold(changes, c, left)
	}
	return b.release(changes, list)
}

// weigh compares by what speaks most for a request: the number of ends, then at how many of
// them it had just begun to run.
func weigh(x, y candidate) int {
	return cmp.Or(cmp.Compare(len(y.s.ends), len(x.s.ends)), cmp.Compare(y.began, x.began))
}

func (b *Book) candidates() []candidate {
	var list []candidate
	for p, s := range b.suspects {
		if len(s.ends) < Proof {
			continue
		}
		c := candidate{print: p, s: s}
		for _, e := range s.ends {
			if e.Began {
				c.began++
			}
		}
		list = append(list, c)
	}
	slices.SortFunc(list, func(x, y candidate) int {
		return cmp.Or(weigh(x, y), slices.Compare(x.print[:], y.print[:]))
	})
	return list
}

// unexplained returns the ends that aren't among those known to be another request's doing.
func unexplained(ends, explained []End) []End {
	var left []End
	for _, e := range ends {
		if !slices.ContainsFunc(explained, e.same) {
			left = append(left, e)
		}
	}
	return left
}

// hold sets until when a request is held back.
func (b *Book) hold(changes []Change, c candidate, ends []End) []Change {
	until := heldUntil(ends)
	was := c.s.until
	c.s.until, c.s.counted = until, len(ends)
	if until.IsZero() == was.IsZero() && !until.After(was) {
		return changes
	}
	return append(changes, b.change(c.print, c.s, ends))
}

// release lets go of the requests that aren't among the candidates any more.
func (b *Book) release(changes []Change, list []candidate) []Change {
	for p, s := range b.suspects {
		if !s.until.IsZero() && !slices.ContainsFunc(list, func(c candidate) bool { return c.print == p }) {
			s.until, s.counted = time.Time{}, 0
			changes = append(changes, b.change(p, s, nil))
		}
	}
	return changes
}

func (b *Book) change(p Print, s *suspect, ends []End) Change {
	b.held++
	c := Change{Print: p, Held: !s.until.IsZero(), Until: s.until}
	for _, e := range ends {
		c.Upstreams = append(c.Upstreams, e.Upstream)
	}
	return c
}

// heldUntil returns until when ends, which come by time, hold a request back; zero: they don't.
func heldUntil(ends []End) time.Time {
	var until time.Time
	hold := holdFirst
	for i, e := range ends {
		if i+1 < Proof {
			continue
		}
		if i+1 > Proof && e.At.After(until) {
			hold = min(2*hold, holdLongest)
		}
		if t := e.At.Add(hold); t.After(until) {
			until = t
		}
	}
	return until
}

// Verdict is what to do with a request.
type Verdict struct {
	Held      bool
	Wait      time.Duration // until it may come again
	Upstreams int           // that ended under it
	Trial     bool          // it was held back, and is let through to see whether it still is to be
}

// Check tells whether a request may be sent now.
func (b *Book) Check(now time.Time, p Print) Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.suspects[p]
	if s == nil || s.until.IsZero() {
		return Verdict{}
	}
	free := s.until.Add(b.turn(p))
	if now.Before(free) {
		return Verdict{Held: true, Wait: free.Sub(now), Upstreams: s.counted}
	}
	if now.Before(s.trial) {
		return Verdict{Held: true, Wait: s.trial.Sub(now), Upstreams: s.counted}
	}
	s.trial = now.Add(trialTakes)
	return Verdict{Trial: true, Upstreams: s.counted}
}

// Wait returns how long a request is still held back; 0: it isn't. Unlike Check it lets none
// through.
func (b *Book) Wait(now time.Time, p Print) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.suspects[p]
	if s == nil {
		return 0
	}
	return max(0, s.until.Sub(now))
}

// turn is when after its time this node lets a request through: each node at a moment of its
// own that nobody needs to be told.
func (b *Book) turn(p Print) time.Duration {
	return time.Duration(xxhash.Sum64String(p.String()+b.node) % uint64(spread))
}
