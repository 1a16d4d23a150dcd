// Package autoscale decides which VMs a hall should have. It is pure: the hall as it
// is and the time come in, orders and their reasons go out.
//
// Live work gets a floor of on-demand VMs, so that a reclaim wave slows it and
// doesn't stop it; everything else is bought where a slot costs least, counting what
// a reclaim throws away. No zone gets more than a share, since zones are reclaimed
// whole. A refused start backs off for its zone and class, twice as long each time,
// and the next best offer is tried at once.
//
// Starting on demand whenever reclaimable VMs are refused was weighed: it is the
// quickest, and it is what makes a wave expensive. Here the floor is on demand and
// the rest waits for the next best reclaimable offer, until live work is short.
package autoscale

import (
	"math"
	"sort"
	"time"
)

// VM is one VM of the pool.
type VM struct {
	ID          string
	Zone        string
	Class       string
	Reclaimable bool
	Price       float64 // money per hour
	Slots       int
	Load        int // running and queued
}

// Offer is a kind of VM that the cloud may start.
type Offer struct {
	Zone        string
	Class       string
	Reclaimable bool
	Price       float64
	Slots       int
	ReclaimRate float64 // expected reclaims per hour
}

// Demand is what the pool has to serve, in slots in use on average.
type Demand struct {
	Live  float64
	Batch float64
}

// Options sets a planner.
type Options struct {
	Headroom  float64       // slots per live slot in use
	Floor     float64       // share of live slots that is on demand
	ZoneShare float64       // largest share of the slots in one zone
	Lost      float64       // hours of a VM's work that a reclaim throws away
	Backoff   time.Duration // after the first refusal
	Longest   time.Duration
	Surplus   time.Duration // how long there must be too much before a VM is stopped
	Starting  time.Duration // how long a start may take before it counts as lost
}

// Defaults returns the options for ordinary use.
func DefaultOptions() Options {
	return Options{
		Headroom: 1.4, Floor: 0.5, ZoneShare: 0.5, Lost: 0.1,
		Backoff: 30 * time.Second, Longest: 15 * time.Minute, Surplus: 10 * time.Minute, Starting: 5 * time.Minute,
	}
}

// Order is one thing to ask of the cloud.
type Order struct {
	Start *Offer
	Stop  string // id of a VM
	Reason   string
}

// Planner remembers refusals and starts under way. It isn't safe for concurrent use.
type Planner struct {
	o        Options
	refusals map[Offer]*refusal
	starting []start
	surplus  time.Duration // since when there is too much
	tooMuch  bool
}

type refusal struct {
	times int
	until time.Duration
}

type start struct {
	offer Offer
	since time.Duration
}

// New returns a planner.
func New(o Options) *Planner { return &Planner{o: o, refusals: make(map[Offer]*refusal)} }

// Refused notes that the cloud refused an offer.
func (p *Planner) Refused(now time.Duration, f Offer) {
	r := p.refusals[f]
	if r == nil {
		r = &refusal{}
		p.refusals[f] = r
	}
	r.until = now + min(p.o.Backoff<<min(r.times, 10), p.o.Longest)
	r.times++
}

// Accepted notes that the cloud took a start order.
func (p *Planner) Accepted(now time.Duration, f Offer) {
	delete(p.refusals, f)
	p.starting = append(p.starting, start{f, now})
}

// Arrived notes that a VM of the offer's kind was listed.
func (p *Planner) Arrived(zone, class string, reclaimable bool) {
	for i, s := range p.starting {
		if s.offer.Zone == zone && s.offer.Class == class && s.offer.Reclaimable == reclaimable {
			p.starting = append(p.starting[:i], p.starting[i+1:]...)
			return
		}
	}
}

// supply sums up slots.
type supply struct {
	all, onDemand float64
	zones         map[string]float64
}

