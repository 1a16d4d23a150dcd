// Package autoscale decides which VMs a hall should have. It is pure: the state of the hall and the time are
// passed in, orders and their reasons are returned.
//
// Live work gets a floor of on-demand VMs, so that a reclaim wave slows it but does not stop it. All other
// capacity is bought where a slot costs least, counting the work that a reclaim discards. No zone gets more
// than a share, since zones are reclaimed as a whole. A refused start backs off for its zone and class, twice as
// long each time, and the next best offer is tried at once.
//
// Alternatives considered: starting on-demand VMs whenever reclaimable ones are refused. It is the fastest way
// to get capacity, and it is what makes a wave expensive. Here the floor is on demand, and the rest waits for
// the next best reclaimable offer until live work is short of slots.
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
	Load        int // running and queued requests
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

// Demand is the work that the pool has to serve, as the average number of slots in use.
type Demand struct {
	Live  float64
	Batch float64
}

// Options configures a Planner.
type Options struct {
	Headroom      float64       // slots per live slot in use
	OnDemandFloor float64       // share of the live slots that has to be on demand
	ZoneShare     float64       // largest share of the slots in one zone
	LostHours     float64       // hours of a VM's work that a reclaim discards
	Backoff       time.Duration // after the first refusal
	MaxBackoff    time.Duration // upper limit of the back-off
	SurplusDelay  time.Duration // how long a surplus must last before a VM is stopped
	StartTimeout  time.Duration // how long a start may take before it counts as lost
}

// DefaultOptions returns the options for ordinary use.
func DefaultOptions() Options {
	return Options{
		Headroom: 1.4, OnDemandFloor: 0.5, ZoneShare: 0.5, LostHours: 0.1,
		Backoff: 30 * time.Second, MaxBackoff: 15 * time.Minute, SurplusDelay: 10 * time.Minute, StartTimeout: 5 * time.Minute,
	}
}

// Order is one request to the cloud.
type Order struct {
	Start  *Offer
	Stop   string // id of a VM
	Reason string
}

// Planner keeps refusals and pending starts. It isn't safe for concurrent use.
type Planner struct {
	o            Options
	refusals     map[Offer]*refusal
	starting     []pendingStart
	surplusSince time.Duration // when the current surplus started
	inSurplus    bool
}

type refusal struct {
	count int
	until time.Duration
}

type pendingStart struct {
	offer Offer
	since time.Duration
}

// New returns a planner.
func New(o Options) *Planner { return &Planner{o: o, refusals: make(map[Offer]*refusal)} }

// Refused records that the cloud refused an offer.
func (p *Planner) Refused(now time.Duration, f Offer) {
	r := p.refusals[f]
	if r == nil {
		r = &refusal{}
		p.refusals[f] = r
	}
	r.until = now + min(p.o.Backoff<<min(r.count, 10), p.o.MaxBackoff)
	r.count++
}

// Accepted records that the cloud accepted a start order.
func (p *Planner) Accepted(now time.Duration, f Offer) {
	delete(p.refusals, f)
	p.starting = append(p.starting, pendingStart{f, now})
}

// Arrived records that a VM of the offer's kind was listed.
func (p *Planner) Arrived(zone, class string, reclaimable bool) {
	for i, s := range p.starting {
		if s.offer.Zone == zone && s.offer.Class == class && s.offer.Reclaimable == reclaimable {
			p.starting = append(p.starting[:i], p.starting[i+1:]...)
			return
		}
	}
}

// supply counts the slots of the pool, including those of pending starts.
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
		if now-v.since < p.o.StartTimeout {
			kept = append(kept, v)
			add(v.offer.Zone, v.offer.Reclaimable, v.offer.Slots)
		}
	}
	p.starting = kept
	return s
}

// maxOrders bounds the orders of one round, which limits the damage of a wrong measurement until the next
// round.
const maxOrders = 8

// Plan returns the orders of this round.
func (p *Planner) Plan(now time.Duration, vms []VM, offers []Offer, d Demand) []Order {
	s := p.supply(now, vms)
	need := d.Live*p.o.Headroom + d.Batch
	floor := d.Live * p.o.OnDemandFloor
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
		p.inSurplus = false
		return r
	}
	if !p.inSurplus {
		p.inSurplus, p.surplusSince = true, now
	}
	if now-p.surplusSince < p.o.SurplusDelay {
		return nil
	}
	p.surplusSince = now // one VM at a time
	return list
}

// best returns the offer with the lowest cost per slot that is not backing off and spreads the slots over the
// zones. When every reclaimable offer is refused and live work is short of slots, only on-demand offers are
// left, so the cheapest of them is returned.
func (p *Planner) best(now time.Duration, offers []Offer, s *supply, need float64, onDemand bool) (Offer, bool) {
	best, cost := Offer{}, math.Inf(1)
	for _, f := range offers {
		if onDemand && f.Reclaimable || f.Slots == 0 {
			continue
		}
		if r := p.refusals[f]; r != nil && now < r.until {
			continue
		}
		c := f.Price / float64(f.Slots) * (1 + f.ReclaimRate*p.o.LostHours)
		if s.zones[f.Zone]+float64(f.Slots) > p.o.ZoneShare*math.Max(need, s.all+float64(f.Slots)) {
			c *= crowdedZoneFactor
		}
		if c < cost {
			best, cost = f, c
		}
	}
	return best, !math.IsInf(cost, 1)
}

// crowdedZoneFactor multiplies the cost of an offer in a zone that has its share already.
const crowdedZoneFactor = 3

// surplusFactor is the supply relative to the need that is kept when VMs are stopped, so that small changes of
// the demand do not start and stop VMs.
const surplusFactor = 1.25

// shrink stops the most expensive idle VM that is not needed. The last VM stays: a pool without any would reject
// the next request instead of serving it slowly.
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
		if v.Load > 0 || s.all-n < need*surplusFactor || !v.Reclaimable && s.onDemand-n < floor {
			continue
		}
		return []Order{{Stop: v.ID, Reason: "more slots than demand"}}
	}
	return nil
}
