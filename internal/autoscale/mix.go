package autoscale

import (
	"math"
	"sort"
	"time"

	"spurhall.example/spurhall/internal/capacity"
)

// This file decides how many upstreams of a service each hall should have where the
// platform takes counts a hall and kind, instead of orders for single VMs.
//
// Reclaimable upstreams cost a fraction, and are taken a hall at a time. Waves come in
// series: the halls not yet hit are likely next, and while a wave lasts no reclaimable
// ones are to be had. So in calm times the load is carried by reclaimable upstreams on
// a small base of on-demand ones, and from the first notice on the base is raised until it
// carries the load alone; it is lowered again when no notice has come for a while and
// the reclaimable ones are back. The need rises at once, since a new upstream takes its boot
// time to help, and falls only after it has been lower for a while.
//
// Weighed, and measured: fixed numbers of each kind (docs/DECISIONS.md).

// HallState is what a hall has.
type HallState struct {
	Hall        string
	Price       float64 // of one upstream, relative to the others
	OnDemand    int     // ready, not leaving
	Reclaimable int
	Leaving     int // reclaimable ones that leave
}

// MixSpec bounds the counts of a service. Both kinds together stay in Min to Max a hall.
type MixSpec struct {
	Min, Max         int
	ReclaimablePrice float64 // relative to an on-demand upstream; 0 or over 1: none are bought
}

// Count is what a hall should have.
type Count struct {
	Hall        string
	OnDemand    int
	Reclaimable int
}

// MixOptions sets a planner.
type MixOptions struct {
	// Busy is how much of its reading time, slots and memory an upstream should have in use:
	// what is left bears bursts of a second or two, and that no choice spreads evenly. The
	// spares bear the rest.
	Busy capacity.Work
	// Spare is how many reclaimable upstreams a hall has beyond its part of the need.
	Spare int
	// Calm is how long after the last notice the base is held up: a boot, and some seconds in
	// which the halls not yet hit are likely next.
	Calm time.Duration
	// Fresh says that the whole system starts for the first time.
	FirstStart bool
	// Hold is how long the need has to be lower before on-demand upstreams go: as long as it
	// takes to have them back, and be listed.
	Hold time.Duration
}

const (
	// holdBeyond is what Hold is beyond a boot: two heartbeats, and a list that is gathered.
	holdBeyond = 3 * time.Second
	// calmBeyond is what Calm is beyond a boot. Halls that were taken together were taken
	// within 6 s.
	calmBeyond = 5 * time.Second
)

// MixDefaults returns the options in use for upstreams that boot in so long;
// docs/DECISIONS.md has the trials.
func DefaultMixOptions(boot time.Duration) MixOptions {
	return MixOptions{
		Busy: capacity.Work{Prefill: 0.75, Slots: 0.9, Memory: 0.9}, Spare: 2,
		Calm: boot + calmBeyond, Hold: boot + holdBeyond,
	}
}

// Mix plans one service. It isn't safe for concurrent use.
type MixPlanner struct {
	o        MixOptions
	notice   time.Duration // of the last notice seen
	noticed  bool
	first    time.Duration // of the first moment observed
	observed bool
	begun    bool          // some work has come
	began    time.Duration // when it did
	found    float64       // upstreams that were there before that
	recent   []needed      // within Hold, the newest last
	binds    capacity.Resource
	dear     bool // reclaimable upstreams cost more than they save
	refused  map[string]time.Duration
	refusals map[string]int
	lacking  map[string]time.Duration // since when a hall has fewer reclaimable ones than wanted
}

// NewMix returns a planner.
func NewMixPlanner(o MixOptions) *MixPlanner {
	return &MixPlanner{o: o, refused: make(map[string]time.Duration), refusals: make(map[string]int), lacking: make(map[string]time.Duration)}
}

const (
	// idleNeed is the need below which nothing is known of the load yet.
	idleNeed = 0.1
	// foundWithin is how long a planner still finds upstreams that were there before: a
	// list that is read while it fills grows over some heartbeats.
	foundWithin = 2 * time.Second
	// refusalPause is the first pause after a hall has no reclaimable upstreams to give;
	// it doubles up to refusalLimit.
	refusalPause = time.Second
	refusalLimit = 4 * time.Second
)

// Refused notes that a hall had no reclaimable upstreams to give.
func (m *MixPlanner) Refused(now time.Duration, hall string) {
	m.refused[hall] = now + min(refusalPause<<min(m.refusals[hall], 4), refusalLimit)
	m.refusals[hall]++
}

