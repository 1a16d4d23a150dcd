package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// TestWindowHoldsInEverySpan sends requests at random times and checks the bound in every span that ends
// at a retry.
func TestWindowHoldsInEverySpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const span = 10 * time.Second
		ratio := rapid.Float64Range(0, 0.5).Draw(t, "ratio")
		extra := float64(rapid.IntRange(0, 5).Draw(t, "extra"))
		w := NewWindow(ratio, extra, span)
		var firsts, repeats []time.Duration
		now := time.Duration(0)
		for i := 0; i < 200; i++ {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			if rapid.Bool().Draw(t, "first") {
				w.First(now)
				firsts = append(firsts, now)
				continue
			}
			if !w.Take(now) {
				continue
			}
			repeats = append(repeats, now)
			in := func(l []time.Duration) float64 {
				n := 0.0
				for _, x := range l {
					if x > now-span {
						n++
					}
				}
				return n
			}
			assert.LessOrEqual(t, in(repeats), ratio*in(firsts)+extra+1e-9)
		}
	})
}

// TestReturnedRetriesLoosenTheBound guards against more retries than the bound allows since some were returned unused.
func TestReturnedRetriesLoosenTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const span = 10 * time.Second
		const extra = 5
		w := NewWindow(0, extra, span)
		var repeats []time.Duration
		now := time.Duration(0)
		for range 200 {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			if !w.Take(now) {
				continue
			}
			if rapid.Bool().Draw(t, "returned") {
				now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "later")) * time.Millisecond
				w.Return(now)
				continue
			}
			repeats = append(repeats, now)
			n := 0
			for _, x := range repeats {
				if x > now-span {
					n++
				}
			}
			assert.LessOrEqual(t, n, extra)
		}
	})
	t.Run("it may be used again", func(t *testing.T) {
		w := NewWindow(0, 1, 10*time.Second)
		assert.True(t, w.Take(0))
		w.Return(time.Second)
		assert.True(t, w.Take(time.Second))
		assert.False(t, w.Take(time.Second))
	})
	t.Run("nothing is returned that wasn't taken", func(t *testing.T) {
		w := NewWindow(0, 1, 10*time.Second)
		w.Return(0)
		assert.True(t, w.Take(0))
		assert.False(t, w.Take(0))
	})
}

func TestWindowOpensAgain(t *testing.T) {
	w := NewWindow(0, 2, 10*time.Second)
	assert.True(t, w.Take(0))
	assert.True(t, w.Take(0))
	assert.False(t, w.Take(9*time.Second))
	assert.True(t, w.Take(12*time.Second))
}

// TestRestartsSpendTheExtraRetriesAgain guards against processes that are killed and begin with the extra retries again.
func TestRestartsSpendTheExtraRetriesAgain(t *testing.T) {
	const (
		span  = 10 * time.Second
		ratio = 0.2
		extra = 50.0
		step  = 10 * time.Millisecond
	)
	for _, restarts := range [][]time.Duration{{3 * time.Second}, {3 * time.Second, 7 * time.Second}, {time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second}} {
		w, started, firsts, repeats := NewWindow(ratio, extra, span), time.Duration(0), 0, 0
		for now := time.Duration(0); now < span; now += step { // all within one span
			if len(restarts) > 0 && now >= restarts[0] {
				w, started, restarts = NewWindow(ratio, extra, span), now, restarts[1:]
				w.WithholdExtra(span)
			}
			w.First(now - started)
			firsts++
			for w.Take(now - started) {
				repeats++
			}
		}
		assert.LessOrEqual(t, float64(repeats), ratio*float64(firsts)+extra)
	}
	t.Run("they are there again once the span is over", func(t *testing.T) {
		w := NewWindow(ratio, extra, span)
		w.WithholdExtra(span)
		assert.False(t, w.Take(span-time.Second))
		assert.True(t, w.Take(span))
	})
}
