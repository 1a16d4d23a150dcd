package autoscale

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"spurhall.example/spurhall/internal/capacity"
)

const boot = 4 * time.Second

// loadForSeven is a load for which six upstreams aren't enough.
var loadForSeven = 6.15 * DefaultMixOptions(boot).TargetUse.Prefill

var mixSpec = MixSpec{Min: 1, Max: 6, ReclaimablePrice: 0.22}

// largeSpec has room for three times as much, of which the loss of a hall exceeds the fixed spares.
var largeSpec = MixSpec{Min: 1, Max: 18, ReclaimablePrice: 0.22}

func threeHalls(onDemand, reclaimable int) []HallState {
	return []HallState{
		{Hall: "a", Price: 0.85, OnDemand: onDemand, Reclaimable: reclaimable},
		{Hall: "b", Price: 1.2, OnDemand: onDemand, Reclaimable: reclaimable},
		{Hall: "c", Price: 1, OnDemand: onDemand, Reclaimable: reclaimable},
	}
}

// reading returns work that only has to be read.
func reading(x float64) capacity.Work { return capacity.Work{Prefill: x} }

// plan observes a state and plans for it.
func plan(m *MixPlanner, now time.Duration, load float64, s MixSpec, halls []HallState) []Count {
	m.Observe(now, reading(load), halls)
	return m.Plan(now, s, halls)
}

func sums(counts []Count) (onDemand, reclaimable int) {
	for _, c := range counts {
		onDemand += c.OnDemand
		reclaimable += c.Reclaimable
	}
	return onDemand, reclaimable
}

// loaded returns a planner that has observed a load for long enough to lower its base.
func loaded(load float64, halls []HallState) (*MixPlanner, time.Duration) {
	return loadedIn(mixSpec, load, halls)
}

func loadedIn(s MixSpec, load float64, halls []HallState) (*MixPlanner, time.Duration) {
	m, now := NewMixPlanner(DefaultMixOptions(boot)), time.Duration(0)
	for ; now < time.Minute; now += time.Second {
		plan(m, now, load, s, halls)
	}
	return m, now
}

