package quarantine

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// This file decides which requests are quarantined, and until when.

// evaluate recomputes which requests are quarantined and returns the changes.
func (t *Tracker) evaluate() []Change {
	changes := t.pendingChanges
	t.pendingChanges = nil
	if !t.stale {
		return changes
	}
	t.stale = false
	for _, s := range t.suspects {
		until := quarantineUntil(s.crashes)
		longer, released := until.After(s.until), until.IsZero() && !s.until.IsZero()
		s.until = until
		if longer || released {
			changes = append(changes, t.newChange(s))
		}
	}
	return changes
}

func (t *Tracker) newChange(s *suspect) Change {
	t.revision++
	c := Change{Fingerprint: s.print, Quarantined: !s.until.IsZero(), Until: s.until}
	for _, e := range s.crashes {
		c.Upstreams = append(c.Upstreams, e.Upstream)
	}
	return c
}

// quarantineUntil returns the end of the quarantine that crashes, sorted by time, impose; zero: none.
func quarantineUntil(crashes []Crash) time.Time {
	var until time.Time
	hold := initialQuarantine
	for i, e := range crashes {
		if i+1 < CrashThreshold {
			continue
		}
		if i+1 > CrashThreshold && e.At.After(until) {
			hold = min(2*hold, maxQuarantine)
		}
		if t := e.At.Add(hold); t.After(until) {
			until = t
		}
	}
	return until
}

// Verdict says what to do with a request.
type Verdict struct {
	Quarantined bool
	Wait        time.Duration // until the request may be sent again
	Upstreams   int           // that crashed under it
	Probe       bool          // quarantined before, and now admitted to see whether upstreams still crash under it
	ByShape     bool          // because of crashes under requests of the same shape
	Parts       []uint64      // because of crashes under requests with these parts
}

// Check decides whether a request may be sent now.
func (t *Tracker) Check(now time.Time, p Fingerprint) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[p.id]
	if s == nil || s.until.IsZero() {
		return t.checkShapes(now, p)
	}
	free := s.until.Add(t.probeDelay(p))
	if now.Before(free) {
		return Verdict{Quarantined: true, Wait: free.Sub(now), Upstreams: len(s.crashes)}
	}
	if until := s.probe.At.Add(probeTimeout); now.Before(until) {
		return Verdict{Quarantined: true, Wait: until.Sub(now), Upstreams: len(s.crashes)}
	}
	s.probe = Probe{p, now, t.originOf(now)}
	return Verdict{Probe: true, Upstreams: len(s.crashes)}
}

// countsAgainst reports whether crashes under requests of a shape count against a request of that shape. Those of a prefix
// do once a request of the route without that prefix was answered after the first of them: all requests of a route may
// begin alike, and before that nothing tells the deadly ones from the others.
func (t *Tracker) countsAgainst(p Fingerprint, x Shape) bool {
	if x == p.Shape() {
		return true
	}
	f, route := t.shapes[x], t.shapes[p.route()]
	return f != nil && route != nil && len(f.crashes) > 0 && route.lastResponse.At.After(f.crashes[0].At)
}

// checkShapes decides whether a request may be sent as far as requests of its shapes are concerned: if one shape is
// quarantined, it may not.
func (t *Tracker) checkShapes(now time.Time, p Fingerprint) Verdict {
	var r Verdict
	var probed []Shape
	for _, x := range p.shapes() {
		f := t.shapes[x]
		if f == nil || !t.countsAgainst(p, x) {
			continue
		}
		switch v := f.check(now, t.node); {
		case v.Quarantined && (!r.Quarantined || v.Wait > r.Wait):
			r = v
		case v.Probe:
			probed = append(probed, x)
			if !r.Quarantined {
				r = v
			}
		}
	}
	if r.Probe {
		v := Probe{p, now, t.originOf(now)}
		for _, x := range probed {
			t.shapes[x].lastProbe = v
			t.tellOf(x)
		}
	}
	return r
}

// Remaining returns how much longer a request is quarantined; 0: it is not. Unlike Check, it never admits
// a probe.
func (t *Tracker) Remaining(now time.Time, p Fingerprint) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[p.id]
	if s == nil {
		return 0
	}
	return max(0, s.until.Sub(now))
}

// MayRetry reports whether a request that has been sent may be sent once more: not if another copy of it
// has crashed an upstream. own reports the upstreams that the request itself was sent to: requests that
// ran there beside a deadly one keep their retry.
func (t *Tracker) MayRetry(p Fingerprint, own func(upstream string) bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[p.id]
	return s == nil || !slices.ContainsFunc(s.crashes, func(e Crash) bool { return !own(e.Upstream) })
}

// probeDelay returns how long after the end of a quarantine this node admits a probe: a moment of its own
// for each node, without coordination.
func (t *Tracker) probeDelay(p Fingerprint) time.Duration {
	return time.Duration(xxhash.Sum64String(p.String()+t.node) % uint64(probeSpread))
}
