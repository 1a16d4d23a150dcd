package rollout

import "math"

// This file compares the target's responses with those of the version in service over the same period, route
// by route and over all routes: failures, times to the first event, pauses.
//
// Each response adds to a sum the logarithm of how much likelier it is from a version that is bad by a stated
// margin than from one like that in service; a sum that falls below zero restarts at zero (Page's CUSUM). A
// version is bad once a sum reaches a bound. So a version that is bad from the start is detected after a few
// responses, and one that turns bad later is detected as fast, whatever it was like before.
//
// Effects that the versions share, or that have another explanation, are no evidence against the target:
//
//   - The target's rate is compared with the rate of the version in service over its newest responses, so a
//     partition or an engine fault that affects both cancels out.
//   - A sum also has to hold without the group of upstreams that adds most to it: one unhealthy group is not
//     the version. With only one group, the bound is higher instead.
//   - Times are relative to what the request should have taken there, so that a cold cache and a queue count
//     only as far as the node does not know of them.
//
// Alternatives considered, simulated in internal/model (docs/design/shifted.md has the table): fixed
// thresholds on the rates of a period. Set to stop a version that fails one request in ten within the
// exposure, they also stop good versions by chance; set not to do that, they detect failures of a single
// route too late.

// The margins and bounds of the test.
const (
	// failMargin is the additional share of responses that fail at a bad version, slowMargin the additional
	// share that is slow. A version that is twice as slow has about 0.7 of its responses beyond the time that
	// 0.3 of the others' exceed, if times spread by a factor of two.
	failMargin = 0.08
	slowMargin = 0.25
	// minFailRate is the failure rate that a version is allowed, however few failures the version in
	// service has.
	minFailRate = 0.01
	// slowFraction is the fraction of the responses of the version in service that count as slow.
	slowFraction = 0.3
	// sumBound is the value that makes a version bad: the logarithm of the odds of a bad version against a
	// good one. It gives 1 false verdict in 3,000 per sum, and there are a dozen sums.
	sumBound = 10.0
	// sumBoundOneGroup is sumBound where all responses are of one group of upstreams.
	sumBoundOneGroup = 13.0
	// withoutWorstShare is the part of the bound that a sum has to reach without its worst group.
	withoutWorstShare = 0.55
	// baselineSize is the number of responses of the version in service that its rates cover, and
	// minBaseline the number that a comparison needs. A fault that has just started shows first in the last
	// recentSize responses: the higher of both rates counts.
	baselineSize = 300.0
	recentSize   = 50.0
	minBaseline  = 15.0
	// A version is clear of failures while the evidence for it is at least clearThreshold: about thirty
	// responses without a failure. The sum falls no further than clearFloor, so that failures that start late
	// count.
	clearThreshold = -2.0
	clearFloor     = -3.0
	// Once the target gets nearly all requests, there is no baseline to compare with, and only what no fault
	// common to all upstreams explains counts. The unmatched rates and margins replace the others when
	// maxUnmatched responses of the target exceed baselineWeight times those of the version in service.
	maxUnmatched        = 60.0
	baselineWeight      = 4.0
	unmatchedFailRate   = 0.05
	unmatchedFailMargin = 0.25
	unmatchedSlowMargin = 0.5
)

// Reason says in which respect a version was found to be bad.
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

// Verdict is the finding of a Judge, with the figures that decide it.
type Verdict struct {
	Bad           bool
	Reason        Reason  // of the largest sum
	Route         string  // of the largest sum; empty for all routes
	Sum           float64 // the largest sum, as a part of its bound
	TargetRate    float64 // rate at the target in the last responses added
	InServiceRate float64 // rate at the version in service
}

// Judge evaluates growing tallies. Its zero value is ready for use.
type Judge struct {
	counted Tally // the largest counts reported so far, by cell
	routes  map[string]*series
	worst   Verdict
}

// allRoutes is the key of the series over all routes.
const allRoutes = ""

// Add adds what has grown in a tally since the largest counts so far, and returns the worst verdict. A tally
// that lacks counts of an earlier one adds nothing until it exceeds them.
func (j *Judge) Add(t Tally) Verdict {
	if j.counted == nil {
		j.counted, j.routes = make(Tally), make(map[string]*series)
	}
	var all Row
	for route, r := range t {
		d := j.growth(route, r)
		for i := range d {
			all[i].plus(&d[i])
		}
		j.addRow(route, &d)
	}
	if len(t) > 1 {
		j.addRow(allRoutes, &all)
	}
	return j.worst
}

