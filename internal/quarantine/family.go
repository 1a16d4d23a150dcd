package quarantine

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// This file is about requests that end upstreams and aren't quite the same: a counter or a time in the
// body makes each one new to the book. What they have in common is their shape: method, host, path,
// workspace, and the form of the body (form.go).
//
// Most requests of a shape are harmless, so its evidence is weaker than a print's, and two things are
// asked of it that a print's isn't. An answer to any of them clears the shape: where harmless requests are
// among them, these go on as if nothing had been seen. And ends that come together count as one: when many
// upstreams end at once, all that ran there see an end, and none has had the time to be answered.
//
// Weighed: the workspace and path alone (a harmless request of another length is answered in between and
// clears them); parts of the body that are equal (a hash of each for each request, where the shape is there
// already); no second try for what is alike (hardly fewer upstreams end, and more harmless requests lose theirs in
// waves).

const (
	// familyProof is how many ends without an answer in between hold a shape back, of familyPrints
	// different requests at least: the ends of one request are counted by its print.
	familyProof  = 4
	familyPrints = 3
	// endsTogether is the span in which ends count as one: a wave that ends many upstreams at once
	// is no evidence against the harmless requests that ran there (TestAlike).
	endsTogether = 500 * time.Millisecond
	// familyHold is how long a shape is held back at first; each end after that doubles it, up to
	// familyLongest.
	familyHold    = 2 * time.Second
	familyLongest = time.Minute
	// familySpread is the span over which the nodes let one request through, each at its own moment.
	familySpread = 2 * time.Second
	// familyEnds bounds the ends remembered of a shape, the oldest are dropped.
	familyEnds = 32
)

// family is the requests of one shape under which upstreams ended.
type family struct {
	suspects int   // of them: in the book
	ends     []Crash // since one of them was answered, by time
	answered Response
	cleared  Response // the newest that cleared ends: others are told of it
	tried    Probe  // the newest one that was let through, here or at another node
}

// add takes in an end, and tells whether the family is held back by it for the first time or for longer.
func (f *family) add(e Crash) bool {
	if !e.At.After(f.answered.At) || slices.ContainsFunc(f.ends, func(o Crash) bool { return o.Fingerprint == e.Fingerprint && o.same(e) }) {
		return false
	}
	before := f.until()
	f.ends = append(f.ends, e)
	slices.SortFunc(f.ends, func(a, b Crash) int { return a.At.Compare(b.At) })
	if len(f.ends) > familyEnds {
		f.ends = slices.Delete(f.ends, 0, 1)
	}
	return f.until().After(before)
}

// answer takes in that one of them was answered, and tells whether the family was held back.
func (f *family) answer(a Response) bool {
	if !a.At.After(f.answered.At) {
		return false
	}
	held := !f.until().IsZero()
	f.answered = a
	ends := len(f.ends)
	f.ends = slices.DeleteFunc(f.ends, func(e Crash) bool { return !e.At.After(a.At) })
	if len(f.ends) < ends {
		f.cleared = a
	}
	return held && f.until().IsZero()
}

// apart counts ends, by time, that didn't come together.
func apart(ends []Crash) int {
	n := 0
	var last time.Time
	for _, e := range ends {
		if n == 0 || e.At.Sub(last) >= endsTogether {
			n, last = n+1, e.At
		}
	}
	return n
}

// until is until when the family is held back; zero: it isn't.
func (f *family) until() time.Time {
	n := apart(f.ends)
	if n < familyProof {
		return time.Time{}
	}
	prints := make(map[Fingerprint]bool, len(f.ends))
	for _, e := range f.ends {
		prints[e.Fingerprint] = true
	}
	if len(prints) < familyPrints {
		return time.Time{}
	}
	hold := min(familyHold<<min(n-familyProof, 8), familyLongest)
	return f.ends[len(f.ends)-1].At.Add(hold)
}

// check tells whether one of them may be sent now. One at a time may, once the time is over: while it runs,
// trialTakes at most, the others wait for its answer, or for the end that makes the time longer.
func (f *family) check(now time.Time, node string, p Fingerprint) Verdict {
	until := f.until()
	if until.IsZero() {
		return Verdict{}
	}
	v := Verdict{ByShape: true, Upstreams: len(f.ends)}
	free := until.Add(time.Duration(xxhash.Sum64String(node) % uint64(familySpread)))
	if t := f.tried.At.Add(trialTakes); t.After(free) && f.tried.At.After(f.ends[len(f.ends)-1].At) {
		free = t
	}
	if now.Before(free) {
		v.Quarantined, v.Wait = true, free.Sub(now)
		return v
	}
	f.tried = Probe{Fingerprint: p, At: now}
	v.Probe = true
	return v
}
