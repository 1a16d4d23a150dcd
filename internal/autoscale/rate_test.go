package autoscale

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// measured returns the rate after steps of a quarter of a second, each adding some work at
// two nodes.
func measured(r *Rate, from time.Time, steps int, each float64, sums map[string]float64) float64 {
	v := 0.0
	for i := 0; i < steps; i++ {
		for n := range sums {
			sums[n] += each
		}
		v = r.Take(from.Add(time.Duration(i)*250*time.Millisecond), map[string]float64{"a": sums["a"], "b": sums["b"]})
	}
	return v
}

func TestRate(t *testing.T) {
	start := time.Unix(1000, 0)
	t.Run("a process that has just started knows the rate within half a second", func(t *testing.T) {
		assert.InDelta(t, 800, measured(&Rate{}, start, 3, 100, map[string]float64{"a": 5000, "b": 0}), 1)
	})
	t.Run("it follows a change", func(t *testing.T) {
		r, sums := &Rate{}, map[string]float64{"a": 0, "b": 0}
		measured(r, start, 100, 0, sums)
		v := measured(r, start.Add(time.Minute), 9, 100, sums)
		assert.Greater(t, v, 0.5*800)
		assert.Less(t, v, 800.0)
	})
	t.Run("a node that starts again takes nothing off", func(t *testing.T) {
		r, sums := &Rate{}, map[string]float64{"a": 0, "b": 0}
		measured(r, start, 100, 100, sums)
		sums["b"] = 0
		assert.InDelta(t, 800, measured(r, start.Add(25*time.Second), 20, 100, sums), 100)
	})
}
