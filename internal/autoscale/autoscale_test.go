package autoscale

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

var (
	cheap    = Offer{Zone: "z1", Class: "a", Reclaimable: true, Price: 1, Slots: 8, ReclaimRate: 0.5}
	other    = Offer{Zone: "z2", Class: "a", Reclaimable: true, Price: 1.2, Slots: 8, ReclaimRate: 0.5}
	onDemand = Offer{Zone: "z3", Class: "a", Price: 3, Slots: 8}
	offers   = []Offer{cheap, other, onDemand}
)

func started(list []Order) map[Offer]int {
	r := make(map[Offer]int)
	for _, o := range list {
		if o.Start != nil {
			r[*o.Start]++
		}
	}
	return r
}

func TestPlanMixesFloorAndZones(t *testing.T) {
	got := started(New(DefaultOptions()).Plan(0, nil, offers, Demand{Live: 16, Batch: 16}))
	assert.Equal(t, 1, got[onDemand], "half of the live slots")
	assert.Positive(t, got[cheap])
	assert.Positive(t, got[other], "not all in the cheapest zone")
}

func TestRefusedStartTriesTheNext(t *testing.T) {
	p := New(DefaultOptions())
	p.Refused(0, cheap)
	got := started(p.Plan(time.Second, nil, offers, Demand{Batch: 8}))
	assert.Zero(t, got[cheap])
	assert.Positive(t, got[other])
	got = started(p.Plan(time.Minute, nil, offers, Demand{Batch: 8}))
	assert.Positive(t, got[cheap], "the backoff is over")
}

func TestSurplusIsStoppedDearestFirst(t *testing.T) {
	vms := []VM{
		{ID: "cheap", Zone: "z1", Reclaimable: true, Price: 1, Slots: 8},
		{ID: "dear", Zone: "z3", Price: 3, Slots: 8},
		{ID: "busy", Zone: "z3", Price: 4, Slots: 8, Load: 1},
	}
	p := New(DefaultOptions())
	d := Demand{Live: 1}
	assert.Empty(t, p.Plan(0, vms, offers, d), "a lull is no reason")
	assert.Empty(t, p.Plan(9*time.Minute, vms, offers, d))
	assert.Equal(t, []Order{{Stop: "dear", Reason: "more slots than demand"}}, p.Plan(11*time.Minute, vms, offers, d))
	assert.Empty(t, p.Plan(12*time.Minute, vms, offers, d), "one at a time")
	assert.Empty(t, p.Plan(40*time.Minute, vms[:1], offers, Demand{}), "the last one stays")
}

// TestPlanSettles: whatever the start, rounds without refusals reach a mix that
// serves the demand, keeps the floor, and then orders nothing more.
func TestPlanSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(DefaultOptions())
		d := Demand{Live: rapid.Float64Range(0, 60).Draw(t, "live"), Batch: rapid.Float64Range(0, 60).Draw(t, "batch")}
		var vms []VM
		now := time.Duration(0)
		for round := 0; ; round++ {
			if round > 60 {
				t.Fatal("does not settle")
			}
			now += time.Second
			list := p.Plan(now, vms, offers, d)
			if len(list) == 0 {
				break
			}
			for _, o := range list {
				if o.Start == nil {
					t.Fatal("a stop while only growing")
				}
				f := *o.Start
				p.Accepted(now, f)
				p.Arrived(f.Zone, f.Class, f.Reclaimable)
				vms = append(vms, VM{ID: "v", Zone: f.Zone, Class: f.Class, Reclaimable: f.Reclaimable, Price: f.Price, Slots: f.Slots, Load: 1})
			}
		}
		s := p.supply(now, vms)
		assert.GreaterOrEqual(t, s.all, d.Live*1.4+d.Batch)
		assert.GreaterOrEqual(t, s.onDemand, d.Live*0.5)
	})
}
