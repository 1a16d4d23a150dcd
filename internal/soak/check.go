package soak

import (
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
	lately      = 3 * time.Second        // how long after a fault a daemon isn't in touch
	stallEcho   = time.Second            // until what a stall has held up is made good
	drainBound  = 2 * time.Second        // requests reach an upstream that leaves no later
	applyBound  = 2 * time.Second        // a configuration is in force
	backBound   = time.Second            // from a daemon's first use of a configuration, after which it uses none before it
	lossSlack   = 200 * time.Millisecond // that a request may lie at a daemon that closes its connection
	endBound    = 1500 * time.Millisecond
	quotaSpan   = 8 * time.Second
	quotaShare  = 1.1 // of what a quota allows in a span
	quotaSlack  = NarrowRate / 2
	servedShare = 0.9 // of the requests in the day's last seconds
	lastPart    = 2500 * time.Millisecond
	usageShare  = 0.1
	usageLeast  = 3
	limitSpan   = 4 * time.Second
	limitTimes  = 1.5
	limitExtra  = 5
	fdsMore     = 60
	bytesMore   = 48 << 20
	// messageParts: messages may take one of so many parts of a VM's memory together.
	messageParts = 3
)

// view is a record, made ready to be looked at.
type view struct {
	Record
	replies map[string]*Reply
	runs    map[string][]Event // by request, those that began
	came    map[string][]Event // by request, arrivals
	counted map[string]Event   // by request, when it first counts as run
}

func newView(r Record) *view {
	v := &view{Record: r, replies: make(map[string]*Reply), runs: make(map[string][]Event), came: make(map[string][]Event), counted: make(map[string]Event)}
	for i := range r.Replies {
		v.replies[r.Replies[i].ID] = &r.Replies[i]
	}
	slices.SortStableFunc(v.Events, func(a, b Event) int { return a.At.Compare(b.At) })
	for _, e := range v.Events {
		switch e.What {
		case Began:
			v.runs[e.ID] = append(v.runs[e.ID], e)
			if e.Service != ServiceEngine {
				v.count(e)
			}
		case Token:
			v.count(e)
		case Arrived:
			v.came[e.ID] = append(v.came[e.ID], e)
		case Ended, Refused, Named, Started, Fell, Crashed, Slow:
		}
	}
	return v
}

func (v *view) count(e Event) {
	if _, counted := v.counted[e.ID]; !counted {
		v.counted[e.ID] = e
	}
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
		return f.At <= v.at(to) && f.passed()+lately >= v.at(from) && fits(f)
	})
}

// touches tells whether a fault disturbs a daemon, or all of them.
func (v *view) touches(daemon int) func(f Fault) bool {
	return func(f Fault) bool {
		switch f.Kind {
		case FaultHall, FaultKillAll, FaultLapse, FaultForget, FaultCopy, FaultTimeout:
			return true
		case FaultTerm, FaultPress, FaultTakeover, FaultKill, FaultStarve, FaultCrowd:
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

// disturbs is touches without what is the daemon's own trouble: one without processor time is in touch all the same.
func (v *view) disturbs(daemon int) func(f Fault) bool {
	touches := v.touches(daemon)
	return func(f Fault) bool { return f.Kind != FaultStarve && touches(f) }
}

// unplanned is anything but what upstreams and operators do themselves.
func unplanned(f Fault) bool {
	switch f.Kind {
	case FaultTerm, FaultPress, FaultTakeover, FaultConfig, FaultKeys, FaultQuota, FaultAims, FaultTimeout, FaultTry, FaultLimit, FaultDrain, FaultRelease, FaultReclaim, FaultSecond, FaultOdd:
		return false
	default:
		return true
	}
}

// anything is any fault but odd entries, which excuse nothing.
func anything(f Fault) bool { return f.Kind != FaultOdd }

// Check returns the promises that a record breaks. What needs the whole day is looked at once it is over.
func Check(r Record) []Failure {
	v := newView(r)
	var list []Failure
	for _, c := range []func(v *view) []Failure{checkWhole, checkOnce, checkNotRun, checkAttempts, checkDrains, checkVersions, checkConfig, checkKeys, checkQuota, checkRepeats, checkLimits, checkEgress, checkBrittle, checkParts, checkEnds, checkStops, checkAnswered, checkSilence, checkTakeover, checkMemory, checkLost} {
		list = append(list, c(v)...)
	}
	if r.Complete {
		for _, c := range []func(v *view) []Failure{checkServed, checkSound, checkTakenUp, checkUsage, checkLevels} {
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
