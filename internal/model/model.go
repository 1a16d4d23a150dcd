// Package model plays the daemon's own decisions against a load, on a virtual clock: nodes
// that choose upstreams by what they know of each other, engines that batch and cache, and
// callers that come whatever becomes of them. It holds no copy of a decision: a node is a
// pool.Pools, and what nodes know of each other comes through the relay package's books or
// by reports in pairs.
//
// A seed gives the same play each time. What is left out: the network, nodes that fail,
// plain upstreams, quotas, and orders of upstreams.
package model

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"spurhall.example/spurhall/internal/call"
	"spurhall.example/spurhall/internal/capacity"
	"spurhall.example/spurhall/internal/order"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/relay"
	"spurhall.example/spurhall/internal/timer"
)

// Spread is how nodes learn of each other.
type Spread int

// The ways.
const (
	SpreadPairs  Spread = iota // each pair swaps reports, twelve pairs a node in a round
	SpreadRelays               // through relays
	SpreadPlaced               // through relays, which also place the requests of their nodes
)

// Class is one kind of request.
type Class struct {
	Name   string
	Rate   float64       // a second, over all nodes
	Target time.Duration // to the first event
	Shared []Shared      // parts of the prompt that others have, too
	Own    float64       // median tokens of its own part
	Sigma  float64       // spread of the own part, of the log
	Output float64       // median tokens that go out
	Rank   int           // as configured; 0 is the most urgent
	Wait   time.Duration // callers leave without a first event after it; 0: they don't
	Again  time.Duration // after it, callers that left come again, once; 0: they don't
	Gap    time.Duration // longest pause between two events that isn't counted; 0: any
}

// Shared is a part of which each request draws one of some.
type Shared struct {
	Count  int
	Tokens float64
}

// Load is what is played.
type Load struct {
	Halls, Nodes, Engines int
	Engine                EngineSpec
	Classes               []Class
	Spread                Spread
	Seed                  uint64
	Warm, Length          time.Duration // Warm isn't measured
	Changes               []Change
	Order                 func(q order.Request, short bool) order.Decision // nil: all priorities are unset
	Speeds                []float64                                        // of the engines, in turn; none: all are alike
	Passing               Passing
	Know                  Knowledge
	Liar                  bool          // one node reports that one engine is very fast, and another one very slow
	SlowLink              time.Duration // that responses take more to reach one node
}

// Change is a trouble that begins at a time and lasts for one.
type Change struct {
	At, For time.Duration
	Times   float64 // of the usual requests; 0: as usual
	Slow    float64 // how many times as long the engines' steps take; 0: as usual
	Lost    float64 // share of the engines that end, and are replaced by new ones at the end of the trouble
}

// Passing is a slowness that each engine has now and then.
type Passing struct {
	Every  time.Duration // on average; 0: never
	Length time.Duration
	Factor float64
}

// Knowledge is what nodes know of the engines' speeds.
type Knowledge int

// The kinds.
const (
	SpeedsUnknown Knowledge = iota
	SpeedsLearned
	SpeedsTrue
)

// Result is what callers got of one class.
type Result struct {
	Class   string
	Asked   int
	InTime  float64 // share whose first event was in time
	Paused  float64 // share of which that is so, but a later pause was beyond the class's gap
	P50     time.Duration
	P99     time.Duration
	Waiting int // without a first event at the end, or whose callers left
	// Dry is the longest time between two first events in time.
	Dry time.Duration
}

// Outcome is what a play gave.
type Outcome struct {
	Classes []Result
	Read    float64 // prompt tokens read, of all that were asked
	// Preempted is the prompt tokens that were read for requests which lost their slot, of all that were asked.
	Preempted float64
	// Wasted is the prompt tokens that were read for requests whose callers left without a first event, of all asked.
	Wasted float64
	First  Firsts // of all classes together
	Speeds Beliefs
}

// Firsts are the times to first events.
type Firsts struct{ Mean, P50, P99 time.Duration }

// Beliefs is what nodes came to believe of the engines' speeds.
type Beliefs struct {
	Differ int     // engines that a node believes to differ from the usual at the end, of all nodes' views
	Views  int     // of all nodes at all engines
	Off    float64 // mean of the absolute logarithms of believed over true speed
	// Changes is how often a node changed what it believes of an engine.
	Changes int
}

type part struct {
	id     uint64
	tokens float64
}

type request struct {
	class  int
	prompt float64
	output float64
	parts  []part
	at     time.Duration
}

type node struct {
	name, hall string
	pools      *pool.Pools
	book       *relay.Aggregator
	view       relay.View
	sequence   uint64
	orders     order.Tracker
}

type play struct {
	World
	l               Load
	random          *rand.Rand
	clock           *timer.Manual
	nodes           []*node
	engines         map[string]*engine
	firsts          [][]time.Duration
	asked           []int
	paused          []int // of those in time, by class
	prompts         float64
	ranks           []int         // of the classes, in order
	tightest        time.Duration // of the classes' targets
	times           float64       // of the usual requests, now
	items           []pool.Item
	lastInTime, dry []time.Duration // by class
	changes         int             // of what nodes believe of speeds
}

