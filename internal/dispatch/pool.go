// Package dispatch takes an admitted request to an upstream and stays with it
// until it is accounted for. It is the shell around the pure decisions: admit says
// when, route says where, retry says whether again, and this package does it and
// tells them what came of it.
//
// pool.go holds the state of one pool; chat.go runs streams, plain.go runs calls,
// and move.go takes streams off an upstream that leaves.
package dispatch

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"spurhall.example/spurhall/internal/admit"
	"spurhall.example/spurhall/internal/config"
	"spurhall.example/spurhall/internal/member"
	"spurhall.example/spurhall/internal/quarantine"
	"spurhall.example/spurhall/internal/retry"
	"spurhall.example/spurhall/internal/route"
	"spurhall.example/spurhall/internal/timer"
	"spurhall.example/spurhall/internal/upstream"
)

var errs = errorx.NewNamespace("dispatch")

// ErrRefused says that the request was refused before anything was sent.
var ErrRejected = errs.NewType("refused").New("refused, nothing was sent")

// Refusal is ErrRefused with the time to come back at.
type Rejection struct {
	cause  string
	after  time.Duration
	nobody bool // it is errNobody, too
}

// Error returns the cause.
func (r *Rejection) Error() string { return r.cause }

// Is makes errors.Is(err, ErrRefused) hold.
func (r *Rejection) Is(target error) bool {
	return target == ErrRejected || r.nobody && target == errNobody //nolint:errorlint // sentinels
}

// RetryAfter returns when to come back.
func (r *Rejection) RetryAfter() time.Duration { return r.after }

// Options sets a dispatcher.
type Options struct {
	Node     string
	Hall     string
	Clock    *timer.Service
	Client   *upstream.Client
	Table    *member.Table
	Nodes    func() int // live nodes, this one included
	Event    func(name, request, detail string)
	HallReachable  func(ctx context.Context, hall string) bool // the way to a hall is open
	ExchangeSoon   func()                                      // there is something that other nodes should know at once
	Policy   route.Policy
	Distance time.Duration // one way, to an upstream in another hall
}

// Dispatcher holds the pools. It is safe for concurrent use.
type Dispatcher struct {
	o     Options
	start time.Time
	mu    sync.Mutex
	pools map[string]*pool

	suspects *quarantine.Tracker
}

// New returns a dispatcher without pools; they come with use.
func New(o Options) *Dispatcher {
	return &Dispatcher{o: o, start: o.Clock.Now(), pools: make(map[string]*pool), suspects: quarantine.NewTracker(o.Node)}
}

func (d *Dispatcher) now() time.Duration { return d.o.Clock.Since(d.start) }

// pool is one service's upstreams as this node uses them.
type pool struct {
	mu        sync.Mutex
	d         *Dispatcher
	name      string
	router    *route.Router
	outliers  *retry.Outliers
	admission *admit.Controller
	budget    *retry.Budget
	flights   map[string]*flight
	waiting   map[string]chan bool
	change    uint64
	refreshed time.Duration
	list      []member.Record
	cands     []route.Candidate
	moving    map[string]*move // streams, by request id
	rests     *retry.Cooldowns     // that upstreams have asked of this node
	turns     retry.ReturnSchedule      // of callers that are turned away while all rest
	spent     money
	perToken  float64 // seconds, smoothed over all upstreams
}

// flight is what this node has in flight at one upstream.
type flight struct {
	now      int32
	since    int32 // dispatched since the report numbered sequence
	sequence uint64
	perToken float64 // seconds, smoothed; 0: not measured
}

type money struct {
	tokens   int64
	cached   int64
	resumed  int64
	requests int64
}

const (
	liveReserve  = 0.25
	ejectedShare = 0.34
	// maxAttempts bounds the upstreams that one request reaches, budget or not, and worthwhile is the
	// time left that makes another try worth its cost.
	maxAttempts   = 4
	worthwhile    = 20 * time.Millisecond
	retryShare    = 0.1
	retryFloor    = 2.0
	slotsPerPlain = 16 // of a plain upstream that states none
	// nodeOvercommit lets a node use more than its even share of a pool, since the
	// balancer doesn't spread evenly; the upstream's own queue evens it out.
	nodeOvercommit = 1.5
)