func TestMix(t *testing.T) {
	t.Run("until work arrives, reclaimable ones replace the on-demand ones found", func(t *testing.T) {
		m := NewMixPlanner(DefaultMixOptions(boot))
		n, r := sums(plan(m, 0, 0, mixSpec, threeHalls(3, 0)))
		assert.Equal(t, 9, n, "not before the replacements exist")
		assert.Equal(t, 9, r)
		for now := time.Duration(0); now < time.Minute; now += time.Second {
			n, r := sums(plan(m, now, 0, mixSpec, threeHalls(1, 3)))
			assert.Equal(t, 3, n)
			assert.Equal(t, 9, r)
		}
	})
	t.Run("until work arrives, reclaimable ones replace the on-demand ones found, slowly in a large pool", func(t *testing.T) {
		m := NewMixPlanner(DefaultMixOptions(boot))
		n, r := sums(plan(m, 0, 0, largeSpec, threeHalls(9, 0)))
		assert.Equal(t, 27, n, "not before the replacements exist")
		assert.Equal(t, 27, r)
		hold := DefaultMixOptions(boot).ShrinkDelay
		for now, last := time.Duration(0), 27; now < time.Minute; now += time.Second {
			n, r := sums(plan(m, now, 0, largeSpec, threeHalls(3, 9)))
			assert.Equal(t, 27, r)
			if now <= hold {
				assert.Equal(t, 27, n, "not before the replacements have served for a while")
			}
			if now > hold+2*boot {
				assert.Equal(t, 9, n)
			}
			assert.GreaterOrEqual(t, n, int(float64(last)*math.Exp2(-0.25)), "half in a boot at the most")
			last = n
		}
	})
	t.Run("calm: reclaimable ones carry the load on the smallest base", func(t *testing.T) {
		m, now := loaded(2, threeHalls(1, 3))
		n, r := sums(plan(m, now, 2, mixSpec, threeHalls(1, 3)))
		assert.Equal(t, minOnDemand, n)
		assert.GreaterOrEqual(t, r, 6)
	})
	t.Run("a planner that starts under load keeps the upstreams it finds for a while", func(t *testing.T) {
		m := NewMixPlanner(DefaultMixOptions(boot))
		plan(m, 0, 0, mixSpec, threeHalls(2, 0))
		n, _ := sums(plan(m, time.Second, 0.3, mixSpec, threeHalls(2, 0)))
		assert.Equal(t, 6, n)
		n, _ = sums(plan(m, time.Minute, 0.3, mixSpec, threeHalls(2, 0)))
		assert.Equal(t, 3, n, "one in each hall that has no other")
		n, _ = sums(plan(m, time.Minute, 0.3, mixSpec, threeHalls(2, 3)))
		assert.Equal(t, minOnDemand, n)
	})
	t.Run("a system started for the first time keeps only the base on demand until work arrives", func(t *testing.T) {
		o := DefaultMixOptions(boot)
		o.FirstStart = true
		n, r := sums(plan(NewMixPlanner(o), 0, 0, mixSpec, threeHalls(3, 0)))
		assert.Equal(t, 3, n, "one in each hall that has no other")
		assert.Equal(t, 9, r)
		n, _ = sums(plan(NewMixPlanner(o), 0, 0, mixSpec, threeHalls(3, 3)))
		assert.Equal(t, minOnDemand, n)
		m := NewMixPlanner(o)
		m.Refused(0, "a")
		n, _ = sums(plan(m, 0, 0, mixSpec, threeHalls(3, 0)))
		assert.Equal(t, 9, n, "reclaimable ones are unavailable")
	})
	t.Run("a system started for the first time without reclaimable ones keeps the upstreams it found for a while", func(t *testing.T) {
		o := DefaultMixOptions(boot)
		o.FirstStart = true
		noReclaimable := mixSpec
		noReclaimable.ReclaimablePrice = 0
		m := NewMixPlanner(o)
		plan(m, 0, 0, noReclaimable, threeHalls(3, 0))
		n, _ := sums(plan(m, time.Second, 0.2, noReclaimable, threeHalls(3, 0)))
		assert.Equal(t, 9, n)
		n, _ = sums(plan(m, time.Minute, 0.2, noReclaimable, threeHalls(3, 0)))
		assert.Equal(t, 3, n)
	})
	t.Run("in a wave right after the first work a system started for the first time orders by its measurement", func(t *testing.T) {
		o := DefaultMixOptions(boot)
		o.FirstStart = true
		m := NewMixPlanner(o)
		plan(m, 0, 0, mixSpec, threeHalls(3, 0))
		h := threeHalls(1, 3)
		h[0].Reclaimable, h[0].Leaving = 0, 3
		m.Refused(time.Second, "a")
		n, r := sums(plan(m, time.Second, 3.1*DefaultMixOptions(boot).TargetUse.Prefill, mixSpec, h))
		assert.Equal(t, 4, n)
		assert.GreaterOrEqual(t, r, 9, "reclaimable ones replace the on-demand ones found")
	})
	t.Run("reclaimable ones stay until work has been measured for a while", func(t *testing.T) {
		m := NewMixPlanner(DefaultMixOptions(boot))
		_, r := sums(plan(m, 0, 0, mixSpec, threeHalls(1, 5)))
		assert.Equal(t, 15, r, "the load is unknown")
		_, r = sums(plan(m, time.Second, 0.5, mixSpec, threeHalls(1, 5)))
		assert.Equal(t, 15, r, "the first work says little")
		_, r = sums(plan(m, time.Second+DefaultMixOptions(boot).ShrinkDelay, 0.5, mixSpec, threeHalls(1, 5)))
		assert.Less(t, r, 15)
	})
	t.Run("a process that has only observed knows the wave and the need", func(t *testing.T) {
		m, now := loaded(6, threeHalls(3, 3))
		h := threeHalls(3, 0)
		h[0].Leaving = 3
		m.Observe(now, reading(6), h)
		m.Observe(now+time.Second, reading(1), threeHalls(3, 0))
		n, _ := sums(m.Plan(now+time.Second, mixSpec, threeHalls(3, 0)))
		assert.GreaterOrEqual(t, float64(n)*DefaultMixOptions(boot).TargetUse.Prefill, 6.0)
	})
	t.Run("the need is the highest of the last period", func(t *testing.T) {
		m, now := loaded(2, threeHalls(1, 0))
		high, _ := sums(plan(m, now, 9.2*DefaultMixOptions(boot).TargetUse.Prefill, mixSpec, threeHalls(1, 0)))
		assert.Greater(t, high, 9)
		n, _ := sums(plan(m, now+DefaultMixOptions(boot).ShrinkDelay, 2, mixSpec, threeHalls(1, 0)))
		assert.Equal(t, high, n)
		n, _ = sums(plan(m, now+DefaultMixOptions(boot).ShrinkDelay+time.Second, 2, mixSpec, threeHalls(1, 0)))
		assert.Less(t, n, high)
	})
	t.Run("upstreams listed shortly after the start count as found", func(t *testing.T) {
		m := NewMixPlanner(DefaultMixOptions(boot))
		plan(m, 0, 0, mixSpec, threeHalls(1, 0))
		plan(m, time.Second, 0, mixSpec, threeHalls(3, 0))
		n, _ := sums(plan(m, time.Minute, 0, mixSpec, threeHalls(0, 0)))
		assert.Equal(t, 9, n)
	})
	t.Run("a notice raises the base to the whole need, and calm lowers it", func(t *testing.T) {
		m, now := loaded(4, threeHalls(1, 4))
		h := threeHalls(1, 4)
		h[0].Reclaimable, h[0].Leaving = 0, 4
		n, _ := sums(plan(m, now, 4, mixSpec, h))
		assert.GreaterOrEqual(t, float64(n)*DefaultMixOptions(boot).TargetUse.Prefill, 4.0)
		now += DefaultMixOptions(boot).WaveHold + time.Second
		n, _ = sums(plan(m, now, 4, mixSpec, threeHalls(3, 4)))
		assert.Equal(t, minOnDemand, n)
	})
	t.Run("a notice raises the base to the whole need, and calm lowers it slowly in a large pool", func(t *testing.T) {
		m, now := loadedIn(largeSpec, 12, threeHalls(1, 12))
		h := threeHalls(1, 12)
		h[0].Reclaimable, h[0].Leaving = 0, 12
		n, _ := sums(plan(m, now, 12, largeSpec, h))
		assert.GreaterOrEqual(t, float64(n)*DefaultMixOptions(boot).TargetUse.Prefill, 12.0)
		raised := n
		hold := firstHoldBoots * boot
		for end := now + hold; now < end; now += time.Second {
			n, _ = sums(plan(m, now, 12, largeSpec, threeHalls(9, 12)))
			assert.GreaterOrEqual(t, n, raised, "within the hold")
		}
		for end := now + 4*boot; now < end; now += time.Second {
			last := n
			n, _ = sums(plan(m, now, 12, largeSpec, threeHalls(9, 12)))
			assert.GreaterOrEqual(t, n, int(float64(last)*math.Exp2(-0.25)), "half in a boot at the most")
		}
		assert.Equal(t, minOnDemand, n)
	})
	t.Run("upstreams that serve in one hall are not given up for another", func(t *testing.T) {
		m, now := loaded(4, threeHalls(1, 4))
		counts := func(h []HallState) map[string]int {
			r := make(map[string]int)
			for _, c := range plan(m, now, 4, mixSpec, h) {
				r[c.Hall] = c.OnDemand
			}
			return r
		}
		wave := func() []HallState {
			h := threeHalls(0, 0)
			h[0].Leaving = 4
			return h
		}
		first := counts(wave())
		for k := 0; k < 60; k++ { // while they boot, halls alternately refuse and provide reclaimable ones
			now += 250 * time.Millisecond
			h := wave()
			if k%3 == 0 {
				m.Refused(now, []string{"a", "b", "c"}[k%9/3])
			}
			if k > 16 { // one hall after the other is ready
				h[k%3].OnDemand = first[h[k%3].Hall]
			}
			assert.Equal(t, first, counts(h), "at step %d", k)
		}
	})
	t.Run("the cheapest halls get the remainder", func(t *testing.T) {
		m, now := loaded(4*DefaultMixOptions(boot).TargetUse.Prefill, threeHalls(3, 0))
		for _, c := range plan(m, now, 4*DefaultMixOptions(boot).TargetUse.Prefill, mixSpec, threeHalls(3, 0)) {
			assert.Equal(t, map[string]int{"a": 2, "b": 1, "c": 1}[c.Hall], c.OnDemand, c.Hall)
		}
	})
	t.Run("fewer ordered reclaimable ones are no wave", func(t *testing.T) {
		m, now := loaded(2, threeHalls(1, 5))
		h := threeHalls(1, 4)
		h[0].Leaving = 1
		n, _ := sums(plan(m, now, 2, mixSpec, h))
		assert.Equal(t, minOnDemand, n)
	})
	t.Run("existing upstreams are not given up for ones that have to boot", func(t *testing.T) {
		m, now := loaded(4, threeHalls(1, 4))
		h := threeHalls(1, 4)
		h[0].Reclaimable, h[0].Leaving = 0, 4
		for _, c := range plan(m, now, 9, mixSpec, h) {
			if c.Hall != "a" {
				assert.GreaterOrEqual(t, c.Reclaimable, 4, c.Hall)
				assert.Equal(t, 2, c.OnDemand, c.Hall)
			} else {
				assert.Equal(t, 6, c.OnDemand)
			}
		}
	})
	t.Run("a hall that refuses is not asked again at once", func(t *testing.T) {
		m, now := loaded(2, threeHalls(3, 0))
		m.Refused(now, "a")
		for _, c := range plan(m, now, 2, mixSpec, threeHalls(3, 0)) {
			assert.Equal(t, c.Hall == "a", c.Reclaimable == 0, c.Hall)
		}
		n := plan(m, now+time.Minute, 2, mixSpec, threeHalls(3, 0))[0]
		assert.Positive(t, n.Reclaimable)
	})
	t.Run("reclaimable ones that cost more including their spares aren't bought", func(t *testing.T) {
		for price, bought := range map[float64]bool{0.2: true, 0.4: true, 0.9: false} {
			s := mixSpec
			s.ReclaimablePrice = price
			m, now := NewMixPlanner(DefaultMixOptions(boot)), time.Duration(0)
			for ; now < time.Minute; now += time.Second {
				plan(m, now, loadForSeven, s, threeHalls(3, 0))
			}
			n, r := sums(plan(m, now, loadForSeven, s, threeHalls(3, 0)))
			assert.Equal(t, bought, r > 0, "at %.1f", price)
			if !bought {
				assert.Equal(t, 7, n, "the whole need")
			}
		}
	})
	t.Run("the first work does not change the kind", func(t *testing.T) {
		s := mixSpec
		s.ReclaimablePrice = 0.6
		m := NewMixPlanner(DefaultMixOptions(boot))
		plan(m, 0, 0, s, threeHalls(1, 4))
		_, r := sums(plan(m, time.Second, 0.3, s, threeHalls(1, 4)))
		assert.Equal(t, 12, r)
	})
	t.Run("reclaimable ones that became too expensive stay until they are replaced", func(t *testing.T) {
		m, now := loaded(loadForSeven, threeHalls(1, 4))
		s := mixSpec
		s.ReclaimablePrice = 0.9
		n, r := sums(plan(m, now, loadForSeven, s, threeHalls(1, 4)))
		assert.Equal(t, 6, n, "as many as there is room for")
		assert.Equal(t, 12, r)
		n, r = sums(plan(m, now, loadForSeven, s, threeHalls(2, 4)))
		assert.Equal(t, 6, n)
		assert.Equal(t, 3, r, "the excess makes room for on-demand ones")
		n, _ = sums(plan(m, now, loadForSeven, s, threeHalls(2, 1)))
		assert.Equal(t, 7, n)
		_, r = sums(plan(m, now, loadForSeven, s, threeHalls(3, 4)))
		assert.Zero(t, r)
	})
	t.Run("reclaimable ones above the on-demand price aren't bought", func(t *testing.T) {
		s := mixSpec
		s.ReclaimablePrice = 1.2
		_, r := sums(plan(NewMixPlanner(DefaultMixOptions(boot)), 0, 4, s, threeHalls(1, 0)))
		assert.Zero(t, r)
	})
}

