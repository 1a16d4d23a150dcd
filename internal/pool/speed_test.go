package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"spurhall.example/spurhall/internal/capacity"
	"spurhall.example/spurhall/internal/retry"
	"spurhall.example/spurhall/internal/speed"
	"spurhall.example/spurhall/internal/timer"
)

// speedPools returns pools with the upstreams a, b and c of service s, and their clock.
func speedPools() (*Pools, *timer.Manual) {
	c := timer.NewManual(start)
	p := New(c.Service(), "self", "h")
	for _, id := range []string{"a", "b", "c"} {
		putUpstream(p, id, 1)
	}
	c.Advance(versionGrace)
	return p, c
}

func putUpstream(p *Pools, id string, born int64) {
	p.Update(func(l *List) {
		l.Put(Item{Entry: Entry{ID: id, Service: "s", Address: "10.0.0.1:1", Hall: "h", Slots: 8, Born: born}, Revision: born})
	})
}

// know lets a relay state the speed of an upstream's first incarnation.
func know(p *Pools, id string, x float64) {
	p.ApplySpeedFigures([]speed.Figure{{Upstream: retry.Incarnation{ID: id, Born: 1}, Speed: x, Weight: 100}})
}

func engineRequest(tokens float64) Request {
	return Request{ID: "r", Service: "s", Engine: true, Prompt: tokens, Output: 10}
}

func TestChoiceBySpeed(t *testing.T) {
	e := Service{Engine: capacity.Engine{Reading: 50, First: 70, Token: 10}, ResponseMs: 40}
	candidate := func(id string, x, queued float64) Candidate {
		return Candidate{ID: id, Slots: 8, SameHall: true, Slowness: 1, Speed: x, Queued: queued}
	}
	chosen := func(n Request, list ...Candidate) string { return list[Pick(n, e, list)].ID }
	t.Run("a long prompt goes to a fast engine", func(t *testing.T) {
		assert.Equal(t, "fast", chosen(engineRequest(8000), candidate("usual", 1, 0), candidate("slow", 0.6, 0), candidate("fast", 1.6, 0)))
	})
	t.Run("a queue counts by the engine's own speed", func(t *testing.T) {
		assert.Equal(t, "fast", chosen(engineRequest(100), candidate("usual", 1, 4000), candidate("slow", 0.6, 4000), candidate("fast", 1.6, 5000)))
		assert.Equal(t, "usual", chosen(engineRequest(100), candidate("usual", 1, 0), candidate("fast", 1.6, 5000)))
	})
	t.Run("a plain response, too", func(t *testing.T) {
		n := Request{ID: "r", Service: "s"}
		slow, fast := candidate("slow", 0.6, 0), candidate("fast", 1.6, 0)
		assert.Equal(t, "fast", chosen(n, slow, fast))
		fast.Running = 8 * 0.7
		assert.Equal(t, "slow", chosen(n, slow, fast))
	})
	t.Run("a fast plain upstream that fails is chosen less, not more", func(t *testing.T) {
		n, e := Request{ID: "r", Service: "s"}, Service{ResponseMs: 200}
		usual, fast := candidate("usual", 1, 0), candidate("fast", 1.6, 0)
		assert.Less(t, cost(n, e, &fast), cost(n, e, &usual))
		last := cost(n, e, &fast)
		for _, v := range []float64{0.1, 0.25, 0.5} {
			fast.Failures = v
			assert.Greater(t, cost(n, e, &fast), last)
			last = cost(n, e, &fast)
		}
		assert.Greater(t, last, cost(n, e, &usual))
	})
	t.Run("an unknown speed is the usual", func(t *testing.T) {
		for _, n := range []Request{engineRequest(3000), {ID: "r", Service: "s"}} {
			a, b := candidate("a", 0, 1000), candidate("a", 1, 1000)
			assert.Equal(t, cost(n, e, &a), cost(n, e, &b))
		}
	})
}

func TestExpectationsBySpeed(t *testing.T) {
	expected := func(x float64) (ms float64, limit time.Duration) {
		p, _ := speedPools()
		know(p, "a", x)
		u := p.Pick(Request{ID: "r", Service: "s", Engine: true, Prompt: 3000, Output: 10, Excluded: map[string]bool{"b": true, "c": true}})
		defer u.End(ResultInconclusive)
		assert.Equal(t, x, u.Choice().Speed)
		return u.expectedMs, u.WaitLimit()
	}
	usual, limit := expected(1)
	slow, slowLimit := expected(0.5)
	assert.InDelta(t, 2*usual, slow, 0.001)
	assert.InDelta(t, float64(2*limit), float64(slowLimit), 1e3)
}