func (d *Dispatcher) pool(name string) *pool {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pools[name]
	if p == nil {
		p = &pool{
			d: d, name: name,
			router:    route.New(route.Options{Policy: d.o.Policy}),
			outliers:  retry.NewOutliers(ejectedShare),
			admission: admit.New(admit.Options{BatchReserve: liveReserve}),
			budget:    retry.NewBudget(retryShare, retryFloor),
			flights:   make(map[string]*flight),
			waiting:   make(map[string]chan bool),
			moving:    make(map[string]*move),
			rests:     retry.NewCooldowns(),
		}
		d.pools[name] = p
	}
	return p
}

// refreshLocked brings the list of upstreams and the number of slots up to date.
func (p *pool) refreshLocked() {
	c, now := p.d.o.Table.UpstreamsVersion(), p.d.now()
	if c == p.change && p.list != nil && now-p.refreshed < refreshEvery {
		return
	}
	p.change, p.refreshed = c, now
	p.list = p.d.o.Table.Select(func(f *member.Fact) bool {
		return f.Kind == member.KindUpstream && f.Service == p.name && f.Status == member.StatusLive
	})
	p.cands = p.cands[:0]
	slots := 0.0
	for i := range p.list {
		f := &p.list[i]
		n := f.Slots
		if n == 0 {
			n = slotsPerPlain
		}
		slots += float64(n)
		c := route.Candidate{
			ID: f.ID, Hash: route.HashID(f.ID), Hall: f.Hall, Zone: f.Zone, Slots: n,
			Load: f.Running + f.Queued, Price: f.Price,
		}
		if f.Hall != p.d.o.Hall {
			c.Distance = p.d.o.Distance
		}
		if f.Reclaimable {
			c.ReclaimRate = reclaimsPerHour
		}
		p.cands = append(p.cands, c)
	}
	if n := float64(max(p.d.o.Nodes(), 1)); n > 1 {
		slots = math.Min(slots, math.Max(1, slots/n*nodeOvercommit))
	}
	p.wakeLocked(p.admission.SetSlots(p.d.now(), slots))
}

// refreshEvery is how soon a change in the number of nodes, which share the slots, is
// noticed.
const refreshEvery = time.Second

// reclaimsPerHour is taken for a reclaimable VM until the platform tells better.
const reclaimsPerHour = 0.5

func (p *pool) wakeLocked(ids []string) {
	for _, id := range ids {
		if c := p.waiting[id]; c != nil {
			c <- true
			delete(p.waiting, id)
		}
	}
}

// enter waits until the request may start. The function it returns ends it.
func (p *pool) enter(ctx context.Context, r admit.Request) (func(), error) {
	p.mu.Lock()
	p.refreshLocked()
	now := p.d.now()
	for _, id := range p.admission.Expire(now) {
		if c := p.waiting[id]; c != nil {
			c <- false
			delete(p.waiting, id)
		}
	}
	v := p.admission.Offer(now, r)
	var c chan bool
	if v.Decision == admit.DecisionWait {
		c = make(chan bool, 1)
		p.waiting[r.ID] = c
	}
	p.mu.Unlock()
	switch v.Decision {
	case admit.DecisionRun:
		return func() { p.leave(r.ID) }, nil
	case admit.DecisionReject:
		return nil, &Rejection{cause: string(v.Cause), after: v.RetryAfter}
	}
	return p.wait(ctx, r, c)
}

func (p *pool) wait(ctx context.Context, r admit.Request, c chan bool) (func(), error) {
	x, stop := p.d.o.Clock.After(r.MaxWait)
	defer stop()
	started := false
	select {
	case started = <-c:
	case <-x:
		started = p.withdraw(r.ID, c)
	case <-ctx.Done():
		started = p.withdraw(r.ID, c)
	}
	if started {
		return func() { p.leave(r.ID) }, nil
	}
	return nil, &Rejection{cause: string(admit.CauseExpired), after: time.Second}
}

// withdraw takes a request out of the queue; it may have been started meanwhile.
func (p *pool) withdraw(id string, c chan bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, id)
	if p.admission.Cancel(id) {
		return false
	}
	select {
	case v := <-c:
		return v
	default:
		return false
	}
}

func (p *pool) leave(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wakeLocked(p.admission.Done(p.d.now(), id))
}

// target is the upstream that an attempt goes to.
type target struct {
	fact   member.Fact
	choice route.Choice
}