// TestMixStaysInBounds draws loads, notices, refusals and losses.
func TestMixStaysInBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, now := NewMixPlanner(DefaultMixOptions(boot)), time.Duration(0)
		s := MixSpec{Min: rapid.IntRange(0, 2).Draw(t, "min"), Max: rapid.IntRange(2, 8).Draw(t, "max"), ReclaimablePrice: rapid.Float64Range(0, 1.5).Draw(t, "price")}
		for i := 0; i < 60; i++ {
			now += time.Duration(rapid.IntRange(100, 3000).Draw(t, "ms")) * time.Millisecond
			halls := threeHalls(rapid.IntRange(0, 6).Draw(t, "on demand"), rapid.IntRange(0, 6).Draw(t, "reclaimable"))
			halls[rapid.IntRange(0, 2).Draw(t, "hall")].Leaving = rapid.IntRange(0, 2).Draw(t, "leaving")
			if rapid.Bool().Draw(t, "refused") {
				m.Refused(now, "b")
			}
			counts := plan(m, now, rapid.Float64Range(0, 40).Draw(t, "load"), s, halls)
			assert.Len(t, counts, 3)
			onDemand, _ := sums(counts)
			assert.GreaterOrEqual(t, onDemand, minOnDemand)
			for _, c := range counts {
				assert.GreaterOrEqual(t, c.OnDemand, 0)
				assert.GreaterOrEqual(t, c.Reclaimable, 0)
				assert.GreaterOrEqual(t, c.OnDemand+c.Reclaimable, min(s.Min, s.Max))
				assert.LessOrEqual(t, c.OnDemand+c.Reclaimable, s.Max)
			}
		}
	})
}

