package quarantine

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// This file exchanges state between trackers. A tracker forwards what is new to it for a while, so that
// an update reaches all nodes whichever of them exchange messages. Crashes that quarantine a request are
// always included, for nodes that start or reappear later.

const (
	// announceFor is how long a change is announced: several rounds, since a report may be lost.
	announceFor = 2 * time.Second
	// maxUpdateCrashes, maxUpdateResponses and maxUpdateProbes bound one message, in which each takes up to 200 bytes: a
	// node sends and gets some eight a second, over a link of 10 Mbit/s. In a wave of reclaims more is new than that;
	// what counts most goes first, and the others in turn.
	maxUpdateCrashes   = 48
	maxUpdateResponses = 20
	maxUpdateProbes    = 8
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

	PartCrashes []PartCrash
	PartAnswers []PartEvent
	PartProbes  []PartEvent // of requests with all parts of a quarantined set
	PartSplits  []PartEvent // of requests with some of them
}

// Empty reports whether there is nothing to send.
func (u Update) Empty() bool {
	return len(u.Crashes)+len(u.Responses)+len(u.Probes)+len(u.PartCrashes)+len(u.PartAnswers)+len(u.PartProbes)+len(u.PartSplits) == 0
}

// BuildUpdate returns what is to be sent now. It removes what has expired.
func (t *Tracker) BuildUpdate(now time.Time) Update {
	if t.size.Load() == 0 && !t.HasPartCrashes() {
		return Update{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updates++
	var u Update
	t.buildParts(now, &u)
	var list []*suspect
	responses, probes := make(map[ID]Response), make(map[ID]Probe) // one of each request
	shapes := t.quarantinedShapes()
	for p, s := range t.suspects {
		if s.expired(now) {
			t.remove(p)
			continue
		}
		recent := now.Sub(s.updatedAt) <= announceFor
		if recent || !s.until.IsZero() || s.hasShapeOf(shapes) {
			list = append(list, s)
		}
		if recent && !s.cleared.At.IsZero() {
			addLatest(responses, s.cleared)
		}
		if now.Sub(s.probe.At) <= announceFor {
			addLatestProbe(probes, s.probe)
		}
	}
	for x, f := range t.telling {
		if !f.isToBeTold(now) {
			delete(t.telling, x)
			continue
		}
		if now.Sub(f.clearedBy.At) <= announceFor {
			addLatest(responses, f.clearedBy)
		}
		if now.Sub(f.lastProbe.At) <= announceFor {
			addLatestProbe(probes, f.lastProbe)
		}
	}
	u.Crashes, u.Responses, u.Probes = t.selectCrashes(list), t.selectResponses(responses), t.selectProbes(probes)
	return u
}

// addLatest adds a response unless a later one to the same request is there: one response clears many shapes.
func addLatest(all map[ID]Response, a Response) {
	if old, ok := all[a.Fingerprint.id]; !ok || a.At.After(old.At) {
		all[a.Fingerprint.id] = a
	}
}

// addLatestProbe adds a probe unless a later one of the same request is there.
func addLatestProbe(all map[ID]Probe, p Probe) {
	if old, ok := all[p.Fingerprint.id]; !ok || p.At.After(old.At) {
		all[p.Fingerprint.id] = p
	}
}

// turn orders facts of equal weight, in each message another way. The tracker's lock is held.
func (t *Tracker) turn(id ID) uint64 {
	var b [len(id) + 8]byte
	copy(b[:], id[:])
	binary.LittleEndian.PutUint64(b[len(id):], t.updates)
	return xxhash.Sum64(b[:])
}

// selectCrashes returns the crashes that a message has room for: those of the requests with the most crashes first.
func (t *Tracker) selectCrashes(list []*suspect) []Crash {
	turns := make(map[*suspect]uint64, len(list))
	if len(list) > maxUpdateCrashes {
		for _, s := range list {
			turns[s] = t.turn(s.print.id)
		}
	}
	slices.SortFunc(list, func(x, y *suspect) int {
		return cmp.Or(cmp.Compare(len(y.crashes), len(x.crashes)), cmp.Compare(turns[x], turns[y]))
	})
	var selected []Crash
	for _, s := range list {
		selected = append(selected, s.crashes[:min(len(s.crashes), maxUpdateCrashes-len(selected))]...)
		if len(selected) == maxUpdateCrashes {
			break
		}
	}
	return selected
}

// selectResponses returns the responses that a message has room for.
func (t *Tracker) selectResponses(all map[ID]Response) []Response {
	var selected []Response
	for _, id := range t.takeTurns(slices.Collect(maps.Keys(all)), maxUpdateResponses) {
		selected = append(selected, all[id])
	}
	return selected
}

// selectProbes returns the probes that a message has room for.
func (t *Tracker) selectProbes(all map[ID]Probe) []Probe {
	var selected []Probe
	for _, id := range t.takeTurns(slices.Collect(maps.Keys(all)), maxUpdateProbes) {
		selected = append(selected, all[id])
	}
	return selected
}

// takeTurns returns as many requests as a message has room for, in each message others.
func (t *Tracker) takeTurns(list []ID, room int) []ID {
	if len(list) <= room {
		return list
	}
	turns := make(map[ID]uint64, len(list))
	for _, id := range list {
		turns[id] = t.turn(id)
	}
	slices.SortFunc(list, func(x, y ID) int { return cmp.Compare(turns[x], turns[y]) })
	return list[:room]
}

// quarantinedShapes returns the shapes that are quarantined.
func (t *Tracker) quarantinedShapes() map[Shape]bool {
	m := make(map[Shape]bool)
	for s, f := range t.telling {
		if f.isQuarantined() {
			m[s] = true
		}
	}
	return m
}

// hasShapeOf reports whether the request is of one of the shapes.
func (s *suspect) hasShapeOf(shapes map[Shape]bool) bool {
	return len(shapes) > 0 && slices.ContainsFunc(s.print.shapes(), func(x Shape) bool { return shapes[x] })
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
				t.tellOf(x)
			}
		}
	}
	parts := t.mergeParts(now, u)
	if !changed && len(t.pendingChanges) == 0 {
		return parts
	}
	return append(t.evaluate(), parts...)
}
