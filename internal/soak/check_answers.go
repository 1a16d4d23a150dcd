package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// This file is the promises on single requests: what came back, and how often it ran.

// checkWhole: an answer is an upstream's own and whole, or can't be taken for whole; streams have no gap and
// nothing twice.
func checkWhole(v *view) []Failure {
	return v.eachReply("whole", func(r *Reply) string {
		switch {
		case r.Whole && r.garbage():
			if v.endedUnder(r) {
				return "" // its response ends with its connection
			}
			return fmt.Sprintf("status %d with a body without end ends as whole after %d bytes", r.Status, len(r.Body))
		case !r.good() && r.Signed != "" && r.Status != http.StatusInternalServerError:
			return fmt.Sprintf("status %d bears an upstream's signature", r.Status)
		case !r.good():
			return ""
		case r.Signed == "":
			return fmt.Sprintf("status %d without a signature", r.Status)
		case !r.stream():
			if r.Whole && r.Body != Body(r.ID) && !v.cutByUpstream(r) {
				return fmt.Sprintf("%q", r.Body)
			}
			return ""
		}
		want := ""
		for n := r.Call.After + 1; n <= Pieces(r.streamID()); n++ {
			want += Piece(r.streamID(), n)
		}
		if r.Whole && r.Body != want && !(v.cutByUpstream(r) && strings.HasPrefix(want, r.Body)) {
			return fmt.Sprintf("a stream that ends as whole: %q", r.Body)
		}
		if !strings.HasPrefix(want, r.Body) {
			return fmt.Sprintf("a stream with a gap, or something twice: %q", r.Body)
		}
		return ""
	})
}

// cutByUpstream tells whether an upstream ended under a request whose answer ends with its connection: nobody can tell that
// from the answer's end, since the upstream's kernel closes the connection in order.
func (v *view) cutByUpstream(r *Reply) bool {
	return v.Day.Bare && v.endedUnder(r)
}

// endedUnder tells whether an upstream ended under a request.
func (v *view) endedUnder(r *Reply) bool {
	return v.drained(r) || slices.ContainsFunc(v.runs[r.ID], func(run Event) bool {
		return slices.ContainsFunc(v.Events, func(e Event) bool {
			ends := e.What == Started || e.What == Fell || e.What == Crashed
			return ends && e.Upstream == run.Upstream && e.At.After(run.At) && e.At.Before(r.Done.Add(longestRestart))
		})
	})
}

// longestRestart is until when an upstream that has ended under a request has started again.
const longestRestart = 5 * time.Second

// checkOnce: what may not be repeated runs once.
func checkOnce(v *view) []Failure {
	return v.eachReply("once", func(r *Reply) string {
		if n := len(v.runs[r.ID]); n > 1 && (r.Call.Route == RoutePlain || r.Call.Route == RouteStream) {
			return fmt.Sprintf("ran %d times", n)
		}
		return ""
	})
}

// checkNotRun: what was refused as not run has not run. Who may repeat anyway can live with a run.
func checkNotRun(v *view) []Failure {
	return v.eachReply("not-run", func(r *Reply) string {
		refused := slices.Contains([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}, r.Status)
		if refused && len(v.runs[r.ID]) > 0 && (r.Call.Route == RoutePlain || r.Call.Route == RouteStream) {
			return fmt.Sprintf("status %d, and it ran", r.Status)
		}
		return ""
	})
}

// checkAttempts: a request runs at no more upstreams than it may.
func checkAttempts(v *view) []Failure {
	over := v.eachReply("attempts", func(r *Reply) string {
		if n := len(v.runs[r.ID]); n > MaxAttempts && v.calm(r.Sent, r.Done, func(f Fault) bool { return f.On == OnUpstreams || !unplanned(f) || f.Kind == FaultHall }) {
			return fmt.Sprintf("ran at %d upstreams", n)
		}
		return ""
	})
	if len(over) <= 3 { // as many as the rule passes over
		return nil
	}
	return over
}

// checkEnds: whatever is asked of a daemon in touch ends in time.
func checkEnds(v *view) []Failure {
	return v.eachReply("ends", func(r *Reply) string {
		if d := r.Done.Sub(r.Sent); d > callWait+endBound && v.calm(r.Sent, r.Done, v.touches(r.Call.Daemon)) {
			return fmt.Sprintf("took %v, of %v: %s", d, callWait, r.Error)
		}
		return ""
	})
}

// checkStops: a planned stop cuts nothing off that a daemon has taken.
func checkStops(v *view) []Failure {
	var list []Failure
	for _, s := range v.Stops {
		if !v.planned(s) || s.Ended.IsZero() {
			continue
		}
		for i := range v.Replies {
			r := &v.Replies[i]
			cut := r.Status == 0 || r.good() && !r.Whole
			if r.Call.Daemon != s.Daemon || !cut || !r.Wrote || len(v.came[r.ID]) == 0 || r.Done.Before(s.At) || r.Sent.After(s.Ended) {
				continue
			}
			// What comes in the last seconds of the grace may outlast it.
			if r.Sent.Sub(s.At) < stopGrace/2 && v.calm(s.At, r.Done, unplanned) && !v.drained(r) && !v.timedOut(r) {
				list = append(list, Failure{"stop", r.ID, fmt.Sprintf("cut off %v after %s was told to stop: %s", r.Done.Sub(s.At), daemonName(s.Daemon), r.Error)})
			}
		}
	}
	return list
}

// timedOut tells whether a request that was sent while the time-outs of routes were lowered took as long as these allow.
func (v *view) timedOut(r *Reply) bool {
	return r.Done.Sub(r.Sent) >= HastyTimeout && slices.ContainsFunc(v.Day.Faults, func(f Fault) bool {
		return f.Kind == FaultTimeout && v.at(r.Sent) >= f.At && v.at(r.Sent) <= f.End()+applyBound
	})
}

// planned tells whether the day has a planned stop of a daemon.
func (v *view) planned(s Stop) bool {
	return slices.ContainsFunc(v.Day.Faults, func(f Fault) bool { return f.plannedStop() && slices.Contains(f.Who, s.Daemon) })
}

// checkAnswered: a stopping daemon closes no connection on which a request has lain for longer than the slack.
func checkAnswered(v *view) []Failure {
	return v.eachReply("answered", func(r *Reply) string {
		waited := r.Done.Sub(r.WroteAt)
		if r.Status != 0 || !r.Wrote || waited <= lossSlack {
			return ""
		}
		for _, s := range v.Stops {
			if s.Daemon != r.Call.Daemon || s.Ended.IsZero() || !v.planned(s) || r.Done.Before(s.At) || r.Sent.After(s.Ended) {
				continue
			}
			if r.Sent.Sub(s.At) < stopGrace/2 && v.calm(s.At, r.Done, unplanned) && !v.drained(r) {
				return fmt.Sprintf("closed without an answer %v after it was sent, %v after %s was told to stop: %s", waited, r.Done.Sub(s.At), daemonName(s.Daemon), r.Error)
			}
		}
		return ""
	})
}

// drained tells whether an upstream that ran a request had its planned end under it.
func (v *view) drained(r *Reply) bool {
	return slices.ContainsFunc(v.runs[r.ID], func(e Event) bool {
		return slices.ContainsFunc(v.Drains, func(d Drain) bool {
			return d.Upstream == e.Upstream && !d.Ended.After(r.Done.Add(time.Second)) && d.Ended.After(r.Sent)
		})
	})
}

// checkLost: no process ends by itself.
func checkLost(v *view) []Failure {
	var list []Failure
	for _, l := range v.Lost {
		list = append(list, Failure{"process", "", l})
	}
	return list
}
