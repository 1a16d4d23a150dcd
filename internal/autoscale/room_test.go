package autoscale

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// roomSpec leaves room for whatever is planned.
var roomSpec = MixSpec{Min: 0, Max: 200, ReclaimablePrice: 0.22}

// steadyCounts returns what is planned after a minute of a need, where what was planned before serves.
func steadyCounts(need float64) (onDemand, reclaimable int) {
	m := NewMixPlanner(DefaultMixOptions(boot))
	halls := threeHalls(0, 0)
	for now := time.Duration(0); now < time.Minute; now += time.Second {
		counts := plan(m, now, need*m.o.TargetUse.Prefill, roomSpec, halls)
		onDemand, reclaimable = sums(counts)
		for i, c := range counts { // both are in the order of prices
			halls[i].OnDemand, halls[i].Reclaimable = c.OnDemand, c.Reclaimable
		}
	}
	return onDemand, reclaimable
}

// TestSparesFollowTheLoss: without any hall the others carry the need; where upstreams are few, the least number of
// spares does that already.
func TestSparesFollowTheLoss(t *testing.T) {
	price := func(onDemand, reclaimable int) float64 {
		return float64(onDemand) + roomSpec.ReclaimablePrice*float64(reclaimable)
	}
	for need := 1; need <= 60; need++ {
		n, r := steadyCounts(float64(need))
		few := 3 * (int(math.Ceil(float64(need)/3)) + 2)
		if need <= 12 {
			assert.Equal(t, [2]int{minOnDemand, few}, [2]int{n, r}, "need %d", need)
			continue
		}
		assert.Equal(t, minOnDemand, n, "need %d", need)
		assert.GreaterOrEqual(t, r/3*2, need, "need %d", need)
		assert.Zero(t, r%3, "no hall has most")
		base := max(minOnDemand, need-few/3*2) // the fixed spares leave so much to on-demand ones
		assert.LessOrEqual(t, price(n, r), price(base, few)+price(0, r-few))
	}
}

func TestSpareCapacity(t *testing.T) {
	assert.Equal(t, 5.0, hallCapacity(3, 3, 1, 2), "one hall can't stand for another")
	assert.Equal(t, 20.0, hallCapacity(20, 20, 2, 2))
	assert.Equal(t, 10.0, hallCapacity(20, 20, 3, 2))
	assert.Equal(t, 4.0, hallCapacity(16, 16, 8, 2), "the least number")
	t.Run("slow upstreams carry less", func(t *testing.T) {
		m, h := NewMixPlanner(DefaultMixOptions(boot)), threeHalls(0, 10)
		m.hasWork = true
		h[0].Speed = 0.5
		assert.Equal(t, []int{20, 10, 10}, m.reclaimableCounts(20, 20, roomSpec.Max, h))
		assert.Equal(t, 15.0, survivingReclaimable(h))
	})
	t.Run("a surplus stands for what others lack", func(t *testing.T) {
		h := threeHalls(0, 20)
		h[0].Reclaimable = 0
		wants := []int{15, 15, 15}
		lack := lackOf(wants, 40, false, h)
		assert.Equal(t, 15.0, lack)
		assert.Equal(t, []int{15, 20, 20}, keptCounts(wants, lack, false, h))
		h[0].Reclaimable = 13
		lack = lackOf(wants, 40, false, h)
		assert.Equal(t, []int{15, 17, 17}, keptCounts(wants, lack, false, h), "up to that")
		assert.Equal(t, []int{15, 20, 20}, keptCounts(wants, lack, true, h), "all of it in a wave")
	})
	t.Run("on-demand ones stand for what a hall has no room for", func(t *testing.T) {
		h := threeHalls(10, 6)
		assert.Zero(t, lackOf([]int{12, 12, 12}, 16, false, h))
		assert.Equal(t, 18.0, lackOf([]int{12, 12, 12}, 16, true, h), "they go when the hold ends")
	})
}

// TestSurvivorsStayInAWave: a hall lost its reclaimable upstreams, and the load is lower than what the others carry.
func TestSurvivorsStayInAWave(t *testing.T) {
	halls := threeHalls(5, 20)
	m := NewMixPlanner(DefaultMixOptions(boot))
	now := time.Duration(0)
	for ; now < time.Minute; now += time.Second {
		plan(m, now, 40*m.o.TargetUse.Prefill, roomSpec, halls)
	}
	halls[0].Reclaimable, halls[0].Leaving = 0, 20
	for end := now + 9*time.Second; now < end; now += time.Second {
		m.Refused(now, "a")
		for _, c := range plan(m, now, 15*m.o.TargetUse.Prefill, roomSpec, halls) {
			if c.Hall != "a" {
				assert.GreaterOrEqual(t, c.Reclaimable, 20, "at %s", now)
			}
			assert.GreaterOrEqual(t, c.OnDemand, 5, "at %s", now)
		}
		halls[0].Leaving = 0
	}
}

