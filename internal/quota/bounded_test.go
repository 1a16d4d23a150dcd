package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// half is a draw that decides nothing by chance.
func half() float64 { return 0.5 }

// TestLedger compares the ledger with a list of charges: it is right to the charges of a slot at either end.
func TestLedger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 8 * time.Second
		l := newLedger(window, 0)
		slot := window / ledgerSlots
		var list []charge
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "charges") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			tokens := float64(rapid.IntRange(0, 1000).Draw(t, "tokens"))
			l.add(now.Sub(start), tokens)
			list = append(list, charge{now, tokens})
			least, most := 0.0, 0.0
			for _, c := range list {
				if age := now.Sub(c.at); age < window+slot {
					most += c.tokens
					if age < window-slot {
						least += c.tokens
					}
				}
			}
			got := l.total(now.Sub(start))
			assert.True(t, got >= least-1e-6 && got <= most+1e-6, "%v is not from %v to %v", got, least, most)
		}
	})
}

// TestSpreadKeepsTheSum: what is spread over a part of the window is all in it.
func TestSpreadKeepsTheSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLedger(8*time.Second, 0)
		from := time.Duration(rapid.IntRange(0, 3900).Draw(t, "from")) * time.Millisecond
		to := from + time.Duration(rapid.IntRange(0, 3900).Draw(t, "long"))*time.Millisecond
		l.spread(from, to, 1000)
		assert.InDelta(t, 1000, l.total(to), 1e-6)
		l.spread(from, to, -400)
		assert.InDelta(t, 600, l.total(to), 1e-6)
	})
}

// TestSidesOfACutShareTheRoom: whatever set of nodes is cut off, and whatever was charged before, the rooms of both sides
// add up to no more than the bound leaves.
func TestSidesOfACutShareTheRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 30).Draw(t, "nodes")
		off := rapid.IntRange(1, n-1).Draw(t, "cut off")
		charged := float64(rapid.IntRange(0, 300_000).Draw(t, "charged"))
		later := time.Duration(rapid.IntRange(1000, 20_000).Draw(t, "ms later")) * time.Millisecond
		sum, left := 0.0, 0.0
		for _, ownSide := range []int{n - off, off} {
			q := New(start, true)
			q.SetBound(operators, half)
			q.SetLimits(start, map[string]Limit{"w": {Rate: 29_000, Burst: 29_000}})
			var names []string
			for i := range n - 1 {
				names = append(names, fmt.Sprint(i))
			}
			q.SetPeers(start, names)
			at := start.Add(3 * time.Second)
			for _, name := range names {
				c := map[string]float64{}
				if name == "0" {
					c["w"] = charged
				}
				q.ApplyUpdate(at, Update{Node: name, Incarnation: "i", Sequence: 1, Uptime: at.Sub(start), Charged: c})
			}
			now := at.Add(later)
			for i := range ownSide - 1 {
				q.ApplyUpdate(now, Update{Node: names[n-2-i], Incarnation: "i", Sequence: 2, Uptime: now.Sub(start)})
			}
			q.StartRound(now, 250*time.Millisecond, 0)
			b := q.buckets["w"]
			limit := q.boundTokens(q.offset(now), b)
			known := b.w.all.total(q.offset(now))
			sum += limit - known - q.silentReserve(q.offset(now), b, limit)
			left = limit - known
		}
		assert.LessOrEqual(t, sum, left+1)
	})
}

// TestRestoredWindow: a process continues from the charges that were stored, and each leaves the window in its time. One
// that knows nothing of the past, and hears of none that does, waits for a window.
func TestRestoredWindow(t *testing.T) {
	limits := map[string]Limit{"w": {Rate: 29_000, Burst: 29_000}}
	a := New(start, true)
	a.SetBound(operators, half)
	a.SetLimits(start, limits)
	a.SetPeers(start, nil)
	assert.True(t, a.Charge(start.Add(2*time.Second), "w", 300_000).Allowed)
	stored := a.Levels(start.Add(4 * time.Second))
	at := start.Add(4 * time.Second)
	newProcess := func(restore bool) *Quotas {
		q := New(at, false)
		q.SetBound(operators, half)
		q.SetLimits(at, limits)
		q.SetPeers(at, nil)
		if restore {
			assert.True(t, q.Restore(at, 0, 500*time.Millisecond, stored))
		}
		return q
	}
	q := newProcess(true)
	assert.False(t, q.Charge(at, "w", 100_000).Allowed)
	assert.True(t, q.Charge(at, "w", 20_000).Allowed)
	assert.True(t, q.Charge(start.Add(10700*time.Millisecond), "w", 300_000).Allowed)
	unknown := newProcess(false)
	assert.False(t, unknown.Charge(at.Add(7*time.Second), "w", 200).Allowed)
	assert.True(t, unknown.Charge(at.Add(8200*time.Millisecond), "w", 200).Allowed)
}