// Granted notes that a hall gave some.
func (m *MixPlanner) Granted(hall string) {
	delete(m.refused, hall)
	delete(m.refusals, hall)
}

// Observe takes in a moment: load is the work that comes each second. It is called by every
// process, so that whichever gives orders next knows of the need and the notices of the last
// seconds.
func (m *MixPlanner) Observe(now time.Duration, load capacity.Work, halls []HallState) {
	need, binds := load.Uncontended(ready(halls)).Engines(m.o.Busy)
	m.binds = binds
	m.hold(now, need)
	m.find(now, halls)
	m.notices(now, halls)
}

// Plan returns the counts wanted after what was observed last.
func (m *MixPlanner) Plan(now time.Duration, s MixSpec, halls []HallState) []Count {
	found := m.floor(now)
	buys := m.decide(now, s, len(halls))
	need := math.Max(m.need(), m.keep(found, buys, halls))
	wave := m.noticed && now-m.notice < m.o.Calm
	sort.Slice(halls, func(i, j int) bool {
		if halls[i].Price != halls[j].Price {
			return halls[i].Price < halls[j].Price
		}
		return halls[i].Hall < halls[j].Hall
	})
	safe := need // what on-demand upstreams have to carry
	if buys && !wave {
		safe = math.Max(0, need-float64(m.dependable(halls)))
	}
	counts := make([]Count, len(halls))
	for i, h := range halls {
		counts[i].Hall = h.Hall
		switch {
		case buys:
			counts[i].Reclaimable = m.reclaimable(now, math.Max(need, found)/float64(len(halls)), h)
		case onDemandOf(halls) < need:
			// Until others have taken their place, which need room, too.
			counts[i].Reclaimable = min(h.Reclaimable, int(math.Ceil(need-onDemandOf(halls))))
		}
	}
	floors := make([]int, len(halls))
	for i, h := range halls {
		floors[i] = m.alone(now, need/float64(len(halls)), h, counts[i].Reclaimable)
	}
	spread(max(leastOnDemand, int(math.Ceil(safe-1e-9))), s, halls, floors, counts)
	for i, h := range halls {
		least := min(h.Reclaimable, s.Min-counts[i].OnDemand) // of what is there
		counts[i].Reclaimable = max(0, min(max(counts[i].Reclaimable, least), s.Max-counts[i].OnDemand))
	}
	return counts
}

// standAlone is the part of its share of the need that a hall has by itself: the other halls'
// upstreams are no help to one that is cut off, and reclaimable ones may not come to it for long before.
const standAlone = 0.5

// alone is how many on-demand upstreams a hall needs to stand alone, if reclaimable ones are
// not to be had there: the orders are refused, or nothing has come of them for longer than
// that takes.
func (m *MixPlanner) alone(now time.Duration, part float64, h HallState, wanted int) int {
	if h.Reclaimable >= wanted {
		delete(m.lacking, h.Hall)
	} else if _, ok := m.lacking[h.Hall]; !ok {
		m.lacking[h.Hall] = now
	}
	since, lacks := m.lacking[h.Hall]
	if m.refusals[h.Hall] == 0 && !(lacks && now-since > m.o.Hold) {
		return 0
	}
	return max(0, int(math.Ceil(standAlone*part-1e-9))-h.Reclaimable)
}

// switchGain is the part by which the other kind has to be cheaper for a change of kind: each
// change boots everything anew, and the need swings by as much.
const switchGain = 0.3

// decide tells whether reclaimable upstreams are bought: where they, and what is held to
// bear their loss, cost less than on-demand ones for the same need.
// Until work was measured for a while they are, if they are cheaper at all: the first work
// says little of what comes.
func (m *MixPlanner) decide(now time.Duration, s MixSpec, halls int) bool {
	if s.ReclaimablePrice <= 0 || s.ReclaimablePrice >= 1 {
		return false
	}
	if !m.settled(now) {
		return true
	}
	n := m.need()
	with := (n+float64(m.o.Spare*halls))*s.ReclaimablePrice + leastOnDemand
	without := math.Max(math.Ceil(n), float64(s.Min*halls)) + leastOnDemand
	switch {
	case m.dear && with < (1-switchGain)*without:
		m.dear = false
	case !m.dear && without < (1-switchGain)*with:
		m.dear = true
	}
	return !m.dear
}

