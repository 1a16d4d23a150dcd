package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"spurhall.example/spurhall/internal/pool"
)

// placements returns some placements with distinct parts, from a number on.
func placements(from, n int) []pool.Placement {
	list := make([]pool.Placement, n)
	for i := range list {
		list[i] = pool.Placement{Prefix: uint64(from + i), Upstream: "u"}
	}
	return list
}

// TestNodesThatChangeRelaysAreSentAllPlacementsAgain: where a relay ends, all its nodes come to the next one in the same second.
func TestNodesThatChangeRelaysAreSentAllPlacementsAgain(t *testing.T) {
	now := startTime
	before, next := NewAggregator("before", "1"), NewAggregator("next", "1")
	before.ApplyReport(now, Report{Node: "other", Incarnation: "1", Sequence: 1, Placed: placements(0, 3000)})
	var moved View
	moved.ApplyDigest(now, "before", before.Digest(now, "moved", 0))
	now = now.Add(time.Minute)
	before.ApplyReport(now, Report{Node: "other", Incarnation: "1", Sequence: 2})
	moved.ApplyDigest(now, "before", before.Digest(now, "moved", moved.version))
	next.MergeGroup(now, before.Group(now, 0))
	next.ApplyReport(now, Report{Node: "third", Incarnation: "1", Sequence: 1, Placed: placements(9000, 5)})

	// ask lets a node report to the next relay and apply its digest.
	ask := func(node string, v *View, sequence uint64) Digest {
		next.ApplyReport(now, Report{Node: node, Incarnation: "1", Sequence: sequence})
		incarnation, version := v.KnownVersion(now, "next")
		if version == 0 {
			next.SetInformed(now, node, incarnation != "")
		}
		d := next.Digest(now, node, version)
		v.ApplyDigest(now, "next", d)
		return d
	}
	t.Run("a node that another relay has informed", func(t *testing.T) {
		d := ask("moved", &moved, 1)
		assert.Equal(t, placements(9000, 5), d.Placed, "what it may lack")
		assert.NotEmpty(t, d.Changes)
	})
	t.Run("what comes later", func(t *testing.T) {
		next.ApplyReport(now, Report{Node: "third", Incarnation: "1", Sequence: 2, Placed: placements(9100, 2)})
		assert.Equal(t, placements(9100, 2), ask("moved", &moved, 2).Placed)
	})
	t.Run("a backlog that the relay gets later", func(t *testing.T) {
		next.MergeGroup(now, Group{Relay: "far", Incarnation: "1", Version: 1, Placed: placements(20000, 2000)})
		assert.Empty(t, ask("moved", &moved, 3).Placed)
	})
	t.Run("a new process", func(t *testing.T) {
		assert.Len(t, ask("new", new(View), 1).Placed, maxPlacements)
	})
	t.Run("a node whose digests were lost on their way", func(t *testing.T) {
		assert.Len(t, ask("moved", new(View), 4).Placed, maxPlacements)
	})
	t.Run("a node that had no digest for long", func(t *testing.T) {
		var v View
		v.ApplyDigest(now.Add(-time.Minute), "before", Digest{Incarnation: "1"})
		assert.Len(t, ask("late", &v, 1).Placed, maxPlacements)
	})
}

const (
	reportsPerSecond = int(time.Second / reportInterval)
	// reportCost is the processor time that a report takes at a relay, with all that follows from it.
	reportCost = 2 * time.Millisecond
	// largestShare is the share of its processor time that a node may give to reports of others.
	largestShare = 0.5
)

// TestSmallVMsStarveAsTheyTakeOverAHall: where the large VMs of a hall are gone, two small ones had half of the hall each.
func TestSmallVMsStarveAsTheyTakeOverAHall(t *testing.T) {
	for _, small := range []float64{0.12, 0.144, 0.192} {
		for _, large := range []int{0, 1, 2} {
			t.Run(fmt.Sprint(small, "_cores_beside_", large), func(t *testing.T) {
				rapid.Check(t, func(t *rapid.T) {
					nodes := make(map[string]float64)
					for i := range large {
						nodes[fmt.Sprint("large-", i)] = 0.8
					}
					first := rapid.IntRange(0, 1000).Draw(t, "first")
					for i := range rapid.IntRange(8, 30).Draw(t, "small") {
						nodes[fmt.Sprint("edge-", first+i)] = small
					}
					hall, reports := Rank(nodes), make(map[string]int)
					for _, v := range hall {
						if !hall.Relays().Has(v.Name()) {
							reports[hall.ReportTargets(v.Name())[0]] += reportsPerSecond
						}
					}
					for name, n := range reports {
						assert.LessOrEqual(t, (time.Duration(n) * reportCost).Seconds(), largestShare*nodes[name], "%s has %d reports a second", name, n)
					}
				})
			})
		}
	}
}

func TestLargeVMsKeepAHallsRelays(t *testing.T) {
	for _, v := range []struct{ large, small, relays int }{{2, 27, 2}, {2, 21, 1}, {3, 17, 1}, {10, 197, 9}, {10, 174, 8}} {
		nodes := make(map[string]float64)
		for i := range v.large {
			nodes[fmt.Sprint("large-", i)] = 0.8
		}
		for i := range v.small {
			nodes[fmt.Sprint("edge-", i)] = 0.192
		}
		assert.Len(t, Rank(nodes).Active(), v.relays, "%d and %d", v.large, v.small)
	}
}

// TestRelaysDontGrowBeyondWhatTheyCanSwap: each relay swaps with all others of the fleet.
func TestRelaysDontGrowBeyondWhatTheyCanSwap(t *testing.T) {
	nodes := make(map[string]float64)
	for i := range 197 {
		nodes[fmt.Sprint("edge-", i)] = 0.192
		assert.LessOrEqual(t, len(Rank(nodes).Active()), max(maxForSmall, (i+24)/24))
	}
}

// TestSmallRelayGetsTheShareOfALargeOne: hashes alone gave a small relay as many nodes as the large one beside it.
func TestSmallRelayGetsTheShareOfALargeOne(t *testing.T) {
	pair, first := Rank(map[string]float64{"large": 0.8, "small": 0.2}), make(map[string]int)
	for i := range 1000 {
		first[pair.Spread(fmt.Sprint("edge-", i))[0]]++
	}
	assert.InDelta(t, 200, first["small"], 60, "a fifth of the nodes")
}
