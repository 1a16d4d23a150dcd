package relay

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"spurhall.example/spurhall/internal/capacity"
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
			f.assertComplete(t)
		})
	}
}

// TestUpdatesArriveWithinThreeRounds: tokens charged at a node are known everywhere three rounds later.
func TestUpdatesArriveWithinThreeRounds(t *testing.T) {
	f := newFleet(5, 95)
	rounds(f, 5)
	for _, n := range f.nodes {
		f.work(n, "w", 7)
	}
	rounds(f, 3)
	f.assertComplete(t)
	for _, n := range f.nodes {
		for _, w := range n.updates {
			assert.LessOrEqual(t, w.Age, 2*reportInterval)
		}
	}
}

func TestMoreChangesThanADigestHolds(t *testing.T) {
	f := newFleet(2, 3*maxChanges)
	for _, n := range f.nodes {
		for ws := 0; ws < 5; ws++ {
			f.work(n, fmt.Sprint("w", ws), 1)
		}
	}
	rounds(f, 8)
	f.assertComplete(t)
}

func TestLostRelays(t *testing.T) {
	relaysOf := func(f *fleet, hall string) []*node {
		var list []*node
		for _, name := range f.rankedHall(f.nodes[0], hall).Relays().Names() {
			list = append(list, f.byName(name))
		}
		return list
	}
	settle := func(f *fleet) {
		rounds(f, 8)
		f.assertNeverMore(t)
	}
	t.Run("all relays of a hall are down", func(t *testing.T) {
		f := newFleet(3, 30)
		rounds(f, 4)
		for _, n := range relaysOf(f, "hall-1") {
			n.up = false
		}
		for _, n := range f.nodes {
			if n.up {
				f.work(n, "w", 3)
			}
		}
		settle(f)
		f.assertComplete(t)
	})
	t.Run("all relays of a hall restart", func(t *testing.T) {
		f := newFleet(3, 30)
		for _, n := range f.nodes {
			f.work(n, "w", 3)
		}
		rounds(f, 4)
		for _, n := range relaysOf(f, "hall-1") {
			f.start(n)
		}
		settle(f)
		f.assertComplete(t)
	})
	t.Run("a relay is partitioned from other halls", func(t *testing.T) {
		f := newFleet(3, 30)
		rounds(f, 4)
		a := relaysOf(f, "hall-1")[0]
		for _, n := range f.nodes {
			if n.hall != a.hall {
				f.partitioned[[2]string{min(a.name, n.name), max(a.name, n.name)}] = true
			}
		}
		for _, n := range f.nodes {
			f.work(n, "w", 3)
		}
		settle(f)
		for _, n := range f.nodes {
			assert.LessOrEqual(t, running(n.shares), 29, "load is counted twice at %s", n.name)
		}
		clear(f.partitioned)
		settle(f)
		f.assertComplete(t)
	})
	t.Run("a hall is partitioned and rejoins", func(t *testing.T) {
		f := newFleet(3, 30)
		rounds(f, 4)
		f.partitionHall("hall-2")
		for _, n := range f.nodes {
			f.work(n, "w", 5)
		}
		settle(f)
		for _, n := range f.nodes {
			for name := range n.updates {
				assert.Equal(t, n.hall == "hall-2", f.byName(name).hall == "hall-2", "%s at %s", name, n.name)
			}
		}
		clear(f.partitioned)
		settle(f)
		f.assertComplete(t)
	})
}

// TestCountsOutliveTheirProcess: all relays have the counts of a process's last report one round after the
// process was killed.
func TestCountsOutliveTheirProcess(t *testing.T) {
	f := newFleet(3, 30)
	rounds(f, 4)
	n := f.member()
	f.work(n, "w", 5)
	f.round()
	n.up = false
	rounds(f, 2)
	k := n.usage.Window(f.now)
	relays := 0
	for _, o := range f.nodes {
		if !o.up || !f.rankedHall(o, o.hall).Relays().Has(o.name) {
			continue
		}
		relays++
		assert.Equal(t, usage.Counts{"w": 1}, o.usage.Sum(k), "at %s", o.name)
	}
	assert.Equal(t, 6, relays)
}

// TestLateChangeOfFormerIncarnation: a change of a former process that a relay sends late does not affect the process
// that replaced it.
func TestLateChangeOfFormerIncarnation(t *testing.T) {
	b := NewAggregator("r", "r1")
	now := startTime.Add(time.Minute)
	b.ApplyReport(now, Report{Node: "a", Incarnation: "new", Sequence: 1, Uptime: time.Second, Spent: map[string]float64{"w": 1}})
	b.MergeGroup(now, Group{Relay: "q", Incarnation: "q1", Version: 9, Changes: []Change{
		{Node: "a", Incarnation: "old", Sequence: 50, Uptime: 30 * time.Second, Age: 2 * time.Second, Relay: "q", Spent: map[string]float64{"w": 900}},
	}})
	d := b.Digest(now, "", 0)
	assert.Len(t, d.Changes, 1)
	assert.Equal(t, "new", d.Changes[0].Incarnation)
	assert.Equal(t, map[string]float64{"w": 1}, d.Changes[0].Spent)
}

