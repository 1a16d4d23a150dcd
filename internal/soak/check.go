package soak

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// This file is the promises, checked by what callers and upstreams saw. Bounds that hold for daemons in touch only
// look at requests of which the day's own list of faults says that nothing was wrong around them.

// Failure is one broken promise.
type Failure struct {
	Check string `json:"check"`
	ID    string `json:"id,omitempty"` // of the request
	What  string `json:"what"`
}

// String returns the failure in a line.
func (f Failure) String() string { return strings.TrimSpace(f.Check + " " + f.ID + ": " + f.What) }

// The bounds. Those of time are the platform's pages'.
const (
	lately      = 3 * time.Second // how long after a fault a daemon isn't in touch
	stallEcho   = time.Second     // until what a stall has held up is made good
	drainBound  = 2 * time.Second // requests reach an upstream that leaves no later
	applyBound  = 2 * time.Second // a configuration is in force
	backBound   = time.Second     // from a daemon's first use of a configuration, after which it uses none before it
	endBound    = 1500 * time.Millisecond
	quotaSpan   = 8 * time.Second
	quotaShare  = 1.1 // of what a quota allows in a span
	servedShare = 0.9 // of the requests in the day's last seconds
	lastSeconds = 2500 * time.Millisecond
	usageShare  = 0.1
	usageLeast  = 3
	limitSpan   = 4 * time.Second
	limitTimes  = 1.5
	limitExtra  = 5
	fdsMore     = 60
	bytesMore   = 48 << 20
)

// view is a record, made ready to be looked at.
type view struct {
	Record
	replies map[string]*Reply
	runs    map[string][]Event // by request, those that began
	came    map[string][]Event // by request, arrivals
}

func newView(r Record) *view {
	v := &view{Record: r, replies: make(map[string]*Reply), runs: make(map[string][]Event), came: make(map[string][]Event)}
	for i := range r.Replies {
		v.replies[r.Replies[i].ID] = &r.Replies[i]
	}
	slices.SortStableFunc(v.Events, func(a, b Event) int { return a.At.Compare(b.At) })
	for _, e := range v.Events {
		switch e.What {
		case Began:
			v.runs[e.ID] = append(v.runs[e.ID], e)
		case Arrived:
			v.came[e.ID] = append(v.came[e.ID], e)
		case Ended, Refused, Named, Started:
		}
	}
	return v
}

// at is a time of the day.
func (v *view) at(t time.Time) time.Duration { return t.Sub(v.Began) }

// stalled tells whether the VM was too busy in a span, or just before it.
func (v *view) stalled(from, to time.Time) bool {
	return slices.ContainsFunc(v.Stalls, func(s Stall) bool { return !s.From.After(to) && !s.To.Before(from.Add(-stallEcho)) })
}

// calm tells whether no fault that fits was in force in a span, or lately before it, and the VM ran what was due.
func (v *view) calm(from, to time.Time, fits func(f Fault) bool) bool {
	return !v.stalled(from, to) && !slices.ContainsFunc(v.Day.Faults, func(f Fault) bool {
		end := f.End()
		if f.Kind == FaultTerm || f.Kind == FaultReclaim || f.Kind == FaultDrain || f.Kind == FaultCrash || f.Kind == FaultKill || f.Kind == FaultKillAll {
			end += stopGrace + 2*time.Second // until the process has started again
		}
		return f.At <= v.at(to) && end+lately >= v.at(from) && fits(f)
	})
}

// touches tells whether a fault disturbs a daemon, or all of them.
func (v *view) touches(daemon int) func(f Fault) bool {
	return func(f Fault) bool {
		switch f.Kind {
		case FaultHall, FaultKillAll, FaultLapse, FaultForget, FaultCopy:
			return true
		case FaultTerm, FaultKill:
			return slices.Contains(f.Who, daemon)
		case FaultFreeze:
			return f.On == OnStore || f.On == OnDaemons && slices.Contains(f.Who, daemon)
		case FaultStore, FaultDelay, FaultReset, FaultSilent, FaultOldSilent, FaultOneWay:
			return f.On != OnUpstreams && slices.Contains(f.Who, daemon)
		default:
			return false
		}
	}
}

// unplanned is anything but what upstreams and operators do themselves.
func unplanned(f Fault) bool {
	switch f.Kind {
	case FaultTerm, FaultConfig, FaultKeys, FaultQuota, FaultLimit, FaultDrain, FaultReclaim:
		return false
	default:
		return true
	}
}

// anything is any fault.
func anything(Fault) bool { return true }