// TestLearnerIsTaughtUsualTimes: the figures of a service's engines are those of a usual one, whichever engines
// respond, and a roll-out's judge sees the times as they were.
func TestLearnerIsTaughtUsualTimes(t *testing.T) {
	p, c := speedPools()
	for id, x := range map[string]float64{"a": 0.5, "b": 1, "c": 2} {
		know(p, id, x)
	}
	for i := range 300 {
		tokens := float64(1000 + 100*(i%30))
		n := engineRequest(tokens)
		n.ID = fmt.Sprint(i)
		u := p.Pick(n)
		usual := 50 + tokens/20
		c.Advance(time.Duration(usual / u.speed * float64(time.Millisecond)))
		u.Started()
		c.Advance(time.Duration(80 / u.speed * float64(time.Millisecond)))
		u.End(ResultGood)
		assert.InDelta(t, usual/u.speed/u.usualMs, u.Lag(), 1e-9)
		if i%100 == 0 { // figures are kept for a while only
			for id, x := range map[string]float64{"a": 0.5, "b": 1, "c": 2} {
				know(p, id, x)
			}
		}
	}
	e := p.Engine("s")
	assert.InDelta(t, 20, e.Reading, 0.5)
	assert.InDelta(t, 50, e.First, 3)
	assert.InDelta(t, 8, e.Token, 0.3)
}

func TestCapacityBySpeed(t *testing.T) {
	p, c := speedPools()
	sum := func() float64 {
		s := 0.0
		for _, g := range p.Counts(nil) {
			s += g.Speed
		}
		return s
	}
	assert.Equal(t, 3.0, sum())
	know(p, "a", 0.6)
	know(p, "b", 1.6)
	assert.InDelta(t, 3.2, sum(), 1e-6)
	assert.InDelta(t, 3.2, p.sumSpeeds("s"), 1e-6)
	t.Run("the next incarnation starts at the usual", func(t *testing.T) {
		putUpstream(p, "b", 2)
		assert.InDelta(t, 2.6, sum(), 1e-6)
		know(p, "b", 1.6)
		assert.InDelta(t, 2.6, sum(), 1e-6, "a figure of the one before")
	})
	t.Run("a figure that isn't repeated is forgotten", func(t *testing.T) {
		c.Advance(speed.FigureTTL + time.Second)
		p.UpdateSpeeds()
		assert.Equal(t, 3.0, sum())
		assert.Equal(t, 3.0, p.sumSpeeds("s"))
	})
}

// TestSpeedsOfOperators: a change is told once, and the states show figure and evidence.
func TestSpeedsOfOperators(t *testing.T) {
	p, _ := speedPools()
	assert.Empty(t, p.UpdateSpeeds())
	know(p, "a", 0.6)
	know(p, "a", 0.62)
	l := p.UpdateSpeeds()
	if assert.Len(t, l, 1) {
		assert.Equal(t, "a", l[0].Entry.ID)
		assert.Equal(t, 1.0, l[0].Before)
		assert.InDelta(t, 0.6, l[0].Speed, 1e-9)
	}
	know(p, "a", 1)
	assert.Len(t, p.UpdateSpeeds(), 1, "it is the usual again")
	know(p, "a", 1.6)
	v := p.States("s")[0]
	assert.Equal(t, 1.6, v.Speed)
	assert.Equal(t, 100.0, v.SpeedEvidence)
	assert.Zero(t, p.States("s")[1].Speed)
}

// TestNodesLearnSpeeds: three nodes that swap what they have seen learn which upstreams are slow and fast, from plain
// responses as from engines.
func TestNodesLearnSpeeds(t *testing.T) {
	for name, engine := range map[string]bool{"plain": false, "engine": true} {
		t.Run(name, func(t *testing.T) {
			c := timer.NewManual(start)
			var nodes []*Pools
			for i := range 3 {
				p := New(c.Service(), fmt.Sprint("n", i), "h")
				for _, id := range []string{"a", "b", "c", "d", "e"} {
					putUpstream(p, id, 1)
				}
				nodes = append(nodes, p)
			}
			c.Advance(versionGrace)
			takes := map[string]float64{"a": 1 / 0.6, "b": 1 / 1.6, "c": 1, "d": 1, "e": 1}
			for i := range 4000 {
				p := nodes[i%3]
				n := Request{ID: fmt.Sprint(i), Service: "s", Engine: engine, Excluded: make(map[string]bool)}
				if engine {
					n.Prompt, n.Output = 600, 10
				}
				for k, id := range []string{"a", "b", "c", "d", "e"} {
					n.Excluded[id] = k != i%5 // each gets the same number of requests
				}
				u := p.Pick(n)
				c.Advance(time.Duration(takes[u.Entry().ID] * float64(5*time.Millisecond)))
				u.Started()
				u.End(ResultGood)
				if i%50 == 0 {
					for k, to := range nodes {
						to.UpdateSpeeds()
						for m, from := range nodes {
							if m != k {
								to.ApplySeenSpeeds(fmt.Sprint("n", m), from.SeenSpeeds())
							}
						}
					}
				}
			}
			for _, p := range nodes {
				for _, v := range p.States("s") {
					if want := 1 / takes[v.Entry.ID]; want != 1 {
						assert.InDelta(t, want, v.Speed, 0.2*want, v.Entry.ID)
					} else {
						assert.Zero(t, v.Speed, v.Entry.ID)
					}
				}
			}
		})
	}
}