// TestNeedAhead observes works that rise for some seconds, and the share that the need of a boot ahead is above it.
func TestNeedAhead(t *testing.T) {
	ahead := func(load func(t float64) float64) float64 {
		m, now := NewMixPlanner(DefaultMixOptions(boot)), time.Duration(0)
		for ; now <= 30*time.Second; now += playTick {
			m.Observe(now, reading(load(now.Seconds())), threeHalls(1, 3))
		}
		return m.ahead(now-playTick) / m.need(now-playTick)
	}
	assert.InDelta(t, 1, ahead(func(float64) float64 { return 20 }), 1e-9, "no trend")
	assert.InDelta(t, 1, ahead(func(t float64) float64 { return 40 - t }), 1e-9, "a fall is no reason for fewer")
	assert.InDelta(t, 1.12, ahead(func(t float64) float64 { return 20 + t }), 0.01, "six seconds ahead")
	assert.LessOrEqual(t, ahead(func(t float64) float64 { return 20 + 20*math.Floor(t/29) }), maxTrend, "a surge that doubles the work")
}

func TestHoldLearns(t *testing.T) {
	after := func(interval time.Duration) *MixPlanner {
		m := NewMixPlanner(DefaultMixOptions(boot))
		wave := threeHalls(1, 4)
		wave[0].Reclaimable, wave[0].Leaving = 0, 4
		m.Observe(0, reading(6), wave)
		m.Observe(interval, reading(6), wave)
		return m
	}
	assert.Equal(t, 16*time.Second, NewMixPlanner(DefaultMixOptions(boot)).hold())
	assert.Equal(t, 16*time.Second, after(6*time.Second).hold(), "the same wave")
	assert.Equal(t, 25*time.Second, after(20*time.Second).hold())
	assert.Equal(t, DefaultMixOptions(boot).WaveHold, after(time.Minute).hold(), "too far apart to wait for")
	m := after(20 * time.Second)
	wave := threeHalls(1, 4)
	wave[0].Reclaimable, wave[0].Leaving = 0, 4
	m.Observe(32*time.Second, reading(6), wave)
	assert.Equal(t, 20*time.Second, m.hold(), "falls by half")
}

// TestTermBegins: an observer takes the orders over from a holder that has kept more on demand than the observer
// has seen reasons for.
func TestTermBegins(t *testing.T) {
	m, now := loadedIn(largeSpec, 18, threeHalls(1, 12))
	n, _ := sums(plan(m, now, 18, largeSpec, threeHalls(18, 12)))
	assert.Less(t, n, 27, "it gave the orders itself")
	m.BeginTerm()
	n, _ = sums(plan(m, now, 18, roomSpec, threeHalls(18, 12)))
	assert.Equal(t, 54, n)
	n, _ = sums(plan(m, now+boot, 18, roomSpec, threeHalls(18, 12)))
	assert.Equal(t, 27, n, "half in a boot")
}

func TestSuccessorKnows(t *testing.T) {
	m, now := loaded(6, threeHalls(3, 3))
	h := threeHalls(3, 0)
	h[0].Leaving = 3
	m.Observe(now, reading(6), h)
	k := m.Known(now)
	next := NewMixPlanner(DefaultMixOptions(boot))
	next.Restore(time.Second, k)
	n, _ := sums(plan(next, time.Second, 0.5, mixSpec, threeHalls(3, 0)))
	assert.GreaterOrEqual(t, float64(n)*next.o.TargetUse.Prefill, 6.0)
	assert.Equal(t, ReasonUnmeasured, next.Planned().Reason)
	assert.True(t, next.inWave(2*time.Second))
	t.Run("not for ever", func(t *testing.T) {
		assert.Less(t, next.need(time.Second+restoredBoots*boot), 1.0)
	})
	t.Run("own knowledge counts", func(t *testing.T) {
		own, now := loaded(2, threeHalls(1, 3))
		need := own.need(now)
		own.Restore(now, k)
		assert.InDelta(t, need, own.need(now), 1e-9)
	})
	t.Run("invalid values are ignored", func(t *testing.T) {
		next := NewMixPlanner(DefaultMixOptions(boot))
		next.Restore(0, Known{Need: math.Inf(1), Notice: -1, Hold: -time.Hour})
		assert.Zero(t, next.need(0))
		assert.False(t, next.inWave(0))
		assert.Equal(t, firstHoldBoots*boot, next.hold())
		next.Restore(0, Known{Need: math.NaN(), Notice: -1, Hold: 1000 * time.Hour})
		assert.Equal(t, maxHoldBoots*boot, next.hold())
	})
}