// TestPastFromPeers: a process that starts beside others learns from them what they have charged in the window.
func TestPastFromPeers(t *testing.T) {
	q := New(start, false)
	q.SetBound(operators, half)
	q.SetLimits(start, map[string]Limit{"w": {Rate: 29_000, Burst: 29_000}})
	q.SetPeers(start, []string{"b"})
	now := start.Add(100 * time.Millisecond)
	q.ApplyUpdate(now, Update{Node: "b", Incarnation: "i", Sequence: 1, Uptime: time.Minute, Charged: map[string]float64{"w": 9e6}, Uses: map[string]Use{"w": {Asked: 9e6, Recent: 50_000}}})
	total := func() float64 { return q.buckets["w"].w.all.total(q.offset(now)) }
	all := bound(Limit{Rate: 29_000, Burst: 29_000})
	assert.InDelta(t, 50_000+all/2, total(), 1000, "this node's part isn't known")
	assert.True(t, q.Charge(now, "w", 5000).Allowed)
	q.SetPeers(now, []string{"b", "c", "d"})
	assert.InDelta(t, 55_000+all*3/4, total(), 1000, "nor that of replaced nodes")
	parts := make([]float64, storedParts)
	parts[storedParts-1] = 70_000
	q.Restore(now, 200*time.Millisecond, 500*time.Millisecond, map[string]Level{"w": {Level: all - 70_000, Charged: parts}})
	assert.InDelta(t, 75_000+restartReserve*all, total(), 1000, "what was stored wins")
}

// TestFiguresOfFaultyPeers: what isn't a number of tokens is passed over.
func TestFiguresOfFaultyPeers(t *testing.T) {
	q := New(start, true)
	q.SetBound(operators, half)
	q.SetLimits(start, map[string]Limit{"w": {Rate: 29_000, Burst: 29_000}})
	for i, x := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -5, 1e300} {
		now := start.Add(time.Duration(i+1) * time.Second)
		q.ApplyUpdate(now, Update{Node: "b", Incarnation: "i", Sequence: uint64(2*i + 1), Uptime: time.Minute, Charged: map[string]float64{"w": x}, Uses: map[string]Use{"w": {Asked: x, Recent: x}}})
		assert.True(t, q.Charge(now, "w", 1000).Allowed, "%v", x)
		now = now.Add(500 * time.Millisecond)
		next := 1000 * float64(i+1)
		q.ApplyUpdate(now, Update{Node: "b", Incarnation: "i", Sequence: uint64(2*i + 2), Uptime: time.Minute, Charged: map[string]float64{"w": next}, Uses: map[string]Use{"w": {Asked: next, Recent: next}}})
		assert.InDelta(t, 2000*float64(i+1), q.buckets["w"].w.all.total(q.offset(now)), 1, "a valid report after %v", x)
	}
}

// TestMemoryUnderABound is TestMemoryOfALargeFleet under a bound.
func TestMemoryUnderABound(t *testing.T) {
	before := heapInUse()
	q, updates := largeQuotas(985, 333)
	bounded := New(start, true)
	bounded.SetBound(operators, half)
	limits := make(map[string]Limit)
	for n := range q.buckets {
		limits[n] = Limit{Rate: 1000, Burst: 10_000}
	}
	bounded.SetLimits(start, limits)
	for i := range 8 {
		now := start.Add(time.Duration(i+1) * 500 * time.Millisecond)
		bounded.StartRound(now, 500*time.Millisecond, 750*time.Millisecond)
		for _, u := range updates {
			u.Sequence += uint64(i)
			bounded.ApplyUpdate(now, u)
		}
	}
	q = nil
	used := heapInUse() - before
	runtime.KeepAlive(bounded)
	runtime.KeepAlive(updates)
	assert.Less(t, used, 5e6, "bytes, the updates themselves included")
}

