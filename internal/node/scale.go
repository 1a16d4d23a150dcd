package node

import (
	"context"
	"errors"
	"fmt"
	"time"

	"spurhall.example/spurhall/internal/autoscale"
	"spurhall.example/spurhall/internal/config"
	"spurhall.example/spurhall/internal/lease"
	"spurhall.example/spurhall/internal/member"
	"spurhall.example/spurhall/internal/store"
)

// This file leads a hall's VM orders, when this node holds the hall's lease. Without
// the platform nobody holds it and nothing is ordered; serving goes on. Every order
// carries the fencing token, which the cloud checks, and is looked up right before
// it is given.

const (
	leaderTTL  = 6 * time.Second
	leaderKey  = "/spurhall/halls/%s/leader"
	scaleEvery = 2 * time.Second
	demandGain = 0.2
	// leaderTries is how many nodes of a hall try to lead it, so that the tries don't
	// grow with the fleet.
	leaderCandidates = 2
)

// scaler is the leader's state. It starts anew with each term.
type scaler struct {
	n      *Node
	lease  *lease.Lease
	pools  map[string]*poolScale
	orderSerial int
	startedAt  time.Time
}

type poolScale struct {
	planner *autoscale.Planner
	demand  autoscale.Demand
	knownVMs    map[string]bool
}

func (n *Node) scale(ctx context.Context) {
	l := lease.New(n.kv, n.clock, fmt.Sprintf(leaderKey, n.o.Hall), n.id, leaderTTL)
	n.startDuty(func(ctx context.Context) {
		l.Run(ctx, func() bool { return n.lifecycle.Is("ready") && n.hasDuty("leader", leaderCandidates) })
	})
	s := &scaler{n: n, lease: l, pools: make(map[string]*poolScale), startedAt: n.clock.Now()}
	n.clock.Every(ctx, scaleEvery, func(time.Time) {
		if _, ok := l.Token(); !ok || n.lifecycle.Is("draining") {
			s.pools = make(map[string]*poolScale)
			return
		}
		s.round(ctx)
	})
}

func (s *scaler) round(ctx context.Context) {
	x, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	offers, err := s.n.o.Cloud.Offers(x)
	if err != nil {
		return
	}
	for pool, p := range s.n.view.PoolProtocols() {
		if p == config.ProtocolChat {
			s.planPool(x, pool, offers)
		}
	}
}

func (s *scaler) planPool(ctx context.Context, pool string, offers []store.Offer) {
	v := s.pools[pool]
	if v == nil {
		v = &poolScale{planner: autoscale.New(autoscale.DefaultOptions()), knownVMs: make(map[string]bool)}
		s.pools[pool] = v
	}
	vms := s.observePool(pool, v)
	var list []autoscale.Offer
	for _, f := range offers {
		if f.Service == pool && f.Hall == s.n.o.Hall {
			list = append(list, autoscale.Offer{Zone: f.Zone, Class: f.Class, Reclaimable: f.Reclaimable, Price: f.Price, Slots: f.Slots, ReclaimRate: f.ReclaimRate})
		}
	}
	now := s.n.clock.Since(s.startedAt)
	for _, o := range v.planner.Plan(now, vms, list, v.demand) {
		s.placeOrder(ctx, pool, v, now, o)
	}
}

// look returns the pool's live VMs in this hall, and brings its demand up to date:
// what runs counts as live work, what waits as batch, which can wait for a VM.
func (s *scaler) observePool(pool string, v *poolScale) []autoscale.VM {
	facts := s.n.table.Select(func(f *member.Fact) bool {
		return f.Kind == member.KindUpstream && f.Service == pool && f.Hall == s.n.o.Hall && f.Status == member.StatusLive
	})
	var vms []autoscale.VM
	running, queued := 0.0, 0.0
	for _, f := range facts {
		if !v.knownVMs[f.ID] {
			v.knownVMs[f.ID] = true
			v.planner.Arrived(f.Zone, f.Class, f.Reclaimable)
		}
		running += float64(f.Running)
		queued += float64(f.Queued)
		vms = append(vms, autoscale.VM{
			ID: f.ID, Zone: f.Zone, Class: f.Class, Reclaimable: f.Reclaimable, Price: f.Price, Slots: int(f.Slots), Load: int(f.Running + f.Queued),
		})
	}
	v.demand.Live += demandGain * (running - v.demand.Live)
	v.demand.Batch += demandGain * (queued - v.demand.Batch)
	return vms
}

// give gives one order. A start without an answer counts as accepted: its id is
// unique, and if it was lost the next plan asks again when it is overdue.
func (s *scaler) placeOrder(ctx context.Context, pool string, v *poolScale, now time.Duration, o autoscale.Order) {
	token, ok := s.lease.Token()
	if !ok {
		return
	}
	if o.Stop != "" {
		s.n.log.Add("vm_stop_ordered", "", o.Stop+": "+o.Reason)
		_ = s.n.o.Cloud.Stop(ctx, o.Stop, token)
		return
	}
	s.orderSerial++
	f := o.Start
	err := s.n.o.Cloud.Start(ctx, store.StartOrder{
		ID: fmt.Sprintf("%s-%d-%d", s.n.o.Hall, token, s.orderSerial), Service: pool, Hall: s.n.o.Hall,
		Zone: f.Zone, Class: f.Class, Reclaimable: f.Reclaimable, Fence: token,
	})
	if errors.Is(err, store.ErrRejected) {
		s.n.log.Add("vm_start_refused", "", fmt.Sprintf("%s in %s", f.Class, f.Zone))
		v.planner.Refused(now, *f)
		return
	}
	s.n.log.Add("vm_start_ordered", "", fmt.Sprintf("%s in %s: %s", f.Class, f.Zone, o.Reason))
	v.planner.Accepted(now, *f)
}
