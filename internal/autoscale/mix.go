package autoscale

import (
	"math"
	"sort"
	"time"

	"spurhall.example/spurhall/internal/capacity"
)

// This file decides how many upstreams of a service each hall should have on a platform that takes a count per
// hall and kind, instead of orders for single VMs.
//
// Reclaimable upstreams cost a fraction of on-demand ones, and are reclaimed a whole hall at a time. Reclaims
// come in waves: the halls not hit yet are likely to be next, and while a wave lasts no reclaimable upstreams
// are available. So in calm times reclaimable upstreams carry the load on a small base of on-demand ones, with as
// many spare ones as the loss of a hall takes (spares.go). From the first notice on, the base is raised until it
// carries the load alone, as it will be when the base serves (need.go). It is lowered again, slowly, when no notice
// has come for a while and reclaimable upstreams have served for one (waves.go). known.go is for the successor of a
// process, planned.go explains a plan.
//
// Alternatives considered, with measurements in docs/DECISIONS.md: fixed numbers of each kind.

// HallState is the current supply of a hall.
type HallState struct {
	Hall        string
	Price       float64 // of one upstream, relative to the other halls
	OnDemand    int     // ready, not leaving
	Reclaimable int
	Leaving     int     // reclaimable upstreams that are leaving
	Speed       float64 // mean relative speed of the ready ones; 0: unknown, counts as 1
}

// MixSpec bounds the counts of a service. Both kinds together stay between Min and Max in each hall.
type MixSpec struct {
	Min, Max         int
	ReclaimablePrice float64 // relative to an on-demand upstream; 0, 1 or more: none are bought
}

// Count is the number of upstreams that a hall should have.
type Count struct {
	Hall        string
	OnDemand    int
	Reclaimable int
}

// MixOptions configures a MixPlanner.
type MixOptions struct {
	// TargetUse is how much of its reading time, slots and memory an upstream should have in use: the rest
	// absorbs bursts of a second or two, and unevenness that no load balancing avoids. The spare upstreams
	// absorb what is beyond that.
	TargetUse capacity.Work
	// SparePerHall is how many reclaimable upstreams a hall has at least beyond its part of the need.
	SparePerHall int
	// WaveHold is how long after the last notice the base stays raised: a boot time plus some seconds in
	// which the halls not hit yet are likely to be next.
	WaveHold time.Duration
	// FirstStart says that the whole system starts for the first time.
	FirstStart bool
	// ShrinkDelay is how long the need has to be lower before on-demand upstreams are given up: as long as it
	// takes to start and list them again.
	ShrinkDelay time.Duration
	// Boot is the time that an upstream takes to start.
	Boot time.Duration
	// MaxTrend bounds the need at the end of a boot, relative to the need now.
	MaxTrend float64
}

const (
	// shrinkDelayMargin is what ShrinkDelay adds to a boot time: two heartbeats and the time to gather a list.
	shrinkDelayMargin = 3 * time.Second
	// waveHoldMargin is what WaveHold adds to a boot time. Halls of one wave were reclaimed within 6 s.
	waveHoldMargin = 5 * time.Second
)

// DefaultMixOptions returns the options for upstreams with the given boot time; docs/DECISIONS.md has the
// trials.
func DefaultMixOptions(boot time.Duration) MixOptions {
	return MixOptions{
		TargetUse: capacity.Work{Prefill: 0.75, Slots: 0.9, Memory: 0.9}, SparePerHall: 2,
		WaveHold: boot + waveHoldMargin, ShrinkDelay: boot + shrinkDelayMargin,
		Boot: boot, MaxTrend: maxTrend,
	}
}

// MixPlanner plans one service. It isn't safe for concurrent use.
type MixPlanner struct {
	o                  MixOptions
	waves              waves
	base               base
	wanted             window // needs of a boot ahead, of which reclaimable upstreams carry the highest
	sizes              window // needs of a boot ahead and on-demand upstreams, by the highest of which a pool counts as small
	exceedsSpares      bool   // the loss of a hall takes more than the fixed spares of the others carry
	inTerm             bool   // it has planned since the term began
	termSince          time.Duration
	termFound          float64 // most on-demand upstreams listed since then; negative: none counted
	restored           restoredNeed
	planned            Planned
	firstObserved      time.Duration // time of the first observation
	observed           bool
	hasWork            bool          // work has been measured
	workSince          time.Duration // when work was first measured
	foundOnDemand      float64       // on-demand upstreams that existed before that
	recent             []sample      // needs within ShrinkDelay, the newest last
	binding            capacity.Resource
	reclaimableTooDear bool // reclaimable upstreams cost more than they save
	refusedUntil       map[string]time.Duration
	refusals           map[string]int
	shortSince         map[string]time.Duration // since when a hall has fewer reclaimable upstreams than wanted
	givenUp            map[string]time.Duration // when a hall that had reclaimable upstreams was last planned to have none
	ownOrders          map[string]bool          // whether a hall without any, of which some are leaving, lost them by such a plan
}

