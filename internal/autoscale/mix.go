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
// are available. So in calm times reclaimable upstreams carry the load on a small base of on-demand ones. From
// the first notice on, the base is raised until it carries the load alone. It is lowered again when no notice
// has come for a while and reclaimable upstreams are available again. The need rises at once, since a new
// upstream helps only after its boot time, and falls only after it has been lower for a while.
//
// Alternatives considered, with measurements in docs/DECISIONS.md: fixed numbers of each kind.

// HallState is the current supply of a hall.
type HallState struct {
	Hall        string
	Price       float64 // of one upstream, relative to the other halls
	OnDemand    int     // ready, not leaving
	Reclaimable int
	Leaving     int // reclaimable upstreams that are leaving
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
	// SparePerHall is how many reclaimable upstreams a hall has beyond its part of the need.
	SparePerHall int
	// WaveHold is how long after the last notice the base stays raised: a boot time plus some seconds in
	// which the halls not hit yet are likely to be next.
	WaveHold time.Duration
	// FirstStart says that the whole system starts for the first time.
	FirstStart bool
	// ShrinkDelay is how long the need has to be lower before on-demand upstreams are given up: as long as it
	// takes to start and list them again.
	ShrinkDelay time.Duration
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
	}
}

// MixPlanner plans one service. It isn't safe for concurrent use.
type MixPlanner struct {
	o                  MixOptions
	lastNotice         time.Duration // when the last notice was seen
	noticed            bool
	firstObserved      time.Duration // time of the first observation
	observed           bool
	hasWork            bool          // work has been measured
	workSince          time.Duration // when work was first measured
	foundOnDemand      float64       // on-demand upstreams that existed before that
	recent             []needSample  // needs within ShrinkDelay, the newest last
	binding            capacity.Resource
	reclaimableTooDear bool // reclaimable upstreams cost more than they save
	refusedUntil       map[string]time.Duration
	refusals           map[string]int
	shortSince         map[string]time.Duration // since when a hall has fewer reclaimable upstreams than wanted
}

// NewMixPlanner returns a planner.
func NewMixPlanner(o MixOptions) *MixPlanner {
	return &MixPlanner{o: o, refusedUntil: make(map[string]time.Duration), refusals: make(map[string]int), shortSince: make(map[string]time.Duration)}
}

const (
	// idleNeed is the need up to which no load counts as measured.
	idleNeed = 0.1
	// findPeriod is how long after its start a planner counts listed upstreams as existing before: a list
	// that is read while nodes still register grows for some heartbeats.
	findPeriod = 2 * time.Second
	// refusalPause is the first pause after a hall had no reclaimable upstreams available; it doubles up to
	// maxRefusalPause.
	refusalPause    = time.Second
	maxRefusalPause = 4 * time.Second
)

// Refused records that a hall had no reclaimable upstreams available.
func (m *MixPlanner) Refused(now time.Duration, hall string) {
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
	m.recordFound(now, halls)
	m.recordNotices(now, halls)
}

