package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// This file is quotas over restarts and cuts.

// TestSumHoldsOverRestarts kills all processes twice within a window, under a rush of eight
// times the rate.
func TestSumHoldsOverRestarts(t *testing.T) {
	f := newFleet(6, Limit{Rate: 100_000, Burst: 100_000})
	for k := 0; k < 240; k++ {
		now := start.Add(time.Duration(k) * 50 * time.Millisecond)
		for i := range f.nodes {
			f.charge(now, i, 7000)
		}
		if k == 60 || k == 120 {
			for i := range f.nodes {
				f.nodes[i] = New(now, false)
				f.nodes[i].SetLimits(now, map[string]Limit{"w": f.limit})
				f.nodes[i].SetPeers(now, f.others(i))
			}
		}
		if k%5 == 0 {
			f.exchange(now, together)
		}
	}
	assert.LessOrEqual(t, f.most(8*time.Second), (100_000*8+100_000)*1.1+72000)
}

// restart starts a node's process anew: it knows nobody until the next exchange.
func (f *fleet) restart(now time.Time, i int) {
	f.nodes[i] = New(now, false)
	f.nodes[i].SetLimits(now, map[string]Limit{"w": f.limit})
	f.lives[i]++
	f.began[i] = now
	f.alone[i] = true
}

// recall lets a node that has just started go on from what another wrote down before.
func (f *fleet) recall(now time.Time, i int, written map[string]Level, age time.Duration) {
	f.nodes[i].Restore(now, age, 500*time.Millisecond, written)
}

// TestSumHoldsWhenAllStartAgain kills all processes twice, half a second each, under a rush
// of several times the rate that has begun a second before: no process knows the others at
// first, and each begins with a part of the bucket.
func TestSumHoldsWhenAllStartAgain(t *testing.T) {
	for _, x := range []float64{2, 8, 40} {
		t.Run(fmt.Sprint(x, " times the rate"), func(t *testing.T) { assertHoldsWhenAllStartAgain(t, x, false, 0) })
		t.Run(fmt.Sprint(x, " times the rate, levels written down"), func(t *testing.T) { assertHoldsWhenAllStartAgain(t, x, true, 0) })
		t.Run(fmt.Sprint(x, " times the rate, begun after the levels were written down"), func(t *testing.T) {
			assertHoldsWhenAllStartAgain(t, x, true, 900*time.Millisecond)
		})
	}
}

func assertHoldsWhenAllStartAgain(t *testing.T, x float64, writes bool, calm time.Duration) {
	t.Helper()
	f := newFleet(8, Limit{Rate: 140_000, Burst: 140_000})
	sizes, k := []float64{200, 1600, 900, 9200, 200, 2500}, 0
	const step, round = 5 * time.Millisecond, 250 * time.Millisecond
	owed := 0.0
	var written map[string]Level
	var at time.Time
	for d := time.Duration(0); d < 10*time.Second; d += step {
		now := start.Add(d)
		if d == 1500*time.Millisecond || d == 5500*time.Millisecond {
			for i := range f.nodes {
				f.restart(now, i)
				if writes {
					f.recall(now, i, written, now.Sub(at))
				}
			}
		}
		if down := d >= time.Second && d < 1500*time.Millisecond || d >= 5*time.Second && d < 5500*time.Millisecond; down {
			continue
		}
		if d >= calm {
			owed += x * f.limit.Rate * step.Seconds()
		}
		for ; owed > 0; k++ {
			f.charge(now, k%len(f.nodes), sizes[k%len(sizes)])
			owed -= sizes[k%len(sizes)]
		}
		if d%round == 0 {
			f.exchange(now, together)
		}
		if d%(2*round) == 0 {
			written, at = f.nodes[0].Levels(now), now
		}
	}
	t.Logf("%.0f of %.0f", f.most(8*time.Second), (f.limit.Rate*8+f.limit.Burst)*1.1+72000)
	assert.LessOrEqual(t, f.most(8*time.Second), (f.limit.Rate*8+f.limit.Burst)*1.1+72000)
}

