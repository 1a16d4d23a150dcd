package limit

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"spurhall.example/spurhall/internal/retry"
)

var (
	at  = time.Unix(1000, 0)
	one = retry.Incarnation{ID: "u", Born: 1}
)

func after(d time.Duration) time.Time { return at.Add(d) }

// assertRate checks the rate that a tracker holds for an upstream; 0: none is named.
func assertRate(t *testing.T, b *Tracker, now time.Time, of retry.Incarnation, want float64) {
	t.Helper()
	rate, named := b.Rate(now, of)
	assert.Equal(t, want > 0, named)
	assert.InDelta(t, want, rate, 1e-9)
}

func TestObserveRate(t *testing.T) {
	t.Run("until it is lifted", func(t *testing.T) {
		b := NewTracker("a")
		assert.True(t, b.ObserveRate(at, at, one, 2))
		assert.False(t, b.ObserveRate(at, at, one, 2), "no change")
		assertRate(t, b, at, one, 2)
		assertRate(t, b, at, retry.Incarnation{ID: "u", Born: 2}, 0)
		assert.True(t, b.ObserveNoRate(after(2), after(1), one))
		assertRate(t, b, after(2), one, 0)
		assert.Zero(t, b.Wait(after(2), one, false))
		assert.False(t, b.ObserveNoRate(after(3), after(3), one), "no change")
	})
	t.Run("a response that was overtaken does not raise the limit", func(t *testing.T) {
		b := NewTracker("a")
		b.ObserveRate(after(time.Second), at, one, 2)
		assert.False(t, b.ObserveNoRate(after(2*time.Second), after(time.Second-1), one), "its request was sent earlier")
		assert.False(t, b.ObserveRate(after(2*time.Second), after(time.Second-1), one, 3))
		assertRate(t, b, after(2*time.Second), one, 2)
		assert.True(t, b.ObserveRate(after(2*time.Second), at, one, 1), "a lower rate holds at once")
		assert.True(t, b.ObserveRate(after(4*time.Second), after(3*time.Second), one, 3))
	})
	t.Run("invalid rates", func(t *testing.T) {
		b := NewTracker("a")
		for _, r := range []float64{-1, math.NaN(), math.Inf(1)} {
			assert.False(t, b.ObserveRate(at, at, one, r))
			assert.Empty(t, b.Merge(at, []Observation{{Upstream: one, Rate: r, At: at}}))
		}
		assert.True(t, b.ObserveRate(at, at, one, math.MaxFloat64))
		assert.Less(t, b.Wait(at, one, false), time.Millisecond)
	})
	t.Run("an upstream with rate 0 gets a request now and then", func(t *testing.T) {
		b := NewTracker("a")
		b.ObserveRate(at, at, one, 0)
		assert.Equal(t, 10*time.Second, b.Wait(at, one, false))
		assert.Zero(t, b.Wait(after(10*time.Second), one, false))
	})
	t.Run("an observation that no response renews expires", func(t *testing.T) {
		b := NewTracker("a")
		b.ObserveRate(at, at, one, 2)
		assertRate(t, b, after(observationTTL), one, 2)
		assertRate(t, b, after(observationTTL+1), one, 0)
		assert.Empty(t, b.Observations(after(observationTTL+1)))
	})
	t.Run("the observations are bounded", func(t *testing.T) {
		b := NewTracker("a")
		for i := range 2 * maxObservations {
			b.ObserveRate(after(time.Duration(i)), at, retry.Incarnation{ID: fmt.Sprint(i)}, 1)
		}
		assert.Len(t, b.upstreams, maxObservations)
		assertRate(t, b, after(1), retry.Incarnation{ID: fmt.Sprint(2*maxObservations - 1)}, 1)
	})
}

