package relay

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/usage"
)

func TestEachNodeKnowsAllOthers(t *testing.T) {
	for _, v := range []struct{ halls, nodes int }{{1, 1}, {1, 3}, {3, 14}, {5, 95}, {2, 120}} {
		t.Run(fmt.Sprint(v.nodes, " nodes in ", v.halls), func(t *testing.T) {
			f := newFleet(v.halls, v.nodes)
			for i, n := range f.nodes {
				f.work(n, "w", float64(i+1))
			}
			rounds(f, 5)
			f.assertWhole(t)
		})
	}
}

// TestFiguresAreFresh: what a node charged is known everywhere three rounds later.
func TestFiguresAreFresh(t *testing.T) {
	f := newFleet(5, 95)
	rounds(f, 5)
	for _, n := range f.nodes {
		f.work(n, "w", 7)
	}
	rounds(f, 3)
	f.assertWhole(t)
	for _, n := range f.nodes {
		for _, w := range n.words {
			assert.LessOrEqual(t, w.Age, 2*every)
		}
	}
}

func TestManyChangesComeInTurn(t *testing.T) {
	f := newFleet(2, 3*changesLimit)
	for _, n := range f.nodes {
		for ws := 0; ws < 5; ws++ {
			f.work(n, fmt.Sprint("w", ws), 1)
		}
	}
	rounds(f, 8)
	f.assertWhole(t)
}

func TestRelaysThatAreLost(t *testing.T) {
	relaysOf := func(f *fleet, hall string) []*node {
		var list []*node
		for _, name := range Relays(f.hallOf(f.nodes[0], hall)) {
			list = append(list, f.byName(name))
		}
		return list
	}
	settle := func(f *fleet) {
		rounds(f, 8)
		f.assertNeverMore(t)
	}
	t.Run("all relays of a hall are killed", func(t *testing.T) {
		f := newFleet(3, 30)
		rounds(f, 4)
		for _, n := range relaysOf(f, "hall-1") {
			n.alive = false
		}
		for _, n := range f.nodes {
			if n.alive {
				f.work(n, "w", 3)
			}
		}
		settle(f)
		f.assertWhole(t)
	})
	t.Run("and come back as new processes", func(t *testing.T) {
		f := newFleet(3, 30)
		for _, n := range f.nodes {
			f.work(n, "w", 3)
		}
		rounds(f, 4)
		for _, n := range relaysOf(f, "hall-1") {
			f.start(n)
		}
		settle(f)
		f.assertWhole(t)
	})
	t.Run("a relay is cut off from other halls", func(t *testing.T) {
		f := newFleet(3, 30)
		rounds(f, 4)
		a := relaysOf(f, "hall-1")[0]
		for _, n := range f.nodes {
			if n.hall != a.hall {
				f.cut[[2]string{min(a.name, n.name), max(a.name, n.name)}] = true
			}
		}
		for _, n := range f.nodes {
			f.work(n, "w", 3)
		}
		settle(f)
		for _, n := range f.nodes {
			assert.LessOrEqual(t, running(n.share), 29, "nothing is counted twice at %s", n.name)
		}
		clear(f.cut)
		settle(f)
		f.assertWhole(t)
	})
	t.Run("a hall is cut off and comes back", func(t *testing.T) {
		f := newFleet(3, 30)
		rounds(f, 4)
		f.cutHall("hall-2")
		for _, n := range f.nodes {
			f.work(n, "w", 5)
		}
		settle(f)
		for _, n := range f.nodes {
			for name := range n.words {
				assert.Equal(t, n.hall == "hall-2", f.byName(name).hall == "hall-2", "%s at %s", name, n.name)
			}
		}
		clear(f.cut)
		settle(f)
		f.assertWhole(t)
	})
}

// TestCountsOutliveTheirProcess: all relays have what a process counted up to its last
// report, a round after it died.
func TestCountsOutliveTheirProcess(t *testing.T) {
	f := newFleet(3, 30)
	rounds(f, 4)
	n := f.member()
	f.work(n, "w", 5)
	f.round()
	n.alive = false
	rounds(f, 2)
	k := n.usage.Window(f.now)
	relays := 0
	for _, o := range f.nodes {
		if !o.alive || !slices.Contains(Relays(f.hallOf(o, o.hall)), o.name) {
			continue
		}
		relays++
		assert.Equal(t, usage.Counts{"w": 1}, o.usage.Sum(k), "at %s", o.name)
	}
	assert.Equal(t, 6, relays)
}