// NewMixPlanner returns a planner.
func NewMixPlanner(o MixOptions) *MixPlanner {
	return &MixPlanner{
		o: o, refusedUntil: make(map[string]time.Duration), refusals: make(map[string]int), shortSince: make(map[string]time.Duration),
		givenUp: make(map[string]time.Duration), ownOrders: make(map[string]bool),
	}
}

const (
	// idleNeed is the need up to which no load counts as measured.
	idleNeed = 0.1
	// findPeriod is how long after its start a planner counts listed upstreams as existing before, and after its
	// last order to give some up those that leave as given up: a list
	// that is read while nodes still register grows for some heartbeats.
	findPeriod = 2 * time.Second
	// refusalPause is the first pause after a hall had no reclaimable upstreams available; it doubles up to
	// maxRefusalPause.
	refusalPause    = time.Second
	maxRefusalPause = 4 * time.Second
)

// Refused records that a hall had no reclaimable upstreams available.
func (m *MixPlanner) Refused(now time.Duration, hall string) {
	m.waves.refuse(now, m.hold())
	m.refusedUntil[hall] = now + min(refusalPause<<min(m.refusals[hall], 4), maxRefusalPause)
	m.refusals[hall]++
}

// Granted records that a hall provided reclaimable upstreams.
func (m *MixPlanner) Granted(hall string) {
	delete(m.refusedUntil, hall)
	delete(m.refusals, hall)
}

// Observe records the state at a time: load is the work that arrives per second. Every process calls it, so
// that whichever process gives orders next knows the need and the notices of the last seconds.
func (m *MixPlanner) Observe(now time.Duration, load capacity.Work, halls []HallState) {
	need, binding := load.Uncontended(readyUpstreams(halls)).Engines(m.o.TargetUse)
	m.binding = binding
	m.recordNeed(now, need)
	m.wanted.add(now, spareHoldBoots*m.o.Boot, m.ahead(now))
	m.sizes.add(now, sizeHoldBoots*m.o.Boot, math.Max(m.ahead(now), onDemandOf(halls)))
	m.recordFound(now, halls)
	m.recordNotices(now, halls)
}

// Plan returns the counts for the state that was observed last.
func (m *MixPlanner) Plan(now time.Duration, s MixSpec, halls []HallState) []Count {
	found := m.foundFloor(now)
	buys := m.buysReclaimable(now, s, len(halls))
	most := mostCarried(s, halls)
	need := math.Min(most, math.Max(m.need(now), m.keepFound(found, buys, halls)))
	m.exceedsSpares = m.lossExceedsSpares(math.Max(need, math.Min(most, m.sizes.highest(now, sizeHoldBoots*m.o.Boot))), len(halls))
	ahead := need
	if m.exceedsSpares {
		ahead = math.Min(most, math.Max(need, m.ahead(now)))
	}
	m.base.value = math.Min(most, m.base.value)
	sort.Slice(halls, func(i, j int) bool {
		if halls[i].Price != halls[j].Price {
			return halls[i].Price < halls[j].Price
		}
		return halls[i].Hall < halls[j].Hall
	})
	counts, lacks := m.countReclaimable(now, need, math.Min(most, math.Max(need, found)), buys, s, halls)
	safe := need // need that on-demand upstreams have to carry
	m.takeOver(now, halls)
	if buys {
		safe = m.onDemandNeed(now, need, ahead, halls)
	} else {
		m.base.value, m.base.at = safe, now
	}
	floors := make([]int, len(halls))
	for i, h := range halls {
		floors[i] = m.standaloneFloor(now, need/float64(len(halls)), h, counts[i].Reclaimable)
	}
	spread(max(minOnDemand, int(math.Ceil(safe/meanSpeed(halls)-1e-9))), s, halls, floors, counts)
	for i, h := range halls {
		least := min(h.Reclaimable, s.Min-counts[i].OnDemand) // only existing ones
		counts[i].Reclaimable = max(0, min(max(counts[i].Reclaimable, least), s.Max-counts[i].OnDemand))
	}
	m.recordGivenUp(now, halls, counts)
	m.explain(now, Planned{Need: need, Ahead: ahead}, buys, lacks, s, halls, counts)
	return counts
}

