// Package dispatch sends an admitted request to an upstream and follows it until its outcome is known. It
// performs the input and output for packages that only decide: admit decides when a request starts, route
// where it goes, and retry whether it is sent again; this package acts on that and reports the results back.
//
// pool.go holds the state of one pool; chat.go runs streams, plain.go runs calls, and move.go moves streams
// off an upstream that is leaving.
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

// ErrRejected means that the request was rejected before anything was sent.
var ErrRejected = errs.NewType("refused").New("refused, nothing was sent")

// Rejection is ErrRejected with a retry time.
type Rejection struct {
	cause      string
	after      time.Duration
	noUpstream bool // also matches errNoUpstream
}

// Error returns the cause.
func (r *Rejection) Error() string { return r.cause }

// Is makes errors.Is(err, ErrRejected) true.
func (r *Rejection) Is(target error) bool {
	return target == ErrRejected || r.noUpstream && target == errNoUpstream //nolint:errorlint // sentinels
}

// RetryAfter returns how long the caller should wait before a retry.
func (r *Rejection) RetryAfter() time.Duration { return r.after }

// Options configures a dispatcher.
type Options struct {
	Node          string
	Hall          string
	Clock         *timer.Service
	Client        *upstream.Client
	Table         *member.Table
	Nodes         func() int // number of live nodes, including this one
	Event         func(name, request, detail string)
	HallReachable func(ctx context.Context, hall string) bool // reports whether a hall can be reached over the network
	ExchangeSoon  func()                                      // requests an early exchange of state with other nodes
	Policy        route.Policy
	Distance      time.Duration // one-way delay to an upstream in another hall
}

// Dispatcher holds the pools. It is safe for concurrent use.
type Dispatcher struct {
	o     Options
	start time.Time
	mu    sync.Mutex
	pools map[string]*pool

	quarantine *quarantine.Tracker
}

// New returns a dispatcher without pools; they are created on first use.
func New(o Options) *Dispatcher {
	return &Dispatcher{o: o, start: o.Clock.Now(), pools: make(map[string]*pool), quarantine: quarantine.NewTracker(o.Node)}
}

func (d *Dispatcher) now() time.Duration { return d.o.Clock.Since(d.start) }

// pool is the state that this node keeps of one service's upstreams.
type pool struct {
	mu           sync.Mutex
	d            *Dispatcher
	name         string
	router       *route.Router
	outliers     *retry.Outliers
	admission    *admit.Controller
	budget       *retry.Budget
	inFlight     map[string]*inFlight
	waiting      map[string]chan bool
	tableVersion uint64
	refreshedAt  time.Duration
	list         []member.Record
	candidates   []route.Candidate
	streams      map[string]*activeStream // by request id
	cooldowns    *retry.Cooldowns         // requested by upstreams from this node
	turns        retry.ReturnSchedule     // of callers rejected while all upstreams are in cooldown
	totals       totals
	perToken     float64 // seconds, smoothed over all upstreams
}

// inFlight is the work that this node has in progress at one upstream.
type inFlight struct {
	running     int32
	sinceReport int32 // dispatched since the report numbered sequence
	sequence    uint64
	perToken    float64 // seconds, smoothed; 0 if not measured
}

type totals struct {
	tokens   int64
	cached   int64
	resumed  int64
	requests int64
}

const (
	liveReserve  = 0.25
	ejectedShare = 0.34
	// maxAttempts bounds the upstreams that one request reaches, whatever the retry budget allows. minTimeLeft
	// is the least remaining time that justifies the cost of another attempt.
	maxAttempts       = 4
	minTimeLeft       = 20 * time.Millisecond
	retryShare        = 0.1
	retryFloor        = 2.0
	defaultPlainSlots = 16 // for a plain upstream that states none
	// nodeOvercommit lets a node use more than an even share of a pool, since the load balancer does not spread
	// requests evenly; the upstream's own queue absorbs the excess.
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
			inFlight:  make(map[string]*inFlight),
			waiting:   make(map[string]chan bool),
			streams:   make(map[string]*activeStream),
			cooldowns: retry.NewCooldowns(),
		}
		d.pools[name] = p
	}
	return p
}

