package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// This file is the promises on streams while two software versions serve: a stream goes on only at the version that began
// it, whoever takes it up where, and those that can go on do.

const (
	mixedStreams = 2   // with events of two versions, which the operators' rule passes over
	leastTakenUp = 12  // attempts at taking a stream up, from which on their share is judged
	takenUpShare = 0.5 // of the share of new streams that begin
)

// run is a run of a stream at an upstream, and the event that the next one began after.
type run struct {
	Event
	after, until int
}

// streamRuns returns the runs of each stream over its caller's attempts, in order.
func (v *view) streamRuns() map[string][]run {
	last, runs := make(map[string]int), make(map[string][]run)
	for i := range v.Replies {
		r := &v.Replies[i]
		if r.Call.Route != RouteResume {
			continue
		}
		id := r.streamID()
		last[id] = max(last[id], r.last())
		for _, e := range v.runs[r.ID] {
			after := 0
			_, _ = fmt.Sscan(e.After, &after) // empty: from the start
			runs[id] = append(runs[id], run{Event: e, after: after})
		}
	}
	for id, list := range runs {
		slices.SortStableFunc(list, func(a, b run) int { return a.At.Compare(b.At) })
		for i := range list {
			list[i].until = last[id]
			if i+1 < len(list) {
				list[i].until = list[i+1].after
			}
		}
	}
	return runs
}

// checkVersions: a stream has events of one version.
func checkVersions(v *view) []Failure {
	var mixed []Failure
	for id, list := range v.streamRuns() {
		var versions []string
		for _, r := range list {
			if r.until > r.after && !slices.Contains(versions, r.Version) {
				versions = append(versions, r.Version)
			}
		}
		if len(versions) > 1 {
			mixed = append(mixed, Failure{"versions", id, "a stream has events of " + strings.Join(versions, " and ")})
		}
	}
	if len(mixed) <= mixedStreams {
		return nil
	}
	return mixed
}

// checkTakenUp: at daemons in touch, streams that callers take up go on at least half as often as new ones begin.
func checkTakenUp(v *view) []Failure {
	asked, on, tried, began := 0, 0, 0, 0
	for i := range v.Replies {
		r := &v.Replies[i]
		if r.Call.Route != RouteResume || r.Status == http.StatusTooManyRequests || !v.calm(r.Sent.Add(-time.Second), r.Done, v.takesUp(r.Call.Daemon)) {
			continue
		}
		if r.Call.Resumes == "" {
			tried++
			if r.last() > 0 {
				began++
			}
			continue
		}
		asked++
		if r.last() > r.Call.After {
			on++
		}
	}
	if asked < leastTakenUp || float64(on)*float64(tried) >= takenUpShare*float64(began)*float64(asked) {
		return nil
	}
	return []Failure{{"taken-up", "", fmt.Sprintf("%d of %d streams went on where %d of %d new ones began", on, asked, began, tried)}}
}

// takesUp tells whether a fault keeps a daemon from taking streams up: its own, or an end of upstreams, after which there
// may be none of a version.
func (v *view) takesUp(daemon int) func(f Fault) bool {
	touches := v.touches(daemon)
	return func(f Fault) bool {
		switch f.Kind {
		case FaultReclaim, FaultCrash, FaultPart, FaultDrain, FaultRelease, FaultTry, FaultTimeout, FaultMalformed, FaultBrittle, FaultEgress, FaultLimit:
			return true
		default:
			return touches(f)
		}
	}
}
