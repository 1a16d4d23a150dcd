package soak

import (
	"fmt"
	"slices"
	"time"
)

// This file checks what is promised where some daemons reach no upstream, and where upstreams bear few rejections.

const (
	cutNotice   = 3 * time.Second // from the beginning of a cut
	cutShare    = 2.0 / 3         // of what the other daemons serve
	cutLeast    = 10.0            // failed requests that are passed over, and
	cutFailures = 1.0 / 50        // of all requests there
	fallsLeast  = 2.0
	fallsShare  = 0.1 // of the upstreams of the service
)

// tally counts requests.
type tally struct{ asked, served int }

// share returns the share of the requests that were served; 1 if there was none.
func (t tally) share() float64 {
	if t.asked == 0 {
		return 1
	}
	return float64(t.served) / float64(t.asked)
}

// with returns the tally with one more request.
func (t tally) with(served bool) tally {
	t.asked++
	if served {
		t.served++
	}
	return t
}

// checkEgress: daemons that reach no upstream themselves serve almost as much as the others.
func checkEgress(v *view) []Failure {
	var list []Failure
	for _, f := range v.Day.Faults {
		if f.Kind != FaultEgress || !v.unobstructed(f) {
			continue
		}
		cut, others := make(map[Route]tally), make(map[Route]tally) // by route
		for i := range v.Replies {
			r := &v.Replies[i]
			if r.Call.Key != KeyWide || r.Call.bad() || v.at(r.Sent) < f.At+cutNotice || v.at(r.Done) > f.End() {
				continue
			}
			where := others
			if slices.Contains(f.Who, r.Call.Daemon) {
				where = cut
			}
			where[r.Call.Route] = where[r.Call.Route].with(r.good() && r.Whole)
		}
		var all tally
		expected := 0.0 // served, if each route were served as the other daemons serve it
		for route, t := range cut {
			all.asked, all.served = all.asked+t.asked, all.served+t.served
			expected += float64(t.asked) * others[route].share()
		}
		if failed := float64(all.asked - all.served); float64(all.served) < cutShare*expected && failed > cutLeast+cutFailures*float64(all.asked) {
			list = append(list, Failure{"egress", "", fmt.Sprintf("daemons that reach no upstream (%s) served %d of %d, the others would have served %.0f", f.How, all.served, all.asked, expected)})
		}
	}
	return list
}

// unobstructed tells whether no other fault keeps daemons from callers or from each other while one is in force.
func (v *view) unobstructed(own Fault) bool {
	return v.calm(v.Began.Add(own.At), v.Began.Add(own.End()), func(f Fault) bool {
		switch f.Kind {
		case FaultHall, FaultKillAll, FaultTerm, FaultPress, FaultTakeover, FaultKill:
			return true
		case FaultFreeze:
			return f.On == OnDaemons
		case FaultDelay, FaultReset, FaultSilent, FaultOldSilent, FaultOneWay:
			return f.On == OnPeers || f.On == OnCallers
		case FaultEndless:
			return true // its bursts of callers fail at some daemons more than at others
		case FaultEgress:
			return own.Kind != FaultEgress
		default:
			return false
		}
	})
}

// checkBrittle: upstreams that bear few rejections don't fall over.
func checkBrittle(v *view) []Failure {
	var list []Failure
	for _, f := range v.Day.Faults {
		if f.Kind != FaultBrittle || !v.unobstructed(f) {
			continue
		}
		falls := 0
		for _, e := range v.Events {
			if e.What == Fell && v.at(e.At) >= f.At && v.at(e.At) <= f.End() {
				falls++
			}
		}
		if allowed := fallsLeast + fallsShare*float64(len(f.Who)); float64(falls) > allowed {
			list = append(list, Failure{"brittle", "", fmt.Sprintf("%d upstreams that bear %.0f rejections in a second fell over %d times", len(f.Who), f.X, falls)})
		}
	}
	return list
}