// Check returns the promises that a record breaks. What needs the whole day is looked at once it is over.
func Check(r Record) []Failure {
	v := newView(r)
	var list []Failure
	for _, c := range []func(v *view) []Failure{checkWhole, checkOnce, checkNotRun, checkAttempts, checkDrains, checkConfig, checkKeys, checkQuota, checkRepeats, checkLimits, checkEnds, checkStops, checkLost} {
		list = append(list, c(v)...)
	}
	if r.Complete {
		for _, c := range []func(v *view) []Failure{checkServed, checkUsage, checkLevels} {
			list = append(list, c(v)...)
		}
	}
	return list
}

// eachReply calls f for each reply, and gathers what it says is wrong.
func (v *view) eachReply(check string, f func(r *Reply) string) []Failure {
	var list []Failure
	for i := range v.Replies {
		if what := f(&v.Replies[i]); what != "" {
			list = append(list, Failure{check, v.Replies[i].ID, what})
		}
	}
	return list
}

func (r *Reply) stream() bool { return r.Call.Route == RouteStream || r.Call.Route == RouteResume }
func (r *Reply) good() bool   { return r.Status >= 200 && r.Status < 300 }

// checkWhole: an answer is an upstream's own and whole, or can't be taken for whole; streams have no gap and
// nothing twice.
func checkWhole(v *view) []Failure {
	return v.eachReply("whole", func(r *Reply) string {
		switch {
		case !r.good() && r.Signed != "" && r.Status != http.StatusInternalServerError:
			return fmt.Sprintf("status %d bears an upstream's signature", r.Status)
		case !r.good():
			return ""
		case r.Signed == "":
			return fmt.Sprintf("status %d without a signature", r.Status)
		case !r.stream():
			if r.Whole && r.Body != Body(r.ID) {
				return fmt.Sprintf("%q", r.Body)
			}
			return ""
		}
		want := ""
		for n := 1; n <= Pieces(r.ID); n++ {
			want += Piece(r.ID, n)
		}
		if r.Whole && r.Body != want {
			return fmt.Sprintf("a stream that ends as whole: %q", r.Body)
		}
		if !strings.HasPrefix(want, r.Body) {
			return fmt.Sprintf("a stream with a gap, or something twice: %q", r.Body)
		}
		return ""
	})
}

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

// checkDrains: an upstream that leaves gets nothing new.
func checkDrains(v *view) []Failure {
	var list []Failure
	for _, d := range v.Drains {
		for _, e := range v.Events {
			r := v.replies[e.ID]
			if e.What != Arrived || e.Upstream != d.Upstream || r == nil || e.At.Sub(d.At) <= drainBound || e.At.After(d.Ended) {
				continue
			}
			if v.calm(d.At, e.At, v.touches(r.Call.Daemon)) {
				list = append(list, Failure{"drain", e.ID, fmt.Sprintf("reached %s %v after it said that it leaves", e.Upstream, e.At.Sub(d.At))})
			}
		}
	}
	return list
}

// changed returns when a configuration with a property was first in force.
func (v *view) changed(has func(c Configuration) bool) (time.Time, bool) {
	for _, c := range v.Configs {
		if has(c.Configuration) {
			return c.At, true
		}
	}
	return time.Time{}, false
}

// checkConfig: what the operators moved goes to the new place in time, and never back.
func checkConfig(v *view) []Failure {
	at, ok := v.changed(func(c Configuration) bool { return c.Moved })
	if !ok {
		return nil
	}
	first := make(map[int]time.Time) // a daemon's first send to the new place, in its present life
	replies := slices.Clone(v.Replies)
	slices.SortFunc(replies, func(a, b Reply) int { return a.Sent.Compare(b.Sent) })
	var list []Failure
	for i := range replies {
		r := &replies[i]
		if r.Call.Route != RouteMoving {
			continue
		}
		for _, e := range v.runs[r.ID] {
			since, used := first[r.Call.Daemon]
			switch {
			case e.Service == ServiceOther:
				if !used {
					first[r.Call.Daemon] = e.At
				}
			case r.Sent.Sub(at) > applyBound && v.calm(r.Sent, e.At, v.touches(r.Call.Daemon)):
				list = append(list, Failure{"config", r.ID, fmt.Sprintf("ran where the route went before, sent %v after the change", r.Sent.Sub(at))})
			case used && r.Sent.Sub(since) > backBound && v.oneLife(r.Call.Daemon, since, e.At):
				list = append(list, Failure{"config", r.ID, fmt.Sprintf("%s went back, %v after it had gone to the new place", daemonName(r.Call.Daemon), r.Sent.Sub(since))})
			}
		}
	}
	return list
}

// oneLife tells whether a daemon's process was neither stopped nor killed in a span.
func (v *view) oneLife(daemon int, from, to time.Time) bool {
	return !slices.ContainsFunc(v.Stops, func(s Stop) bool {
		return s.Daemon == daemon && !s.At.After(to) && (s.Ended.IsZero() || s.Ended.After(from))
	})
}