// pick chooses an upstream that isn't in tried, and counts the dispatch.
func (p *pool) pick(s *config.Service, prompt *route.Prompt, tried *tries) (target, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refreshLocked()
	now := p.d.now()
	at := p.d.o.Clock.Now()
	fresh := tried.bound.Next() == retry.ScopeReachable
	for i := range p.cands {
		c, f := &p.cands[i], &p.list[i]
		c.Excluded = tried.has(c.ID) || fresh && p.outliers.Failing(c.ID) || !p.outliers.Usable(now, c.ID) || p.rests.Wait(at, retry.Incarnation{ID: c.ID}) > 0
		c.LoadAge = at.Sub(f.ReceivedAt)
		c.InFlight, c.SinceReport, c.Slowness = 0, 0, 0
		if v := p.flights[c.ID]; v != nil {
			c.InFlight = v.now
			c.Slowness = p.slownessLocked(v)
			if v.sequence == f.Sequence {
				c.SinceReport = v.since
			}
		}
	}
	p.router.SetWeights(s.Weights.Cost, s.Weights.Recompute)
	c := p.router.Pick(prompt, p.cands)
	if c.Index < 0 {
		return target{}, false
	}
	t := target{fact: p.list[c.Index].Fact, choice: c}
	p.outliers.Sending(t.fact.ID)
	p.countLocked(&t.fact)
	return t, true
}

const (
	perTokenGain = 0.1
	// mostSlow bounds how much a measurement counts, so that an upstream that was slow
	// once still gets a request now and then and can show that it no longer is.
	mostSlow = 4.0
)

// slownessLocked relates an upstream's time per token to the pool's mean.
func (p *pool) slownessLocked(v *flight) float64 {
	if v.perToken == 0 || p.perToken == 0 {
		return 0
	}
	return min(max(v.perToken/p.perToken, 1/mostSlow), mostSlow)
}

// measured takes in how long an attempt took for so many tokens.
func (p *pool) measured(id string, d time.Duration, tokens int) {
	if tokens < 2 {
		return
	}
	t := d.Seconds() / float64(tokens)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.router.ObserveService(d)
	smooth(&p.perToken, t)
	if v := p.flights[id]; v != nil {
		smooth(&v.perToken, t)
	}
}

func smooth(v *float64, t float64) {
	if *v == 0 {
		*v = t
		return
	}
	*v += perTokenGain * (t - *v)
}

func (p *pool) countLocked(f *member.Fact) {
	v := p.flights[f.ID]
	if v == nil {
		v = &flight{}
		p.flights[f.ID] = v
	}
	if v.sequence != f.Sequence {
		v.sequence, v.since = f.Sequence, 0
	}
	v.now++
	v.since++
}

// landed counts an attempt out and notes how it went. Failures are of the
// upstream's own doing only: a refusal or a cancelled caller isn't one.
func (p *pool) landed(id string, err error, blame bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v := p.flights[id]; v != nil {
		v.now--
		if v.now == 0 {
			if _, ok := p.d.o.Table.Get(id); !ok {
				delete(p.flights, id)
			}
		}
	}
	if err == nil {
		p.outliers.Success(id)
		p.budget.Success()
		return
	}
	if d := upstream.CooldownOf(err); d > 0 && p.rests.Start(p.d.o.Clock.Now(), retry.Incarnation{ID: id}, d) {
		p.d.o.Event("upstream_rests", "", fmt.Sprintf("%s: asks for %v", id, d))
	}
	if !blame {
		p.outliers.Inconclusive(p.d.now(), id)
		return
	}
	if p.outliers.Failure(p.d.now(), id, len(p.list)) {
		p.d.o.Event("upstream_ejected", "", fmt.Sprintf("%s: %v", id, err))
	}
}

// Stats is what a node tells of a pool.
type Stats struct {
	Running  int   `json:"running"`
	Waiting  int   `json:"waiting"`
	Requests int64 `json:"requests"`
	Tokens   int64 `json:"prompt_tokens"`
	Cached   int64 `json:"cached_tokens"`
	Resumed  int64 `json:"resumed_streams"`
}

// Stats returns the counts of each pool.
func (d *Dispatcher) Stats() map[string]Stats {
	d.mu.Lock()
	list := make([]*pool, 0, len(d.pools))
	for _, p := range d.pools {
		list = append(list, p)
	}
	d.mu.Unlock()
	r := make(map[string]Stats, len(list))
	for _, p := range list {
		p.mu.Lock()
		r[p.name] = Stats{
			Running: p.admission.Running(), Waiting: p.admission.Waiting(), Requests: p.spent.requests,
			Tokens: p.spent.tokens, Cached: p.spent.cached, Resumed: p.spent.resumed,
		}
		p.mu.Unlock()
	}
	return r
}