// TestRank: VMs with more cores come first, and the order of the others does not depend on them.
func TestRank(t *testing.T) {
	nodes := map[string]float64{"a": 0.2, "b": 0.2, "c": 0.8, "d": 0.2}
	before := Rank(nodes).Names()
	assert.Equal(t, "c", before[0])
	nodes["c"] = 0.2
	after := slices.DeleteFunc(Rank(nodes).Names(), func(n string) bool { return n == "c" })
	assert.Equal(t, before[1:], after)
}

// TestPlacementRepeats: a placement is sent once to each node, and again after placementRepeatAfter.
func TestPlacementRepeats(t *testing.T) {
	b := NewAggregator("r", "r1")
	p := pool.Placement{Prefix: 1, Upstream: "u"}
	now := startTime
	report := func(sequence uint64) {
		b.ApplyReport(now, Report{Node: "a", Incarnation: "1", Sequence: sequence, Placed: []pool.Placement{p}})
	}
	report(1)
	d := b.Digest(now, "b", 0)
	assert.Equal(t, []pool.Placement{p}, d.Placed)
	now = now.Add(reportInterval)
	report(2)
	d = b.Digest(now, "b", d.Version)
	assert.Empty(t, d.Placed, "it has been sent before")
	now = now.Add(placementRepeatAfter)
	b.Expire(now)
	report(3)
	assert.Equal(t, []pool.Placement{p}, b.Digest(now, "b", d.Version).Placed)
}

// TestNothingIsCountedTwiceOrLost applies kills, restarts, partitions and work in random order.
func TestNothingIsCountedTwiceOrLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 3).Draw(t, "halls"), rapid.IntRange(2, 24).Draw(t, "nodes"))
		any := func() *node { return f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(t, "node")] }
		t.Repeat(map[string]func(*rapid.T){
			"work": func(t *rapid.T) {
				if n := any(); n.up {
					f.work(n, fmt.Sprint("w", rapid.IntRange(0, 2).Draw(t, "workspace")), float64(rapid.IntRange(1, 9).Draw(t, "tokens")))
				}
			},
			"kill":    func(*rapid.T) { any().up = false },
			"restart": func(*rapid.T) { f.now = f.now.Add(time.Second); f.start(any()) },
			"partition": func(*rapid.T) {
				if a, b := any(), any(); a != b {
					f.partitioned[[2]string{min(a.name, b.name), max(a.name, b.name)}] = true
				}
			},
			"partition a hall": func(*rapid.T) { f.partitionHall(any().hall) },
			"heal":             func(*rapid.T) { clear(f.partitioned) },
			"round":            func(*rapid.T) { f.round() },
			"":                 func(t *rapid.T) { f.assertNeverMore(t); f.assertCounts(t, false) },
		})
		clear(f.partitioned)
		rounds(f, 10)
		f.assertComplete(t)
		f.assertCounts(t, true)
	})
}

// BenchmarkRelay simulates five seconds of a fleet at four rounds a second, with work at each node in each round. It
// reports the calls per second made and received by a node that is not a relay and by the busiest relay, the age of
// the oldest report that any node uses, and, for comparison, how often two nodes would exchange reports in pairs.
func BenchmarkRelay(b *testing.B) {
	for _, v := range []struct{ halls, nodes int }{{3, 30}, {5, 100}, {7, 300}, {9, 419}, {5, 985}, {5, 2000}} {
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
				b.ReportMetric(f.oldestReport().Seconds(), "s_oldest")
				b.ReportMetric((reportInterval * time.Duration(v.nodes-1) / 12).Seconds(), "s_pairs")
			}
		})
	}
}

// TestStatusAndWorkReachTheRelays checks that what a node states of itself reaches all relays and nodes, and its
// work all relays: in a large fleet nothing else shows them.
func TestStatusAndWorkReachTheRelays(t *testing.T) {
	f := newFleet(2, 30)
	node := f.nodes[7]
	node.status, node.sent = Status{StoreDown: true}, map[string]capacity.Work{"llm": {Prefill: 5}}
	for range 12 {
		f.round()
	}
	told := 0
	for _, o := range f.nodes {
		if u, ok := o.updates[node.name]; ok && u.Status == node.status {
			told++
		}
	}
	assert.Equal(t, len(f.nodes)-1, told)
	node.status = Status{Leaving: true}
	for range 12 {
		f.round()
	}
	for _, o := range f.nodes {
		if u, ok := o.updates[node.name]; ok {
			assert.Equal(t, node.status, u.Status)
		}
	}
	groups := 0
	for _, o := range f.nodes {
		for _, c := range o.aggregator.Group(f.now, 0).Changes {
			if c.Node == node.name && c.Work != nil {
				groups++
				assert.Equal(t, node.sent, c.Work)
			}
		}
	}
	assert.Positive(t, groups)
}
