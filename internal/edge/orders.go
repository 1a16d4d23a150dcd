package edge

import (
	"context"
	"errors"
	"expvar"
	"math"
	"time"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/autoscale"
	"spurhall.example/spurhall/internal/capacity"
	"spurhall.example/spurhall/internal/catalog"
	"spurhall.example/spurhall/internal/duty"
	"spurhall.example/spurhall/internal/pair"
)

// This file orders upstreams, at the node that holds the duties' lease. The decision is
// autoscale.Mix; here its inputs are gathered and its counts become calls.
//
// An order states a whole count, so a late or repeated one does no harm beyond its
// time. A count is ordered when it changes, and again while the hall doesn't have it.

const (
	// orderAgain is how often a count that the hall doesn't have is ordered again.
	orderAgain = 2 * time.Second
	// orderSettle is how long a process watches before it orders: upstreams write their
	// entries within a heartbeat or two of their start, and a list that is still filling
	// looks like a pool that is too small.
	orderSettle = 2 * time.Second
	// orderRestart is the same for a process that starts amid the work, and for orders of
	// more only: what it lacks in its list it orders in vain at worst, and what has to be
	// replaced in a wave can't wait. It is some rounds of reports.
	orderRestart = 700 * time.Millisecond
	// orderQuiet is how long a list hasn't grown before fewer are ordered, half a heartbeat:
	// a large pool lists itself over many seconds, some each moment, and until it has nobody
	// knows what is too many.
	orderQuiet = 600 * time.Millisecond
)

// subject is what an order is about.
type subject struct {
	service     string
	hall        string
	reclaimable bool
}

type placed struct {
	count int
	at    time.Time
}

type orderer struct {
	n       *Node
	mixes   map[string]*autoscale.MixPlanner
	rates   map[string]*autoscale.RateEstimator
	orders  map[subject]placed
	token   int64 // of the term that the orders belong to
	known   ordered
	learned learned
	listed  int       // most upstreams seen in the list
	grown   time.Time // when the list last grew
}

func newOrderer(n *Node) *orderer {
	return &orderer{n: n, mixes: make(map[string]*autoscale.MixPlanner), rates: make(map[string]*autoscale.RateEstimator), orders: make(map[subject]placed)}
}

// step measures, and orders what is missing.
func (o *orderer) step(ctx context.Context) {
	c := o.n.current()
	if c == nil {
		return
	}
	now := o.n.clock.Now()
	if n := len(o.n.pools.Items()); n > o.listed {
		o.listed, o.grown = n, now
	}
	token, held := o.n.lease.Token()
	if held && token != o.token {
		o.token, o.orders = token, make(map[subject]placed)
		o.known.begin(ctx, o.n, token)
		o.learned.begin(ctx, o.n)
	}
	engines := make(map[string]capacity.Engine)
	for _, name := range c.Services() {
		s := c.Service(name)
		if s.Scaling == nil {
			continue
		}
		if e := o.n.pools.Engine(name); e.Known() {
			engines[name] = e
		}
		load := o.rate(name).Estimate(now, o.n.workSums(now, name), o.n.silence())
		publish(name, engines[name], load)
		halls := o.halls(s)
		o.mix(s).Observe(o.n.clock.Since(o.n.start), load, halls)
		if held && o.n.clock.Since(o.n.start) >= o.patience() {
			o.plan(ctx, token, s, halls, load)
		}
	}
	if held {
		o.known.write(ctx, o.n, token)
		o.learned.write(ctx, o.n, token, engines)
	}
}

// patience is how long this process watches before it orders anything.
func (o *orderer) patience() time.Duration {
	if o.n.s.FirstStart {
		return orderSettle
	}
	return orderRestart
}

// settled tells whether the list is whole, so that fewer may be ordered.
func (o *orderer) settled(now time.Time) bool {
	return now.Sub(o.n.start) >= orderSettle && now.Sub(o.grown) >= orderQuiet
}

func (o *orderer) rate(service string) *autoscale.RateEstimator {
	r := o.rates[service]
	if r == nil {
		r = &autoscale.RateEstimator{}
		o.rates[service] = r
	}
	return r
}

// workSums is what each node has sent to a service's engines since it began.
func (n *Node) workSums(now time.Time, service string) map[string]autoscale.Counter {
	sums := map[string]autoscale.Counter{n.s.Node: {Value: n.pools.Work()[service], ReceivedAt: now}}
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, p := range n.peers.peers {
		if p.work != nil {
			sums[name] = autoscale.Counter{Value: p.work[service], ReceivedAt: p.heard}
		}
	}
	return sums
}

// silence is the time after which a node doesn't count as heard.
func (n *Node) silence() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return pair.UnresponsiveAfter(n.peers.size())
}

func (o *orderer) mix(s *catalog.ServiceSpec) *autoscale.MixPlanner {
	m := o.mixes[s.Name]
	if m == nil {
		v := autoscale.DefaultMixOptions(s.Scaling.BootTime)
		v.FirstStart = o.n.s.FirstStart
		m = autoscale.NewMixPlanner(v)
		o.mixes[s.Name] = m
	}
	return m
}