// checkKeys: a key that was withdrawn opens nothing, and one that is in force is never turned away.
func checkKeys(v *view) []Failure {
	at, withdrawn := v.changed(func(c Configuration) bool { return c.Withdrawn })
	return v.eachReply("keys", func(r *Reply) string {
		gone := withdrawn && r.Call.Key == KeyWithdrawn
		runs := v.runs[r.ID]
		if gone && len(runs) > 0 && r.Sent.Sub(at) > applyBound && v.calm(r.Sent, runs[0].At, v.touches(r.Call.Daemon)) {
			return fmt.Sprintf("ran with a key that was withdrawn %v before", r.Sent.Sub(at))
		}
		denied := r.Status == http.StatusUnauthorized || r.Status == http.StatusForbidden || r.Status == http.StatusNotFound
		if denied && !(gone && r.Done.After(at.Add(-time.Second))) {
			return fmt.Sprintf("status %d for a request that every configuration allows", r.Status)
		}
		return ""
	})
}

// checkQuota: what runs of the narrow workspace keeps to its quota, over all daemons. Each may spend the part of a
// burst with which a process begins.
func checkQuota(v *view) []Failure {
	starts := float64(len(v.Stops))
	allowed := (NarrowRate*quotaSpan.Seconds()+NarrowBurst)*quotaShare + NarrowBurst*(1+0.25*starts)
	var list []Failure
	sum, first := 0.0, 0
	var runs []Event
	for _, e := range v.Events {
		if e.What != Began || e.Tenant != string(KeyNarrow) || e.After != "" {
			continue
		}
		runs = append(runs, e)
		sum += float64(e.Size)
		for e.At.Sub(runs[first].At) >= quotaSpan {
			sum -= float64(runs[first].Size)
			first++
		}
		if sum > allowed {
			return append(list, Failure{"quota", e.ID, fmt.Sprintf("%.0f tokens ran in %v, %.0f are allowed", sum, quotaSpan, allowed)})
		}
	}
	return list
}

// serviceNow is where a reply's request belongs; the moving route belongs to two.
func (r *Reply) service() string {
	if r.stream() {
		return ServiceEngine
	}
	return ServicePlain
}

// checkRepeats: what arrives beyond the first of each request keeps to the budget.
func checkRepeats(v *view) []Failure {
	var asked, repeats []time.Time
	for i := range v.Replies {
		if r := &v.Replies[i]; r.service() == ServiceEngine {
			asked = append(asked, r.Sent)
			for _, e := range v.came[r.ID][min(1, len(v.came[r.ID])):] {
				repeats = append(repeats, e.At)
			}
		}
	}
	slices.SortFunc(repeats, time.Time.Compare)
	within := func(list []time.Time, from, to time.Time) int {
		n := 0
		for _, t := range list {
			if t.After(from) && !t.After(to) {
				n++
			}
		}
		return n
	}
	for _, t := range repeats {
		n := within(repeats, t.Add(-retryWindow), t)
		most := max(within(asked, t.Add(-retryWindow), t), within(asked, t.Add(-2*retryWindow), t.Add(-retryWindow)))
		if allowed := retryRatio*float64(most) + retryExtra; float64(n) > allowed {
			return []Failure{{"repeats", "", fmt.Sprintf("%d in %v for %d requests, %.0f are allowed", n, retryWindow, most, allowed)}}
		}
	}
	return nil
}

// checkLimits: an upstream that names a rate gets no more from daemons in touch.
func checkLimits(v *view) []Failure {
	var list []Failure
	for _, f := range v.Day.Faults {
		if f.Kind != FaultLimit {
			continue
		}
		name, named := upstreamName(f.Who[0]), time.Time{}
		var came []time.Time
		for _, e := range v.Events {
			switch {
			case e.Upstream != name || v.at(e.At) < f.At || v.at(e.At) > f.End():
			case e.What == Started:
				named, came = time.Time{}, nil // the next life names none
			case e.What == Named && named.IsZero():
				named = e.At
			case e.What == Arrived && !named.IsZero() && e.At.Sub(named) >= lately:
				if r := v.replies[e.ID]; r != nil && v.calm(e.At.Add(-lately), e.At, v.touches(r.Call.Daemon)) {
					came = append(came, e.At)
				}
			}
		}
		list = append(list, overLimit(name, f.X, came)...)
	}
	return list
}