// growth returns and records what is new of a route.
func (j *Judge) growth(route string, r *Row) Row {
	counted := j.counted.row(route)
	var d Row
	for i := range r {
		d[i] = r[i].growthOver(&counted[i])
		counted[i].plus(&d[i])
	}
	return d
}

// growthOver returns the counts of c beyond those of o.
func (c *Cell) growthOver(o *Cell) Cell {
	d := Cell{Responses: max(0, c.Responses-o.Responses), Failed: max(0, c.Failed-o.Failed)}
	for i := range c.First {
		d.First[i] = max(0, c.First[i]-o.First[i])
		d.Pace[i] = max(0, c.Pace[i]-o.Pace[i])
	}
	return d
}

func (j *Judge) addRow(route string, d *Row) {
	s := j.routes[route]
	if s == nil {
		s = &series{}
		j.routes[route] = s
	}
	for reason, v := range s.add(d) {
		if v.Reason = Reason(reason); v.Reason == ReasonNone {
			continue
		}
		v.Route = route
		if v.Bad && !j.worst.Bad || v.Sum > j.worst.Sum && v.Bad == j.worst.Bad {
			j.worst = v
		}
	}
}

// Clear returns whether the target's newest responses are evidence for it, and not just no evidence against it.
func (j *Judge) Clear() bool {
	s := j.routes[allRoutes]
	for _, v := range j.routes {
		if len(j.routes) == 1 {
			s = v
		}
	}
	return s != nil && s[ReasonFails].isClear()
}

// Suspicion returns the largest current sum, as a part of its bound.
func (j *Judge) Suspicion() float64 {
	most := 0.0
	for _, s := range j.routes {
		for i := range s {
			most = math.Max(most, s[i].boundShare())
		}
	}
	return most
}

// series holds the sums of one route, by reason.
type series [ReasonSlowPace + 1]cusum

// add adds what is new, and returns the state of each sum.
func (s *series) add(d *Row) [ReasonSlowPace + 1]Verdict {
	var v [ReasonSlowPace + 1]Verdict
	v[ReasonFails] = s[ReasonFails].addFailures(d)
	v[ReasonSlow] = s[ReasonSlow].addTimes(d, func(c *Cell) *Histogram { return &c.First })
	v[ReasonSlowPace] = s[ReasonSlowPace].addTimes(d, func(c *Cell) *Histogram { return &c.Pace })
	return v
}

// cusum is one test: the sum over all groups, and the sums that leave out one group each.
type cusum struct {
	total          float64
	clearance      [groups]float64 // without each group; may fall to clearFloor
	withoutGroup   [groups]float64
	seenGroups     [groups]bool   // groups that had responses
	baseline       decayingCounts // responses of the version in service
	recentBaseline decayingCounts // the newest of these
	unmatched      float64        // responses of the target beyond those that the version in service matches
}

// decayingCounts counts the newest responses, each with less weight the older it is.
type decayingCounts struct {
	count  float64
	failed float64
	times  [buckets]float64
}

// decay makes room for more counts within a size of most. Without new responses nothing decays.
func (v *decayingCounts) decay(more, most float64) {
	keep := math.Max(0, 1-more/most)
	v.count *= keep
	v.failed *= keep
	for i := range v.times {
		v.times[i] *= keep
	}
}

// addResponses adds responses, of which some failed.
func (v *decayingCounts) addResponses(most, responses, failed float64) {
	v.decay(responses, most)
	v.count += responses
	v.failed += failed
}

// addTimes adds times.
func (v *decayingCounts) addTimes(most float64, h *Histogram) {
	n := h.sum()
	v.decay(n, most)
	v.count += n
	for i, x := range h {
		v.times[i] += float64(x)
	}
}

// rate returns the share that n has of the counts, smoothed for small counts.
func (v *decayingCounts) rate(n float64) float64 { return (n + 0.5) / (v.count + 1) }

// countFrom returns how many of the times are in the given bucket or beyond.
func (v *decayingCounts) countFrom(bucket int) float64 {
	sum := 0.0
	for _, x := range v.times[bucket:] {
		sum += x
	}
	return sum
}

// hypotheses are the two rates that a test distinguishes.
type hypotheses struct{ good, bad float64 }

