package rollout

import "math"

// This file judges the target by its answers against those of the version in service in the
// same span, route by route and over all routes: failures, times to the first event, pauses.
//
// Each answer adds to a sum the logarithm of how much likelier it is from a version that is
// bad by a stated margin than from one like that in service; a sum that falls below zero
// begins again there (Page's CUSUM). A version is bad once a sum reaches a bound. So one
// that is bad from the start is seen after a few answers, and one that turns bad later as
// soon as that, whatever it was like before.
//
// No evidence against a version is what others share or explain:
//
//   - The rate of the version in service, over its newest answers, is what the target's is
//     compared to, so a cut or an engine's trouble that hits both cancels out.
//   - A sum also has to hold without the group of upstreams that adds most to it: one that is
//     ill isn't the version. With one group only, the bound is higher instead.
//   - Times are relative to what the request should have taken there, so that a cold cache
//     and a queue count for as little as the node knows of them.
//
// Weighed, played in internal/model (docs/design/shifted.md has the table): fixed thresholds
// on a span's rates. Set to stop one in ten failing within the exposure, they also stop good
// versions by chance; set for these, they see one route's failures too late.

// The margins and bounds of the test.
const (
	// failMargin is how much of the answers more a bad version fails, slowMargin how much
	// more of them are slow. A version that is twice as slow has some 0.7 of its answers beyond
	// what 0.3 of the others' are, with times that spread by a factor of two.
	failMargin = 0.08
	slowMargin = 0.25
	// leastFailing is the rate of failures that a version is allowed however few the others
	// have.
	leastFailing = 0.01
	// slowShare is the part of the answers of the version in service that count as slow.
	slowShare = 0.3
	// bound is what a sum has to reach: the logarithm of the odds that a bad version is told
	// from a good one by, 1 in 3,000 a sum, of which there are a dozen.
	bound = 10.0
	// boundAlone is the same where all answers are of one group of upstreams.
	boundAlone = 13.0
	// withoutWorst is the part of a bound that has to be left without the worst group.
	withoutWorst = 0.55
	// newest is how many answers of the version in service its rates are taken over, and
	// leastKnown how many it takes to compare with. Trouble that begins shows in the last
	// lately of them first: of both rates the higher one counts.
	newest     = 300.0
	lately     = 50.0
	leastKnown = 15.0
	// A version is clear of failures while what speaks for it comes to clearAt: some thirty
	// answers without one. The sum falls no further than clearLeast, so that failures that
	// begin late count.
	clearAt    = -2.0
	clearLeast = -3.0
	// Once the target gets nearly all, there is nothing to compare with any more, and only
	// what no trouble of all upstreams explains counts: aloneFailing and the margins after it
	// take the place of the others when alone answers of the target came beyond fourfold those
	// of the version in service.
	alone           = 60.0
	aloneWeight     = 4.0
	aloneFailing    = 0.05
	aloneFailMargin = 0.25
	aloneSlowMargin = 0.5
)

// Reason is what a version was found to be bad by.
type Reason int

// The reasons.
const (
	ReasonNone Reason = iota
	ReasonFails
	ReasonSlow
	ReasonSlowPace
)

// String returns the reason's name for logs.
func (r Reason) String() string {
	return [...]string{"none", "fails", "slow", "slow_pace"}[r]
}

// Verdict is what a judge has found, with the figures that decide.
type Verdict struct {
	Bad    bool
	Reason Reason  // of the largest sum
	Route  string  // of the largest sum; empty: all routes
	Sum    float64 // the largest one, as a part of its bound
	TargetRate float64 // rate at the target in what was taken in last
	InServiceRate float64 // rate at the version in service
}

// Judge takes in growing tallies. Its zero value has seen nothing.
type Judge struct {
	seen   Tally // the most that was ever told, by cell
	routes map[string]*series
	worst  Verdict
}

// allRoutes is the series over all routes.
const allRoutes = ""

