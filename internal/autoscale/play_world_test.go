package autoscale

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"spurhall.example/spurhall/internal/capacity"
)

// This file plays a day's load against a MixPlanner: traffic that swings, clumps and surges, halls that lose all
// their reclaimable upstreams, orders that fail or are late, and the loss of all processes. Orders are placed as
// in edge/orders.go. A seed gives the same day to each planner.

const (
	playTick    = 250 * time.Millisecond
	playList    = time.Second            // from the end of a boot to its entry in all lists
	playNotice  = 500 * time.Millisecond // from a notice until no new work is sent
	playLead    = 10 * time.Second       // before traffic
	playFrom    = 20 * time.Second       // before anything is counted
	playLength  = 75 * time.Second
	playDry     = 13 * time.Second // no reclaimable upstreams are available after a notice
	playOutage  = 3 * time.Second  // without any process
	playReorder = 2 * time.Second
	playHallMax = 40
	playReturns = 0.5 // part of the work not served that comes again a second later
	playSeeds   = 16
	playUse     = 0.9 // of an upstream's time: above it, queues are longer than latency targets allow
)

var playHalls = []string{"a", "b", "c"}

// playUpstream is one upstream; times are from the start.
type playUpstream struct {
	hall        int
	reclaimable bool
	listed      time.Duration // it serves from here on
	noticed     time.Duration
	isLeaving   bool
}

func (u *playUpstream) ready(now time.Duration) bool {
	return now >= u.listed && (!u.isLeaving || now < u.noticed+playNotice)
}

type playKey struct {
	hall        int
	reclaimable bool
}

type playOrder struct {
	key   playKey
	count int
	at    time.Duration
}

// playResult is what a day gave.
type playResult struct {
	seconds, short        float64 // ticks, and those with more work than capacity
	work, shortWork       float64
	worst                 float64 // part of the work short in the worst 4 s
	onDemand, reclaimable float64 // upstream-seconds, from their order on
	shortAt               []time.Duration
	gaveUp                int // upstreams given up while those that serve are fewer than the load needs
}

func (r *playResult) add(v playResult) {
	r.seconds += v.seconds
	r.short += v.short
	r.work += v.work
	r.shortWork += v.shortWork
	r.worst = math.Max(r.worst, v.worst)
	r.onDemand += v.onDemand
	r.reclaimable += v.reclaimable
	r.gaveUp += v.gaveUp
	r.shortAt = append(r.shortAt, v.shortAt...)
}

func (r *playResult) price() float64 { return r.onDemand + mixSpec.ReclaimablePrice*r.reclaimable }

type play struct {
	day       playDay
	need      float64
	traffic   *rand.Rand
	luck      *rand.Rand // of orders: the traffic doesn't depend on them
	phase     float64
	clump     float64
	surgeAt   time.Duration
	surgeBy   float64
	now       time.Duration
	upstreams []*playUpstream
	pending   []playOrder
	dryUntil  time.Duration
	planner   playPlanner
	newMix    func(first bool) playPlanner
	rate      RateEstimator
	sum       capacity.Work
	load75    float64       // upstreams that the load needs now
	started   time.Duration // of the process
	orders    map[playKey]playOrder
	floor     map[playKey]int // ordered by the process before
	returns   []float64
	shares    []float64 // work short by tick
	works     []float64
	out       playResult
}

func newPlay(day playDay, need float64, seed uint64, newMix func(first bool) playPlanner) *play {
	r := rand.New(rand.NewPCG(seed, 7))
	p := &play{
		day: day, need: need, traffic: r, luck: rand.New(rand.NewPCG(seed, 8)), phase: 2 * math.Pi * r.Float64(), surgeAt: playFrom + seconds(40*r.Float64()), surgeBy: 1.5 + r.Float64(),
		newMix: newMix, planner: newMix(true), orders: make(map[playKey]playOrder),
	}
	for h := range playHalls {
		for range int(math.Ceil(need / 3)) {
			p.upstreams = append(p.upstreams, &playUpstream{hall: h})
		}
	}
	return p
}

