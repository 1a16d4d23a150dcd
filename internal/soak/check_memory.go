package soak

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// This file checks what is promised where upstreams send without end.

const (
	soundShare = 0.9 // of requests that have nothing to do with such an upstream
	soundLeast = 3   // requests that are passed over
)

// checkMemory: no daemon takes more memory than its VM has.
func checkMemory(v *view) []Failure {
	var list []Failure
	for name, n := range v.Peaks {
		if most := int64(v.Day.memory()) << 20; n > most {
			list = append(list, Failure{"memory", "", fmt.Sprintf("%s took %d MB of %d", name, n>>20, v.Day.memory())})
		}
	}
	slices.SortFunc(list, func(a, b Failure) int { return cmp.Compare(a.What, b.What) })
	return list
}

// checkSound: while an upstream sends without end, requests at daemons in touch that don't reach it are served in time.
func checkSound(v *view) []Failure {
	var list []Failure
	for _, f := range v.Day.Faults {
		if f.Kind != FaultEndless || v.stalled(v.Began.Add(f.At), v.Began.Add(f.End())) {
			continue
		}
		var t tally
		byStatus := make(map[int]int)
		for i := range v.Replies {
			r := &v.Replies[i]
			if v.at(r.Sent) < f.At || v.at(r.Sent) > f.End() || !v.sound(r) {
				continue
			}
			served := r.good() && r.Whole && r.Done.Sub(r.Sent) <= callWait
			t = t.with(served)
			if !served {
				byStatus[r.Status]++
			}
		}
		if failed := t.asked - t.served; t.share() < soundShare && failed > soundLeast {
			list = append(list, Failure{"sound", "", fmt.Sprintf("%d of %d were served in time while %s sent without end (%s); others by status: %v", t.served, t.asked, upstreamName(f.Who[0]), f.How, byStatus)})
		}
	}
	return list
}

// sound tells whether a request has nothing to do with upstreams that send without end, and no other fault excuses its end.
func (v *view) sound(r *Reply) bool {
	if r.Call.Key != KeyWide || r.Call.bad() || r.Call.Resumes != "" {
		return false
	}
	reached := slices.ContainsFunc(v.came[r.ID], func(e Event) bool {
		return slices.ContainsFunc(v.Day.Faults, func(f Fault) bool { return f.Kind == FaultEndless && upstreamName(f.Who[0]) == e.Upstream })
	})
	return !reached && v.calm(r.Sent, r.Done, func(f Fault) bool {
		return f.Kind != FaultEndless && (endsAnswers(f) || f.Kind == FaultLimit)
	})
}

// garbage tells whether a body has what upstreams send without end.
func (r *Reply) garbage() bool { return strings.Contains(r.Body, EndlessPiece) }