// Plan returns the counts for the state that was observed last.
func (m *MixPlanner) Plan(now time.Duration, s MixSpec, halls []HallState) []Count {
	found := m.foundFloor(now)
	buys := m.buysReclaimable(now, s, len(halls))
	need := math.Max(m.need(), m.keepFound(found, buys, halls))
	wave := m.noticed && now-m.lastNotice < m.o.WaveHold
	sort.Slice(halls, func(i, j int) bool {
		if halls[i].Price != halls[j].Price {
			return halls[i].Price < halls[j].Price
		}
		return halls[i].Hall < halls[j].Hall
	})
	safe := need // need that on-demand upstreams have to carry
	if buys && !wave {
		safe = math.Max(0, need-float64(m.survivingReclaimable(halls)))
	}
	counts := make([]Count, len(halls))
	for i, h := range halls {
		counts[i].Hall = h.Hall
		switch {
		case buys:
			counts[i].Reclaimable = m.reclaimable(now, math.Max(need, found)/float64(len(halls)), h)
		case onDemandOf(halls) < need:
			// Keep them until on-demand upstreams replace them, which need room under the maximum, too.
			counts[i].Reclaimable = min(h.Reclaimable, int(math.Ceil(need-onDemandOf(halls))))
		}
	}
	floors := make([]int, len(halls))
	for i, h := range halls {
		floors[i] = m.standaloneFloor(now, need/float64(len(halls)), h, counts[i].Reclaimable)
	}
	spread(max(minOnDemand, int(math.Ceil(safe-1e-9))), s, halls, floors, counts)
	for i, h := range halls {
		least := min(h.Reclaimable, s.Min-counts[i].OnDemand) // only existing ones
		counts[i].Reclaimable = max(0, min(max(counts[i].Reclaimable, least), s.Max-counts[i].OnDemand))
	}
	return counts
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
	n := m.need()
	with := (n+float64(m.o.SparePerHall*halls))*s.ReclaimablePrice + minOnDemand
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

// reclaimable returns how many reclaimable upstreams a hall should have for its part of the need.
func (m *MixPlanner) reclaimable(now time.Duration, part float64, h HallState) int {
	want := int(math.Ceil(part - 1e-9))
	if m.hasWork {
		want += m.o.SparePerHall
	}
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

// needSample is the need at a time.
type needSample struct {
	at   time.Duration
	need float64
}

// recordNeed keeps the needs of the last ShrinkDelay. Needs before the first work do not count.
func (m *MixPlanner) recordNeed(now time.Duration, need float64) {
	if !m.hasWork {
		if need <= idleNeed {
			return
		}
		m.hasWork, m.workSince = true, now
	}
	m.recent = append(m.recent, needSample{now, need})
	old := 0
	for now-m.recent[old].at > m.o.ShrinkDelay {
		old++
	}
	m.recent = m.recent[old:]
}

// need returns the highest need of the last ShrinkDelay, so it rises at once and falls when the need has been
// lower for that long.
func (m *MixPlanner) need() float64 {
	high := 0.0
	for _, v := range m.recent {
		high = math.Max(high, v.need)
	}
	return high
}

// recordFound records the on-demand upstreams that existed before this process could measure any work.
func (m *MixPlanner) recordFound(now time.Duration, halls []HallState) {
	if !m.observed {
		m.observed, m.firstObserved = true, now
	}
	if !m.hasWork || now-m.firstObserved <= findPeriod {
		m.foundOnDemand = math.Max(m.foundOnDemand, onDemandOf(halls))
	}
}

// foundFloor returns the on-demand upstreams found at the start, until work has been measured for a while: the
// first work says little about the load to come, and a process that has just started measures too little.
func (m *MixPlanner) foundFloor(now time.Duration) float64 {
	if m.settled(now) {
		return 0
	}
	return m.foundOnDemand
}

// settled returns whether work has been measured for long enough that fewer upstreams may be ordered.
func (m *MixPlanner) settled(now time.Duration) bool {
	return m.hasWork && now-m.workSince >= m.o.ShrinkDelay
}

// keepFound returns the part of the found upstreams that stays on demand, whatever was measured: all of them if
// an earlier process ordered them, and those that still exist if no reclaimable ones replace them.
func (m *MixPlanner) keepFound(found float64, buys bool, halls []HallState) float64 {
	switch {
	case !m.o.FirstStart:
		return found
	case !buys || len(m.refusals) > 0:
		return math.Min(found, onDemandOf(halls))
	}
	return 0
}

// readyUpstreams returns how many upstreams serve requests.
func readyUpstreams(halls []HallState) int {
	n := 0
	for _, h := range halls {
		n += h.OnDemand + h.Reclaimable + h.Leaving
	}
	return n
}

func onDemandOf(halls []HallState) float64 {
	n := 0
	for _, h := range halls {
		n += h.OnDemand
	}
	return float64(n)
}

// recordNotices records when a hall was last seen under notice. A reclaim takes all reclaimable upstreams of a
// hall; where some are left, the others leave because fewer were ordered.
func (m *MixPlanner) recordNotices(now time.Duration, halls []HallState) {
	for _, h := range halls {
		if h.Leaving > 0 && h.Reclaimable == 0 {
			m.noticed, m.lastNotice = true, now
		}
	}
}

// survivingReclaimable returns how many reclaimable upstreams are left if the hall with most of them loses all.
func (m *MixPlanner) survivingReclaimable(halls []HallState) int {
	sum, most := 0, 0
	for _, h := range halls {
		sum += h.Reclaimable
		most = max(most, h.Reclaimable)
	}
	return sum - most
}

// spread distributes n on-demand upstreams. Each hall first gets the number that it has to have, including its
// standalone floor, then halls with on-demand upstreams keep as many as they have, then the halls with the
// fewest get more, the cheapest first among equals. So upstreams that serve or boot in one hall are not given up
// for others that have to boot in another hall. Alternatives considered: distributing them anew each time, by
// current availability, which moves some back and forth through a wave.
//
// Both kinds together are bounded, so existing reclaimable upstreams stay: giving them up for upstreams that
// have to boot first would leave no capacity in between.
func spread(n int, s MixSpec, halls []HallState, floors []int, counts []Count) {
	room := func(i int) bool { return counts[i].OnDemand < s.Max-halls[i].Reclaimable }
	for i, h := range halls {
		counts[i].OnDemand = max(0, min(s.Min, s.Max)-h.Reclaimable, min(floors[i], s.Max-h.Reclaimable))
		n -= counts[i].OnDemand
	}
	for i, h := range halls {
		for n > 0 && counts[i].OnDemand < h.OnDemand && room(i) {
			counts[i].OnDemand++
			n--
		}
	}
	for n > 0 {
		k := -1
		for i := range counts {
			if room(i) && (k < 0 || counts[i].OnDemand < counts[k].OnDemand) {
				k = i
			}
		}
		if k < 0 {
			break
		}
		counts[k].OnDemand++
		n--
	}
	if n > 0 && onDemandIn(counts) < minOnDemand {
		counts[0].OnDemand = min(s.Max, minOnDemand) // instead of reclaimable ones
	}
}

func onDemandIn(counts []Count) int {
	n := 0
	for _, c := range counts {
		n += c.OnDemand
	}
	return n
}
