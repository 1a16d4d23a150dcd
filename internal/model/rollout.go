package model

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"spurhall.example/spurhall/internal/relay"
	"spurhall.example/spurhall/internal/rollout"
	"spurhall.example/spurhall/internal/timer"
)

// This file plays a roll-out over a fleet: nodes with their own side of it, relays that hand
// on what they see, a holder of the duties that raises the stage by what the store takes, and
// versions that are bad in one way or another. Routes, relays and decisions are the daemon's
// own. What is left out: queues, and the time of an answer beyond its kind.

// Badness is what a version is like.
type Badness struct {
	Name  string
	Fails float64 // part of its answers that fail
	Slow  float64 // factor of its times; 0: as usual
	From  time.Duration
	Load  float64 // only at upstreams that run more than this part of what one in service usually does
	Route string  // only on this one; empty: on all
}

// Bad tells whether the version is bad at all.
func (b Badness) Bad() bool { return b.Fails > 0 || b.Slow > 1 }

// Trouble is what happens beside a roll-out, drawn by the seed.
type Trouble int

// The troubles.
const (
	TroubleNone    Trouble = iota
	TroubleKills           // a sixth of the nodes, the holder among them
	TroubleHerd            // all nodes at once, and the holder is found anew
	TroubleCut             // a hall is cut off from the others and the store
	TroubleStore           // the store is away
	TroubleIll             // one upstream of the target fails on its own
	TroubleFailing         // a part of all answers of both versions fails
	troubles
)

// RolloutLoad is what is played.
type RolloutLoad struct {
	Nodes, Halls      int
	InService, Target int // upstreams
	Rate              float64
	Routes            []RolloutRoute
	Duration          time.Duration
	Exposure          float64
	Version           Badness
	Trouble           Trouble
	Seed              uint64
	Even              bool // all of the target's upstreams take part in the trial
	// Judge replaces the test of the daemon; nil: it is used.
	Judge func(total rollout.Tally) (bad bool)
}

// RolloutRoute is one route of the service.
type RolloutRoute struct {
	Name  string
	Part  float64       // of the requests
	First time.Duration // to the first event, in the median
	Lasts time.Duration // to the end
	Moves bool          // its streams may go on at another upstream
}

// RolloutOutcome is what a play gave.
type RolloutOutcome struct {
	Stage    rollout.Stage
	Cause    rollout.Cause
	At       time.Duration // when it ended
	Sent     int           // requests that the target got
	Reached  int           // requests that the service got until the deadline
	Exposed  float64       // most requests of the target beyond the part allowed, at any moment before the verdict
	BadSent  int           // bad answers given
	LastSent time.Duration // when the target got its last request
	Fiftieth time.Duration // when the 50th bad answer came; 0: never
	Verdict  rollout.Verdict
	Cut      int // streams cut off by the end of the version in service
}

type rolloutNode struct {
	name, hall string
	trial      *rollout.Trial
	book       *relay.Aggregator
	view       relay.View
	lifetime   int
	sequence   uint64
	down       bool
}

// move is a stream that may go on at another upstream.
type move struct {
	n     *rolloutNode
	r     RolloutRoute
	moved bool
}

type rolloutPlay struct {
	World
	l          RolloutLoad
	random     *rand.Rand
	clock      *timer.Manual
	nodes      []*rolloutNode
	state      rollout.State
	stored     rollout.State // what stands in the store
	term       int64
	holder     *rolloutNode
	running    map[string]int // by upstream
	usual      float64        // requests that run at one in service
	storeDown  bool
	cutHall    string
	ill        string
	failing    float64
	said       time.Time // when the store was last told how many answers have been seen
	oldRunning int
	movable    map[int]*move // streams at the version in service, by their number
	out        RolloutOutcome
	ended      bool
}

