package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// timeLeft is how much of its time a request has at least that didn't end because its time was up.
const timeLeft = 500 * time.Millisecond

// checkSilence: no answer of a daemon in touch is ended because its upstream, a sound one, was silent for a second.
func checkSilence(v *view) []Failure {
	return v.eachReply("silence", func(r *Reply) string {
		cut := r.good() && !r.Whole || r.Status == 0 && r.Wrote
		if !cut && r.Status != http.StatusBadGateway && r.Status != http.StatusGatewayTimeout {
			return ""
		}
		left := r.Call.At + callWait - v.at(r.Done)
		if left < timeLeft || !v.silentUnder(r) || v.drained(r) || !v.calm(r.Sent, r.Done, endsAnswers) {
			return ""
		}
		return fmt.Sprintf("ended with %v left, while its upstream was silent for a second: status %d, %d events, %s", left, r.Status, r.last(), r.Error)
	})
}

// endsAnswers tells whether a fault may end answers: anything unplanned, and daemons and upstreams that are replaced.
func endsAnswers(f Fault) bool {
	return unplanned(f) || f.plannedStop() || f.Kind == FaultReclaim || f.Kind == FaultRelease
}

// silentUnder tells whether an upstream at which a request ran, or any if it ran nowhere, was silent meanwhile.
func (v *view) silentUnder(r *Reply) bool {
	return slices.ContainsFunc(v.Day.Faults, func(f Fault) bool {
		if f.Kind != FaultSecond || f.At > v.at(r.Done) || f.End() < v.at(r.Sent) {
			return false
		}
		runs := v.runs[r.ID]
		return len(runs) == 0 || slices.ContainsFunc(runs, func(e Event) bool {
			return slices.ContainsFunc(f.Who, func(i int) bool { return upstreamName(i) == e.Upstream })
		})
	})
}