// assertAllUsual checks that no upstream of the service is believed to differ.
func assertAllUsual(t *testing.T, p *Pools) {
	t.Helper()
	for _, v := range p.States("s") {
		assert.Zero(t, v.Speed, v.Entry.ID)
	}
}

// hallNodes returns three nodes that know equal upstreams, two in another hall, and lets them swap what they have seen.
func hallNodes(c *timer.Manual) (nodes []*Pools, swap func()) {
	for i := range 3 {
		p := New(c.Service(), fmt.Sprint("n", i), "h")
		p.Update(func(l *List) {
			for k, hall := range []string{"h", "h", "h", "far", "far"} {
				id := fmt.Sprint("u", k)
				l.Put(Item{Entry: Entry{ID: id, Service: "s", Address: "10.0.0.1:1", Hall: hall, Slots: 8, Born: 1}, Revision: 1})
			}
		})
		nodes = append(nodes, p)
	}
	c.Advance(versionGrace)
	return nodes, func() {
		for k, to := range nodes {
			to.UpdateSpeeds()
			for m, from := range nodes {
				if m != k {
					to.ApplySeenSpeeds(fmt.Sprint("n", m), from.SeenSpeeds())
				}
			}
		}
	}
}

// onlyAt returns a plain request that one of the five upstreams may take.
func onlyAt(k int) Request {
	n := Request{ID: "r", Service: "s", Excluded: make(map[string]bool)}
	for i := range 5 {
		n.Excluded[fmt.Sprint("u", i)] = i != k
	}
	return n
}

// TestDistanceIsNotSpeed: upstreams of a hall that is 5 ms away are as fast as those near by.
func TestDistanceIsNotSpeed(t *testing.T) {
	c := timer.NewManual(start)
	nodes, swap := hallNodes(c)
	for i := range 2000 {
		u := nodes[i%3].Pick(onlyAt(i % 5))
		took := 30 * time.Millisecond
		if u.Entry().Hall == "far" {
			took += 10 * time.Millisecond
		}
		c.Advance(took)
		u.Started()
		u.End(ResultGood)
		if i%8 == 0 {
			swap()
		}
	}
	assertAllUsual(t, nodes[0])
}

// TestQueueIsNotSpeed: a plain upstream that always has a queue is as fast as those that have none.
func TestQueueIsNotSpeed(t *testing.T) {
	c := timer.NewManual(start)
	nodes, swap := hallNodes(c)
	for i := range 2000 {
		queue := []*Use{nodes[i%3].Pick(onlyAt(i % 5))}
		for i%5 == 0 && len(queue) < 4 {
			queue = append(queue, nodes[i%3].Pick(onlyAt(0)))
		}
		for _, u := range queue {
			c.Advance(15 * time.Millisecond)
			u.Started()
			u.End(ResultGood)
		}
		if i%8 == 0 {
			swap()
		}
	}
	assertAllUsual(t, nodes[0])
}

// TestAbandonedResponsesCount: an upstream whose slow responses are abandoned isn't judged by its quick ones alone.
func TestAbandonedResponsesCount(t *testing.T) {
	c := timer.NewManual(start)
	nodes, swap := hallNodes(c)
	for i := range 2000 {
		u := nodes[i%3].Pick(onlyAt(i % 5))
		if i%40 != 0 && i%5 == 0 {
			c.Advance(60 * time.Millisecond)
			u.TimedOut(60 * time.Millisecond)
			u.End(ResultInconclusive)
		} else {
			c.Advance(20 * time.Millisecond)
			u.Started()
			u.End(ResultGood)
		}
		if i%8 == 0 {
			swap()
		}
	}
	assert.Less(t, nodes[0].States("s")[0].Speed, 0.7)
	assert.Greater(t, nodes[0].States("s")[0].Speed, 0.0)
}

// TestSpeedNeedsAnIncarnation: an upstream whose processes can't be told apart has no speed, nor has one that changed
// its service.
func TestSpeedNeedsAnIncarnation(t *testing.T) {
	p, _ := speedPools()
	putUpstream(p, "z", 0)
	p.ApplySpeedFigures([]speed.Figure{{Upstream: retry.Incarnation{ID: "z"}, Speed: 0.6, Weight: 100}})
	assertAllUsual(t, p)
	know(p, "a", 0.6)
	p.Update(func(l *List) {
		l.Put(Item{Entry: Entry{ID: "a", Service: "other", Address: "10.0.0.1:1", Hall: "h", Slots: 8, Born: 1}, Revision: 9})
	})
	p.UpdateSpeeds()
	assert.Equal(t, 1.0, p.speedOf(p.clock.Now(), p.members["a"]).Speed)
	assert.Equal(t, memberSpeed{}, p.members["a"].speed)
}
