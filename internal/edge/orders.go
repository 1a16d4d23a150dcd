package edge

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/autoscale"
	"spurhall.example/spurhall/internal/capacity"
	"spurhall.example/spurhall/internal/catalog"
	"spurhall.example/spurhall/internal/duty"
	"spurhall.example/spurhall/internal/handover"
	"spurhall.example/spurhall/internal/logging"
	"spurhall.example/spurhall/internal/planlog"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/roster"
)

// This file orders upstreams at the node that holds the duties' lease. autoscale.MixPlanner decides; this file
// gathers its inputs and turns its counts into calls.
//
// An order states a total count, so a late or repeated order does no lasting harm. A count is ordered when
// it changes, and again while the hall doesn't have it.

const (
	// reorderInterval is how often a count that the hall doesn't have is ordered again.
	reorderInterval = 2 * time.Second
	// settlePeriod is how long a process observes before it orders: upstreams write their entries within a
	// heartbeat or two of their start, and an incomplete list looks like a pool that is too small.
	settlePeriod = 2 * time.Second
	// restartSettlePeriod applies instead to a process that starts in a running system, and only to orders of
	// more: an incomplete list causes superfluous orders at worst, while replacements in a wave of reclaims
	// can't wait. It is a few rounds of reports.
	restartSettlePeriod = 700 * time.Millisecond
	// listQuietPeriod is how long the list must not have grown before fewer are ordered, half a heartbeat: the
	// entries of a large pool arrive spread over many seconds, and until then the surplus is unknown.
	listQuietPeriod = 600 * time.Millisecond
)

// orderKey identifies what an order is for.
type orderKey struct {
	service     string
	hall        string
	reclaimable bool
}

type placedOrder struct {
	count int
	at    time.Time
}

type orderer struct {
	n          *Node
	mixes      map[string]*autoscale.MixPlanner
	rates      map[string]*autoscale.RateEstimator
	orders     map[orderKey]placedOrder
	token      int64 // of the term that the orders belong to
	floor      handover.Floor
	engines    handover.Engines
	room       *handover.Room
	plans      planlog.Log
	maxListed  int       // highest number of listed upstreams
	listGrewAt time.Time // when the list last grew
	startedAt  time.Time // when it began to observe the whole list; zero: it doesn't
}

func newOrderer(n *Node) *orderer {
	return &orderer{n: n, startedAt: n.start, room: handover.NewRoom(n.clock), plans: planlog.New(n.clock, n.log), mixes: make(map[string]*autoscale.MixPlanner), rates: make(map[string]*autoscale.RateEstimator), orders: make(map[orderKey]placedOrder)}
}

// step measures the load, and orders missing upstreams.
func (o *orderer) step(ctx context.Context) {
	c := o.n.currentCatalog()
	if c == nil {
		return
	}
	now := o.n.clock.Now()
	if o.n.partial.Load() {
		*o = *newOrderer(o.n) // what it has seen of the halls isn't what they have
		o.startedAt = time.Time{}
		planlog.PublishMeans(nil)
		return
	}
	if o.startedAt.IsZero() {
		o.startedAt = now
	}
	if n := o.n.pools.Len(); n > o.maxListed {
		o.maxListed, o.listGrewAt = n, now
	}
	token, held := o.n.lease.Token()
	if held && token != o.token {
		o.token, o.orders = token, make(map[orderKey]placedOrder)
		o.floor.Restore(ctx, o.n.records(), token, o.n.orderFloorEnd())
		o.engines.Restore(ctx, o.n.records(), o.n.pools.RestoreEngine)
		o.beginTerm(ctx, c)
	}
	engines, means := make(map[string]capacity.Engine), make(map[string]float64)
	for _, name := range c.Services() {
		s := c.Service(name)
		if s.Scaling == nil {
			continue
		}
		if e := o.n.pools.Engine(name); e.Known() {
			engines[name] = e
		}
		load := o.rate(name).Estimate(now, o.n.workSums(now, name), o.n.silenceLimit())
		planlog.PublishFigures(name, engines[name], load)
		halls := o.hallStates(s)
		if held {
			planlog.AddMeans(means, name, halls)
		}
		o.mix(s).Observe(o.n.clock.Since(o.n.start), load, halls)
		if held && now.Sub(o.startedAt) >= o.observationPeriod() {
			o.plan(ctx, token, s, halls, load)
		}
	}
	planlog.PublishMeans(means)
	if !held {
		o.plans.Clear()
	}
	if held {
		o.floor.Write(ctx, o.n.records(), token)
		o.engines.Write(ctx, o.n.records(), token, engines)
		o.room.Write(ctx, o.n.records(), token, o.knownRoom())
	}
}

