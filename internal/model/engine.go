package model

import (
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
}

// engine is one model engine. It works in steps: each reads a piece of the prompts that
// wait, in their order, and makes a token for each request that runs.
type engine struct {
	w       *World
	spec    *EngineSpec
	id      string
	reading []*job // in order; the first one is read
	running int
	runs    []*job
	waiting []*job // without a slot
	busy    bool   // a step is under way
	parts   *cache
	speed   float64 // times as fast as the spec states
	slowed  float64 // times as slow at the moment
}

// job is a request at an engine.
type job struct {
	q       *request
	left    float64 // prompt tokens still to be read
	out     int     // tokens still to be made
	first   bool    // its first token was made
	counts  bool    // it is measured
	from    *engine // that cached parts are taken from; nil: none
	done    func(now time.Duration)
	started func(now time.Duration)
}

func newEngine(w *World, spec *EngineSpec, id string) *engine {
	return &engine{w: w, spec: spec, id: id, parts: newCache(spec.Memory), speed: 1, slowed: 1}
}

// take begins a request, or lets it wait for a slot.
func (e *engine) take(j *job) {
	if len(e.runs) >= e.spec.Slots {
		e.waiting = append(e.waiting, j)
		return
	}
	e.admit(j)
}

func (e *engine) admit(j *job) {
	cached := e.parts.cached(j.q.parts)
	if j.from != nil {
		cached = math.Max(cached, j.from.parts.cached(j.q.parts))
	}
	j.left = j.q.prompt - cached
	e.parts.add(j.q.parts)
	e.runs = append(e.runs, j)
	e.reading = append(e.reading, j)
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
	var read []*job
	for len(e.reading) > 0 && budget > 0 {
		j := e.reading[0]
		n := math.Min(budget, j.left)
		j.left -= n
		budget -= n
		if j.left > 0 {
			break
		}
		read = append(read, j)
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

func (e *engine) end(read []*job) {
	for _, j := range slices.Clone(e.runs) {
		if j.first && j.out > 0 {
			j.out--
			if j.out == 0 {
				e.finish(j)
			}
		}
	}
	for _, j := range read {
		e.w.after(e.takes(e.spec.First), func() {
			j.first = true
			e.running++
			j.started(e.w.now)
		})
	}
	e.step()
}

func (e *engine) finish(j *job) {
	e.runs = slices.DeleteFunc(e.runs, func(v *job) bool { return v == j })
	e.running--
	j.done(e.w.now)
	if len(e.waiting) > 0 && len(e.runs) < e.spec.Slots {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.admit(next)
	}
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