// TestReturnBelowTheQuota: all processes are gone for a second and a half, and the callers of
// that time come back at once. At half the rate, none is refused.
func TestReturnBelowTheQuota(t *testing.T) {
	f := newFleet(7, Limit{Rate: 400_000, Burst: 400_000})
	sizes, k := []float64{200, 2500, 1100, 13_000, 2500}, 0
	const step, round = 5 * time.Millisecond, 250 * time.Millisecond
	const down, up = 3 * time.Second, 4500 * time.Millisecond
	owed, refused := 0.0, 0
	var written map[string]Level
	var at time.Time
	for d := time.Duration(0); d < 6*time.Second; d += step {
		now := start.Add(d)
		owed += 0.5 * f.limit.Rate * step.Seconds()
		if d >= down && d < up {
			continue
		}
		if d == up {
			for i := range f.nodes {
				f.restart(now, i)
				f.recall(now, i, written, now.Sub(at))
			}
		}
		if d%round == 0 {
			f.exchange(now, together)
		}
		for ; owed > 0; k++ {
			if !f.charge(now, k%len(f.nodes), sizes[k%len(sizes)]) {
				refused++
			}
			owed -= sizes[k%len(sizes)]
		}
		if d%(2*round) == 0 {
			written, at = f.nodes[0].Levels(now), now
		}
	}
	assert.Zero(t, refused, "of %d", k)
}

// TestRestartOfOneTakesNothing: a process that starts beside others takes what they charged
// before its start for what its part of the bucket already stands for.
func TestRestartOfOneTakesNothing(t *testing.T) {
	f := newFleet(4, Limit{Rate: 100_000, Burst: 100_000})
	now := start
	for k := 0; k < 200; k++ {
		now = now.Add(50 * time.Millisecond)
		f.charge(now, 1+k%3, 1500) // a third of the rate
		if k%5 == 0 {
			f.exchange(now, together)
		}
	}
	f.restart(now, 0)
	f.exchange(now, together)
	assert.True(t, f.charge(now, 0, 2000))
}

// TestNodeHeardAgainAfterALongCut: a cut outlasts the node's registration, so it is off the
// list when it is heard again. Only what it charged meanwhile is taken off.
func TestNodeHeardAgainAfterALongCut(t *testing.T) {
	l := map[string]Limit{"w": {Rate: 1000, Burst: 1000}}
	a := New(start, true)
	a.SetLimits(start, l)
	a.SetPeers(start, []string{"b"})
	charged := 0.0
	hear := func(now time.Time) {
		a.ApplyUpdate(now, Update{Node: "b", Incarnation: "life", Uptime: now.Sub(start), Charged: map[string]float64{"w": charged}})
		a.StartRound(now, 250*time.Millisecond, 0)
	}
	now := start
	for ; now.Before(start.Add(time.Minute)); now = now.Add(250 * time.Millisecond) {
		charged += 100
		hear(now)
	}
	a.SetPeers(now, nil)
	for k := 0; k < 20; k++ {
		now = now.Add(250 * time.Millisecond)
		charged += 100
		a.StartRound(now, 250*time.Millisecond, 0)
	}
	hear(now)
	assert.Greater(t, a.Levels(now)["w"].Level, -1100.0, "of %.0f charged in all, 2000 in the cut", charged)
	a.SetPeers(now, []string{"b"})
	now = now.Add(2 * time.Second)
	assert.True(t, a.Charge(now, "w", 10).Allowed)
}

// TestNobodyIsRefusedAfterACutBelowTheQuota: two of seven nodes are cut off for six seconds,
// drop out of the registry and come back. Callers ask for nine tenths of the rate all the time.
func TestNobodyIsRefusedAfterACutBelowTheQuota(t *testing.T) {
	f := newFleet(7, Limit{Rate: 400_000, Burst: 400_000})
	const step, round = 5 * time.Millisecond, 250 * time.Millisecond
	const cut, gone, healed = 3 * time.Second, 6500 * time.Millisecond, 9 * time.Second
	side := func(i int) int { return min(1, i/5) }
	owed, k, refused := 0.0, 0, 0
	for d := time.Duration(0); d < 12*time.Second; d += step {
		now := start.Add(d)
		if d == gone {
			for i, q := range f.nodes {
				var same []string
				for j, n := range f.names {
					if j != i && side(j) == side(i) {
						same = append(same, n)
					}
				}
				q.SetPeers(now, same)
			}
		}
		if d%round == 0 {
			f.exchange(now, func(i int) int {
				if d >= cut && d < healed {
					return side(i)
				}
				return 0
			})
		}
		for owed += 0.9 * f.limit.Rate * step.Seconds(); owed > 0; k++ {
			if !f.charge(now, k%7, 2000) && d >= healed {
				refused++
			}
			owed -= 2000
		}
	}
	assert.Zero(t, refused)
}
