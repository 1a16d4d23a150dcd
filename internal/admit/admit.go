// Package admit decides which requests may start now, which wait, and which are rejected, for one pool
// of upstreams as seen by one node. It is pure: time is passed in as a duration since any fixed start.
//
// Three rules, in this order:
//
//   - A workspace never exceeds its own limits (rate, in flight, queue).
//   - Live requests go before batch requests, and a reserve of slots is kept from batch, so that batch
//     work gets what is left over and is rejected first.
//   - Within a class, workspaces share by weight: each request gets a virtual finish time, and the
//     earliest goes first (start-time fair queueing).
//
// A request whose expected wait exceeds what its latency target leaves is rejected at once, with the
// time after which to retry.
//
// Alternatives considered: letting it wait and then expire. This costs the caller its whole deadline
// and the pool a slot.
package admit

import (
	"container/heap"
	"math"
	"time"
)

// Class is the scheduling class of a request.
type Class int

// The classes, in the order in which they are served.
const (
	ClassLive Class = iota
	ClassBatch
)

// Decision is what happens to an offered request.
type Decision int

// The decisions.
const (
	DecisionRun Decision = iota
	DecisionWait
	DecisionReject
)

// Cause states why a request was rejected.
type Cause string

// The causes.
const (
	CauseNone     Cause = ""
	CauseRate     Cause = "the workspace's request rate is used up"
	CauseInFlight Cause = "the workspace has too many requests in flight"
	CauseQueue    Cause = "the workspace's queue is full"
	CauseWait     Cause = "the expected wait exceeds the latency target"
	CauseEmpty    Cause = "no upstream can take requests now"
	CauseExpired  Cause = "the request waited as long as its target allows"
)

// Limits are the limits of one workspace in this pool on this node.
type Limits struct {
	Rate     float64 // requests a second; 0: no limit
	InFlight int
	Queue    int
	Weight   float64 // weight in the fair queue
}

// Request is an offered request.
type Request struct {
	ID        string
	Workspace string
	Class     Class
	Limits    Limits
	Cost      float64       // expected slot time in units of an average request
	MaxWait   time.Duration // the request is rejected if it would wait longer
}

// Verdict is a decision with its cause and the time after which to retry.
type Verdict struct {
	Decision   Decision
	Cause      Cause
	RetryAfter time.Duration
}

// Options configures a controller.
type Options struct {
	BatchReserve float64       // share of the slots that batch requests never get
	ServiceTime  time.Duration // of an average request, until measured
	FIFO         bool          // baseline: one queue, no classes, no early rejection
}

// Controller admits requests to one pool.
type Controller struct {
	o          Options
	slots      float64
	running    [2]int
	service    float64 // measured, seconds
	virtual    [2]float64
	queues     [2]queue
	workspaces map[string]*workspace
	waiting    map[string]*item
	active     map[string]*item
	serial     int
}

type workspace struct {
	tokens   float64
	updated  time.Duration
	inFlight int
	queued   [2]int // by class
	finish   [2]float64
}

func (s *workspace) waiting() int { return s.queued[ClassLive] + s.queued[ClassBatch] }

type item struct {
	r        Request
	finish   float64
	serial   int
	index    int
	deadline time.Duration
	started  time.Duration
	unserved bool // no upstream was found for it
}

// New returns a controller with no slots.
func New(o Options) *Controller {
	if o.ServiceTime == 0 {
		o.ServiceTime = time.Second
	}
	return &Controller{
		o: o, service: o.ServiceTime.Seconds(), workspaces: make(map[string]*workspace),
		waiting: make(map[string]*item), active: make(map[string]*item),
	}
}

// SetSlots sets how many requests of this node the pool runs at once, and returns the waiting requests
// that may start because of it.
func (c *Controller) SetSlots(now time.Duration, n float64) []string {
	c.slots = n
	return c.start(now)
}

// Running returns the number of requests that are admitted and not done.
func (c *Controller) Running() int { return c.running[0] + c.running[1] }

// Waiting returns the number of requests in the queues.
func (c *Controller) Waiting() int { return len(c.waiting) }

func (c *Controller) workspace(name string) *workspace {
	s := c.workspaces[name]
	if s == nil {
		s = &workspace{tokens: -1}
		c.workspaces[name] = s
	}
	return s
}