// TestUnlistedSideOfACut: in a cut nodes drop out of the registry and go on to charge. They keep their part for some
// windows; those that leave while they are heard don't.
func TestUnlistedSideOfACut(t *testing.T) {
	for _, silent := range []bool{true, false} {
		q := New(start, true)
		q.SetBound(operators, half)
		q.SetLimits(start, map[string]Limit{"w": {Rate: 29_000, Burst: 29_000}})
		q.SetPeers(start, []string{"a", "b", "c"})
		report := func(at time.Duration, names ...string) {
			for _, n := range names {
				q.ApplyUpdate(start.Add(at), Update{Node: n, Incarnation: "i", Sequence: uint64(at), Uptime: at})
			}
			q.StartRound(start.Add(at), 250*time.Millisecond, 0)
		}
		report(2*time.Second, "a", "b", "c")
		report(5*time.Second, "a")
		if !silent {
			report(5100*time.Millisecond, "a", "b", "c")
		}
		q.SetPeers(start.Add(6*time.Second), []string{"a"})
		report(6*time.Second, "a")
		free := func(at time.Duration) float64 {
			b := q.buckets["w"]
			return 1 - q.silentReserve(at, b, 1000)/1000
		}
		want := 1.0
		if silent {
			want = 0.5
		}
		assert.InDelta(t, want, free(6*time.Second), 1e-9)
		report(40*time.Second, "a")
		assert.InDelta(t, 1, free(40*time.Second), 1e-9)
	}
}

// TestIdleNodeIsHeardThroughRelays: a node's own report is newer than its relay's word of it, which doesn't change while the
// node does nothing. It isn't silent, and what it was asked for is forgotten.
func TestIdleNodeIsHeardThroughRelays(t *testing.T) {
	q := New(start, true)
	q.SetBound(operators, half)
	q.SetLimits(start, map[string]Limit{"w": {Rate: 29_000, Burst: 29_000}})
	q.SetPeers(start, []string{"a"})
	u := Update{Node: "a", Incarnation: "i", Sequence: 5, Uptime: time.Second, Charged: map[string]float64{"w": 900}, Uses: map[string]Use{"w": {Asked: 900, Recent: 900}}}
	q.ApplyUpdate(start.Add(time.Second), u)
	assert.Positive(t, q.buckets["w"].peersRecent)
	for at := time.Second; at < 12*time.Second; at += 250 * time.Millisecond {
		now := start.Add(at)
		q.Heard(now, "a", "i", 100*time.Millisecond, 0)
		q.StartRound(now, 500*time.Millisecond, 750*time.Millisecond)
		assert.Zero(t, q.silentCount)
	}
	assert.Zero(t, q.buckets["w"].peersRecent)
	assert.Zero(t, q.buckets["w"].peersAsked)
}

// BenchmarkUnderABound runs one round of a node: the start of a span, and a digest in which a fifth of the nodes has
// charged; and a charge.
func BenchmarkUnderABound(b *testing.B) {
	for _, v := range []struct{ nodes, workspaces int }{{95, 60}, {985, 333}} {
		_, updates := largeQuotas(v.nodes, v.workspaces)
		limits := make(map[string]Limit)
		for i := range v.workspaces {
			limits[fmt.Sprint("w", i)] = Limit{Rate: 1e6, Burst: 1e6}
		}
		q := New(start, true)
		q.SetBound(operators, half)
		q.SetLimits(start, limits)
		now := start
		b.Run(fmt.Sprintf("round of %d nodes, %d workspaces", v.nodes, v.workspaces), func(b *testing.B) {
			for b.Loop() {
				now = now.Add(250 * time.Millisecond)
				q.StartRound(now, 500*time.Millisecond, 750*time.Millisecond)
				for i := range updates {
					if i%5 == 0 {
						updates[i].Sequence++
						updates[i].Charged = map[string]float64{fmt.Sprint("w", i%v.workspaces): float64(updates[i].Sequence)}
					}
					q.ApplyUpdate(now, updates[i])
				}
			}
		})
		b.Run(fmt.Sprintf("charge at %d nodes", v.nodes), func(b *testing.B) {
			for b.Loop() {
				now = now.Add(time.Millisecond)
				q.Charge(now, "w1", 100)
			}
		})
	}
}