// logRatio returns what a number of responses, of which some were bad, add to a sum.
func (o hypotheses) logRatio(bad, all float64) float64 {
	good := math.Max(0, all-bad) // a failure may be counted after its response was
	return bad*math.Log(o.bad/o.good) + good*math.Log((1-o.bad)/(1-o.good))
}

func (s *cusum) addFailures(d *Row) Verdict {
	n, failed := float64(d[groupInService].Responses), float64(d[groupInService].Failed)
	s.baseline.addResponses(baselineSize, n, failed)
	s.recentBaseline.addResponses(recentSize, n, failed)
	if s.baseline.count < minBaseline {
		return Verdict{}
	}
	p := math.Max(s.baseline.rate(s.baseline.failed), s.recentBaseline.rate(s.recentBaseline.failed)-1/recentSize)
	p = math.Min(0.7, math.Max(minFailRate, p))
	o, target := hypotheses{p, p + failMargin}, d.target()
	if s.uncomparable(n, float64(target.Responses)) {
		p = math.Max(p, unmatchedFailRate)
		o = hypotheses{p, p + unmatchedFailMargin}
	}
	return s.add(o, d, func(c *Cell) (bad, all float64) { return float64(c.Failed), float64(c.Responses) })
}

func (s *cusum) addTimes(d *Row, of func(c *Cell) *Histogram) Verdict {
	s.baseline.addTimes(baselineSize, of(&d[groupInService]))
	s.recentBaseline.addTimes(recentSize, of(&d[groupInService]))
	if s.baseline.count < minBaseline {
		return Verdict{}
	}
	from := s.slowFrom()
	p := math.Max(minFailRate, math.Max(s.baseline.rate(s.baseline.countFrom(from)), s.recentBaseline.rate(s.recentBaseline.countFrom(from))-1/recentSize))
	o, target := hypotheses{math.Min(0.7, p), math.Min(0.95, p+slowMargin)}, d.target()
	if s.uncomparable(of(&d[groupInService]).sum(), of(&target).sum()) {
		o = hypotheses{math.Min(0.45, p), math.Min(0.95, p+unmatchedSlowMargin)}
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

// uncomparable adds the responses of both sides, and returns whether the version in service has too few of
// them to compare the target with.
func (s *cusum) uncomparable(inService, target float64) bool {
	s.unmatched = math.Max(0, s.unmatched+target-baselineWeight*inService)
	return s.unmatched > maxUnmatched
}

// slowFrom returns the first bucket of times that counts as slow.
func (s *cusum) slowFrom() int {
	from := buckets
	for from > 0 && s.baseline.countFrom(from-1) <= slowFraction*s.baseline.count {
		from--
	}
	return from
}

// add adds the new responses of the target.
func (s *cusum) add(o hypotheses, d *Row, count func(c *Cell) (bad, all float64)) Verdict {
	var x [groups]float64
	bad, all, gained := 0.0, 0.0, 0.0
	for g := groupInService + 1; g < groups; g++ {
		b, n := count(&d[g])
		x[g] = o.logRatio(b, n)
		s.seenGroups[g] = s.seenGroups[g] || n > 0
		bad, all, gained = bad+b, all+n, gained+x[g]
	}
	s.total = math.Max(0, s.total+gained)
	for g := groupInService + 1; g < groups; g++ {
		s.withoutGroup[g] = math.Max(0, s.withoutGroup[g]+gained-x[g])
		s.clearance[g] = math.Max(clearFloor, s.clearance[g]+gained-x[g])
	}
	return Verdict{Bad: s.boundShare() >= 1, Sum: s.boundShare(), TargetRate: bad / math.Max(1, all), InServiceRate: o.good}
}

// isClear returns whether the newest responses, or those without one of the groups, are evidence for the
// target.
func (s *cusum) isClear() bool {
	for g := groupInService + 1; g < groups; g++ {
		if s.clearance[g] <= clearThreshold {
			return true
		}
	}
	return false
}

// boundShare returns the part of the bound that is reached.
func (s *cusum) boundShare() float64 {
	seen, least := 0, math.Inf(1)
	for g := groupInService + 1; g < groups; g++ {
		if s.seenGroups[g] {
			seen++
			least = math.Min(least, s.withoutGroup[g])
		}
	}
	if seen < 2 {
		return s.total / sumBoundOneGroup
	}
	return math.Min(s.total/sumBound, least/(withoutWorstShare*sumBound))
}