func overLimit(name string, rate float64, came []time.Time) []Failure {
	allowed, first := limitTimes*rate*limitSpan.Seconds()+limitExtra, 0
	for i, t := range came {
		for t.Sub(came[first]) >= limitSpan {
			first++
		}
		if n := i - first + 1; float64(n) > allowed {
			return []Failure{{"limit", "", fmt.Sprintf("%s got %d in %v, having named %.2f a second", name, n, limitSpan, rate)}}
		}
	}
	return nil
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
		if !slices.ContainsFunc(v.Day.Faults, func(f Fault) bool { return f.Kind == FaultTerm && slices.Contains(f.Who, s.Daemon) }) || s.Ended.IsZero() {
			continue
		}
		for i := range v.Replies {
			r := &v.Replies[i]
			cut := r.Status == 0 || r.good() && !r.Whole
			if r.Call.Daemon != s.Daemon || !cut || !r.Wrote || len(v.came[r.ID]) == 0 || r.Done.Before(s.At) || r.Sent.After(s.Ended) {
				continue
			}
			// What comes in the last seconds of the grace may outlast it.
			if r.Sent.Sub(s.At) < stopGrace/2 && v.calm(s.At, r.Done, unplanned) && !v.drained(r) {
				list = append(list, Failure{"stop", r.ID, fmt.Sprintf("cut off %v after %s was told to stop: %s", r.Done.Sub(s.At), daemonName(s.Daemon), r.Error)})
			}
		}
	}
	return list
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

// checkServed: once the faults are over, requests are served again.
func checkServed(v *view) []Failure {
	asked, served := 0, 0
	byStatus := make(map[int]int)
	for i := range v.Replies {
		r := &v.Replies[i]
		if r.Call.At < v.Day.Traffic-lastSeconds || r.Call.Key != KeyWide {
			continue
		}
		asked++
		if r.good() && r.Whole {
			served++
		} else {
			byStatus[r.Status]++
		}
	}
	last := v.Began.Add(v.Day.Traffic)
	if float64(served) < servedShare*float64(asked) && !v.stalled(last.Add(-2*lastSeconds), last) {
		return []Failure{{"served", "", fmt.Sprintf("%d of %d in the last %v; others by status: %v", served, asked, lastSeconds, byStatus)}}
	}
	return nil
}

// checkUsage: a window has one count, and the right one where nothing was wrong around it. A window that was settled
// while the store came back from a copy may be missing.
func checkUsage(v *view) []Failure {
	var list []Failure
	first := v.Began.UnixMilli()/usageWindow.Milliseconds() + 1
	for w := first; w < first+int64(v.Day.Traffic/usageWindow)-1; w++ {
		from := time.UnixMilli(w * usageWindow.Milliseconds())
		calm := v.calm(from.Add(-2*usageWindow), from.Add(usageWindow+usageLate), anything)
		switch counts := v.Usage[w]; {
		case len(counts) > 1:
			list = append(list, Failure{"usage", "", fmt.Sprintf("window %d was reported with %d different counts", w, len(counts))})
		case calm && len(counts) == 0:
			list = append(list, Failure{"usage", "", fmt.Sprintf("window %d wasn't reported", w)})
		case calm:
			list = append(list, v.compareUsage(w, v.begunIn(from), counts[0])...)
		}
	}
	return list
}

// begunIn counts the requests that began to run in a window, by workspace.
func (v *view) begunIn(from time.Time) map[string]int64 {
	n := make(map[string]int64)
	for id, runs := range v.runs {
		if v.replies[id] != nil && !runs[0].At.Before(from) && runs[0].At.Before(from.Add(usageWindow)) {
			n[runs[0].Tenant]++
		}
	}
	return n
}

func (v *view) compareUsage(w int64, want, got map[string]int64) []Failure {
	var list []Failure
	for t, n := range want {
		if float64(max(got[t]-n, n-got[t])) > usageShare*float64(n)+usageLeast {
			list = append(list, Failure{"usage", "", fmt.Sprintf("window %d: %d of %s began, %d were reported", w, n, t, got[t])})
		}
	}
	slices.SortFunc(list, func(a, b Failure) int { return cmp.Compare(a.What, b.What) })
	return list
}

// checkLevels: what daemons hold is back where it was.
func checkLevels(v *view) []Failure {
	var list []Failure
	for name, b := range v.Before {
		a, ok := v.After[name]
		if !ok {
			list = append(list, Failure{"levels", "", name + " isn't there at the end"})
			continue
		}
		if a.Descriptors > b.Descriptors+fdsMore {
			list = append(list, Failure{"levels", "", fmt.Sprintf("%s has %d descriptors, %d before", name, a.Descriptors, b.Descriptors)})
		}
		if a.Bytes > b.Bytes+bytesMore {
			list = append(list, Failure{"levels", "", fmt.Sprintf("%s has %d MB, %d before", name, a.Bytes>>20, b.Bytes>>20)})
		}
	}
	slices.SortFunc(list, func(a, b Failure) int { return cmp.Compare(a.What, b.What) })
	return list
}