// Offer decides about a new request: it is admitted, queued or rejected.
func (c *Controller) Offer(now time.Duration, r Request) Verdict {
	s := c.workspace(r.Workspace)
	if v := c.check(now, s, &r); v.Decision == DecisionReject {
		return v
	}
	it := &item{r: r, serial: c.serial, deadline: now + r.MaxWait}
	c.serial++
	if c.fits(r.Class) && c.queues[ClassLive].Len() == 0 && (r.Class == ClassLive || c.queues[ClassBatch].Len() == 0) {
		c.admit(now, s, it)
		return Verdict{Decision: DecisionRun}
	}
	if v := c.mayWait(s, &r); v.Decision == DecisionReject {
		return v
	}
	c.enqueue(s, it)
	return Verdict{Decision: DecisionWait}
}

func reject(c Cause, after time.Duration) Verdict {
	return Verdict{Decision: DecisionReject, Cause: c, RetryAfter: max(after, minRetryAfter)}
}

const minRetryAfter = 100 * time.Millisecond

func (c *Controller) check(now time.Duration, s *workspace, r *Request) Verdict {
	if c.slots <= 0 {
		return reject(CauseEmpty, time.Second)
	}
	if r.Limits.InFlight > 0 && s.inFlight+s.waiting() >= r.Limits.InFlight {
		return reject(CauseInFlight, c.averageService())
	}
	if r.Limits.Rate <= 0 {
		return Verdict{}
	}
	burst := math.Max(1, r.Limits.Rate)
	if s.tokens < 0 {
		s.tokens, s.updated = burst, now
	}
	s.tokens = math.Min(burst, s.tokens+(now-s.updated).Seconds()*r.Limits.Rate)
	s.updated = now
	if s.tokens < 1 {
		return reject(CauseRate, time.Duration((1-s.tokens)/r.Limits.Rate*float64(time.Second)))
	}
	s.tokens--
	return Verdict{}
}

func (c *Controller) averageService() time.Duration {
	return time.Duration(c.service * float64(time.Second))
}

// Capacity returns the slots that requests share here, and how many requests end in a second while all
// slots are in use.
func (c *Controller) Capacity() (slots, perSecond float64) {
	return c.slots, c.slots / max(c.service, minService)
}

// minService is the lower bound of the service time, which keeps it above zero before a request has
// been measured.
const minService = 0.001 // seconds

// fits reports whether a slot is free for the class.
func (c *Controller) fits(k Class) bool {
	free := c.slots - float64(c.Running())
	if k == ClassBatch && !c.o.FIFO {
		free -= c.unusedReserve()
	}
	return free >= 1 || c.Running() == 0 && c.slots > 0 && (k == ClassLive || c.queues[ClassLive].Len() == 0)
}

// unusedReserve is the part of the reserve that live requests don't use already.
func (c *Controller) unusedReserve() float64 {
	return math.Max(0, c.o.BatchReserve*c.slots-float64(c.running[ClassLive]))
}

func (c *Controller) mayWait(s *workspace, r *Request) Verdict {
	if r.Limits.Queue > 0 && s.waiting() >= r.Limits.Queue {
		return reject(CauseQueue, c.expectedWait(r))
	}
	if w := c.expectedWait(r); w > r.MaxWait && !c.o.FIFO {
		return reject(CauseWait, w-r.MaxWait)
	}
	return Verdict{}
}

// expectedWait is the wait of a request offered now: the work queued before it, over the slots. A
// workspace with few queued requests goes before one with many, so its own share of the queue is what
// counts.
func (c *Controller) expectedWait(r *Request) time.Duration {
	ahead := float64(c.queues[ClassLive].Len())
	if r.Class == ClassBatch || c.o.FIFO {
		ahead += float64(c.queues[ClassBatch].Len())
	}
	// Only its own class counts: live requests of a workspace must not be rejected because it has many
	// jobs waiting.
	own := c.workspace(r.Workspace).queued[r.Class]
	ahead = math.Min(ahead, float64(own+1)*float64(c.busyWorkspaces(r.Class)))
	return time.Duration((ahead + 1) / c.slots * c.service * float64(time.Second))
}