// refreshLocked updates the list of upstreams and the number of slots.
func (p *pool) refreshLocked() {
	c, now := p.d.o.Table.UpstreamsVersion(), p.d.now()
	if c == p.tableVersion && p.list != nil && now-p.refreshedAt < refreshEvery {
		return
	}
	p.tableVersion, p.refreshedAt = c, now
	p.list = p.d.o.Table.Select(func(f *member.Fact) bool {
		return f.Kind == member.KindUpstream && f.Service == p.name && f.Status == member.StatusLive
	})
	p.candidates = p.candidates[:0]
	slots := 0.0
	for i := range p.list {
		f := &p.list[i]
		n := f.Slots
		if n == 0 {
			n = defaultPlainSlots
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
		p.candidates = append(p.candidates, c)
	}
	if n := float64(max(p.d.o.Nodes(), 1)); n > 1 {
		slots = math.Min(slots, math.Max(1, slots/n*nodeOvercommit))
	}
	p.wakeLocked(p.admission.SetSlots(p.d.now(), slots))
}

// refreshEvery bounds how late a change in the number of nodes, which share the slots, is noticed.
const refreshEvery = time.Second

// reclaimsPerHour is assumed for a reclaimable VM until the platform states a rate.
const reclaimsPerHour = 0.5

func (p *pool) wakeLocked(ids []string) {
	for _, id := range ids {
		if c := p.waiting[id]; c != nil {
			c <- true
			delete(p.waiting, id)
		}
	}
}

// enter waits until the request may start. The function it returns ends the request.
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
		started = p.cancelWait(r.ID, c)
	case <-ctx.Done():
		started = p.cancelWait(r.ID, c)
	}
	if started {
		return func() { p.leave(r.ID) }, nil
	}
	return nil, &Rejection{cause: string(admit.CauseExpired), after: time.Second}
}

// cancelWait removes a request from the queue and reports whether it has been started in the meantime.
func (p *pool) cancelWait(id string, c chan bool) bool {
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

// target is the upstream of an attempt.
type target struct {
	fact   member.Fact
	choice route.Choice
}

// pick chooses an upstream that is not in tried, and counts the dispatch.
func (p *pool) pick(s *config.Service, prompt *route.Prompt, tried *attempts) (target, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refreshLocked()
	now := p.d.now()
	at := p.d.o.Clock.Now()
	fresh := tried.search.Next() == retry.ScopeReachable
	for i := range p.candidates {
		c, f := &p.candidates[i], &p.list[i]
		c.Excluded = tried.has(c.ID) || fresh && p.outliers.Failing(c.ID) || !p.outliers.Usable(now, c.ID) || p.cooldowns.Wait(at, retry.Incarnation{ID: c.ID}) > 0
		c.LoadAge = at.Sub(f.ReceivedAt)
		c.InFlight, c.SinceReport, c.Slowness = 0, 0, 0
		if v := p.inFlight[c.ID]; v != nil {
			c.InFlight = v.running
			c.Slowness = p.slownessLocked(v)
			if v.sequence == f.Sequence {
				c.SinceReport = v.sinceReport
			}
		}
	}
	p.router.SetWeights(s.Weights.Cost, s.Weights.Recompute)
	c := p.router.Pick(prompt, p.candidates)
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
	// maxSlowness bounds the weight of a measurement, so that an upstream that was slow still gets an occasional
	// request and can show that it has recovered.
	maxSlowness = 4.0
)

// slownessLocked returns an upstream's time per token relative to the pool's mean.
func (p *pool) slownessLocked(v *inFlight) float64 {
	if v.perToken == 0 || p.perToken == 0 {
		return 0
	}
	return min(max(v.perToken/p.perToken, 1/maxSlowness), maxSlowness)
}

// recordDuration records how long an attempt took for a number of tokens.
func (p *pool) recordDuration(id string, d time.Duration, tokens int) {
	if tokens < 2 {
		return
	}
	t := d.Seconds() / float64(tokens)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.router.ObserveService(d)
	smooth(&p.perToken, t)
	if v := p.inFlight[id]; v != nil {
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
	v := p.inFlight[f.ID]
	if v == nil {
		v = &inFlight{}
		p.inFlight[f.ID] = v
	}
	if v.sequence != f.Sequence {
		v.sequence, v.sinceReport = f.Sequence, 0
	}
	v.running++
	v.sinceReport++
}

// recordOutcome ends the count of an attempt and records its outcome. Only failures caused by the upstream count
// against it: a rejection or a cancelled caller does not.
func (p *pool) recordOutcome(id string, err error, blame bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v := p.inFlight[id]; v != nil {
		v.running--
		if v.running == 0 {
			if _, ok := p.d.o.Table.Get(id); !ok {
				delete(p.inFlight, id)
			}
		}
	}
	if err == nil {
		p.outliers.Success(id)
		p.budget.Success()
		return
	}
	if d := upstream.CooldownOf(err); d > 0 && p.cooldowns.Start(p.d.o.Clock.Now(), retry.Incarnation{ID: id}, d) {
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

// Stats is what a node reports about a pool.
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
			Running: p.admission.Running(), Waiting: p.admission.Waiting(), Requests: p.totals.requests,
			Tokens: p.totals.tokens, Cached: p.totals.cached, Resumed: p.totals.resumed,
		}
		p.mu.Unlock()
	}
	return r
}
