package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// This file plays nodes that can't be heard, and may be charging.

// hallRate is the quota of the played workspaces, in tokens a second and as the burst.
var hallRate = Limit{Rate: 140_000, Burst: 140_000}

// cutOff cuts the first so many nodes off from the others, and from the store, for 14 s.
func cutOff(nodes int) func(at time.Duration, node int) int {
	return func(at time.Duration, node int) int {
		if at >= 4*time.Second && at < 18*time.Second && node < nodes {
			return 1
		}
		return 0
	}
}

// assertWithinBound checks a play with several seeds against the operators' bound, and that it admits something.
func assertWithinBound(t *testing.T, p play) {
	t.Helper()
	for seed := range uint64(4) {
		r := p.run(seed)
		assert.LessOrEqual(t, r.worst, 1.0, "seed %d: %v", seed, r)
		assert.Positive(t, r.tokens)
	}
}

// TestUnlistedNodesBehindACutChargeOn: a node that was neither heard nor listed counted as charging nothing, while it served its
// callers behind a cut.
func TestUnlistedNodesBehindACutChargeOn(t *testing.T) {
	for _, n := range []int{1, 2, 3, 4} {
		for _, demand := range []float64{1.5, 3, 7} {
			t.Run(fmt.Sprintf("%d of 8 nodes, %.1f of the limit", n, demand), func(t *testing.T) {
				assertWithinBound(t, play{nodes: 8, limit: hallRate, demand: demand, cut: cutOff(n), unlisted: true, duration: 24 * time.Second})
			})
		}
	}
}

// TestWhoSharesAQuota: departures that are told count at once, others after minutes.
func TestWhoSharesAQuota(t *testing.T) {
	known := func(leaving bool) *Quotas {
		q := New(start, false)
		q.SetPeers(start, []string{"b"})
		q.ApplyUpdate(start, Update{Node: "b", Incarnation: "1", Sequence: 1, Leaving: leaving})
		return q
	}
	assertNodes := func(t *testing.T, want int, q *Quotas, after time.Duration) {
		t.Helper()
		q.SetPeers(start.Add(after), nil)
		assert.Equal(t, want, q.Sharing().Nodes)
	}
	t.Run("a node that is listed no longer", func(t *testing.T) { assertNodes(t, 2, known(false), time.Minute) })
	t.Run("not one that has said that it leaves", func(t *testing.T) { assertNodes(t, 1, known(true), time.Second) })
	t.Run("not one that was lost minutes ago", func(t *testing.T) { assertNodes(t, 1, known(false), peerTTL+time.Second) })
	t.Run("its next process, heard again", func(t *testing.T) {
		q := known(true)
		q.ApplyUpdate(start.Add(time.Second), Update{Node: "b", Incarnation: "2", Sequence: 1})
		assertNodes(t, 2, q, 10*time.Second)
	})
}

// fleetHalls are the halls of the played nodes.
var fleetHalls = []int{0, 0, 0, 1, 1, 1, 2, 2}

// hallCut cuts the first hall off from the others for 14 s, or each from each other.
func hallCut(all bool) func(at time.Duration, node int) int {
	return func(at time.Duration, node int) int {
		if at < 4*time.Second || at >= 18*time.Second || !all && fleetHalls[node] != 0 {
			return 0
		}
		return 1 + fleetHalls[node]
	}
}

// startIn starts new processes at some time, or again and again from then on, in the first hall or in all.
func startIn(all bool, again time.Duration) func(at time.Duration, node int) bool {
	const first = 6 * time.Second
	return func(at time.Duration, node int) bool {
		if !all && fleetHalls[node] != 0 {
			return false
		}
		return at == first || again > 0 && at > first && at < 18*time.Second && (at-first)%again == 0
	}
}

// TestProcessesThatStartBehindACutTakeThemselvesForAll: each side of a cut spent all of a quota once its processes had started
// there without the registry.
func TestProcessesThatStartBehindACutTakeThemselvesForAll(t *testing.T) {
	for _, v := range []struct {
		name     string
		cutAll   bool
		startAll bool
		again    time.Duration
	}{
		{"one hall is cut off, and its processes start", false, false, 0},
		{"one hall is cut off, and all processes start", false, true, 0},
		{"halls apart, all processes start", true, true, 0},
		{"halls apart, all processes start again and again", true, true, 1500 * time.Millisecond},
	} {
		for _, demand := range []float64{1.5, 3, 7} {
			t.Run(fmt.Sprintf("%s, %.1f of the limit", v.name, demand), func(t *testing.T) {
				assertWithinBound(t, play{nodes: 8, limit: hallRate, demand: demand, cut: hallCut(v.cutAll), starts: startIn(v.startAll, v.again), halls: fleetHalls, duration: 26 * time.Second})
			})
		}
	}
}

// TestLevelsOfAnotherNode: a process that knows nothing of before goes on from the levels of one that does.
func TestLevelsOfAnotherNode(t *testing.T) {
	l := Limit{Rate: 100, Burst: 1000}
	started := func() *Quotas {
		q := New(start, false)
		q.SetLimits(start, map[string]Limit{"w": l})
		return q
	}
	level := func(q *Quotas) float64 { return q.Levels(start)["w"].Level }
	t.Run("less what it has charged itself", func(t *testing.T) {
		q := started()
		q.SetPeers(start, []string{"b"})
		assert.True(t, q.Charge(start, "w", 100).Allowed)
		assert.True(t, q.Adopt(start, map[string]Level{"w": {Level: 800}}))
		assert.InDelta(t, 700, level(q), 0.1)
		assert.Equal(t, StartHeard, q.Sharing().Start)
	})
	t.Run("what was assumed here isn't returned", func(t *testing.T) {
		q := started()
		q.StartRound(start.Add(time.Second), time.Second, 0)
		q.Adopt(start.Add(time.Second), map[string]Level{"w": {Level: -50}})
		q.SetPeers(start.Add(time.Second), []string{"b"})
		assert.InDelta(t, -50, q.Levels(start.Add(time.Second))["w"].Level, 0.1)
	})
	t.Run("once, and not in place of better ones", func(t *testing.T) {
		q := started()
		assert.True(t, q.Adopt(start, map[string]Level{"w": {Level: 800}}))
		assert.False(t, q.Adopt(start, map[string]Level{"w": {Level: 900}}))
		assert.False(t, q.Restore(start, time.Second, time.Second, map[string]Level{"w": {Level: 900}}))
		assert.False(t, New(start, true).Adopt(start, map[string]Level{"w": {Level: 1}}), "a first start has full buckets")
	})
}

// TestStaleLevelsCountForAllThatWasCharged: levels that were stored before the store was lost took the refill since, and half a second of use.
func TestStaleLevelsCountForAllThatWasCharged(t *testing.T) {
	q := New(start, false)
	q.SetLimits(start, map[string]Limit{"w": {Rate: 100, Burst: 1000}})
	assert.True(t, q.Restore(start, 2500*time.Millisecond, 500*time.Millisecond, map[string]Level{"w": {Level: 0, Use: 100}}))
	assert.InDelta(t, 200, q.Levels(start)["w"].Level, 1, "of a workspace at its limit")
	assert.True(t, q.Adopt(start, map[string]Level{"w": {Level: 3}}))
	assert.InDelta(t, 3, q.Levels(start)["w"].Level, 1)
	t.Run("fresh ones stand", func(t *testing.T) {
		q := New(start, false)
		q.Restore(start, 500*time.Millisecond, 500*time.Millisecond, map[string]Level{"w": {Level: 5}})
		assert.False(t, q.Adopt(start, map[string]Level{"w": {Level: 3}}))
	})
}