// load returns the work of a second at this time, in upstreams kept busy.
func (p *play) load() float64 {
	if p.now < playLead {
		return 0
	}
	if p.now%time.Second == 0 {
		p.clump = math.Exp(0.12*p.traffic.NormFloat64() - 0.0072)
	}
	if p.day.even {
		p.clump = 1
	}
	x := 0.75 * p.need * (1 + 0.3*math.Sin(p.phase+2*math.Pi*p.now.Seconds()/40)) * p.clump
	if p.day.surge && p.now >= p.surgeAt && p.now < p.surgeAt+4*time.Second {
		x *= 1 + 0.4*(p.surgeBy-1)
	}
	return x
}

func (p *play) run() playResult {
	for ; p.now < playFrom+playLength; p.now += playTick {
		p.reclaim()
		p.carryOut()
		p.serve()
		p.plan()
	}
	p.finish()
	return p.out
}

func (p *play) reclaim() {
	p.upstreams = slices.DeleteFunc(p.upstreams, func(u *playUpstream) bool { return u.isLeaving && p.now > u.noticed+3*time.Second })
	h, ok := p.day.losses[p.now-playFrom]
	if !ok {
		return
	}
	p.dryUntil = max(p.dryUntil, p.now+playDry)
	for _, u := range p.upstreams {
		if u.hall == h && u.reclaimable && !u.isLeaving {
			u.isLeaving, u.noticed = true, p.now
		}
	}
	p.upstreams = slices.DeleteFunc(p.upstreams, func(u *playUpstream) bool { return u.isLeaving && u.listed > p.now })
}

// carryOut carries late orders out.
func (p *play) carryOut() {
	p.pending = slices.DeleteFunc(p.pending, func(o playOrder) bool {
		if p.now < o.at {
			return false
		}
		p.apply(o.key, o.count)
		return true
	})
}

// apply brings a hall to a count, and reports false if none are available.
func (p *play) apply(k playKey, count int) bool {
	var have []*playUpstream
	for _, u := range p.upstreams {
		if u.hall == k.hall && u.reclaimable == k.reclaimable && !u.isLeaving {
			have = append(have, u)
		}
	}
	if count > len(have) {
		if k.reclaimable && p.now < p.dryUntil {
			return false
		}
		for range count - len(have) {
			p.upstreams = append(p.upstreams, &playUpstream{hall: k.hall, reclaimable: k.reclaimable, listed: p.now + boot + playList})
		}
		return true
	}
	for _, u := range have[count:] { // the newest, so those that boot come first
		u.isLeaving, u.noticed = true, p.now-playNotice
	}
	return true
}

func (p *play) serve() {
	work := p.load()
	if len(p.returns) >= 4 {
		work += p.returns[len(p.returns)-4]
	}
	p.load75 = work / DefaultMixOptions(boot).TargetUse.Prefill
	p.sum.Prefill += work * playTick.Seconds()
	has := 0.0
	for _, u := range p.upstreams {
		if u.ready(p.now) {
			has += playUse
		}
		if u.isLeaving && p.now >= u.noticed+2*time.Second || p.now < playFrom {
			continue
		}
		if u.reclaimable {
			p.out.reclaimable += playTick.Seconds()
		} else {
			p.out.onDemand += playTick.Seconds()
		}
	}
	lack := math.Max(0, work-has)
	p.returns = append(p.returns, playReturns*lack)
	if p.now < playFrom {
		return
	}
	p.out.seconds += playTick.Seconds()
	p.out.work += work
	p.out.shortWork += lack
	if lack > 0 {
		p.out.short += playTick.Seconds()
		p.out.shortAt = append(p.out.shortAt, p.now-playFrom)
	}
	p.shares, p.works = append(p.shares, lack), append(p.works, work)
}