func (o *orderer) plan(ctx context.Context, token int64, s *catalog.ServiceSpec, halls []autoscale.HallState, load capacity.Work) {
	m := o.mix(s)
	spec := autoscale.MixSpec{Min: s.Scaling.Min, Max: s.Scaling.Max, ReclaimablePrice: s.Scaling.SpotPrice}
	have := make(map[subject]int)
	for _, h := range halls {
		have[subject{s.Name, h.Hall, false}] = h.OnDemand
		have[subject{s.Name, h.Hall, true}] = h.Reclaimable
	}
	for _, c := range m.Plan(o.n.clock.Since(o.n.start), spec, halls) {
		o.want(ctx, token, m, subject{s.Name, c.Hall, true}, c.Reclaimable, have, load)
		o.want(ctx, token, m, subject{s.Name, c.Hall, false}, c.OnDemand, have, load)
	}
}

// halls is what each hall that the service has a price for, or upstreams in, has.
func (o *orderer) halls(s *catalog.ServiceSpec) []autoscale.HallState {
	by := make(map[string]*autoscale.HallState)
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
	lost := o.n.pools.Lost(o.n.heardHalls())
	for _, v := range o.n.pools.Items() {
		if e := v.Entry; e.Service == s.Name && o.n.inService(e) {
			h := get(e.Hall)
			switch {
			case lost[e.ID] && e.Reclaimable:
				h.Leaving++ // taken without a word while the store was away, say
			case lost[e.ID]:
			case e.Leaving && e.Reclaimable:
				h.Leaving++
			case e.Leaving:
			case e.Reclaimable:
				h.Reclaimable++
			default:
				h.OnDemand++
			}
		}
	}
	for hall := range o.n.s.Halls {
		if _, ok := s.Scaling.ZonePrices[hall]; ok {
			get(hall)
		}
	}
	list := make([]autoscale.HallState, 0, len(by))
	for _, h := range by {
		list = append(list, *h)
	}
	return list
}

// heardHalls returns the halls of whose nodes something is heard.
func (n *Node) heardHalls() map[string]bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now, halls := n.clock.Now(), make(map[string]bool)
	relayed := now.Sub(n.relayed) <= relayedFor
	for name, p := range n.peers.peers {
		if relayed && n.covered[name] || now.Sub(p.heard) <= relayedFor {
			halls[p.hall] = true
		}
	}
	return halls
}

// want orders a count if it changed, or if the hall doesn't have it for a while.
func (o *orderer) want(ctx context.Context, token int64, m *autoscale.MixPlanner, s subject, count int, have map[subject]int, load capacity.Work) {
	now := o.n.clock.Now()
	count = max(count, o.known.least(now, s))
	if o.n.rollingOut(s.service) {
		count = max(count, have[s])
	}
	if count < have[s] && !o.settled(now) {
		return
	}
	old, ordered := o.orders[s]
	if ordered && old.count == count && (have[s] == count || now.Sub(old.at) < orderAgain) {
		return
	}
	if !ordered && have[s] == count {
		o.orders[s] = placed{count, now}
		o.known.note(s, count)
		return
	}
	err := o.n.o.Cloud.Order(ctx, token, duty.Order{Service: s.service, Hall: s.hall, Count: count, Reclaimable: s.reclaimable})
	o.orders[s] = placed{count, now}
	outcome := "taken"
	o.known.note(s, count) // also without an answer: it may be carried out
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
		zap.Int("have", have[s]), zap.Float64("load", hundredths(load.Prefill)), zap.Float64("slots", hundredths(load.Slots)), zap.Float64("memory", hundredths(load.Memory)),
		zap.Stringer("binds", m.BindingResource()), zap.Float64("reading", hundredths(e.Reading)), zap.Float64("first_ms", hundredths(e.First)), zap.Float64("token_ms", hundredths(e.Token)), zap.Int("samples", e.Samples), zap.Int64("token", token), zap.String("outcome", outcome))
}

// engineFigures is what is known of engines and what comes, by service.
var engineFigures = expvar.NewMap("engine")

// publish puts what an order rests on on the metrics address.
func publish(service string, e capacity.Engine, load capacity.Work) {
	v, ok := engineFigures.Get(service).(*expvar.Map)
	if !ok {
		v = new(expvar.Map)
		engineFigures.Set(service, v)
	}
	for name, x := range map[string]float64{
		"reading": e.Reading, "first_ms": e.First, "token_ms": e.Token, "samples": float64(e.Samples),
		"load_reading": load.Prefill, "load_slots": load.Slots, "load_memory": load.Memory,
	} {
		f, ok := v.Get(name).(*expvar.Float)
		if !ok {
			f = new(expvar.Float)
			v.Set(name, f)
		}
		f.Set(x)
	}
}

// hundredths rounds for a log line.
func hundredths(x float64) float64 { return math.Round(x*100) / 100 }
