package quarantine

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// This file tracks similar requests that crash upstreams: a counter, a name or a further turn of a chat gives
// each of them a fingerprint of its own. What they share is a shape: method, host, path, workspace, and the
// normalized body (normalize.go) or a prefix of the body. Prefixes double in length: similar requests begin
// alike, and where a harmless request begins like them, a longer prefix tells them apart. A prefix counts only
// once requests without it were answered (countsAgainst).
//
// Most requests of a shape are harmless, so crashes are weaker evidence against a shape than against a
// fingerprint, and a shape is quarantined more cautiously in two ways. A response to any request of the
// shape clears it: where harmless requests share the shape, they continue as if no crash had been seen.
// And crashes in a burst count as one: when many upstreams stop at the same time, every request that ran
// on them observes a crash before any of them could get a response.
//
// Alternatives considered: workspace and path alone (a harmless request of another length gets a response
// in between and clears them); equal parts of the body (a hash of each part for every request whose shape
// is tracked); no retry for similar requests (hardly fewer upstreams crash, and more harmless requests
// lose their retry during waves of reclaims).

const (
	// shapeCrashThreshold is how many crashes without a response in between quarantine a shape. They must
	// come from at least shapeMinRequests different requests, since the crashes of a single request are
	// counted by its fingerprint.
	shapeCrashThreshold = 4
	shapeMinRequests    = 3
	// burstWindow is the span within which crashes count as one: a wave that stops many upstreams at once
	// is no evidence against the harmless requests that ran there (TestSimilarRequests).
	burstWindow = 500 * time.Millisecond
	// initialShapeQuarantine is how long a shape is quarantined at first. Each further crash doubles it,
	// up to maxShapeQuarantine.
	initialShapeQuarantine = 2 * time.Second
	maxShapeQuarantine     = time.Minute
	// shapeProbeSpread is the span over which the nodes admit a probe, each at its own moment.
	shapeProbeSpread = 2 * time.Second
	// maxShapeCrashes bounds the crashes remembered per shape. The oldest are dropped.
	maxShapeCrashes = 32
)

// shapeState holds the crashes, responses and probes of the requests of one shape.
type shapeState struct {
	suspects     int     // of this shape, in Tracker.suspects
	crashes      []Crash // since the last response to one of them, by time
	lastResponse Response
	clearedBy    Response // the latest response that cleared crashes; announced to other nodes
	lastProbe    Probe    // the latest probe that this node or another one admitted
}

// add records a crash and reports whether it starts or extends the quarantine of the shape.
func (f *shapeState) add(e Crash) bool {
	if !e.At.After(f.lastResponse.At) || slices.ContainsFunc(f.crashes, func(o Crash) bool { return o.Fingerprint.id == e.Fingerprint.id && o.same(e) }) {
		return false
	}
	before := f.until()
	f.crashes = append(f.crashes, e)
	slices.SortFunc(f.crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
	if len(f.crashes) > maxShapeCrashes {
		f.crashes = slices.Delete(f.crashes, 0, 1)
	}
	return f.until().After(before)
}

// observeResponse records a response to a request of the shape and reports whether it ends the
// quarantine.
func (f *shapeState) observeResponse(a Response) bool {
	if !a.At.After(f.lastResponse.At) {
		return false
	}
	quarantined := !f.until().IsZero()
	f.lastResponse = a
	count := len(f.crashes)
	f.crashes = slices.DeleteFunc(f.crashes, func(e Crash) bool { return !e.At.After(a.At) })
	if len(f.crashes) < count {
		f.clearedBy = a
	}
	return quarantined && f.until().IsZero()
}

// countBursts counts crashes, which are sorted by time, with those within burstWindow of the first of a
// burst as one.
func countBursts(crashes []Crash) int {
	n := 0
	var last time.Time
	for _, e := range crashes {
		if n == 0 || e.At.Sub(last) >= burstWindow {
			n, last = n+1, e.At
		}
	}
	return n
}

// until returns the end of the shape's quarantine; zero: it is not quarantined.
func (f *shapeState) until() time.Time {
	n := countBursts(f.crashes)
	if n < shapeCrashThreshold {
		return time.Time{}
	}
	distinct := make(map[ID]bool, len(f.crashes))
	for _, e := range f.crashes {
		distinct[e.Fingerprint.id] = true
	}
	if len(distinct) < shapeMinRequests {
		return time.Time{}
	}
	hold := min(initialShapeQuarantine<<min(n-shapeCrashThreshold, 8), maxShapeQuarantine)
	return f.crashes[len(f.crashes)-1].At.Add(hold)
}

// isQuarantined reports whether the shape is quarantined.
func (f *shapeState) isQuarantined() bool {
	return len(f.crashes) >= shapeCrashThreshold && !f.until().IsZero()
}

// hasNews reports whether there may be something to tell of the shape.
func (f *shapeState) hasNews() bool {
	return len(f.crashes) >= shapeCrashThreshold || !f.clearedBy.At.IsZero() || !f.lastProbe.At.IsZero()
}

// isToBeTold reports whether messages tell of the shape: of its response and its probe for a while, of the crashes that
// quarantine it as long as they do.
func (f *shapeState) isToBeTold(now time.Time) bool {
	return now.Sub(f.clearedBy.At) <= announceFor || now.Sub(f.lastProbe.At) <= announceFor || f.isQuarantined()
}

// check decides whether a request of the shape may be sent now. Once the quarantine has expired, one
// probe at a time is admitted, which the caller records. While it runs, for at most probeTimeout, the other
// requests wait for its response or for the crash that extends the quarantine.
func (f *shapeState) check(now time.Time, node string) Verdict {
	until := f.until()
	if until.IsZero() {
		return Verdict{}
	}
	v := Verdict{ByShape: true, Upstreams: len(f.crashes)}
	free := until.Add(time.Duration(xxhash.Sum64String(node) % uint64(shapeProbeSpread)))
	if t := f.lastProbe.At.Add(probeTimeout); t.After(free) && f.lastProbe.At.After(f.crashes[len(f.crashes)-1].At) {
		free = t
	}
	if now.Before(free) {
		v.Quarantined, v.Wait = true, free.Sub(now)
		return v
	}
	v.Probe = true
	return v
}