// serveFor plans until a time for a need, where what was planned serves at the next second, except for reclaimable
// upstreams of halls that are out.
func serveFor(m *MixPlanner, now, end time.Duration, need float64, s MixSpec, halls []HallState, out int) (counts []Count, at time.Duration) {
	for ; now < end; now += time.Second {
		counts = plan(m, now, need*m.o.TargetUse.Prefill, s, halls)
		for i, c := range counts { // both are in the order of prices
			halls[i].OnDemand = c.OnDemand
			if i >= out {
				halls[i].Reclaimable = c.Reclaimable
			}
		}
	}
	return counts, now
}

// TestOldPeakIsForgotten: long after a wave under high load, one refusal or one notice takes what the load of now
// needs.
func TestOldPeakIsForgotten(t *testing.T) {
	const high, low = 45, 5
	afterPeak := func(t *testing.T) (*MixPlanner, time.Duration, []HallState) {
		m, halls := NewMixPlanner(DefaultMixOptions(boot)), threeHalls(0, 0)
		_, now := serveFor(m, 0, time.Minute, high, roomSpec, halls, 0)
		halls[0].Leaving, halls[0].Reclaimable = halls[0].Reclaimable, 0
		counts, now := serveFor(m, now, now+2*time.Second, high, roomSpec, halls, 1)
		n, _ := sums(counts)
		assert.GreaterOrEqual(t, n, high)
		halls[0].Leaving = 0
		counts, now = serveFor(m, now, now+3*time.Minute, low, roomSpec, halls, 0)
		n, _ = sums(counts)
		assert.Equal(t, minOnDemand, n)
		return m, now, halls
	}
	most := int(math.Ceil(maxTrend * low))
	t.Run("one refusal", func(t *testing.T) {
		m, now, halls := afterPeak(t)
		m.Refused(now, "a")
		n, _ := sums(plan(m, now, low*m.o.TargetUse.Prefill, roomSpec, halls))
		assert.LessOrEqual(t, n, most)
	})
	t.Run("one notice", func(t *testing.T) {
		m, now, halls := afterPeak(t)
		halls[0].Leaving, halls[0].Reclaimable = halls[0].Reclaimable, 0
		n, _ := sums(plan(m, now, low*m.o.TargetUse.Prefill, roomSpec, halls))
		assert.GreaterOrEqual(t, n, low)
		assert.LessOrEqual(t, n, most)
	})
}

// TestNeedsBeyondAllBounds: needs that no count can be made of leave the counts within their bounds.
func TestNeedsBeyondAllBounds(t *testing.T) {
	assertBounded := func(t *testing.T, counts []Count) {
		t.Helper()
		for _, c := range counts {
			assert.GreaterOrEqual(t, c.OnDemand, 0)
			assert.GreaterOrEqual(t, c.Reclaimable, 0)
			assert.LessOrEqual(t, c.OnDemand+c.Reclaimable, mixSpec.Max)
		}
		n, _ := sums(counts)
		assert.GreaterOrEqual(t, n, minOnDemand)
	}
	for _, load := range []float64{math.Inf(1), math.NaN(), math.Inf(-1), 1e308} {
		m := NewMixPlanner(DefaultMixOptions(boot))
		for now := time.Duration(0); now < 20*time.Second; now += time.Second {
			h := threeHalls(3, 0)
			h[0].Leaving = 1
			assertBounded(t, plan(m, now, load, mixSpec, h))
			assert.LessOrEqual(t, m.Planned().Need, 18.0)
		}
	}
	t.Run("measured ones still count", func(t *testing.T) {
		m, now := loaded(loadForSeven, threeHalls(1, 0))
		n, _ := sums(plan(m, now, math.Inf(1), mixSpec, threeHalls(1, 0)))
		assert.Equal(t, 7, n)
		assert.False(t, math.IsInf(m.Known(now).Need, 0))
	})
	t.Run("restored", func(t *testing.T) {
		m := NewMixPlanner(DefaultMixOptions(boot))
		m.Restore(0, Known{Need: 1e308, Notice: -1})
		counts := plan(m, 0, 1, mixSpec, threeHalls(1, 3))
		assertBounded(t, counts)
		n, r := sums(counts)
		assert.Equal(t, 18, n+r, "as many as there is room for")
		m.Restore(0, Known{Need: math.NaN(), Notice: -1})
		assertBounded(t, plan(m, time.Second, 1, mixSpec, threeHalls(1, 3)))
	})
	t.Run("faster upstreams carry more", func(t *testing.T) {
		m, h := NewMixPlanner(DefaultMixOptions(boot)), threeHalls(1, 2)
		for i := range h {
			h[i].Speed = 2
		}
		_, now := serveFor(m, 0, time.Minute, 30, mixSpec, h, 0)
		n, r := sums(plan(m, now, 30*m.o.TargetUse.Prefill, mixSpec, h))
		assert.Equal(t, 18, n+r, "they carry 36")
	})
}

