package quarantine

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// This file decides what a quarantine of parts means for requests, and until when it lasts (part.go tells the idea,
// part_find.go finds the parts).

// partQuarantine is a set of parts: requests that have all of them are refused.
type partQuarantine struct {
	service    uint64
	parts      []uint64      // sorted
	crashes    []*knownCrash // with these parts, by time
	workspaces map[uint64]bool
	unproved   bool // no request of the service was answered since the first of these crashes: it may not be the parts
}

// applies reports whether the quarantine concerns a request. Crashes under requests of one workspace alone concern that
// workspace: it chooses the names of its parts.
func (q *partQuarantine) applies(p Prompt) bool {
	return q.service == p.service && p.hasAll(q.parts) && (len(q.workspaces) > 1 || q.workspaces[p.workspace])
}

// splits reports whether a request has some of the parts and not all: its end tells these apart from the others.
func (q *partQuarantine) splits(p Prompt) bool {
	return q.service == p.service && (len(q.workspaces) > 1 || q.workspaces[p.workspace]) && !p.hasAll(q.parts) && slices.ContainsFunc(q.parts, p.has)
}

// same reports whether both concern the same parts.
func (q *partQuarantine) same(o *partQuarantine) bool {
	return q.service == o.service && slices.Equal(q.parts, o.parts)
}

func (q *partQuarantine) last() time.Time { return q.crashes[len(q.crashes)-1].At }

// latest returns how often requests were admitted that concern a quarantined set, and when the last one was.
func (q *partQuarantine) latest(events map[PartKey]*knownEvent) (count int, last time.Time) {
	for _, x := range q.parts {
		if e := events[PartKey{Service: q.service, Part: x}]; e != nil {
			count = max(count, e.Count)
			if e.At.After(last) {
				last = e.At
			}
		}
	}
	return count, last
}

// until returns when the next probe of a quarantined set may be admitted, and whether one may be.
func (p *partTracker) until(q *partQuarantine) (time.Time, bool) {
	n, last := q.latest(p.probes)
	if q.unproved && last.Before(q.crashes[0].At) {
		n = 0 // these were let through for crashes of before
	}
	if q.last().After(last) {
		last = q.last()
	}
	switch {
	case q.unproved:
		return last.Add(min(unprovedPartProbe<<min(n, maxPartDoublings), firstPartProbe)), true
	case n == 0:
		return last.Add(firstPartProbe), true
	case n < maxPartProbes:
		return last.Add(nextPartProbe), true
	}
	return q.last().Add(heldPartTTL), false
}

