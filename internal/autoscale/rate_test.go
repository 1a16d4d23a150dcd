package autoscale

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const rateStep = 250 * time.Millisecond

// crowd is two nodes whose work grows.
type crowd struct {
	r     RateEstimator
	now   time.Time
	sums  map[string]Counter
	value float64 // last measured
}

func newCrowd(a, b float64) *crowd {
	now := time.Unix(1000, 0)
	return &crowd{now: now, sums: map[string]Counter{"a": {reading(a), now}, "b": {reading(b), now}}}
}

// run lets the nodes named be heard for some steps, each with so much more work; the others
// work on unheard.
func (c *crowd) run(steps int, each float64, unheard map[string]float64, heard ...string) {
	for i := 0; i < steps; i++ {
		c.now = c.now.Add(rateStep)
		for _, n := range heard {
			c.sums[n] = Counter{c.sums[n].Value.Add(reading(each)), c.now}
		}
		for n := range unheard {
			unheard[n] += each
		}
		c.value = c.r.Estimate(c.now, map[string]Counter{"a": c.sums["a"], "b": c.sums["b"]}, 6*rateStep).Prefill
	}
}

func TestRate(t *testing.T) {
	t.Run("a process that has just started knows the rate within a second and a half", func(t *testing.T) {
		c := newCrowd(5000, 0)
		c.run(6, 100, nil, "a", "b")
		assert.InDelta(t, 800, c.value, 1)
	})
	t.Run("the rush after a restart is damped", func(t *testing.T) {
		c := newCrowd(0, 0)
		c.run(2, 500, nil, "a", "b")
		assert.Less(t, c.value, 0.4*8*500)
	})
	t.Run("it follows a change", func(t *testing.T) {
		c := newCrowd(0, 0)
		c.run(100, 0, nil, "a", "b")
		c.run(9, 100, nil, "a", "b")
		assert.Greater(t, c.value, 0.5*800)
		assert.Less(t, c.value, 800.0)
	})
	t.Run("a node that starts again takes nothing off", func(t *testing.T) {
		c := newCrowd(0, 0)
		c.run(100, 100, nil, "a", "b")
		c.sums["b"] = Counter{reading(0), c.now}
		c.run(20, 100, nil, "a", "b")
		assert.InDelta(t, 800, c.value, 1)
	})
	t.Run("a node that is seldom heard counts in full", func(t *testing.T) {
		c, unheard := newCrowd(0, 0), map[string]float64{"b": 0}
		for i := 0; i < 30; i++ {
			c.run(4, 100, unheard, "a")
			c.sums["b"] = Counter{reading(unheard["b"]), c.now}
		}
		c.run(1, 100, unheard, "a")
		assert.InDelta(t, 800, c.value, 1)
	})
	t.Run("a silent node counts nothing", func(t *testing.T) {
		c := newCrowd(0, 0)
		c.run(100, 100, nil, "a", "b")
		c.run(8, 100, nil, "a")
		assert.InDelta(t, 400, c.value, 1)
	})
	t.Run("what was done unheard isn't the work of the moment", func(t *testing.T) {
		c, unheard := newCrowd(0, 0), map[string]float64{"b": 0}
		c.run(100, 100, nil, "a", "b")
		unheard["b"] = c.sums["b"].Value.Prefill
		c.run(24, 100, unheard, "a")
		c.sums["b"] = Counter{reading(unheard["b"]), c.now}
		c.run(2, 100, nil, "a", "b")
		assert.InDelta(t, 800, c.value, 10)
	})
}