// leastOnDemand is how many on-demand upstreams are held over all halls: what is left if all
// reclaimable ones go at once. One in each hall was held before. Where engines are few, that
// is as good; where the load needs twice as many halls' worth, it costs more in upstreams than it
// saves in the worst moments.
const leastOnDemand = 1

// reclaimable is how many reclaimable upstreams a hall should have if its part of the need
// is so many.
func (m *MixPlanner) reclaimable(now time.Duration, part float64, h HallState) int {
	want := int(math.Ceil(part - 1e-9))
	if m.begun {
		want += m.o.Spare
	}
	if !m.settled(now) {
		want = max(want, h.Reclaimable)
	}
	if now < m.refused[h.Hall] {
		want = min(want, h.Reclaimable)
	}
	return want
}

// Binds is what upstreams would run out of first under the load observed last.
func (m *MixPlanner) BindingResource() capacity.Resource { return m.binds }

// needed is the need at a moment.
type needed struct {
	at   time.Duration
	need float64
}

// hold keeps the needs of a while. None counts until work has come.
func (m *MixPlanner) hold(now time.Duration, need float64) {
	if !m.begun {
		if need <= idleNeed {
			return
		}
		m.begun, m.began = true, now
	}
	m.recent = append(m.recent, needed{now, need})
	old := 0
	for now-m.recent[old].at > m.o.Hold {
		old++
	}
	m.recent = m.recent[old:]
}

// need rises at once and falls when it has been lower for a while: it is the highest of
// that while.
func (m *MixPlanner) need() float64 {
	high := 0.0
	for _, v := range m.recent {
		high = math.Max(high, v.need)
	}
	return high
}

// find notes what is there on demand before this process could measure anything.
func (m *MixPlanner) find(now time.Duration, halls []HallState) {
	if !m.observed {
		m.observed, m.first = true, now
	}
	if !m.begun || now-m.first <= foundWithin {
		m.found = math.Max(m.found, onDemandOf(halls))
	}
}

// floor is what was found, until work has come and for a while afterwards: the first work
// says little of what comes, and a process that has just started measures too little.
func (m *MixPlanner) floor(now time.Duration) float64 {
	if m.settled(now) {
		return 0
	}
	return m.found
}

// settled tells whether work has been measured for long enough that fewer may be ordered.
func (m *MixPlanner) settled(now time.Duration) bool {
	return m.begun && now-m.began >= m.o.Hold
}

// keep is the part of what was found that on-demand upstreams go on carrying, whatever was
// measured: all of it if somebody has held it to be needed, what is there of it if nothing
// takes its place.
func (m *MixPlanner) keep(found float64, buys bool, halls []HallState) float64 {
	switch {
	case !m.o.FirstStart:
		return found
	case !buys || len(m.refusals) > 0:
		return math.Min(found, onDemandOf(halls))
	}
	return 0
}

// ready is how many upstreams serve.
func ready(halls []HallState) int {
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

// notices notes when a hall was last seen under notice. A reclaim takes all of a hall; where
// some are left, the others leave because fewer were ordered.
func (m *MixPlanner) notices(now time.Duration, halls []HallState) {
	for _, h := range halls {
		if h.Leaving > 0 && h.Reclaimable == 0 {
			m.noticed, m.notice = true, now
		}
	}
}

// dependable is how many reclaimable upstreams are left if the hall with most is taken.
func (m *MixPlanner) dependable(halls []HallState) int {
	sum, most := 0, 0
	for _, h := range halls {
		sum += h.Reclaimable
		most = max(most, h.Reclaimable)
	}
	return sum - most
}

// spread deals n on-demand upstreams out: each hall the least that it has to have, and that it
// needs to stand alone, then the
// halls that have some already as many as they have, then the halls with fewest, the
// cheapest first among equals. What serves or boots is thereby not given up in one hall for
// what has to boot in another. Dealing them out anew each time, by what was to be had at the
// moment, moves some to and fro through a wave.
//
// Both kinds together are bounded, so what is there and reclaimable stays: giving it up for
// what has to boot first would leave nothing in between.
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
	if n > 0 && onDemandIn(counts) < leastOnDemand {
		counts[0].OnDemand = min(s.Max, leastOnDemand) // in the place of reclaimable ones
	}
}

func onDemandIn(counts []Count) int {
	n := 0
	for _, c := range counts {
		n += c.OnDemand
	}
	return n
}