// TestRefundsKeepToTheBound: two nodes admit all that they may. What was charged in the first window is refunded while new ones run;
// what ran in any window keeps to the bound.
func TestRefundsKeepToTheBound(t *testing.T) {
	for _, age := range []time.Duration{time.Second, 6 * time.Second, 9 * time.Second} {
		t.Run(fmt.Sprint("refunded after ", age), func(t *testing.T) { assertRefundsKeepToTheBound(t, age, 30*time.Millisecond) })
	}
}

// TestTwoNodesFarAboveTheLimit: two nodes that are asked for twenty times the limit keep to the bound.
func TestTwoNodesFarAboveTheLimit(t *testing.T) {
	assertRefundsKeepToTheBound(t, 0, 10*time.Millisecond)
}

// assertRefundsKeepToTheBound plays a request at each of two nodes every so often.
func assertRefundsKeepToTheBound(t *testing.T, refundedAfter, every time.Duration) {
	t.Helper()
	limit := Limit{Rate: 29_000, Burst: 29_000}
	nodes := []*Quotas{New(start, true), New(start, true)}
	names := []string{"a", "b"}
	for i, q := range nodes {
		q.SetBound(operators, rand.New(rand.NewPCG(uint64(i), 11)).Float64)
		q.SetLimits(start, map[string]Limit{"w": limit})
		q.SetPeers(start, []string{names[1-i]})
	}
	type request struct {
		at   time.Time
		node int
		ran  bool
	}
	var admitted []request
	worst, refunded := 0.0, 0
	for at := time.Duration(0); at < 40*time.Second; at += 10 * time.Millisecond {
		now := start.Add(at)
		for i, q := range nodes {
			if at%(250*time.Millisecond) == 0 {
				o := nodes[1-i]
				q.ApplyUpdate(now, Update{Node: names[1-i], Incarnation: "i", Uptime: at, Charged: o.Charged(), Uses: o.Uses(now)})
				q.StartRound(now, 250*time.Millisecond, 0)
			}
			if at%every == 0 && q.Charge(now, "w", 3000).Allowed {
				admitted = append(admitted, request{now, i, at >= operators.Window})
			}
		}
		sum := 0.0
		for k, r := range admitted {
			age := now.Sub(r.at)
			if !r.ran && refundedAfter > 0 && age == refundedAfter {
				nodes[r.node].Refund(now, "w", 3000, r.at)
				admitted[k].node = -1
				refunded++
			}
			if r.ran && age < operators.Window {
				sum += 3000
			}
		}
		worst = max(worst, sum/bound(limit))
	}
	t.Logf("at most %.3f of the bound, %d refunded", worst, refunded)
	assert.Equal(t, refundedAfter > 0, refunded > 0)
	assert.LessOrEqual(t, worst, 1.0)
}

// TestRefundAfterTheWindow: what has left the window is not refunded from what is in it.
func TestRefundAfterTheWindow(t *testing.T) {
	q := New(start, true)
	q.SetBound(operators, half)
	q.SetLimits(start, map[string]Limit{"w": {Rate: 29_000, Burst: 29_000}})
	q.SetPeers(start, nil)
	assert.True(t, q.Charge(start, "w", 4000).Allowed)
	now := start.Add(10 * time.Second)
	assert.True(t, q.Charge(now, "w", 5000).Allowed)
	q.Refund(now, "w", 4000, start)
	assert.InDelta(t, 5000, q.buckets["w"].w.all.total(q.offset(now)), 1e-6)
}

