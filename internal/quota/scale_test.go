package quota

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// largeQuotas returns the quotas of a node in a fleet, whose other nodes have each used a few workspaces.
func largeQuotas(nodes, workspaces int) (*Quotas, []Update) {
	q := New(start, true)
	limits := make(map[string]Limit, workspaces)
	for i := range workspaces {
		limits[fmt.Sprint("w", i)] = Limit{Rate: 1000, Burst: 10_000}
	}
	q.SetLimits(start, limits)
	names := make([]string, nodes-1)
	updates := make([]Update, nodes-1)
	for i := range names {
		names[i] = fmt.Sprint("edge-", i)
		charged := make(map[string]float64)
		for j := range 4 {
			charged[fmt.Sprint("w", (7*i+j)%workspaces)] = 50
		}
		updates[i] = Update{Node: names[i], Incarnation: "i", Sequence: 1, Uptime: time.Second, Charged: charged}
	}
	q.SetPeers(start, names)
	return q, updates
}

func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// TestMemoryOfALargeFleet: a node kept three maps with every workspace for each other node, 30 MB at 985 nodes and 333
// workspaces, though a node uses few of them.
func TestMemoryOfALargeFleet(t *testing.T) {
	before := heapInUse()
	q, updates := largeQuotas(985, 333)
	now := start
	for i := range 8 {
		now = now.Add(500 * time.Millisecond)
		q.StartRound(now, 500*time.Millisecond, 750*time.Millisecond)
		for _, u := range updates {
			u.Sequence += uint64(i)
			q.ApplyUpdate(now, u)
		}
	}
	used := heapInUse() - before
	runtime.KeepAlive(q)
	runtime.KeepAlive(updates)
	assert.Less(t, used, 4e6, "bytes, the updates themselves included")
}

// TestSilentFleetTakesLittleMemory checks the time before the first reports, when each other node is assumed to charge.
func TestSilentFleetTakesLittleMemory(t *testing.T) {
	before := heapInUse()
	q, _ := largeQuotas(985, 333)
	for i := range 8 {
		q.StartRound(start.Add(time.Duration(i)*time.Second), 500*time.Millisecond, 0)
	}
	used := heapInUse() - before
	runtime.KeepAlive(q)
	assert.Less(t, used, 5e6)
}

// TestUseOfPeersIsSummed checks that the recent use of all peers, which a node's share depends on, is that of the
// listed ones.
func TestUseOfPeersIsSummed(t *testing.T) {
	q, updates := largeQuotas(4, 10)
	sum := func(w string) float64 {
		x := 0.0
		for _, p := range q.peers {
			x += p.recent[w]
		}
		return x
	}
	assertSummed := func(when string) {
		t.Helper()
		for n, b := range q.buckets {
			assert.InDelta(t, sum(n), b.peersRecent, 1e-6, "%s: %s", when, n)
		}
	}
	for _, u := range updates {
		q.ApplyUpdate(start, u)
	}
	assertSummed("reported")
	q.StartRound(start.Add(time.Second), time.Second, 0)
	assertSummed("a round later")
	q.SetPeers(start.Add(time.Second), []string{"edge-0"})
	assertSummed("two are gone")
	q.SetPeers(start.Add(time.Second), []string{"edge-0", "edge-1", "edge-2"})
	assertSummed("they are back")
	q.SetLimits(start.Add(time.Second), map[string]Limit{"w0": {Rate: 1, Burst: 1}, "new": {Rate: 1, Burst: 1}})
	assertSummed("other workspaces")
}

// BenchmarkLargeFleet runs one round of a node: the start of a span, and a digest in which a fifth of the nodes has
// charged.
func BenchmarkLargeFleet(b *testing.B) {
	for _, v := range []struct{ nodes, workspaces int }{{95, 60}, {985, 333}, {2000, 333}} {
		b.Run(fmt.Sprintf("%d nodes, %d workspaces", v.nodes, v.workspaces), func(b *testing.B) {
			b.ReportAllocs()
			q, updates := largeQuotas(v.nodes, v.workspaces)
			now := start
			for b.Loop() {
				now = now.Add(250 * time.Millisecond)
				q.StartRound(now, 500*time.Millisecond, 750*time.Millisecond)
				for i := range updates {
					if i%5 == 0 {
						updates[i].Sequence++
					}
					q.ApplyUpdate(now, updates[i])
				}
			}
		})
	}
}
