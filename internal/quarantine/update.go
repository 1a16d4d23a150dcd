package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// This file exchanges state between trackers. A tracker forwards what is new to it for a while, so that
// an update reaches all nodes whichever of them exchange messages. Crashes that quarantine a request are
// always included, for nodes that start or reappear later.

const (
	// announceFor is how long a change is announced: several rounds, since a report may be lost.
	announceFor = 2 * time.Second
	// maxUpdateCrashes bounds the crashes in one message, some 70 bytes each. It covers a wave of
	// reclaims that stops most upstreams of a hall, reported by many nodes.
	maxUpdateCrashes = 400
)

// Response records that a request got a complete response.
type Response struct {
	Fingerprint Fingerprint
	At          time.Time
}

// Probe records that a quarantined request was admitted. Other nodes wait for its outcome: without this
// record they would admit another one in the 1.5 s until they learn of its crash.
type Probe struct {
	Fingerprint Fingerprint
	At          time.Time
}

// Update is what a tracker sends to others.
type Update struct {
	Crashes   []Crash
	Responses []Response
	Probes    []Probe
}

// Empty reports whether there is nothing to send.
func (w Update) Empty() bool { return len(w.Crashes)+len(w.Responses)+len(w.Probes) == 0 }

// BuildUpdate returns what is to be sent now. It removes what has expired.
func (b *Tracker) BuildUpdate(now time.Time) Update {
	if b.size.Load() == 0 {
		return Update{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var w Update
	var list []*suspect
	shapes := b.quarantinedShapes()
	for p, s := range b.suspects {
		if s.expired(now) {
			b.remove(p)
			continue
		}
		recent := now.Sub(s.updatedAt) <= announceFor
		if recent || !s.until.IsZero() || shapes[p.Shape()] {
			list = append(list, s)
		}
		if recent && !s.clearedAt.IsZero() {
			w.Responses = append(w.Responses, Response{p, s.clearedAt})
		}
		if now.Sub(s.probedAt) <= announceFor {
			w.Probes = append(w.Probes, Probe{p, s.probedAt})
		}
	}
	for _, f := range b.shapes {
		if now.Sub(f.clearedBy.At) <= announceFor {
			w.Responses = append(w.Responses, f.clearedBy)
		}
		if now.Sub(f.lastProbe.At) <= announceFor {
			w.Probes = append(w.Probes, f.lastProbe)
		}
	}
	slices.SortFunc(list, func(x, y *suspect) int {
		return cmp.Or(cmp.Compare(len(y.crashes), len(x.crashes)), y.updatedAt.Compare(x.updatedAt))
	})
	for _, s := range list {
		if len(w.Crashes)+len(s.crashes) > maxUpdateCrashes {
			break
		}
		w.Crashes = append(w.Crashes, s.crashes...)
	}
	return w
}

// quarantinedShapes returns the shapes that are quarantined.
func (b *Tracker) quarantinedShapes() map[Shape]bool {
	m := make(map[Shape]bool)
	for s, f := range b.shapes {
		if len(f.crashes) >= shapeCrashThreshold && !f.until().IsZero() {
			m[s] = true
		}
	}
	return m
}

// Evidence returns the crashes that quarantine requests, and a revision that rises with each change of
// the quarantined requests.
func (b *Tracker) Evidence() ([]Crash, int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []Crash
	for _, s := range b.suspects {
		if !s.until.IsZero() {
			list = append(list, s.crashes...)
		}
	}
	return list, b.revision
}

// Merge applies an update of another tracker.
func (b *Tracker) Merge(now time.Time, w Update) []Change {
	if w.Empty() {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	changed := false
	for _, a := range w.Responses {
		changed = b.clear(now, a.Fingerprint, a.At) || changed
		b.clearShape(a)
	}
	for _, e := range w.Crashes {
		changed = b.addCrash(now, e) || changed
	}
	for _, t := range w.Probes {
		if s := b.suspects[t.Fingerprint]; s != nil && t.At.Sub(s.probedAt) >= sameCrashWindow {
			s.probedAt = t.At
		}
		if f := b.shapes[t.Fingerprint.Shape()]; f != nil && t.At.After(f.lastProbe.At) {
			f.lastProbe = t
		}
	}
	if !changed && len(b.shapeChanges) == 0 {
		return nil
	}
	return b.evaluate()
}
