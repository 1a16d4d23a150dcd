package model

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"spurhall.example/spurhall/internal/follow"
	"spurhall.example/spurhall/internal/lineage"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/timer"
)

// This file plays streams that are taken up while versions come and go, in fleets of three sizes: a release after which the
// time-out is lowered, and a version that is tried and withdrawn while some nodes stand still. It counts streams that go on at
// another version, and what a take-up and a new stream cost.

const (
	takeUpTick    = 500 * time.Millisecond
	takeUpChange  = 10 * time.Second // when versions change
	takeUpStill   = 5 * time.Second  // for how long nodes stand still
	takeUpTried   = 4 * time.Second  // for how long the tried version is listed
	takeUpFrom    = 17 * time.Second // when callers come back
	takeUpEnd     = 20 * time.Second
	takeUpLowered = 4 * time.Second // the time-out after it was lowered
	takeUpAtOnce  = 3 * time.Second // how old the streams are at most that were begun at a version when it goes
)

// takeUpGuard is what keeps nodes from taking the one version they know for the only one there was.
type takeUpGuard int

const (
	takeUpGuarded takeUpGuard = iota
	takeUpForgets             // versions count for as long as the time-out of now
	takeUpTrusts              // being in step is enough
)

// takeUpNode is a node of such a fleet.
type takeUpNode struct {
	name  string
	pools *pool.Pools
	step  follow.Step
	book  *lineage.Book
	still bool
}

// takeUpStream is a stream that was begun.
type takeUpStream struct {
	key     lineage.Key
	version string
	at      time.Time
	node    *takeUpNode
	told    bool
}

type takeUpPlay struct {
	r        *rand.Rand
	clock    *timer.Manual
	guard    takeUpGuard
	nodes    []*takeUpNode
	named    map[string]*takeUpNode
	keepers  []lineage.Node
	listed   map[string]string // version by upstream
	revision int64
	streams  []*takeUpStream

	joined, wentOn, refused, asked, told, toldAtOnce int
}

func newTakeUpPlay(size int, guard takeUpGuard, seed uint64, versions ...string) *takeUpPlay {
	p := &takeUpPlay{r: rand.New(rand.NewPCG(seed, uint64(size))), clock: timer.NewManual(time.Unix(1_700_000_000, 0)), guard: guard, named: make(map[string]*takeUpNode), listed: make(map[string]string)}
	var all []lineage.Node
	for i := range size {
		hall := fmt.Sprint("hall-", i%min(5, size/2))
		n := &takeUpNode{name: fmt.Sprint("edge-", i), book: lineage.NewBook()}
		n.pools = pool.New(p.clock.Service(), n.name, hall)
		p.nodes, p.named[n.name] = append(p.nodes, n), n
		all = append(all, lineage.Node{Name: n.name, Hall: hall})
	}
	p.keepers = lineage.Candidates(all)
	for i, v := range versions {
		p.listed[fmt.Sprint("u", i)] = v
	}
	return p
}

func (p *takeUpPlay) now() time.Time { return p.clock.Service().Now() }

// tick lets all nodes that run read the list, and tell of streams that have lasted a while.
func (p *takeUpPlay) tick() {
	p.clock.Advance(takeUpTick)
	p.revision++
	var items []pool.Item
	for id, v := range p.listed {
		items = append(items, pool.Item{Revision: 1, Entry: pool.Entry{ID: id, Service: "s", Address: id, Hall: "hall-0", Version: v, Slots: 8}})
	}
	for _, n := range p.nodes {
		if !n.still {
			n.pools.Update(func(l *pool.List) { l.Replace(p.now(), p.revision, items) })
			n.step.Confirm(p.now())
		}
	}
	for _, s := range p.streams {
		if !s.told && !s.node.still && p.now().Sub(s.at) >= time.Second {
			p.tell(s)
		}
	}
}

func (p *takeUpPlay) tell(s *takeUpStream) {
	s.told = true
	record := lineage.Record{Key: s.key, Version: s.version, Left: time.Minute}
	s.node.book.Add(p.now(), record)
	for _, name := range lineage.Told(s.key, p.keepers) {
		p.told++
		if n := p.named[name]; !n.still {
			n.book.Add(p.now(), record)
		}
	}
}

// begin begins a stream at each node that runs.
func (p *takeUpPlay) begin() {
	for _, n := range p.nodes {
		known, used := n.pools.StreamVersions("s")
		used = slices.DeleteFunc(used, func(v string) bool { return !p.lists(v) })
		if n.still || len(used) == 0 {
			continue
		}
		s := &takeUpStream{key: lineage.Key(p.r.Uint64()), version: used[p.r.IntN(len(used))], at: p.now(), node: n}
		p.streams = append(p.streams, s)
		if len(known) > 1 {
			p.toldAtOnce++
			p.tell(s)
		}
	}
}

func (p *takeUpPlay) lists(version string) bool {
	for _, v := range p.listed {
		if v == version {
			return true
		}
	}
	return false
}