// observationPeriod returns how long this process observes the whole list before it orders anything.
func (o *orderer) observationPeriod() time.Duration {
	if o.n.settings.FirstStart {
		return settlePeriod
	}
	return restartSettlePeriod
}

// isListComplete reports whether the list is complete, so that fewer may be ordered.
func (o *orderer) isListComplete(now time.Time) bool {
	return now.Sub(o.startedAt) >= settlePeriod && now.Sub(o.listGrewAt) >= listQuietPeriod
}

func (o *orderer) rate(service string) *autoscale.RateEstimator {
	r := o.rates[service]
	if r == nil {
		r = &autoscale.RateEstimator{}
		o.rates[service] = r
	}
	return r
}

// workSums returns what each node has sent to a service's engines since its start.
func (n *Node) workSums(now time.Time, service string) map[string]autoscale.Counter {
	sums := map[string]autoscale.Counter{n.settings.Node: {Value: n.pools.Work()[service], ReceivedAt: now}}
	n.mu.Lock()
	defer n.mu.Unlock()
	for p := range n.peers.All() {
		if !p.WorkAt.IsZero() {
			sums[p.Name] = autoscale.Counter{Value: p.Work[service], ReceivedAt: p.WorkAt}
		}
	}
	return sums
}

// silenceLimit returns the time without reports after which a node counts as unresponsive.
func (n *Node) silenceLimit() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return roster.Silence(n.peers.Size())
}

func (o *orderer) mix(s *catalog.ServiceSpec) *autoscale.MixPlanner {
	m := o.mixes[s.Name]
	if m == nil {
		v := autoscale.DefaultMixOptions(s.Scaling.BootTime)
		v.FirstStart = o.n.settings.FirstStart
		m = autoscale.NewMixPlanner(v)
		o.mixes[s.Name] = m
	}
	return m
}

func (o *orderer) plan(ctx context.Context, token int64, s *catalog.ServiceSpec, halls []autoscale.HallState, load capacity.Work) {
	m := o.mix(s)
	spec := autoscale.MixSpec{Min: s.Scaling.Min, Max: s.Scaling.Max, ReclaimablePrice: s.Scaling.SpotPrice}
	have := make(map[orderKey]int)
	for _, h := range halls {
		have[orderKey{s.Name, h.Hall, false}] = h.OnDemand
		have[orderKey{s.Name, h.Hall, true}] = h.Reclaimable
	}
	counts := m.Plan(o.n.clock.Since(o.n.start), spec, halls)
	o.plans.Record(s.Name, m.Planned())
	for _, c := range counts {
		o.order(ctx, token, m, orderKey{s.Name, c.Hall, true}, c.Reclaimable, have, load)
		o.order(ctx, token, m, orderKey{s.Name, c.Hall, false}, c.OnDemand, have, load)
	}
}

// hallStates returns the state of each hall that the service has a price for, or upstreams in.
func (o *orderer) hallStates(s *catalog.ServiceSpec) []autoscale.HallState {
	by := make(map[string]*autoscale.HallState)
	speeds := make(pool.HallSpeeds)
	get := func(hall string) *autoscale.HallState {
		h := by[hall]
		if h == nil {
			price, ok := s.Scaling.ZonePrices[hall]
			if !ok {
				price = 1
			}
			h = &autoscale.HallState{Hall: hall, Price: price}
			by[hall] = h
		}
		return h
	}
	for _, g := range o.n.pools.Counts(o.n.reachableHalls()) {
		if g.Service != s.Name || !o.n.countsAsCapacity(g.Service, g.Version) || !autoscale.Exists(g.Hall, o.n.settings.Halls, s.Scaling.ZonePrices) {
			continue
		}
		h := get(g.Hall)
		speeds.Add(g)
		switch {
		case g.Reclaimable && g.Leaving:
			h.Leaving += g.Count
		case g.Reclaimable:
			h.Leaving += g.Lost // for example, reclaimed without notice while the store was unavailable
			h.Reclaimable += g.Count - g.Lost
		case !g.Leaving:
			h.OnDemand += g.Count - g.Lost
		}
	}
	for hall := range o.n.settings.Halls {
		if _, ok := s.Scaling.ZonePrices[hall]; ok {
			get(hall)
		}
	}
	list := make([]autoscale.HallState, 0, len(by))
	for _, h := range by {
		h.Speed = speeds.Mean(h.Hall)
		list = append(list, *h)
	}
	return list
}