// TestWorkspaceListedAgain: a workspace that is dropped and listed again has the charges of its window, at a node and at its
// peers.
func TestWorkspaceListedAgain(t *testing.T) {
	limits := map[string]Limit{"w": {Rate: 29_000, Burst: 29_000}}
	a, b := New(start, true), New(start, true)
	for i, q := range []*Quotas{a, b} {
		q.SetBound(operators, half)
		q.SetLimits(start, limits)
		q.SetPeers(start, []string{[]string{"b", "a"}[i]})
	}
	hear := func(now time.Time) {
		a.ApplyUpdate(now, Update{Node: "b", Incarnation: "i", Uptime: now.Sub(start), Charged: b.Charged(), Uses: b.Uses(now)})
	}
	total := func(q *Quotas, now time.Time) float64 { return q.buckets["w"].w.all.total(q.offset(now)) }
	now := start.Add(time.Second)
	for range 20 {
		assert.True(t, a.Charge(now, "w", 1000).Allowed)
		assert.True(t, b.Charge(now, "w", 1000).Allowed)
	}
	hear(now)
	for _, q := range []*Quotas{a, b} {
		q.SetLimits(now, nil)
		assert.True(t, q.Charge(now, "w", 1e9).Allowed, "it has no limit")
		q.SetLimits(now.Add(time.Second), limits)
	}
	now = now.Add(time.Second)
	hear(now)
	assert.InDelta(t, 40_000, total(a, now), 1)
	assert.InDelta(t, 20_000, total(b, now), 1)
	b.buckets["w"].charged, b.buckets["w"].w.refunded = 3000, 0 // it was dropped for longer
	now = now.Add(time.Second)
	hear(now)
	assert.InDelta(t, 43_000, total(a, now), 1)
	a.SetLimits(now, nil)
	a.StartRound(now.Add(20*time.Second), 250*time.Millisecond, 0)
	assert.Empty(t, a.buckets)
}

// TestLoweredAgain: neither the same limit again nor a second lower one puts off the end of the first lowering.
func TestLoweredAgain(t *testing.T) {
	limit := func(x float64) map[string]Limit { return map[string]Limit{"w": {Rate: x, Burst: x}} }
	q := New(start, true)
	q.SetBound(operators, half)
	q.SetLimits(start, limit(100_000))
	at := func(d time.Duration) float64 { return q.boundTokens(d, q.buckets["w"]) }
	high, low, lower := at(0), bound(limit(50_000)["w"]), bound(limit(40_000)["w"])
	for d := time.Duration(0); d <= 4*time.Second; d += time.Second {
		q.SetLimits(start.Add(d), limit(50_000))
	}
	assert.InDelta(t, (high+low)/2, at(4*time.Second), 1)
	q.SetLimits(start.Add(4*time.Second), limit(40_000))
	assert.InDelta(t, (high+low)/2, at(4*time.Second), 1)
	assert.InDelta(t, ((high+low)/2+lower)/2, at(6*time.Second), 1)
	assert.InDelta(t, lower, at(8*time.Second), 1)
	q.SetLimits(start.Add(9*time.Second), limit(30_000))
	assert.InDelta(t, lower, at(9*time.Second), 1, "a later one has its own window")
}

// TestUseSinceLevelsWereStored: levels may be seconds old, as they aren't stored again while little changes. Use went on.
func TestUseSinceLevelsWereStored(t *testing.T) {
	for _, v := range []struct{ use, want float64 }{{10_000, 50_000}, {1e6, bound(Limit{Rate: 29_000, Burst: 29_000})}} {
		q := New(start, false)
		q.SetBound(operators, half)
		q.SetLimits(start, map[string]Limit{"w": {Rate: 29_000, Burst: 29_000}})
		q.SetPeers(start, nil)
		assert.True(t, q.Restore(start, 5*time.Second, 500*time.Millisecond, map[string]Level{"w": {Use: v.use, Charged: make([]float64, storedParts)}}))
		all := bound(Limit{Rate: 29_000, Burst: 29_000})
		assert.InDelta(t, v.want+restartReserve*all, q.buckets["w"].w.all.total(0), 1)
	}
}

// TestSpreadOfShortWaits: callers that have short to wait don't come back together.
func TestSpreadOfShortWaits(t *testing.T) {
	draw := 0.0
	q := New(start, true)
	q.SetBound(operators, func() float64 { return draw })
	var waits []time.Duration
	for _, draw = range []float64{0, 0.25, 0.5, 0.75} {
		waits = append(waits, q.retryWait(0))
	}
	assert.Equal(t, []time.Duration{100 * time.Millisecond, 125 * time.Millisecond, 150 * time.Millisecond, 175 * time.Millisecond}, waits)
}