func TestMerge(t *testing.T) {
	t.Run("the latest observation holds", func(t *testing.T) {
		b := NewTracker("a")
		assert.Len(t, b.Merge(after(1), []Observation{{Upstream: one, Rate: 2, At: at}}), 1)
		assert.Empty(t, b.Merge(after(1), []Observation{{Upstream: one, Rate: 3, At: at}, {Upstream: one, Lifted: true, At: at.Add(-1)}}))
		assert.Len(t, b.Merge(after(2), []Observation{{Upstream: one, Lifted: true, At: after(1)}}), 1)
		assertRate(t, b, after(2), one, 0)
	})
	t.Run("an observation forwarded in a circle expires", func(t *testing.T) {
		x, y := NewTracker("x"), NewTracker("y")
		x.ObserveRate(at, at, one, 2)
		now := at
		const round, takes = 250 * time.Millisecond, 100 * time.Millisecond
		for now.Sub(at) < observationTTL+round {
			now = now.Add(round)
			for _, w := range x.Observations(now) {
				w.At = w.At.Add(takes)
				y.Merge(now, []Observation{w})
			}
			for _, w := range y.Observations(now) {
				w.At = w.At.Add(takes)
				x.Merge(now, []Observation{w})
			}
		}
		assertRate(t, x, now, one, 0)
	})
	t.Run("unknown rates cannot be lifted, and times in the future are ignored", func(t *testing.T) {
		b := NewTracker("a")
		assert.Empty(t, b.Merge(at, []Observation{{Upstream: one, Lifted: true, At: at}, {Upstream: one, Rate: 1, At: after(1)}, {Rate: 1, At: at}}))
		assert.Empty(t, b.Observations(at))
	})
}

func TestShare(t *testing.T) {
	t.Run("starts with nothing, and saves up little", func(t *testing.T) {
		b := NewTracker("a")
		b.ObserveRate(at, at, one, 2)
		assert.Equal(t, 500*time.Millisecond, b.Wait(at, one, false))
		now := after(time.Hour)
		b.ObserveRate(now, now, one, 2)
		for range int(maxSaved) {
			assert.Zero(t, b.Wait(now, one, false))
			b.Take(now, one, false)
		}
		assert.Equal(t, 500*time.Millisecond, b.Wait(now, one, false))
		b.Return(one)
		assert.Zero(t, b.Wait(now, one, false), "a request that was not sent costs nothing")
	})
	t.Run("nothing saved up outlasts the limit", func(t *testing.T) {
		b := NewTracker("a")
		b.ObserveRate(at, at, one, 1)
		b.Wait(at, one, false)
		now := after(10 * time.Second)
		assert.Zero(t, b.Wait(now, one, false))
		b.ObserveNoRate(now, now, one)
		b.ObserveRate(now, now, one, 1)
		assert.Equal(t, time.Second, b.Wait(now, one, false))
	})
	t.Run("a share that moves is not used twice", func(t *testing.T) {
		b := NewTracker("a")
		b.ObserveRate(at, at, one, 1)
		assert.Equal(t, time.Second, b.Wait(at, one, false))
		assert.Zero(t, b.Wait(after(time.Minute), one, false))
		other := otherAhead(b)
		b.SetNodes([]string{"a", other}, nil)
		assert.Positive(t, b.Wait(after(time.Minute), one, false), "the other node has it")
		b.SetNodes([]string{"a"}, nil)
		assert.Equal(t, time.Second, b.Wait(after(time.Minute), one, false))
	})
	t.Run("the rates of engines are shared by the placers", func(t *testing.T) {
		b := NewTracker("a")
		b.SetNodes([]string{"a", "b"}, []string{"b"})
		b.ObserveRate(at, at, one, 100)
		assert.Positive(t, b.Wait(after(time.Second), one, true))
		assert.Positive(t, b.Wait(after(2*time.Second), one, true))
		b.Wait(after(2*time.Second), one, false)
		assert.Zero(t, b.Wait(after(3*time.Second), one, false))
	})
}

// otherAhead returns the name of a node that ranks before a tracker's own.
func otherAhead(b *Tracker) string {
	for i := 0; ; i++ {
		if n := fmt.Sprint("n", i); weight(one, n) > weight(one, b.self) {
			return n
		}
	}
}

// TestSharesAddUp: nodes that know the same nodes share the whole rate and no more.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 30).Draw(t, "nodes")
		rate := rapid.Float64Range(minRate, 100).Draw(t, "rate")
		of := retry.Incarnation{ID: rapid.StringN(1, 8, 8).Draw(t, "id")}
		var nodes []string
		for i := range count {
			nodes = append(nodes, fmt.Sprint("node-", i))
		}
		sum := 0.0
		for _, n := range nodes {
			b := NewTracker(n)
			b.SetNodes(nodes, nil)
			b.ObserveRate(at, at, of, rate)
			sum += b.shareOf(at, b.upstreams[of], rate, false).rate
		}
		assert.InDelta(t, rate, sum, 1e-6)
	})
}