// TestLateWordOfAnOldProcess: what a relay hands on late of a process that is gone changes
// nothing of the one that has taken its place.
func TestLateWordOfAnOldProcess(t *testing.T) {
	b := NewAggregator("r", "r1")
	now := start.Add(time.Minute)
	b.ApplyReport(now, Report{Node: "a", Incarnation: "new", Sequence: 1, Uptime: time.Second, Spent: map[string]float64{"w": 1}})
	b.MergeGroup(now, Group{Relay: "q", Incarnation: "q1", Version: 9, Changes: []Change{
		{Node: "a", Incarnation: "old", Sequence: 50, Uptime: 30 * time.Second, Age: 2 * time.Second, Relay: "q", Spent: map[string]float64{"w": 900}},
	}})
	d := b.Digest(now, "", 0)
	assert.Len(t, d.Changes, 1)
	assert.Equal(t, "new", d.Changes[0].Incarnation)
	assert.Equal(t, map[string]float64{"w": 1}, d.Changes[0].Spent)
}

// TestOrder: VMs with more cores come first, and others keep their places among themselves.
func TestOrder(t *testing.T) {
	nodes := map[string]float64{"a": 0.2, "b": 0.2, "c": 0.8, "d": 0.2}
	before := RankNodes(nodes)
	assert.Equal(t, "c", before[0])
	nodes["c"] = 0.2
	after := slices.DeleteFunc(RankNodes(nodes), func(n string) bool { return n == "c" })
	assert.Equal(t, before[1:], after)
}

// TestPlacements: each is told once to each node, and anew after a while.
func TestPlacements(t *testing.T) {
	b := NewAggregator("r", "r1")
	p := pool.Placement{Prefix: 1, Upstream: "u"}
	now := start
	report := func(sequence uint64) {
		b.ApplyReport(now, Report{Node: "a", Incarnation: "1", Sequence: sequence, Placed: []pool.Placement{p}})
	}
	report(1)
	d := b.Digest(now, "b", 0)
	assert.Equal(t, []pool.Placement{p}, d.Placed)
	now = now.Add(every)
	report(2)
	d = b.Digest(now, "b", d.Version)
	assert.Empty(t, d.Placed, "it was told")
	now = now.Add(placedAgain)
	b.Expire(now)
	report(3)
	assert.Equal(t, []pool.Placement{p}, b.Digest(now, "b", d.Version).Placed)
}

// TestNothingIsCountedTwiceOrLost plays kills, restarts, cuts and work in any order.
func TestNothingIsCountedTwiceOrLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 3).Draw(t, "halls"), rapid.IntRange(2, 24).Draw(t, "nodes"))
		any := func() *node { return f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(t, "node")] }
		t.Repeat(map[string]func(*rapid.T){
			"work": func(t *rapid.T) {
				if n := any(); n.alive {
					f.work(n, fmt.Sprint("w", rapid.IntRange(0, 2).Draw(t, "workspace")), float64(rapid.IntRange(1, 9).Draw(t, "tokens")))
				}
			},
			"kill":    func(*rapid.T) { any().alive = false },
			"restart": func(*rapid.T) { f.now = f.now.Add(time.Second); f.start(any()) },
			"cut": func(*rapid.T) {
				if a, b := any(), any(); a != b {
					f.cut[[2]string{min(a.name, b.name), max(a.name, b.name)}] = true
				}
			},
			"cut a hall": func(*rapid.T) { f.cutHall(any().hall) },
			"heal":       func(*rapid.T) { clear(f.cut) },
			"round":      func(*rapid.T) { f.round() },
			"":           func(t *rapid.T) { f.assertNeverMore(t); f.assertCounts(t, false) },
		})
		clear(f.cut)
		rounds(f, 10)
		f.assertWhole(t)
		f.assertCounts(t, true)
	})
}

// BenchmarkRelay plays five seconds of a fleet with three requests a second at each node,
// and reports what a node does and knows: calls made and answered by a node that is no relay
// and by the busiest relay, the age of the oldest report that any node goes by, and, beside
// it, how often nodes that swap in pairs would hear from each other.
func BenchmarkRelay(b *testing.B) {
	for _, v := range []struct{ halls, nodes int }{{3, 30}, {5, 100}, {7, 300}, {9, 419}} {
		b.Run(benchmarkName(v.nodes), func(b *testing.B) {
			for i := 0; i < b.N; i++ {
				f := newFleet(v.halls, v.nodes)
				most := 0
				for r := 0; r < 20; r++ {
					for k, n := range f.nodes {
						f.work(n, fmt.Sprint("w", (k+r)%13), 100)
					}
					f.round()
				}
				for _, c := range f.calls {
					most = max(most, c)
				}
				b.ReportMetric(float64(f.calls[f.member().name])/5, "calls/s_member")
				b.ReportMetric(float64(most)/5, "calls/s_most")
				b.ReportMetric(f.oldest().Seconds(), "s_oldest")
				b.ReportMetric((every * time.Duration(v.nodes-1) / 12).Seconds(), "s_pairs")
			}
		})
	}
}