// TestTermBeginsWithPartOfTheList: the list of the upstreams that a predecessor ordered still grows.
func TestTermBeginsWithPartOfTheList(t *testing.T) {
	m, now := loadedIn(largeSpec, 18, threeHalls(1, 12))
	m.BeginTerm()
	n, _ := sums(plan(m, now, 18, roomSpec, threeHalls(6, 12)))
	assert.Equal(t, 18, n)
	n, _ = sums(plan(m, now+time.Second, 18, roomSpec, threeHalls(18, 12)))
	assert.Equal(t, 54, n)
	now += time.Second
	n, _ = sums(plan(m, now+boot/2, 18, roomSpec, threeHalls(18, 12)))
	assert.Equal(t, 39, n, "the first of them don't stay for longer")
	m.BeginTerm()
	plan(m, now, 18, roomSpec, threeHalls(3, 12))
	n, _ = sums(plan(m, now+findPeriod+time.Second, 18, roomSpec, threeHalls(18, 12)))
	assert.Less(t, n, 27, "those listed later are its own")
}

// TestOwnOrderToNoneIsNoNotice: a hall gives all its reclaimable upstreams up because none were ordered.
func TestOwnOrderToNoneIsNoNotice(t *testing.T) {
	dear := mixSpec
	dear.ReclaimablePrice = 0.9
	given := func() (*MixPlanner, time.Duration, []HallState) {
		m, now := loaded(loadForSeven, threeHalls(1, 4))
		for end := now + 20*time.Second; now < end; now += time.Second {
			plan(m, now, loadForSeven, dear, threeHalls(3, 1))
		}
		_, r := sums(plan(m, now, loadForSeven, dear, threeHalls(3, 1)))
		assert.Zero(t, r)
		h := threeHalls(3, 0)
		for i := range h {
			h[i].Leaving = 1
		}
		return m, now, h
	}
	t.Run("too dear", func(t *testing.T) {
		m, now, h := given()
		for end := now + 4*time.Second; now < end; now += 250 * time.Millisecond {
			m.Observe(now, reading(loadForSeven), h)
			assert.False(t, m.waves.seen)
		}
	})
	t.Run("no room", func(t *testing.T) {
		m, now := loaded(2, threeHalls(1, 3))
		full := MixSpec{Max: 0, ReclaimablePrice: 0.22}
		_, r := sums(plan(m, now, 2, full, threeHalls(1, 3)))
		assert.Zero(t, r)
		h := threeHalls(1, 0)
		h[0].Leaving = 3
		plan(m, now+time.Second, 2, full, h)
		assert.False(t, m.waves.seen)
	})
	t.Run("an order of long ago", func(t *testing.T) {
		m, now, h := given()
		m.Observe(now+time.Minute, reading(loadForSeven), h)
		assert.True(t, m.waves.seen, "another process may have given the orders since")
	})
	t.Run("a reclaim stays one while its hall gets none", func(t *testing.T) {
		m, now := loaded(4, threeHalls(1, 4))
		h := threeHalls(6, 4)
		h[0].Reclaimable, h[0].Leaving = 0, 4
		m.Refused(now, "a")
		for end := now + 2*time.Second; now < end; now += 250 * time.Millisecond {
			plan(m, now, 4, mixSpec, h)
			assert.Equal(t, now, m.waves.last)
		}
	})
}

// TestTightMaximum: halls have no room for what a loss takes.
func TestTightMaximum(t *testing.T) {
	s := MixSpec{Max: 16, ReclaimablePrice: 0.22}
	const need = 24
	t.Run("two halls want more than the maximum", func(t *testing.T) {
		m, halls := NewMixPlanner(DefaultMixOptions(boot)), threeHalls(0, 0)[:2]
		counts, now := serveFor(m, 0, 2*time.Minute, need, s, halls, 0)
		n, r := sums(counts)
		assert.GreaterOrEqual(t, n, minOnDemand)
		assert.GreaterOrEqual(t, n+r, need)
		assert.NotEqual(t, ReasonLack, m.Planned().Reason, "at %s: %+v", now, counts)
	})
	t.Run("three halls, after a wave", func(t *testing.T) {
		m, halls := NewMixPlanner(DefaultMixOptions(boot)), threeHalls(0, 0)
		_, now := serveFor(m, 0, time.Minute, need, s, halls, 0)
		halls[0].Leaving, halls[0].Reclaimable = halls[0].Reclaimable, 0
		_, now = serveFor(m, now, now+2*time.Second, need, s, halls, 1)
		halls[0].Leaving = 0
		counts, _ := serveFor(m, now, now+2*time.Minute, need, s, halls, 0)
		n, _ := sums(counts)
		assert.Equal(t, minOnDemand, n)
		assert.Equal(t, ReasonCalm, m.Planned().Reason)
	})
}
