package model

import (
	"cmp"
	"container/list"
	"math"
	"slices"
	"time"
)

// EngineSpec is what one model engine is like.
type EngineSpec struct {
	Slots    int     // requests at once
	Chunk    float64 // prompt tokens read in a step, at most
	Reading  float64 // prompt tokens read in a millisecond
	Step     time.Duration
	SlotStep time.Duration // more a step for each running request
	First    time.Duration // between the step that ends the reading and the first event
	Memory   float64       // tokens of cached parts
	Fetch    float64       // cached tokens that come from another engine in a millisecond; 0: none do
	Room     float64       // tokens that requests in slots hold together, at most; 0: no bound
}

// engine is one model engine. It works in steps: each reads a piece of the prompts that
// wait, in the order of their priorities, and makes a token for each request that runs.
// Where slots or room are short, a more urgent request preempts the newest of the least
// urgent ones, which is read anew.
type engine struct {
	w       *World
	spec    *EngineSpec
	id      string
	reading []*job // in order; the first one is read
	running int
	runs    []*job
	waiting []*job // without a slot, in order
	number  int    // of the newest request
	busy    bool   // a step is under way
	parts   *cache
	speed   float64 // times as fast as the spec states
	slowed  float64 // times as slow at the moment
}

// job is a request at an engine.
type job struct {
	q        *request
	priority int
	number   int     // of its arrival at the engine
	left     float64 // prompt tokens still to be read
	reads    float64 // prompt tokens to be read when it got its slot
	out      int     // tokens still to be made
	made     int     // tokens made
	first    bool    // its first token was made, since it last got a slot
	begun    bool    // its first token was made
	slot     int     // how many times it got a slot
	counts   bool    // it is measured
	from     *engine // that cached parts are taken from; nil: none
	done     func(now time.Duration)
	lost     func() // its engine has ended
	started  func(now time.Duration)
	lastAt   time.Duration // of its last token
	pause    time.Duration // the longest one between two of its tokens
}

// turn is a job while it has one of its slots.
type turn struct {
	job  *job
	slot int // as job.slot then
}

func newEngine(w *World, spec *EngineSpec, id string) *engine {
	return &engine{w: w, spec: spec, id: id, parts: newCache(spec.Memory), speed: 1, slowed: 1}
}

// take begins a request, or lets it wait for a slot.
func (e *engine) take(j *job) {
	e.number++
	j.number = e.number
	e.waiting = insert(e.waiting, j)
	e.fill()
}

// insert keeps the order of priorities, and of arrival within one.
func insert(l []*job, j *job) []*job {
	i, _ := slices.BinarySearchFunc(l, j, compare)
	return slices.Insert(l, i, j)
}

func compare(a, b *job) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.number, b.number))
}

// fill gives slots to those that wait, as far as there is room.
func (e *engine) fill() {
	for len(e.waiting) > 0 {
		j := e.waiting[0]
		if !e.makeRoom(j) {
			return
		}
		e.waiting = e.waiting[1:]
		e.admit(j)
	}
}

// makeRoom preempts less urgent requests until there is room for one.
func (e *engine) makeRoom(j *job) bool {
	for !e.fits(j) {
		v := e.victim()
		if v == nil || v.priority <= j.priority {
			return false
		}
		e.preempt(v)
	}
	return true
}

func (e *engine) fits(j *job) bool {
	if len(e.runs) == 0 {
		return true
	}
	return len(e.runs) < e.spec.Slots && (e.spec.Room == 0 || e.held()+j.holds() <= e.spec.Room)
}

func (j *job) holds() float64 { return j.q.prompt + float64(j.made) }

func (e *engine) held() float64 {
	sum := 0.0
	for _, j := range e.runs {
		sum += j.holds()
	}
	return sum
}

// victim is the newest of the least urgent requests in slots.
func (e *engine) victim() *job {
	if len(e.runs) == 0 {
		return nil
	}
	return slices.MaxFunc(e.runs, compare)
}

func (e *engine) preempt(j *job) {
	e.w.preempted += j.reads - j.left
	e.drop(j)
	j.reads, j.left = 0, 0
	e.waiting = insert(e.waiting, j)
}

// drop takes a request out of its slot.
func (e *engine) drop(j *job) {
	same := func(v *job) bool { return v == j }
	e.runs = slices.DeleteFunc(e.runs, same)
	e.reading = slices.DeleteFunc(e.reading, same)
	j.slot++
	if j.first {
		e.running--
		j.first = false
	}
}