func (p *Planner) supply(now time.Duration, vms []VM) supply {
	s := supply{zones: make(map[string]float64)}
	add := func(zone string, reclaimable bool, slots int) {
		s.all += float64(slots)
		s.zones[zone] += float64(slots)
		if !reclaimable {
			s.onDemand += float64(slots)
		}
	}
	for i := range vms {
		add(vms[i].Zone, vms[i].Reclaimable, vms[i].Slots)
	}
	kept := p.starting[:0]
	for _, v := range p.starting {
		if now-v.since < p.o.Starting {
			kept = append(kept, v)
			add(v.offer.Zone, v.offer.Reclaimable, v.offer.Slots)
		}
	}
	p.starting = kept
	return s
}

// maxOrders bounds the orders of one round, so that a wrong figure does little before
// the next look.
const maxOrders = 8

// Plan returns the orders of this round.
func (p *Planner) Plan(now time.Duration, vms []VM, offers []Offer, d Demand) []Order {
	s := p.supply(now, vms)
	need := d.Live*p.o.Headroom + d.Batch
	floor := d.Live * p.o.Floor
	var r []Order
	for len(r) < maxOrders && (s.all < need || s.onDemand < floor) {
		f, ok := p.best(now, offers, &s, need, s.onDemand < floor)
		if !ok {
			break
		}
		why := "demand exceeds the slots"
		if s.onDemand < floor {
			why = "on-demand floor for live work"
		}
		r = append(r, Order{Start: &f, Reason: why})
		s.all += float64(f.Slots)
		s.zones[f.Zone] += float64(f.Slots)
		if !f.Reclaimable {
			s.onDemand += float64(f.Slots)
		}
	}
	list := p.shrink(vms, s, need, floor)
	if len(r) > 0 || len(list) == 0 {
		p.tooMuch = false
		return r
	}
	if !p.tooMuch {
		p.tooMuch, p.surplus = true, now
	}
	if now-p.surplus < p.o.Surplus {
		return nil
	}
	p.surplus = now // one VM at a time
	return list
}

// best returns the cheapest offer per slot that is not backing off and keeps the
// zones apart. When every reclaimable offer is refused and live work is short, on
// demand is what is left, and comes out cheapest.
func (p *Planner) best(now time.Duration, offers []Offer, s *supply, need float64, onDemand bool) (Offer, bool) {
	best, cost := Offer{}, math.Inf(1)
	for _, f := range offers {
		if onDemand && f.Reclaimable || f.Slots == 0 {
			continue
		}
		if r := p.refusals[f]; r != nil && now < r.until {
			continue
		}
		c := f.Price / float64(f.Slots) * (1 + f.ReclaimRate*p.o.Lost)
		if s.zones[f.Zone]+float64(f.Slots) > p.o.ZoneShare*math.Max(need, s.all+float64(f.Slots)) {
			c *= crowdedZone
		}
		if c < cost {
			best, cost = f, c
		}
	}
	return best, !math.IsInf(cost, 1)
}

// crowdedZone is how much dearer a zone counts that has its share already.
const crowdedZone = 3

// slack is the surplus beyond the need that is kept, so that VMs don't come and go
// with every small change.
const slack = 1.25

// shrink stops one idle VM, the dearest that isn't needed. The last one stays: a pool
// without any would refuse the next request instead of being slow to it.
func (p *Planner) shrink(vms []VM, s supply, need, floor float64) []Order {
	if len(vms) < 2 {
		return nil
	}
	list := append([]VM(nil), vms...)
	sort.SliceStable(list, func(i, j int) bool {
		return list[i].Price*float64(list[j].Slots) > list[j].Price*float64(list[i].Slots)
	})
	for _, v := range list {
		n := float64(v.Slots)
		if v.Load > 0 || s.all-n < need*slack || !v.Reclaimable && s.onDemand-n < floor {
			continue
		}
		return []Order{{Stop: v.ID, Reason: "more slots than demand"}}
	}
	return nil
}
