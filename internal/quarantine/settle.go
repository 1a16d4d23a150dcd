package quarantine

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// This file decides which requests are held back, and until when.

// settle derives anew which requests are held back, and returns what became different.
func (b *Tracker) settle() []Change {
	changes := b.alike
	b.alike = nil
	if !b.stale {
		return changes
	}
	b.stale = false
	for p, s := range b.suspects {
		until := heldUntil(s.ends)
		longer, released := until.After(s.until), until.IsZero() && !s.until.IsZero()
		s.until = until
		if longer || released {
			changes = append(changes, b.change(p, s))
		}
	}
	return changes
}

func (b *Tracker) change(p Fingerprint, s *suspect) Change {
	b.held++
	c := Change{Fingerprint: p, Quarantined: !s.until.IsZero(), Until: s.until}
	for _, e := range s.ends {
		c.Upstreams = append(c.Upstreams, e.Upstream)
	}
	return c
}

// heldUntil returns until when ends, which come by time, hold a request back; zero: they don't.
func heldUntil(ends []Crash) time.Time {
	var until time.Time
	hold := holdFirst
	for i, e := range ends {
		if i+1 < CrashThreshold {
			continue
		}
		if i+1 > CrashThreshold && e.At.After(until) {
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
	Quarantined      bool
	Wait      time.Duration // until it may come again
	Upstreams int           // that ended under it
	Probe     bool          // it was held back, and is let through to see whether it still is to be
	ByShape     bool          // for others of its shape
}

// Check tells whether a request may be sent now.
func (b *Tracker) Check(now time.Time, p Fingerprint) Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.suspects[p]
	if s == nil || s.until.IsZero() {
		if f := b.families[p.Shape()]; f != nil {
			return f.check(now, b.node, p)
		}
		return Verdict{}
	}
	free := s.until.Add(b.turn(p))
	if now.Before(free) {
		return Verdict{Quarantined: true, Wait: free.Sub(now), Upstreams: len(s.ends)}
	}
	if t := s.tried.Add(trialTakes); now.Before(t) {
		return Verdict{Quarantined: true, Wait: t.Sub(now), Upstreams: len(s.ends)}
	}
	s.tried = now
	return Verdict{Probe: true, Upstreams: len(s.ends)}
}

// Wait returns how long a request is still held back; 0: it isn't. Unlike Check it lets none
// through.
func (b *Tracker) Remaining(now time.Time, p Fingerprint) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.suspects[p]
	if s == nil {
		return 0
	}
	return max(0, s.until.Sub(now))
}

// Repeats tells whether a request that has been sent may be sent once more: not where another copy of it
// has ended an upstream. own names the upstreams that it was at itself: what ran beside a deadly request
// there keeps its second try.
func (b *Tracker) MayRetry(p Fingerprint, own func(upstream string) bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.suspects[p]
	return s == nil || !slices.ContainsFunc(s.ends, func(e Crash) bool { return !own(e.Upstream) })
}

// turn is when after its time this node lets a request through: each node at a moment of its
// own that nobody needs to be told.
func (b *Tracker) turn(p Fingerprint) time.Duration {
	return time.Duration(xxhash.Sum64String(p.String()+b.node) % uint64(spread))
}