// sight is what a node has seen, as far as its guard goes.
func (p *takeUpPlay) sight(n *takeUpNode) lineage.Sight {
	inStep := n.step.Holds(p.now())
	return lineage.Sight{InStep: inStep, Steady: n.step.Steady(p.now()), Whole: inStep && (p.guard == takeUpTrusts || n.step.MissedAgo(p.now()) == 0), Heard: n.step.Heard()}
}

func (p *takeUpPlay) known(n *takeUpNode) (known, used []string) {
	known, used = n.pools.StreamVersions("s")
	if p.guard != takeUpForgets {
		return known, used
	}
	late := make(map[string]bool)
	for _, v := range n.pools.LateVersionsOf("s") {
		late[v.Version] = v.GoneAgo > takeUpLowered+time.Second
	}
	gone := func(v string) bool { return late[v] }
	return slices.DeleteFunc(known, gone), slices.DeleteFunc(used, gone)
}

// takeUp takes a stream up at a node.
func (p *takeUpPlay) takeUp(s *takeUpStream, n *takeUpNode) {
	known, _ := p.known(n)
	version, alone := lineage.OnlyVersion(p.sight(n), known)
	if !alone {
		version = p.ask(s, n)
	}
	switch {
	case version == "" || !p.lists(version):
		p.refused++
	case version != s.version:
		p.joined++
	default:
		p.wentOn++
	}
}

// ask asks those who may remember the stream.
func (p *takeUpPlay) ask(s *takeUpStream, n *takeUpNode) string {
	for _, name := range lineage.Asked(s.key, p.keepers) {
		o := p.named[name]
		p.asked++
		if v, ok := o.book.Version(p.now(), s.key); ok {
			return v
		}
		n.pools.HearVersions("s", o.pools.LateVersionsOf("s"))
	}
	known, used := p.known(n)
	v, _ := lineage.LikelyVersion(p.sight(n), true, known, used)
	return v
}

// run plays a change of the versions at takeUpChange and at later times, and takes the streams up that change ends.
func (p *takeUpPlay) run(change func(since time.Duration), ends string) {
	for t := time.Duration(0); t < takeUpEnd; t += takeUpTick {
		change(t - takeUpChange)
		p.tick()
		if t < takeUpFrom {
			p.begin()
			continue
		}
		for _, s := range p.streams {
			if s.version == ends && p.now().Sub(s.at) < takeUpFrom-takeUpChange+takeUpAtOnce && p.r.IntN(4) == 0 {
				p.takeUp(s, p.nodes[p.r.IntN(len(p.nodes))])
			}
		}
	}
}

// release replaces one of two versions.
func (p *takeUpPlay) release(since time.Duration) {
	if since == 0 {
		p.listed = map[string]string{"u1": "v2", "u2": "v2"}
	}
}

// try lists another version for a while, in which some nodes stand still.
func (p *takeUpPlay) try(since time.Duration) {
	switch since {
	case 0:
		for _, i := range p.r.Perm(len(p.nodes))[:max(1, len(p.nodes)/10)] {
			p.nodes[i].still = true
		}
	case takeUpTick:
		p.listed["tried"] = "v2"
	case takeUpTick + takeUpTried:
		delete(p.listed, "tried")
	case takeUpStill:
		for _, n := range p.nodes {
			n.still = false
		}
	}
}

// TestStreamsThatAreTakenUpAsVersionsComeAndGo guards against nodes that take the one version they know for the only one there was.
func TestStreamsThatAreTakenUpAsVersionsComeAndGo(t *testing.T) {
	for _, size := range []int{6, 79, 985} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(size, " nodes, seed ", seed), func(t *testing.T) {
				released := func(g takeUpGuard) *takeUpPlay {
					p := newTakeUpPlay(size, g, seed, "v1", "v2")
					p.run(p.release, "v1")
					return p
				}
				tried := func(g takeUpGuard) *takeUpPlay {
					p := newTakeUpPlay(size, g, seed, "v1")
					p.run(p.try, "v2")
					return p
				}
				for name, p := range map[string]*takeUpPlay{"released": released(takeUpGuarded), "tried": tried(takeUpGuarded)} {
					taken := p.joined + p.wentOn + p.refused
					assert.Zero(t, p.joined, name)
					assert.Positive(t, taken, name)
					assert.LessOrEqual(t, p.asked, 4*taken, "whatever the size")
					t.Logf("%s: %d taken up, %.2f questions each; %.2f messages a stream, %d of %d streams told of at once", name, taken, float64(p.asked)/float64(taken), float64(p.told)/float64(len(p.streams)), p.toldAtOnce, len(p.streams))
				}
				assert.Positive(t, released(takeUpForgets).joined, "without what guards against it")
				assert.Positive(t, tried(takeUpTrusts).joined, "without what guards against it")
			})
		}
	}
}

// TestStreamsOfOneVersionCostNothingMore guards against questions and messages for the sake of versions where there is one.
func TestStreamsOfOneVersionCostNothingMore(t *testing.T) {
	p := newTakeUpPlay(79, takeUpGuarded, 1, "v1")
	p.run(func(time.Duration) {}, "v1")
	assert.Zero(t, p.asked)
	assert.Zero(t, p.toldAtOnce)
	assert.Zero(t, p.joined+p.refused)
	assert.Positive(t, p.wentOn)
}