const (
	service = "llm"
	round   = 250 * time.Millisecond
	// hop is what a message between nodes takes.
	hop = 2 * time.Millisecond
	// pairsARound is how many pairs of a node swap reports in a round.
	pairsARound = 12
)

// Play plays a load.
func Play(l Load) Outcome {
	p := newPlay(l)
	p.run(l.Warm+l.Length, p.clock.Advance)
	return p.outcome()
}

func newPlay(l Load) *play {
	p := &play{
		l: l, random: rand.New(rand.NewPCG(l.Seed, 1)), clock: timer.NewManual(time.Unix(1_700_000_000, 0)), engines: make(map[string]*engine),
		firsts: make([][]time.Duration, len(l.Classes)), asked: make([]int, len(l.Classes)), paused: make([]int, len(l.Classes)),
		times:      1,
		lastInTime: make([]time.Duration, len(l.Classes)), dry: make([]time.Duration, len(l.Classes)),
	}
	for i, c := range l.Classes {
		p.ranks = append(p.ranks, c.Rank)
		if i == 0 || c.Target < p.tightest {
			p.tightest = c.Target
		}
	}
	slices.Sort(p.ranks)
	p.ranks = slices.Compact(p.ranks)
	p.build()
	for _, c := range l.Changes {
		p.change(c)
	}
	for i := range l.Classes {
		p.arrive(i)
	}
	return p
}

func (p *play) build() {
	hall := func(i int) string { return fmt.Sprint("hall-", i%p.l.Halls) }
	for i := 0; i < p.l.Engines; i++ {
		id := fmt.Sprint("engine-", i)
		p.engines[id] = newEngine(&p.World, &p.l.Engine, id)
		p.setSpeed(i, p.engines[id])
		p.items = append(p.items, pool.Item{Revision: 1, Entry: pool.Entry{ID: id, Born: engineBorn, Service: service, Address: id, Hall: hall(i), Slots: p.l.Engine.Slots}})
	}
	for i := 0; i < p.l.Nodes; i++ {
		n := &node{name: fmt.Sprint("node-", i), hall: hall(i), pools: pool.New(p.clock.Service(), fmt.Sprint("node-", i), hall(i))}
		n.book = relay.NewAggregator(n.name, "1")
		n.pools.Update(func(l *pool.List) { l.Replace(p.clock.Service().Now(), 1, p.items) })
		n.pools.SetSize(service, capacity.Size{Slots: p.l.Engine.Slots, Memory: p.l.Engine.Memory, Fetch: p.l.Engine.Fetch})
		p.nodes = append(p.nodes, n)
		p.after(time.Duration(p.random.Int64N(int64(round))), func() { p.tell(n) })
		p.tellTruth(n)
	}
}

// arrive lets a request of a class come, and sets when the next one does.
func (p *play) arrive(class int) {
	c := &p.l.Classes[class]
	p.after(time.Duration(p.random.ExpFloat64()/(c.Rate*p.times)*float64(time.Second)), func() {
		p.arrive(class)
		p.ask(class, c)
	})
}

func (p *play) ask(class int, c *Class) {
	q := &request{class: class, at: p.now}
	var parts []call.Part
	add := func(id uint64, tokens float64) {
		q.parts = append(q.parts, part{id, tokens})
		q.prompt += tokens
		parts = append(parts, call.Part{ID: id, Tokens: int(tokens)})
	}
	for i, s := range c.Shared {
		add(uint64(class)<<48|uint64(i)<<40|uint64(p.random.IntN(s.Count)), s.Tokens)
	}
	add(1<<63|p.random.Uint64()>>1, math.Ceil(c.Own*math.Exp(c.Sigma*p.random.NormFloat64())))
	q.output = math.Max(1, math.Ceil(c.Output*math.Exp(0.5*p.random.NormFloat64())))
	if p.now >= p.l.Warm {
		p.asked[class]++
		p.prompts += q.prompt
	}
	p.send(c, q, parts)
}

func (p *play) outcome() Outcome {
	var o Outcome
	for i, c := range p.l.Classes {
		f := p.firsts[i]
		slices.Sort(f)
		r := Result{Class: c.Name, Asked: p.asked[i], Waiting: p.asked[i] - len(f)}
		r.Dry = max(p.dry[i], p.l.Warm+p.l.Length-max(p.lastInTime[i], p.l.Warm))
		if len(f) > 0 {
			late, _ := slices.BinarySearchFunc(f, c.Target+1, cmp.Compare[time.Duration])
			r.InTime = float64(late) / float64(p.asked[i])
			r.Paused = float64(p.paused[i]) / float64(p.asked[i])
			r.P50, r.P99 = f[len(f)/2], f[len(f)*99/100]
		}
		o.Classes = append(o.Classes, r)
	}
	o.Read = p.read / math.Max(1, p.prompts)
	o.Wasted = p.wasted / math.Max(1, p.prompts)
	o.Preempted = p.preempted / math.Max(1, p.prompts)
	o.First, o.Speeds = firstsOf(p.firsts), p.beliefs()
	return o
}