// busyWorkspaces returns the number of workspaces that have waiting requests of a class, plus one for
// the workspace of the offered request.
func (c *Controller) busyWorkspaces(k Class) int {
	n := 1
	for _, s := range c.workspaces {
		if s.queued[k] > 0 {
			n++
		}
	}
	return n
}

func (c *Controller) enqueue(s *workspace, it *item) {
	k := it.r.Class
	if c.o.FIFO {
		it.finish = float64(it.serial)
	} else {
		start := math.Max(c.virtual[k], s.finish[k])
		it.finish = start + math.Max(it.r.Cost, 0.01)/math.Max(it.r.Limits.Weight, 0.01)
		s.finish[k] = it.finish
	}
	s.queued[k]++
	c.waiting[it.r.ID] = it
	heap.Push(&c.queues[k], it)
}

func (c *Controller) admit(now time.Duration, s *workspace, it *item) {
	s.inFlight++
	it.started = now
	c.running[it.r.Class]++
	c.active[it.r.ID] = it
}

// start admits from the queues what fits, live requests first.
func (c *Controller) start(now time.Duration) []string {
	var r []string
	for {
		k := c.nextClass()
		if k < 0 {
			return r
		}
		it := heap.Pop(&c.queues[k]).(*item)
		delete(c.waiting, it.r.ID)
		s := c.workspace(it.r.Workspace)
		s.queued[k]--
		c.virtual[k] = math.Max(c.virtual[k], it.finish)
		c.admit(now, s, it)
		r = append(r, it.r.ID)
	}
}

func (c *Controller) nextClass() Class {
	live, batch := c.queues[ClassLive].Len() > 0, c.queues[ClassBatch].Len() > 0
	if c.o.FIFO && live && batch {
		if c.queues[ClassBatch][0].serial < c.queues[ClassLive][0].serial {
			live = false
		}
	}
	switch {
	case live && c.fits(ClassLive):
		return ClassLive
	case live:
		return -1
	case batch && c.fits(ClassBatch):
		return ClassBatch
	}
	return -1
}

// MarkUnserved records that no upstream was found for an admitted request, so that its end does not
// count as a measurement of the service time: requests rejected at once would make expected waits too
// short.
func (c *Controller) MarkUnserved(id string) {
	if it := c.active[id]; it != nil {
		it.unserved = true
	}
}

// Done records that an admitted request has ended, and returns the waiting requests that may start.
func (c *Controller) Done(now time.Duration, id string) []string {
	it := c.active[id]
	if it == nil {
		return nil
	}
	delete(c.active, id)
	c.running[it.r.Class]--
	c.workspace(it.r.Workspace).inFlight--
	if !it.unserved {
		c.service += serviceGain * ((now - it.started).Seconds() - c.service)
	}
	c.dropIdle(it.r.Workspace)
	return c.start(now)
}

// serviceGain is the weight of a new measurement of the service time.
const serviceGain = 0.05

// dropIdle drops the state of a workspace that has no requests here, so that memory follows use.
func (c *Controller) dropIdle(name string) {
	s := c.workspaces[name]
	if s.inFlight == 0 && s.waiting() == 0 && s.tokens < 0 {
		delete(c.workspaces, name)
	}
}

// Cancel removes a waiting request, and reports whether it was waiting.
func (c *Controller) Cancel(id string) bool {
	it := c.waiting[id]
	if it == nil {
		return false
	}
	heap.Remove(&c.queues[it.r.Class], it.index)
	delete(c.waiting, id)
	c.workspace(it.r.Workspace).queued[it.r.Class]--
	return true
}

// Expire removes and returns the requests whose maximum wait is over.
func (c *Controller) Expire(now time.Duration) []string {
	var r []string
	for id, it := range c.waiting {
		if now >= it.deadline {
			r = append(r, id)
		}
	}
	for _, id := range r {
		c.Cancel(id)
	}
	return r
}

type queue []*item

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].finish != q[j].finish {
		return q[i].finish < q[j].finish
	}
	return q[i].serial < q[j].serial
}

func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

func (q *queue) Push(x any) {
	it := x.(*item)
	it.index = len(*q)
	*q = append(*q, it)
}

func (q *queue) Pop() any {
	old := *q
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return it
}