func (p *play) finish() {
	n := int(4 * time.Second / playTick)
	for i := n; i <= len(p.shares); i++ {
		lack, work := 0.0, 0.0
		for k := i - n; k < i; k++ {
			lack += p.shares[k]
			work += p.works[k]
		}
		p.out.worst = math.Max(p.out.worst, lack/work)
	}
}

func (p *play) halls() []HallState {
	list := threeHalls(0, 0)
	for _, u := range p.upstreams {
		h := &list[u.hall]
		switch {
		case u.ready(p.now) && u.reclaimable:
			h.Reclaimable++
		case u.ready(p.now):
			h.OnDemand++
		case u.isLeaving && u.reclaimable && p.now < u.noticed+2*time.Second:
			h.Leaving++
		}
	}
	return list
}

func (p *play) plan() {
	if p.day.kill > 0 && p.now >= playFrom+p.day.kill {
		if p.now < playFrom+p.day.kill+playOutage {
			return
		}
		if p.started == 0 {
			p.restart()
		}
	}
	since := p.now - p.started
	at := time.Unix(1000, 0).Add(p.now)
	load := p.rate.Estimate(at, map[string]Counter{"n": {Value: p.sum, ReceivedAt: at}}, time.Minute)
	halls := p.halls()
	p.planner.Observe(since, load, halls)
	if since < 700*time.Millisecond {
		return
	}
	have := make(map[playKey]int)
	for i, h := range halls {
		have[playKey{i, false}], have[playKey{i, true}] = h.OnDemand, h.Reclaimable
	}
	lacks := float64(readyOf(halls)) < p.load75
	for _, c := range p.planner.Plan(since, MixSpec{Min: 1, Max: playHallMax, ReclaimablePrice: mixSpec.ReclaimablePrice}, halls) {
		h := slices.Index(playHalls, c.Hall)
		for _, k := range []playKey{{h, true}, {h, false}} {
			n := c.OnDemand
			if k.reclaimable {
				n = c.Reclaimable
			}
			if p.started > 0 && since < boot+3*time.Second {
				n = max(n, p.floor[k])
			}
			if n < have[k] && since < 2*time.Second {
				continue
			}
			if p.now >= playFrom && lacks && n < have[k] && p.orders[k].count != n {
				p.out.gaveUp += have[k] - n
			}
			p.order(since, k, n, have[k])
		}
	}
}

func (p *play) restart() {
	p.started = p.now
	p.floor = make(map[playKey]int)
	for k, o := range p.orders {
		if !k.reclaimable {
			p.floor[k] = o.count
		}
	}
	p.orders, p.rate = make(map[playKey]playOrder), RateEstimator{}
	known := p.planner.Known(p.now - playOutage)
	p.planner = p.newMix(false)
	if !p.day.forgets {
		if known.Notice >= 0 {
			known.Notice += playOutage
		}
		p.planner.Restore(0, known)
	}
}

func (p *play) order(since time.Duration, k playKey, count, have int) {
	old, ok := p.orders[k]
	if ok && old.count == count && (have == count || p.now-old.at < playReorder) {
		return
	}
	p.orders[k] = playOrder{k, count, p.now}
	if !ok && have == count {
		return
	}
	luck, wait := p.luck.Float64(), seconds(2+10*p.luck.Float64())
	switch {
	case luck < p.day.failing:
		delete(p.orders, k)
	case luck < p.day.late:
		p.pending = append(p.pending, playOrder{k, count, p.now + wait})
	case !p.apply(k, count):
		p.planner.Refused(since, playHalls[k.hall])
		delete(p.orders, k)
	case k.reclaimable:
		p.planner.Granted(playHalls[k.hall])
	}
}

func readyOf(halls []HallState) int {
	n := 0
	for _, h := range halls {
		n += h.OnDemand + h.Reclaimable
	}
	return n
}

// playAll plays a day on all seeds.
func playAll(day playDay, need float64, newMix func(first bool) playPlanner) playResult {
	var sum playResult
	for seed := uint64(1); seed <= playSeeds; seed++ {
		sum.add(newPlay(day, need, seed, newMix).run())
	}
	return sum
}