// TestDemandBesideAnOlderBuild: a relay of the build before leaves out what a node was asked for. The next report that has it
// doesn't count all that the node was ever asked for as new.
func TestDemandBesideAnOlderBuild(t *testing.T) {
	q := New(start, true)
	q.SetBound(operators, half)
	q.SetLimits(start, map[string]Limit{"w": {Rate: 29_000, Burst: 29_000}})
	q.SetPeers(start, []string{"b"})
	report := func(i int, uses map[string]Use) float64 {
		now := start.Add(time.Duration(i) * 500 * time.Millisecond)
		q.ApplyUpdate(now, Update{Node: "b", Incarnation: "i", Sequence: uint64(i), Uptime: time.Minute, Charged: map[string]float64{"w": 1e6}, Uses: uses})
		return q.buckets["w"].peersRecent
	}
	asked := func(x float64) map[string]Use { return map[string]Use{"w": {Asked: x}} }
	report(1, nil)
	base := report(2, nil)
	assert.LessOrEqual(t, report(3, asked(2e6)), base, "the first figure")
	report(4, nil)
	assert.Less(t, report(5, asked(2e6+1000)), base+1000)
}

// TestSuspendedProcess: a process that goes on after it was suspended doesn't take the others for heard.
func TestSuspendedProcess(t *testing.T) {
	q := New(start, true)
	q.SetBound(operators, half)
	q.SetLimits(start, map[string]Limit{"w": {Rate: 29_000, Burst: 29_000}})
	q.SetPeers(start, []string{"b", "c", "d"})
	now := start.Add(5 * time.Second)
	for _, n := range []string{"b", "c", "d"} {
		q.ApplyUpdate(now, Update{Node: n, Incarnation: "i", Sequence: 1, Uptime: 5 * time.Second})
	}
	q.StartRound(now, 250*time.Millisecond, 0)
	v := q.Charge(now.Add(20*time.Second), "w", 1000)
	assert.Greater(t, v.Reserved, 0.7*bound(Limit{Rate: 29_000, Burst: 29_000}), "three of four parts")
}

// TestLeaverHasNoPart: a node that says that it leaves and isn't heard any more has stopped.
func TestLeaverHasNoPart(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		q := New(start, true)
		q.SetBound(operators, half)
		q.SetLimits(start, map[string]Limit{"w": {Rate: 29_000, Burst: 29_000}})
		q.SetPeers(start, []string{"b"})
		now := start.Add(5 * time.Second)
		q.ApplyUpdate(now, Update{Node: "b", Incarnation: "i", Sequence: 1, Uptime: 5 * time.Second, Charged: map[string]float64{"w": 700}, Leaving: leaving})
		silent := func(d time.Duration) float64 {
			q.StartRound(now.Add(d), 250*time.Millisecond, 0)
			return q.silentCount
		}
		assert.Zero(t, silent(0))
		want := 1.0
		if leaving {
			want = 0
		}
		assert.Equal(t, want, silent(2*time.Second), "leaving: %v", leaving)
		q.SetPeers(now.Add(4*time.Second), nil)
		assert.Equal(t, want, silent(4*time.Second), "leaving: %v", leaving)
		assert.InDelta(t, 700, q.buckets["w"].w.all.total(9*time.Second), 1, "its last charges stay")
	}
}

// TestRelayVouchesForASilentNode: what this node knew when it last heard of a node through a relay is what the node may have
// known when it reported last.
func TestRelayVouchesForASilentNode(t *testing.T) {
	for _, vouched := range []time.Duration{0, time.Second} {
		q := New(start, true)
		q.SetBound(operators, half)
		q.SetLimits(start, map[string]Limit{"w": {Rate: 29_000, Burst: 29_000}})
		q.SetPeers(start, []string{"b"})
		assert.True(t, q.Charge(start.Add(4500*time.Millisecond), "w", 1000).Allowed)
		now := start.Add(5 * time.Second)
		q.ApplyUpdate(now, Update{Node: "b", Incarnation: "i", Sequence: 1, Uptime: 5 * time.Second, Vouched: vouched})
		q.StartRound(now.Add(2*time.Second), 250*time.Millisecond, 0)
		want := 5000.0 // half of the room with that charge
		if vouched == 0 {
			want = 4500
		}
		assert.InDelta(t, want, q.silentReserve(7*time.Second, q.buckets["w"], 10_000), 1, "vouched for: %v", vouched)
	}
}
