package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// This file decides which parts are quarantined, and until when (part.go tells the idea).

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

// find returns the quarantined sets that follow from the crashes.
func (p *partTracker) find() []*partQuarantine {
	p.cluster()
	all := make(map[PartKey][]*knownCrash, len(p.refs))
	for _, c := range p.crashes {
		for _, x := range c.Prompt.parts {
			k := PartKey{Service: c.Prompt.service, Part: x}
			all[k] = append(all[k], c)
		}
	}
	var list []*partQuarantine
	for {
		k, ok := p.worst(all, list)
		if !ok {
			return p.withoutExplained(list)
		}
		q := &partQuarantine{service: k.Service, crashes: all[k], workspaces: make(map[uint64]bool), unproved: !p.answeredSince(k.Service, all[k][0].At)}
		for _, c := range q.crashes {
			q.workspaces[c.Prompt.workspace] = true
		}
		for o, crashes := range all {
			if o.Service == k.Service && slices.Equal(crashes, all[k]) {
				q.parts = append(q.parts, o.Part)
			}
		}
		slices.Sort(q.parts)
		list = append(list, q)
	}
}

// withoutExplained removes the sets whose crashes the others explain, those closest to the fewest crashes first, and marks
// the crashes of the others.
func (p *partTracker) withoutExplained(list []*partQuarantine) []*partQuarantine {
	closest := make(map[*partQuarantine]int)
	for _, q := range list {
		for _, c := range q.crashes {
			if c.Begun {
				closest[q]++
			}
		}
	}
	for _, q := range slices.SortedStableFunc(slices.Values(list), func(x, y *partQuarantine) int { return cmp.Compare(closest[x], closest[y]) }) {
		others := slices.DeleteFunc(slices.Clone(list), func(o *partQuarantine) bool { return o == q })
		k := PartKey{Service: q.service, Part: q.parts[0]}
		if !p.suffices(k, unexplained(k, q.crashes, others)) {
			list = others
		}
	}
	for _, c := range p.crashes {
		c.held = false
	}
	for _, q := range list {
		for _, c := range q.crashes {
			c.held = true
		}
	}
	return list
}

// cluster finds out which crashes are the same one, as observed by several requests, and which of these were closest.
func (p *partTracker) cluster() {
	type start struct {
		at    time.Time
		index int
	}
	latest := make(map[string]start)
	begun := make(map[int]bool)
	next := 0
	for _, c := range p.crashes {
		v, ok := latest[c.Upstream]
		if !ok || c.At.Sub(v.at) >= sameCrashWindow {
			v = start{c.At, next}
			latest[c.Upstream] = v
			next++
		}
		c.cluster = v.index
		begun[c.cluster] = begun[c.cluster] || c.Begun
	}
	for _, c := range p.crashes {
		c.weak = begun[c.cluster] && !c.Begun
	}
}

// worst returns the part with the most crashes that no quarantined set explains, if these are enough to quarantine it.
func (p *partTracker) worst(all map[PartKey][]*knownCrash, held []*partQuarantine) (worst PartKey, found bool) {
	most := 0
	for k, crashes := range all {
		if len(crashes) < partCrashThreshold || slices.ContainsFunc(held, func(q *partQuarantine) bool { return q.service == k.Service && slices.Contains(q.parts, k.Part) }) {
			continue
		}
		left := unexplained(k, crashes, held)
		if !p.suffices(k, left) {
			continue
		}
		n := countClusters(left)
		if !found || cmp.Or(cmp.Compare(n, most), cmp.Compare(len(all[worst]), len(crashes)), cmp.Compare(worst.Part, k.Part)) > 0 {
			worst, most, found = k, n, true
		}
	}
	return worst, found
}

// unexplained returns the crashes under a part that no quarantined set explains: at these no request had the part together
// with the set, and none with the set had just begun to be answered.
func unexplained(k PartKey, crashes []*knownCrash, held []*partQuarantine) []*knownCrash {
	explained, closest := make(map[int]bool), make(map[int]bool)
	for _, q := range held {
		for _, c := range q.crashes {
			closest[c.cluster] = closest[c.cluster] || c.Begun
		}
	}
	for _, c := range crashes {
		if closest[c.cluster] || slices.ContainsFunc(held, func(q *partQuarantine) bool { return q.service == k.Service && c.Prompt.hasAll(q.parts) }) {
			explained[c.cluster] = true
		}
	}
	if len(explained) == 0 {
		return crashes
	}
	var list []*knownCrash
	for _, c := range crashes {
		if !explained[c.cluster] {
			list = append(list, c)
		}
	}
	return list
}

// suffices reports whether crashes under a part are enough to quarantine it.
func (p *partTracker) suffices(k PartKey, crashes []*knownCrash) bool {
	strong := slices.DeleteFunc(slices.Clone(crashes), func(c *knownCrash) bool { return c.weak })
	if !recur(strong, partCrashThreshold) && !recur(crashes, weakPartThreshold) {
		return false
	}
	first, last := crashes[0].At, crashes[len(crashes)-1].At
	clusters, all := countClusters(crashes), p.clustersBetween(k.Service, first, last)
	if !p.answeredSince(k.Service, first) {
		return clusters == all && recur(strong, partCrashThreshold) && countClusters(strong) >= unprovedPartThreshold
	}
	return float64(clusters) >= partShare*float64(all)
}

// answeredSince reports whether a request of a service was answered after a time.
func (p *partTracker) answeredSince(service uint64, since time.Time) bool {
	answer := p.answers[PartKey{Service: service, Any: true}]
	return answer != nil && answer.At.After(since)
}

// recur reports whether crashes are of so many upstreams, in as many bursts and under as many requests; one request less
// if there is one burst more.
func recur(crashes []*knownCrash, least int) bool {
	if len(crashes) < least {
		return false
	}
	requests := make(map[uint64]bool)
	for _, c := range crashes {
		requests[c.Request] = true
	}
	bursts := min(countPartBursts(crashes), countClusters(crashes))
	return bursts >= least && len(requests) >= least || bursts > least && len(requests) >= least-1
}

// clustersBetween returns how many upstreams crashed under requests of a service in a span.
func (p *partTracker) clustersBetween(service uint64, first, last time.Time) int {
	var list []*knownCrash
	for _, c := range p.crashes {
		if c.Prompt.service == service && !c.At.Before(first) && !c.At.After(last) {
			list = append(list, c)
		}
	}
	return countClusters(list)
}

// countClusters returns how many upstreams' crashes the crashes observed are.
func countClusters(list []*knownCrash) int {
	seen := make(map[int]bool, len(list))
	for _, c := range list {
		seen[c.cluster] = true
	}
	return len(seen)
}

// countPartBursts counts crashes, which are sorted by time, with those within partBurst of the first of a burst as one.
func countPartBursts(list []*knownCrash) int {
	n := 0
	var first time.Time
	for _, c := range list {
		if n == 0 || c.At.Sub(first) >= partBurst {
			n, first = n+1, c.At
		}
	}
	return n
}