// countReclaimable returns the counts with the reclaimable upstreams of each hall. Those that are bought carry what
// has to be replaced, too. It reports whether halls lack any.
func (m *MixPlanner) countReclaimable(now time.Duration, need, replaced float64, buys bool, s MixSpec, halls []HallState) (counts []Count, lacks bool) {
	counts = make([]Count, len(halls))
	want := replaced
	if m.exceedsSpares {
		want = math.Max(replaced, math.Min(mostCarried(s, halls), m.wanted.highest(now, spareHoldBoots*m.o.Boot)))
	}
	wants := m.reclaimableCounts(replaced, want, s.Max, halls)
	lack := lackOf(wants, s.Max, m.inWave(now) || m.keepsBase(now), halls)
	if m.exceedsSpares {
		wants = keptCounts(wants, lack, m.inWave(now), halls)
	}
	for i, h := range halls {
		counts[i].Hall = h.Hall
		switch {
		case buys:
			counts[i].Reclaimable = m.reclaimable(now, wants[i], h)
		case onDemandOf(halls) < need:
			// Keep them until on-demand upstreams replace them, which need room under the maximum, too.
			counts[i].Reclaimable = min(h.Reclaimable, int(math.Ceil((need-onDemandOf(halls))/h.speed())))
		}
	}
	return counts, buys && lack > 0
}

// standaloneShare is the part of its share of the need that a hall carries by itself: the upstreams of other
// halls do not help a hall that is partitioned, and reclaimable ones may be unavailable to it for long before.
const standaloneShare = 0.5

// standaloneFloor returns how many on-demand upstreams a hall needs to serve by itself, if reclaimable ones are
// unavailable there: their orders are refused, or have had no effect for longer than a start takes.
func (m *MixPlanner) standaloneFloor(now time.Duration, part float64, h HallState, wanted int) int {
	if h.Reclaimable >= wanted {
		delete(m.shortSince, h.Hall)
	} else if _, ok := m.shortSince[h.Hall]; !ok {
		m.shortSince[h.Hall] = now
	}
	since, short := m.shortSince[h.Hall]
	if m.refusals[h.Hall] == 0 && !(short && now-since > m.o.ShrinkDelay) {
		return 0
	}
	return max(0, int(math.Ceil(standaloneShare*part-1e-9))-h.Reclaimable)
}

// minSwitchGain is the part by which the other kind has to be cheaper for a change of kind: each change boots
// all upstreams again, and the need varies by as much.
const minSwitchGain = 0.3

// buysReclaimable returns whether reclaimable upstreams are bought: where they, and the spares against their
// loss, cost less than on-demand ones for the same need. Until work was measured for a while they are bought if
// they are cheaper at all: the first work says little about the load to come.
func (m *MixPlanner) buysReclaimable(now time.Duration, s MixSpec, halls int) bool {
	if s.ReclaimablePrice <= 0 || s.ReclaimablePrice >= 1 {
		return false
	}
	if !m.settled(now) {
		return true
	}
	n := m.need(now)
	with := math.Max(n+float64(m.o.SparePerHall*halls), hallCapacity(n, n, halls, 0)*float64(halls))*s.ReclaimablePrice + minOnDemand
	without := math.Max(math.Ceil(n), float64(s.Min*halls)) + minOnDemand
	switch {
	case m.reclaimableTooDear && with < (1-minSwitchGain)*without:
		m.reclaimableTooDear = false
	case !m.reclaimableTooDear && without < (1-minSwitchGain)*with:
		m.reclaimableTooDear = true
	}
	return !m.reclaimableTooDear
}

// minOnDemand is how many on-demand upstreams are kept over all halls: what is left if all reclaimable ones are
// reclaimed at once. Alternatives considered: one in each hall. Where upstreams are few, one in all is as good;
// where the load needs twice as many upstreams as there are halls, one in each hall costs more than it saves in
// the worst moments.
const minOnDemand = 1