// Take takes in a tally, and returns what is found by it. A tally that lacks what was told
// before adds nothing until it has more.
func (j *Judge) Take(t Tally) Verdict {
	if j.seen == nil {
		j.seen, j.routes = make(Tally), make(map[string]*series)
	}
	var all Row
	for route, r := range t {
		d := j.grown(route, r)
		for i := range d {
			all[i].plus(&d[i])
		}
		j.take(route, &d)
	}
	if len(t) > 1 {
		j.take(allRoutes, &all)
	}
	return j.worst
}

// grown is what is new of a route.
func (j *Judge) grown(route string, r *Row) Row {
	seen := j.seen.row(route)
	var d Row
	for i := range r {
		d[i] = r[i].beyond(&seen[i])
		seen[i].plus(&d[i])
	}
	return d
}

// beyond is what a cell has beyond another one.
func (c *Cell) beyond(o *Cell) Cell {
	d := Cell{Responses: max(0, c.Responses-o.Responses), Failed: max(0, c.Failed-o.Failed)}
	for i := range c.First {
		d.First[i] = max(0, c.First[i]-o.First[i])
		d.Pace[i] = max(0, c.Pace[i]-o.Pace[i])
	}
	return d
}

func (j *Judge) take(route string, d *Row) {
	s := j.routes[route]
	if s == nil {
		s = &series{}
		j.routes[route] = s
	}
	for reason, v := range s.take(d) {
		if v.Reason = Reason(reason); v.Reason == ReasonNone {
			continue
		}
		v.Route = route
		if v.Bad && !j.worst.Bad || v.Sum > j.worst.Sum && v.Bad == j.worst.Bad {
			j.worst = v
		}
	}
}

// Clear tells whether the target's newest answers speak for it, and not just nothing against.
func (j *Judge) Clear() bool {
	s := j.routes[allRoutes]
	for _, v := range j.routes {
		if len(j.routes) == 1 {
			s = v
		}
	}
	return s != nil && s[ReasonFails].isClear()
}

// Suspicion returns the largest sum now, as a part of its bound.
func (j *Judge) Suspicion() float64 {
	most := 0.0
	for _, s := range j.routes {
		for i := range s {
			most = math.Max(most, s[i].part())
		}
	}
	return most
}

// series is the sums of one route, by reason.
type series [ReasonSlowPace + 1]sums

// take takes in what is new, and returns what each sum has come to.
func (s *series) take(d *Row) [ReasonSlowPace + 1]Verdict {
	var v [ReasonSlowPace + 1]Verdict
	v[ReasonFails] = s[ReasonFails].fails(d)
	v[ReasonSlow] = s[ReasonSlow].slow(d, func(c *Cell) *Histogram { return &c.First })
	v[ReasonSlowPace] = s[ReasonSlowPace].slow(d, func(c *Cell) *Histogram { return &c.Pace })
	return v
}

// sums is one test: the sum over all groups, and those without one of them.
type sums struct {
	all     float64
	clear   [groups]float64 // without each group, in which it may fall to clearLeast
	without [groups]float64
	groups  [groups]bool // that had answers
	old     recent       // answers of the version in service
	last    recent       // the newest of these
	lone    float64      // answers of the target that had none of the others beside them
}

// recent is the newest answers, each counting the less the older it is.
type recent struct {
	answers float64
	failed  float64
	times   [buckets]float64
}

// forget lets the newest of so many answers count most. They don't run out when no more come.
func (v *recent) forget(more, most float64) {
	keep := math.Max(0, 1-more/most)
	v.answers *= keep
	v.failed *= keep
	for i := range v.times {
		v.times[i] *= keep
	}
}

// take takes in answers, of which some failed.
func (v *recent) take(most, answers, failed float64) {
	v.forget(answers, most)
	v.answers += answers
	v.failed += failed
}

// takeTimes takes in times.
func (v *recent) takeTimes(most float64, h *Histogram) {
	n := h.sum()
	v.forget(n, most)
	v.answers += n
	for i, x := range h {
		v.times[i] += float64(x)
	}
}

// rate is the share of so many of the answers.
func (v *recent) rate(of float64) float64 { return (of + 0.5) / (v.answers + 1) }

// from is how many of the times are of a step or beyond.
func (v *recent) from(step int) float64 {
	sum := 0.0
	for _, x := range v.times[step:] {
		sum += x
	}
	return sum
}

// odds are the rates that a test tells apart.
type odds struct{ good, bad float64 }

