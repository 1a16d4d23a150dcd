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
	Origin      Origin
}

// Probe records that a quarantined request was admitted. Other nodes wait for its outcome: without this
// record they would admit another one in the 1.5 s until they learn of its crash.
type Probe struct {
	Fingerprint Fingerprint
	At          time.Time
	Origin      Origin
}

// Update is what a tracker sends to others.
type Update struct {
	Crashes   []Crash
	Responses []Response
	Probes    []Probe
}

// Empty reports whether there is nothing to send.
func (u Update) Empty() bool { return len(u.Crashes)+len(u.Responses)+len(u.Probes) == 0 }

// BuildUpdate returns what is to be sent now. It removes what has expired.
func (t *Tracker) BuildUpdate(now time.Time) Update {
	if t.size.Load() == 0 {
		return Update{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var u Update
	var list []*suspect
	shapes := t.quarantinedShapes()
	for p, s := range t.suspects {
		if s.expired(now) {
			t.remove(p)
			continue
		}
		recent := now.Sub(s.updatedAt) <= announceFor
		if recent || !s.until.IsZero() || slices.ContainsFunc(s.print.shapes(), func(x Shape) bool { return shapes[x] }) {
			list = append(list, s)
		}
		if recent && !s.cleared.At.IsZero() {
			u.Responses = append(u.Responses, s.cleared)
		}
		if now.Sub(s.probe.At) <= announceFor {
			u.Probes = append(u.Probes, s.probe)
		}
	}
	for _, f := range t.shapes {
		if now.Sub(f.clearedBy.At) <= announceFor {
			u.Responses = append(u.Responses, f.clearedBy)
		}
		if now.Sub(f.lastProbe.At) <= announceFor {
			u.Probes = append(u.Probes, f.lastProbe)
		}
	}
	slices.SortFunc(list, func(x, y *suspect) int {
		return cmp.Or(cmp.Compare(len(y.crashes), len(x.crashes)), y.updatedAt.Compare(x.updatedAt))
	})
	for _, s := range list {
		if len(u.Crashes)+len(s.crashes) > maxUpdateCrashes {
			break
		}
		u.Crashes = append(u.Crashes, s.crashes...)
	}
	return u
}

// quarantinedShapes returns the shapes that are quarantined.
func (t *Tracker) quarantinedShapes() map[Shape]bool {
	m := make(map[Shape]bool)
	for s, f := range t.shapes {
		if len(f.crashes) >= shapeCrashThreshold && !f.until().IsZero() {
			m[s] = true
		}
	}
	return m
}

// Evidence returns the crashes that quarantine requests, and a revision that rises with each change of
// the quarantined requests.
func (t *Tracker) Evidence() ([]Crash, int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Crash
	for _, s := range t.suspects {
		if !s.until.IsZero() {
			list = append(list, s.crashes...)
		}
	}
	return list, t.revision
}

// Merge applies an update of another tracker.
func (t *Tracker) Merge(now time.Time, u Update) []Change {
	if u.Empty() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, a := range u.Responses {
		a.At = t.place(now, a.Origin, a.At)
		changed = t.clear(now, a) || changed
		t.clearShapes(a)
	}
	for _, e := range u.Crashes {
		changed = t.addCrash(now, e) || changed
	}
	for _, p := range u.Probes {
		p.At = t.place(now, p.Origin, p.At)
		if s := t.suspects[p.Fingerprint.id]; s != nil && p.At.Sub(s.probe.At) >= sameCrashWindow {
			s.probe = p
		}
		for _, x := range p.Fingerprint.shapes() {
			if f := t.shapes[x]; f != nil && p.At.After(f.lastProbe.At) {
				f.lastProbe = p
			}
		}
	}
	if !changed && len(t.shapeChanges) == 0 {
		return nil
	}
	return t.evaluate()
}
