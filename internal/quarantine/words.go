package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// This file is what books tell each other. What is news to a book it tells on for a while,
// so a word reaches all nodes whoever of them talk to each other; what holds a request back
// it tells always, to those that begin or come back later.

const (
	// tellsFor is how long news is told: some rounds, since a report may be lost.
	tellsFor = 2 * time.Second
	// endsTold bounds the ends in one message, some 70 bytes each: what a wave of reclaims makes of
	// most upstreams of a hall, told by many nodes.
	endsTold = 400
)

// Answer is that a request was answered whole.
type Response struct {
	Fingerprint Fingerprint
	At    time.Time
}

// Trial is that a request that was held back was let through. Others wait for how it ends:
// without that word they let through another one in the second and a half until they hear of
// its end.
type Probe struct {
	Fingerprint Fingerprint
	At    time.Time
}

// Words is what a book tells.
type Update struct {
	Crashes    []Crash
	Responses []Response
	Probes  []Probe
}

// Empty tells whether there is nothing to tell.
func (w Update) Empty() bool { return len(w.Crashes)+len(w.Responses)+len(w.Probes) == 0 }

// Words returns what is to be told now. What has lapsed is forgotten.
func (b *Tracker) BuildUpdate(now time.Time) Update {
	if b.size.Load() == 0 {
		return Update{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var w Update
	var list []*suspect
	alike := b.heldShapes()
	for p, s := range b.suspects {
		if s.lapsed(now) {
			b.drop(p)
			continue
		}
		news := now.Sub(s.changed) <= tellsFor
		if news || !s.until.IsZero() || alike[p.Shape()] {
			list = append(list, s)
		}
		if news && !s.cleared.IsZero() {
			w.Responses = append(w.Responses, Response{p, s.cleared})
		}
		if now.Sub(s.tried) <= tellsFor {
			w.Probes = append(w.Probes, Probe{p, s.tried})
		}
	}
	for _, f := range b.families {
		if now.Sub(f.cleared.At) <= tellsFor {
			w.Responses = append(w.Responses, f.cleared)
		}
		if now.Sub(f.tried.At) <= tellsFor {
			w.Probes = append(w.Probes, f.tried)
		}
	}
	slices.SortFunc(list, func(x, y *suspect) int {
		return cmp.Or(cmp.Compare(len(y.ends), len(x.ends)), y.changed.Compare(x.changed))
	})
	for _, s := range list {
		if len(w.Crashes)+len(s.ends) > endsTold {
			break
		}
		w.Crashes = append(w.Crashes, s.ends...)
	}
	return w
}

// heldShapes returns the shapes that are held back.
func (b *Tracker) heldShapes() map[Shape]bool {
	m := make(map[Shape]bool)
	for s, f := range b.families {
		if len(f.ends) >= familyProof && !f.until().IsZero() {
			m[s] = true
		}
	}
	return m
}

// Held returns the ends that hold requests back, and a number that rises with each change of
// which do.
func (b *Tracker) Evidence() ([]Crash, int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []Crash
	for _, s := range b.suspects {
		if !s.until.IsZero() {
			list = append(list, s.ends...)
		}
	}
	return list, b.held
}

// Hear takes in what another book told.
func (b *Tracker) Merge(now time.Time, w Update) []Change {
	if w.Empty() {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	news := false
	for _, a := range w.Responses {
		news = b.clear(now, a.Fingerprint, a.At) || news
		b.clearAlike(a)
	}
	for _, e := range w.Crashes {
		news = b.add(now, e) || news
	}
	for _, t := range w.Probes {
		if s := b.suspects[t.Fingerprint]; s != nil && t.At.Sub(s.tried) >= sameWithin {
			s.tried = t.At
		}
		if f := b.families[t.Fingerprint.Shape()]; f != nil && t.At.After(f.tried.At) {
			f.tried = t
		}
	}
	if !news && len(b.alike) == 0 {
		return nil
	}
	return b.settle()
}
