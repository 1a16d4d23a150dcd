package autoscale

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const rateStep = 250 * time.Millisecond

// fleet is two nodes whose counters grow.
type fleet struct {
	r     RateEstimator
	now   time.Time
	sums  map[string]Counter
	value float64 // rate measured last
}

func newFleet(a, b float64) *fleet {
	now := time.Unix(1000, 0)
	return &fleet{now: now, sums: map[string]Counter{"a": {reading(a), now}, "b": {reading(b), now}}}
}

// run plays some steps. The counters of the received nodes grow by each and are received; those in unreceived
// grow without being received.
func (c *fleet) run(steps int, each float64, unreceived map[string]float64, received ...string) {
	for i := 0; i < steps; i++ {
		c.now = c.now.Add(rateStep)
		for _, n := range received {
			c.sums[n] = Counter{c.sums[n].Value.Add(reading(each)), c.now}
		}
		for n := range unreceived {
			unreceived[n] += each
		}
		c.value = c.r.Estimate(c.now, map[string]Counter{"a": c.sums["a"], "b": c.sums["b"]}, 6*rateStep).Prefill
	}
}

func TestRate(t *testing.T) {
	t.Run("a process that has just started measures the rate within 1.5 s", func(t *testing.T) {
		c := newFleet(5000, 0)
		c.run(6, 100, nil, "a", "b")
		assert.InDelta(t, 800, c.value, 1)
	})
	t.Run("the rush after a restart is damped", func(t *testing.T) {
		c := newFleet(0, 0)
		c.run(2, 500, nil, "a", "b")
		assert.Less(t, c.value, 0.4*8*500)
	})
	t.Run("it follows a change", func(t *testing.T) {
		c := newFleet(0, 0)
		c.run(100, 0, nil, "a", "b")
		c.run(9, 100, nil, "a", "b")
		assert.Greater(t, c.value, 0.5*800)
		assert.Less(t, c.value, 800.0)
	})
	t.Run("a node that restarts does not lower the rate", func(t *testing.T) {
		c := newFleet(0, 0)
		c.run(100, 100, nil, "a", "b")
		c.sums["b"] = Counter{reading(0), c.now}
		c.run(20, 100, nil, "a", "b")
		assert.InDelta(t, 800, c.value, 1)
	})
	t.Run("a node whose counter is rarely received counts in full", func(t *testing.T) {
		c, unreceived := newFleet(0, 0), map[string]float64{"b": 0}
		for i := 0; i < 30; i++ {
			c.run(4, 100, unreceived, "a")
			c.sums["b"] = Counter{reading(unreceived["b"]), c.now}
		}
		c.run(1, 100, unreceived, "a")
		assert.InDelta(t, 800, c.value, 1)
	})
	t.Run("an unresponsive node counts as 0", func(t *testing.T) {
		c := newFleet(0, 0)
		c.run(100, 100, nil, "a", "b")
		c.run(8, 100, nil, "a")
		assert.InDelta(t, 400, c.value, 1)
	})
	t.Run("work done while a node was unreachable does not count as arriving at once", func(t *testing.T) {
		c, unreceived := newFleet(0, 0), map[string]float64{"b": 0}
		c.run(100, 100, nil, "a", "b")
		unreceived["b"] = c.sums["b"].Value.Prefill
		c.run(24, 100, unreceived, "a")
		c.sums["b"] = Counter{reading(unreceived["b"]), c.now}
		c.run(2, 100, nil, "a", "b")
		assert.InDelta(t, 800, c.value, 10)
	})
}