// reclaimable returns how many of the reclaimable upstreams that a hall should have it may order now.
func (m *MixPlanner) reclaimable(now time.Duration, want int, h HallState) int {
	if !m.settled(now) {
		want = max(want, h.Reclaimable)
	}
	if now < m.refusedUntil[h.Hall] {
		want = min(want, h.Reclaimable)
	}
	return want
}

// BindingResource returns the resource that upstreams would run out of first under the load observed last.
func (m *MixPlanner) BindingResource() capacity.Resource { return m.binding }

// readyUpstreams returns how many upstreams serve requests.
func readyUpstreams(halls []HallState) int {
	n := 0
	for _, h := range halls {
		n += h.OnDemand + h.Reclaimable + h.Leaving
	}
	return n
}

// recordNotices records when a hall was last seen under notice. A reclaim takes all reclaimable upstreams of a
// hall; where some are left, the others leave because fewer were ordered, and where none were ordered, all of them.
func (m *MixPlanner) recordNotices(now time.Duration, halls []HallState) {
	for _, h := range halls {
		if h.Leaving == 0 || h.Reclaimable > 0 {
			delete(m.ownOrders, h.Hall)
			continue
		}
		own, known := m.ownOrders[h.Hall]
		if !known {
			at, given := m.givenUp[h.Hall]
			own = given && now-at <= findPeriod
			m.ownOrders[h.Hall] = own
		}
		if !own {
			m.waves.add(now, m.o.WaveHold, maxHoldBoots*m.o.Boot)
		}
	}
}

// recordGivenUp records the halls that are planned to give all their reclaimable upstreams up.
func (m *MixPlanner) recordGivenUp(now time.Duration, halls []HallState, counts []Count) {
	for i, h := range halls {
		switch {
		case counts[i].Reclaimable > 0:
			delete(m.givenUp, h.Hall)
		case h.Reclaimable > 0:
			m.givenUp[h.Hall] = now
		}
	}
}

// spread distributes n on-demand upstreams. Each hall first gets the number that it has to have, including its
// standalone floor, then halls with on-demand upstreams keep what they have, those with the fewest first, then the
// halls with the fewest get more, the cheapest first among equals. Upstreams that serve or boot in one hall are thereby
// not given up for others that have to boot in another hall, and a hall that has many leaves room for its reclaimable
// ones. Alternatives considered: distributing them anew each time, by
// current availability, which moves some back and forth through a wave.
//
// Both kinds together are bounded, so existing reclaimable upstreams stay: giving them up for upstreams that
// have to boot first would leave no capacity in between.
func spread(n int, s MixSpec, halls []HallState, floors []int, counts []Count) {
	room := func(i int) bool { return counts[i].OnDemand < s.Max-halls[i].Reclaimable }
	existing, kept := 0, 0
	for i, h := range halls {
		counts[i].OnDemand = max(0, min(s.Min, s.Max)-h.Reclaimable, min(floors[i], s.Max-h.Reclaimable))
		existing += h.OnDemand
		kept += max(counts[i].OnDemand, min(h.OnDemand, s.Max-h.Reclaimable))
	}
	if n >= existing {
		n = max(n, kept) // a floor is ordered beside what exists, not instead
	}
	for i := range counts {
		n -= counts[i].OnDemand
	}
	n = fill(n, counts, func(i int) bool { return counts[i].OnDemand < halls[i].OnDemand && room(i) })
	n = fill(n, counts, room)
	if n > 0 && onDemandIn(counts) < minOnDemand {
		counts[0].OnDemand = min(s.Max, minOnDemand) // instead of reclaimable ones
	}
}

// fill adds up to n on-demand upstreams, each where the fewest are and more are allowed, and returns the rest.
func fill(n int, counts []Count, allowed func(i int) bool) int {
	for ; n > 0; n-- {
		k := -1
		for i := range counts {
			if allowed(i) && (k < 0 || counts[i].OnDemand < counts[k].OnDemand) {
				k = i
			}
		}
		if k < 0 {
			break
		}
		counts[k].OnDemand++
	}
	return n
}

func onDemandIn(counts []Count) int {
	n := 0
	for _, c := range counts {
		n += c.OnDemand
	}
	return n
}