// reachableHalls returns the halls with a node that has reported recently, directly or through a relay.
func (n *Node) reachableHalls() map[string]bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now, halls := n.clock.Now(), make(map[string]bool)
	for p := range n.peers.All() {
		if n.home.Hears(now, p.Name, p.LastSeen) {
			halls[p.Hall] = true
		}
	}
	return halls
}

// order orders a count if it changed, or if the hall hasn't had it for a while.
func (o *orderer) order(ctx context.Context, token int64, m *autoscale.MixPlanner, s orderKey, count int, have map[orderKey]int, load capacity.Work) {
	now := o.n.clock.Now()
	count = max(count, o.minCount(now, s))
	if o.n.isRollingOut(s.service) {
		count = max(count, have[s])
	}
	if count < have[s] && !o.isListComplete(now) {
		return
	}
	old, ordered := o.orders[s]
	if ordered && old.count == count && (have[s] == count || now.Sub(old.at) < reorderInterval) {
		return
	}
	if !ordered && have[s] == count {
		o.orders[s] = placedOrder{count, now}
		o.setFloor(s, count)
		return
	}
	err := o.n.options.Cloud.Order(ctx, token, duty.Order{Service: s.service, Hall: s.hall, Count: count, Reclaimable: s.reclaimable})
	o.orders[s] = placedOrder{count, now}
	outcome := "taken"
	o.setFloor(s, count) // also without a response: the order may have been carried out
	switch {
	case err == nil && s.reclaimable:
		m.Granted(s.hall)
	case errors.Is(err, duty.ErrNoneLeft):
		m.Refused(o.n.clock.Since(o.n.start), s.hall)
	case errors.Is(err, duty.ErrFenced):
		o.n.lease.Resign()
	}
	if err != nil {
		outcome = err.Error()
		delete(o.orders, s)
	}
	e := o.n.pools.Engine(s.service)
	o.n.log.Info("order", zap.String("service", s.service), zap.String("hall", s.hall), zap.Bool("reclaimable", s.reclaimable), zap.Int("count", count),
		zap.Int("have", have[s]), logging.Hundredths("load", load.Prefill), logging.Hundredths("slots", load.Slots), logging.Hundredths("memory", load.Memory),
		zap.Stringer("binds", m.BindingResource()), logging.Hundredths("reading", e.Reading), logging.Hundredths("first_ms", e.First), logging.Hundredths("token_ms", e.Token), zap.Int("samples", e.Samples), zap.Int64("token", token), zap.String("outcome", outcome))
}

// setFloor keeps a count that was ordered on demand for the next holder.
func (o *orderer) setFloor(s orderKey, count int) {
	if !s.reclaimable {
		o.floor.SetCount(s.service, s.hall, count)
	}
}

// minCount returns the lowest count that may be ordered now.
func (o *orderer) minCount(now time.Time, s orderKey) int {
	if s.reclaimable {
		return 0
	}
	return o.floor.MinCount(now, s.service, s.hall)
}

// orderFloorEnd returns until when this process orders no fewer than the previous holder.
func (n *Node) orderFloorEnd() time.Time {
	boot := time.Duration(0)
	if c := n.currentCatalog(); c != nil {
		for _, name := range c.Services() {
			if s := c.Service(name).Scaling; s != nil {
				boot = max(boot, s.BootTime)
			}
		}
	}
	return n.start.Add(handover.FloorPeriod(boot))
}
