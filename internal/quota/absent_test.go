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