// leave ends a request whose caller has left.
func (e *engine) leave(j *job) {
	if j.counts {
		e.w.wasted += j.reads - j.left
	}
	e.waiting = slices.DeleteFunc(e.waiting, func(v *job) bool { return v == j })
	e.drop(j)
	e.fill()
}

func (e *engine) admit(j *job) {
	cached := e.parts.cached(j.q.parts)
	if j.from != nil {
		cached = math.Max(cached, j.from.parts.cached(j.q.parts))
	}
	j.left = j.q.prompt - cached + float64(j.made)
	j.reads = j.left
	e.parts.add(j.q.parts)
	e.runs = append(e.runs, j)
	e.reading = insert(e.reading, j)
	if j.counts {
		e.w.read += j.left
	}
	if !e.busy {
		e.step()
	}
}

// step does one step and sets when it ends.
func (e *engine) step() {
	if len(e.runs) == 0 {
		e.busy = false
		return
	}
	e.busy = true
	budget := e.spec.Chunk
	var read []*turn
	for len(e.reading) > 0 && budget > 0 {
		j := e.reading[0]
		n := math.Min(budget, j.left)
		j.left -= n
		budget -= n
		if j.left > 0 {
			break
		}
		read = append(read, &turn{job: j, slot: j.slot})
		e.reading = e.reading[1:]
	}
	tokens := e.spec.Chunk - budget
	d := e.spec.Step + time.Duration(e.running)*e.spec.SlotStep + time.Duration(tokens/e.spec.Reading*float64(time.Millisecond))
	e.w.after(e.takes(d), func() { e.end(read) })
}

// takes is how long something takes that the spec gives a time for.
func (e *engine) takes(d time.Duration) time.Duration {
	if e.speed == 1 && e.slowed == 1 {
		return d
	}
	return time.Duration(float64(d) * e.slowed / e.speed)
}

func (e *engine) end(read []*turn) {
	for _, j := range slices.Clone(e.runs) {
		if j.first && j.out > 0 {
			j.out--
			j.made++
			j.token(e.w.now)
			if j.out == 0 {
				e.finish(j)
			}
		}
	}
	for e.spec.Room > 0 && len(e.runs) > 1 && e.held() > e.spec.Room {
		e.preempt(e.victim())
	}
	for _, v := range read {
		e.w.after(e.takes(e.spec.First), func() {
			if v.job.slot == v.slot {
				e.start(v.job)
			}
		})
	}
	e.step()
}

// start makes the first token of a request, or the next one of a request that was preempted.
func (e *engine) start(j *job) {
	j.first = true
	e.running++
	if !j.begun {
		j.begun = true
		j.lastAt = e.w.now
		j.started(e.w.now)
	}
	j.token(e.w.now)
}

// token records that a token goes out.
func (j *job) token(now time.Duration) {
	j.pause = max(j.pause, now-j.lastAt)
	j.lastAt = now
}

// stop ends the engine with all that it has.
func (e *engine) stop() {
	all := append(slices.Clone(e.runs), e.waiting...)
	e.runs, e.reading, e.waiting, e.running = nil, nil, nil, 0
	for _, j := range all {
		j.slot++
		j.lost()
	}
}

func (e *engine) finish(j *job) {
	e.runs = slices.DeleteFunc(e.runs, func(v *job) bool { return v == j })
	e.running--
	j.done(e.w.now)
	e.fill()
}

// cache is the prompt parts that an engine keeps: the one unused the longest gives way.
type cache struct {
	limit, used float64
	order       *list.List
	parts       map[uint64]*list.Element
}

func newCache(limit float64) *cache {
	return &cache{limit: limit, order: list.New(), parts: make(map[uint64]*list.Element)}
}

// cached is how many tokens of a prompt needn't be read.
func (c *cache) cached(parts []part) float64 {
	sum := 0.0
	for _, p := range parts {
		if c.parts[p.id] == nil {
			break
		}
		sum += p.tokens
	}
	return sum
}

func (c *cache) add(parts []part) {
	for _, p := range parts {
		if v := c.parts[p.id]; v != nil {
			c.order.MoveToFront(v)
			continue
		}
		c.parts[p.id] = c.order.PushFront(p)
		c.used += p.tokens
	}
	for c.used > c.limit {
		v := c.order.Back()
		p := c.order.Remove(v).(part)
		delete(c.parts, p.id)
		c.used -= p.tokens
	}
}