// Rollout plays a roll-out until a second after its deadline.
func Rollout(l RolloutLoad) RolloutOutcome {
	p := &rolloutPlay{
		l: l, random: rand.New(rand.NewPCG(l.Seed, 7)), clock: timer.NewManual(time.Unix(1_700_000_000, 0)), running: make(map[string]int), movable: make(map[int]*move),
		state: rollout.State{Order: rollout.Order{Service: service, Target: "v2", Duration: l.Duration, Revision: 5}, OrderedAt: time.Unix(1_700_000_000, 0)},
	}
	lasts := 0.0
	for _, r := range l.Routes {
		lasts += r.Part * r.Lasts.Seconds()
	}
	p.usual = l.Rate * lasts / float64(l.InService)
	for i := 0; i < l.Nodes; i++ {
		n := &rolloutNode{name: fmt.Sprint("node-", i), hall: fmt.Sprint("hall-", i%l.Halls)}
		p.nodes = append(p.nodes, n)
		p.begin(n)
		p.after(time.Duration(p.random.Int64N(int64(round))), func() { p.tell(n) })
	}
	p.holder, p.term = p.nodes[0], 10
	p.trouble()
	p.arrive()
	p.hold()
	p.run(l.Duration+time.Second, p.clock.Advance)
	p.out.Stage = p.stored.Stage
	return p.out
}

func (p *rolloutPlay) time() time.Time { return p.clock.Service().Now() }

// begin begins a process of a node.
func (p *rolloutPlay) begin(n *rolloutNode) {
	n.lifetime++
	n.sequence, n.view, n.down = 0, relay.View{}, false
	n.book = relay.NewAggregator(n.name, fmt.Sprint(n.lifetime))
	n.trial = rollout.NewTrial(p.state.Order, p.l.Exposure, func(string) float64 { return p.random.Float64() })
	n.trial.AdvanceTo(p.time(), ended(p.stored.Stage))
}

// ended is what a process reads of a roll-out when it starts: only its end stands where all
// can read it.
func ended(s rollout.Stage) rollout.Stage {
	if s.Ended() {
		return s
	}
	return rollout.StageWaiting
}

// trouble draws when the trouble comes, amid the roll-out.
func (p *rolloutPlay) trouble() {
	at := time.Duration((0.1 + 0.7*p.random.Float64()) * float64(p.l.Duration))
	switch p.l.Trouble {
	case TroubleKills:
		p.after(at, func() {
			for _, n := range p.nodes {
				if n == p.holder || p.random.Float64() < 0.16 {
					p.kill(n, time.Second+time.Duration(p.random.Int64N(int64(2*time.Second))))
				}
			}
		})
	case TroubleHerd:
		p.after(at, func() {
			for _, n := range p.nodes {
				p.kill(n, time.Second)
			}
		})
	case TroubleCut:
		p.after(at, func() { p.cutHall = fmt.Sprint("hall-", p.random.IntN(p.l.Halls)) })
		p.after(at+3*time.Second, func() { p.cutHall = "" })
	case TroubleStore:
		p.after(at, func() { p.storeDown = true })
		p.after(at+2*time.Second, func() { p.storeDown = false })
	case TroubleIll:
		p.after(at, func() { p.ill = p.targetName(0) })
	case TroubleFailing:
		p.after(at, func() { p.failing = 0.15 })
		p.after(at+5*time.Second, func() { p.failing = 0 })
	}
}

func (p *rolloutPlay) kill(n *rolloutNode, down time.Duration) {
	n.down = true
	p.after(down, func() { p.begin(n) })
	if n == p.holder {
		p.holder = nil
		p.after(p.found(), p.elect)
	}
}

// found is when the next holder is found: the lease has to lapse. After a loss of all nodes
// the same VM takes it over at once.
func (p *rolloutPlay) found() time.Duration {
	if p.l.Trouble == TroubleHerd {
		return 1500 * time.Millisecond
	}
	return 2 * time.Second
}

// elect finds the next holder, which goes on from what stands in the store.
func (p *rolloutPlay) elect() {
	for _, n := range p.nodes {
		if !n.down && n.hall != p.cutHall && !p.storeDown {
			p.holder, p.state = n, p.stored
			p.state.FoundAt = p.time()
			p.term++
			n.trial.AdvanceTo(p.time(), p.stored.Stage)
			return
		}
	}
	p.after(round, p.elect)
}