// of is what so many answers, of which some were bad ones, add to a sum.
func (o odds) of(bad, all float64) float64 {
	good := math.Max(0, all-bad) // an answer may break off later than it was counted
	return bad*math.Log(o.bad/o.good) + good*math.Log((1-o.bad)/(1-o.good))
}

func (s *sums) fails(d *Row) Verdict {
	n, failed := float64(d[groupInService].Responses), float64(d[groupInService].Failed)
	s.old.take(newest, n, failed)
	s.last.take(lately, n, failed)
	if s.old.answers < leastKnown {
		return Verdict{}
	}
	p := math.Max(s.old.rate(s.old.failed), s.last.rate(s.last.failed)-1/lately)
	p = math.Min(0.7, math.Max(leastFailing, p))
	o, target := odds{p, p + failMargin}, d.target()
	if s.alone(n, float64(target.Responses)) {
		p = math.Max(p, aloneFailing)
		o = odds{p, p + aloneFailMargin}
	}
	return s.add(o, d, func(c *Cell) (bad, all float64) { return float64(c.Failed), float64(c.Responses) })
}

func (s *sums) slow(d *Row, of func(c *Cell) *Histogram) Verdict {
	s.old.takeTimes(newest, of(&d[groupInService]))
	s.last.takeTimes(lately, of(&d[groupInService]))
	if s.old.answers < leastKnown {
		return Verdict{}
	}
	from := s.slowFrom()
	p := math.Max(leastFailing, math.Max(s.old.rate(s.old.from(from)), s.last.rate(s.last.from(from))-1/lately))
	o, target := odds{math.Min(0.7, p), math.Min(0.95, p+slowMargin)}, d.target()
	if s.alone(of(&d[groupInService]).sum(), of(&target).sum()) {
		o = odds{math.Min(0.45, p), math.Min(0.95, p+aloneSlowMargin)}
	}
	return s.add(o, d, func(c *Cell) (bad, all float64) {
		for i, x := range of(c) {
			all += float64(x)
			if i >= from {
				bad += float64(x)
			}
		}
		return bad, all
	})
}

// alone takes in answers of both sides, and tells whether the target's have too few of the
// others' beside them to be compared.
func (s *sums) alone(others, target float64) bool {
	s.lone = math.Max(0, s.lone+target-aloneWeight*others)
	return s.lone > alone
}

// slowFrom is the first step of times that counts as slow.
func (s *sums) slowFrom() int {
	from := buckets
	for from > 0 && s.old.from(from-1) <= slowShare*s.old.answers {
		from--
	}
	return from
}

// add adds what is new at the target.
func (s *sums) add(o odds, d *Row, count func(c *Cell) (bad, all float64)) Verdict {
	var x [groups]float64
	bad, all, gained := 0.0, 0.0, 0.0
	for g := groupInService + 1; g < groups; g++ {
		b, n := count(&d[g])
		x[g] = o.of(b, n)
		s.groups[g] = s.groups[g] || n > 0
		bad, all, gained = bad+b, all+n, gained+x[g]
	}
	s.all = math.Max(0, s.all+gained)
	for g := groupInService + 1; g < groups; g++ {
		s.without[g] = math.Max(0, s.without[g]+gained-x[g])
		s.clear[g] = math.Max(clearLeast, s.clear[g]+gained-x[g])
	}
	return Verdict{Bad: s.part() >= 1, Sum: s.part(), TargetRate: bad / math.Max(1, all), InServiceRate: o.good}
}

// isClear tells whether the newest answers, or those without some group, speak for the target.
func (s *sums) isClear() bool {
	for g := groupInService + 1; g < groups; g++ {
		if s.clear[g] <= clearAt {
			return true
		}
	}
	return false
}

// part is how much of the bound is reached.
func (s *sums) part() float64 {
	seen, least := 0, math.Inf(1)
	for g := groupInService + 1; g < groups; g++ {
		if s.groups[g] {
			seen++
			least = math.Min(least, s.without[g])
		}
	}
	if seen < 2 {
		return s.all / boundAlone
	}
	return math.Min(s.all/bound, least/(withoutWorst*bound))
}