// CheckParts decides whether a request with these parts may be sent now. Only where mayProbe is set, which is one process
// of the fleet, is a probe admitted.
func (t *Tracker) CheckParts(now time.Time, p Prompt, mayProbe bool) Verdict {
	if !t.HasPartCrashes() {
		return Verdict{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var r Verdict
	for _, q := range t.parts.held {
		switch {
		case q.applies(p):
			r = strictest(r, t.parts.check(now, q, mayProbe))
		case q.splits(p):
			r = strictest(r, t.checkSplit(now, q, mayProbe))
		}
	}
	if r.Probe {
		t.recordAdmission(now, p)
	}
	return r
}

// checkSplit decides whether a request with some of the parts of a quarantined set may be sent now: one at a time.
func (t *Tracker) checkSplit(now time.Time, q *partQuarantine, mayProbe bool) Verdict {
	v := Verdict{Upstreams: len(q.upstreams()), Parts: q.parts}
	free := q.last()
	if !mayProbe {
		free = free.Add(partSplitWait + time.Duration(xxhash.Sum64String(t.node)%uint64(partSplitSpread)))
	}
	if _, last := q.latest(t.parts.splits); last.Add(probeTimeout).After(free) && last.After(q.last()) {
		free = last.Add(probeTimeout)
	}
	if now.Before(free) {
		v.Quarantined, v.Wait = true, free.Sub(now)
		return v
	}
	v.Probe = true
	return v
}

// strictest returns the verdict that lets less through.
func strictest(x, y Verdict) Verdict {
	switch {
	case x.Quarantined && y.Quarantined:
		if x.Wait >= y.Wait {
			return x
		}
	case x.Quarantined:
		return x
	case y.Quarantined:
	case x.Probe:
		return x
	}
	return y
}

func (p *partTracker) check(now time.Time, q *partQuarantine, mayProbe bool) Verdict {
	v := Verdict{Upstreams: len(q.upstreams()), Parts: q.parts}
	until, probes := p.until(q)
	switch {
	case now.Before(until):
		v.Quarantined, v.Wait = true, until.Sub(now)
	case probes && mayProbe:
		v.Probe = true
	default:
		v.Quarantined, v.Wait = true, partProbeWait
	}
	return v
}

// recordAdmission records that a request is admitted for all quarantined sets that concern it.
func (t *Tracker) recordAdmission(now time.Time, p Prompt) {
	for _, q := range t.parts.held {
		e := PartEvent{Service: q.service, Parts: q.parts, At: now, Origin: t.originOf(now)}
		switch {
		case q.applies(p):
			t.parts.admitted(now, t.parts.probes, e)
			t.parts.revision++
		case q.splits(p):
			t.parts.admitted(now, t.parts.splits, e)
		}
	}
}

// admitted records an admission among events of its kind and reports whether it is new.
func (p *partTracker) admitted(now time.Time, events map[PartKey]*knownEvent, e PartEvent) bool {
	news := false
	for _, x := range e.Parts {
		k := PartKey{Service: e.Service, Part: x}
		old := events[k]
		if old != nil && e.At.Sub(old.At) < sameCrashWindow || p.refs[k] == 0 {
			continue
		}
		v := &knownEvent{PartEvent: e, toldUntil: now.Add(announceFor)}
		v.Count = max(1, e.Count)
		if old != nil {
			v.Count = max(v.Count, old.Count+1)
		}
		events[k], news = v, true
	}
	return news
}

// PartWait returns how much longer requests with these parts are refused; 0: they aren't. Unlike CheckParts, it never
// admits a probe.
func (t *Tracker) PartWait(now time.Time, p Prompt) time.Duration {
	if !t.HasPartCrashes() {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	wait := time.Duration(0)
	for _, q := range t.parts.held {
		if q.applies(p) {
			until, _ := t.parts.until(q)
			wait = max(wait, until.Sub(now), partProbeWait)
		}
	}
	return wait
}

// MayRetryParts reports whether a request that has been sent may be sent once more: not if upstreams crashed again and
// again under other requests with one of its parts.
func (t *Tracker) MayRetryParts(p Prompt, request uint64) bool {
	if !t.HasPartCrashes() {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return !slices.ContainsFunc(p.parts, func(x uint64) bool {
		if t.parts.refs[PartKey{Service: p.service, Part: x}] == 0 {
			return false
		}
		var list []*knownCrash
		for _, c := range t.parts.crashes {
			if c.Prompt.service == p.service && c.Request != request && c.Prompt.has(x) {
				list = append(list, c)
			}
		}
		return countPartBursts(list) >= partCrashThreshold-1
	})
}

// evaluateParts recomputes which parts are quarantined and returns the changes. The tracker's lock is held.
func (t *Tracker) evaluateParts(now time.Time) []Change {
	if !t.parts.stale {
		return nil
	}
	t.parts.stale = false
	old := t.parts.held
	t.parts.held = t.parts.find()
	var changes []Change
	for _, q := range t.parts.held {
		i := slices.IndexFunc(old, q.same)
		if i < 0 {
			changes = append(changes, t.parts.newChange(now, q, true))
		}
		if i < 0 || len(old[i].crashes) != len(q.crashes) {
			t.parts.revision++
		}
	}
	for _, q := range old {
		if !slices.ContainsFunc(t.parts.held, q.same) {
			changes = append(changes, t.parts.newChange(now, q, false))
			t.parts.revision++
		}
	}
	return changes
}

func (p *partTracker) newChange(now time.Time, q *partQuarantine, held bool) Change {
	until, _ := p.until(q)
	c := Change{Parts: q.parts, Quarantined: held, Until: until, Upstreams: q.upstreams()}
	requests := make(map[uint64]bool)
	for _, e := range q.crashes {
		requests[e.Request] = true
	}
	c.Requests, c.Since, c.Unproved = len(requests), now.Sub(q.crashes[0].At), q.unproved
	if len(q.workspaces) == 1 {
		c.OneWorkspace = true
	}
	return c
}

// upstreams returns those that crashed, each once.
func (q *partQuarantine) upstreams() []string {
	var list []string
	for _, e := range q.crashes {
		if !slices.Contains(list, e.Upstream) {
			list = append(list, e.Upstream)
		}
	}
	return list
}