// TestStandaloneHall: a hall that gets no reclaimable upstreams has some on demand, although those of the other
// halls carry the whole load.
func TestStandaloneHall(t *testing.T) {
	halls := func(c int) []HallState {
		h := threeHalls(0, 30)
		h[0].OnDemand, h[2].Reclaimable = 1, c
		return h
	}
	spec := MixSpec{Min: 0, Max: 40, ReclaimablePrice: 0.22}
	inC := func(m *MixPlanner, now time.Duration, h []HallState) int {
		for _, c := range plan(m, now, 24*DefaultMixOptions(boot).TargetUse.Prefill, spec, h) {
			if c.Hall == "c" {
				return c.OnDemand
			}
		}
		return -1
	}
	play := func(m *MixPlanner, c int) int {
		n, now := 0, time.Duration(0)
		for ; now < time.Minute; now += time.Second {
			n = inC(m, now, halls(c))
		}
		return n
	}
	assert.Equal(t, 4, play(NewMixPlanner(DefaultMixOptions(boot)), 0), "half of its part, since no reclaimable ones came")
	assert.Equal(t, 2, play(NewMixPlanner(DefaultMixOptions(boot)), 2), "together with the existing reclaimable ones")
	assert.Zero(t, play(NewMixPlanner(DefaultMixOptions(boot)), 12), "none where reclaimable ones come")
	t.Run("at once where they are refused", func(t *testing.T) {
		m, now := NewMixPlanner(DefaultMixOptions(boot)), time.Minute
		for k := time.Duration(0); k < now; k += time.Second {
			inC(m, k, halls(12))
		}
		m.Refused(now, "c")
		assert.Equal(t, 4, inC(m, now, halls(0)))
		m.Granted("c")
		assert.Zero(t, inC(m, now, halls(0)))
	})
}