// hold is a step of the holder.
func (p *rolloutPlay) hold() {
	p.after(round, p.hold)
	n := p.holder
	if n == nil || n.down || p.ended {
		return
	}
	if p.storeDown {
		return // the lease outlasts it, but nothing can be written
	}
	if n.hall == p.cutHall {
		p.holder = nil
		p.after(2*time.Second, p.elect)
		return
	}
	n.trial.IssueKeepAlive(p.time(), p.term)
	if p.state.Stage == rollout.StageFull && p.time().Sub(p.state.Since) >= p.state.Order.MovesAfter() {
		p.move()
	}
	answers, _ := n.trial.Total().Responses()
	f := rollout.Facts{
		Target: p.l.Target, OtherVersions: p.l.InService, Running: p.oldRunning, Responses: answers, Stopped: n.trial.Stopped(), Suspicion: n.trial.Suspicion(), Clear: n.trial.Clear(),
	}
	if p.l.Judge != nil {
		f.Stopped, f.Suspicion, f.Clear = p.l.Judge(n.trial.Total()), 0, true
	}
	p.state = p.state.ResolveTakeover(p.time(), answers)
	next, cause := p.state.Next(p.time(), f)
	if next == p.state.Stage {
		if p.time().Sub(p.said) >= rollout.ResponsesWriteInterval {
			p.said, p.stored.PriorResponses = p.time(), answers
		}
		return
	}
	if next == rollout.StageCompleted {
		p.out.Cut = p.oldRunning
	}
	p.state = p.state.Advance(p.time(), next, answers)
	p.stored = p.state
	n.trial.AdvanceTo(p.time(), next)
	if next.Ended() {
		p.out.Cause, p.out.At, p.out.Verdict, p.ended = cause, p.now, n.trial.Verdict(), true
	}
}

// move lets the streams that may go on elsewhere do so.
func (p *rolloutPlay) move() {
	for _, k := range slices.Sorted(maps.Keys(p.movable)) {
		v := p.movable[k]
		v.moved = true
		delete(p.movable, k)
		p.oldRunning--
		p.atTarget(v.n, v.r, false)
	}
}

// tell is one round of a node.
func (p *rolloutPlay) tell(n *rolloutNode) {
	p.after(round, func() { p.tell(n) })
	if n.down {
		return
	}
	n.sequence++
	r := relay.Report{Node: n.name, Incarnation: fmt.Sprint(n.lifetime), Sequence: n.sequence, Uptime: p.now, Trials: []rollout.Update{word(n.trial)}}
	ordered := p.hallOf(n.hall)
	if h := p.home(n, ordered); h == n {
		n.book.ApplyReport(p.time(), r)
		n.book.Expire(p.time())
		p.take(n, n.book.Digest(p.time(), n.name, 0))
		p.swapRelays(n)
	} else if h != nil {
		p.after(hop, func() {
			h.book.ApplyReport(p.time(), r)
			d := h.book.Digest(p.time(), n.name, 0)
			p.after(hop, func() { p.take(n, d) })
		})
	}
}

// word copies what a node tells: the node goes on counting.
func word(t *rollout.Trial) rollout.Update {
	w := t.Update()
	w.Tally = w.Tally.Plus(nil)
	return w
}

func (p *rolloutPlay) hallOf(hall string) relay.Ranking {
	nodes := make(map[string]float64)
	for _, n := range p.nodes {
		if n.hall == hall && !n.down {
			nodes[n.name] = 1
		}
	}
	return relay.Rank(nodes)
}

func (p *rolloutPlay) named(name string) *rolloutNode {
	for _, n := range p.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

func (p *rolloutPlay) home(n *rolloutNode, ordered relay.Ranking) *rolloutNode {
	if ordered.Relays().Has(n.name) {
		return n
	}
	return p.named(ordered.ReportTargets(n.name)[0])
}

func (p *rolloutPlay) take(n *rolloutNode, d relay.Digest) {
	for _, w := range d.Trials {
		n.trial.ApplyUpdate(p.time(), w)
		n.trial.SetPeerTally(w.Tally)
	}
}

func (p *rolloutPlay) swapRelays(n *rolloutNode) {
	for h := 0; h < p.l.Halls; h++ {
		hall := fmt.Sprint("hall-", h)
		if hall != n.hall && (hall == p.cutHall || n.hall == p.cutHall) {
			continue
		}
		for _, name := range p.hallOf(hall).Relays().Names() {
			if o := p.named(name); name > n.name {
				p.after(hop, func() {
					o.book.MergeGroup(p.time(), n.book.Group(p.time(), 0))
					n.book.MergeGroup(p.time(), o.book.Group(p.time(), 0))
				})
			}
		}
	}
}

func (p *rolloutPlay) targetName(i int) string { return fmt.Sprint("new-", i) }
