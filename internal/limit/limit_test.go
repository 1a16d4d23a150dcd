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

// assertRate checks what a book takes an upstream's rate to be; 0: none is named.
func assertRate(t *testing.T, b *Tracker, now time.Time, of retry.Incarnation, want float64) {
	t.Helper()
	rate, named := b.Rate(now, of)
	assert.Equal(t, want > 0, named)
	assert.InDelta(t, want, rate, 1e-9)
}

func TestNamed(t *testing.T) {
	t.Run("until it isn't any more", func(t *testing.T) {
		b := NewTracker("a")
		assert.True(t, b.ObserveRate(at, at, one, 2))
		assert.False(t, b.ObserveRate(at, at, one, 2), "no news")
		assertRate(t, b, at, one, 2)
		assertRate(t, b, at, retry.Incarnation{ID: "u", Born: 2}, 0)
		assert.True(t, b.ObserveNoRate(after(2), after(1), one))
		assertRate(t, b, after(2), one, 0)
		assert.Zero(t, b.Wait(after(2), one, false))
		assert.False(t, b.ObserveNoRate(after(3), after(3), one), "no news")
	})
	t.Run("an answer that was overtaken allows nothing", func(t *testing.T) {
		b := NewTracker("a")
		b.ObserveRate(after(time.Second), at, one, 2)
		assert.False(t, b.ObserveNoRate(after(2*time.Second), after(time.Second-1), one), "its request was sent before")
		assert.False(t, b.ObserveRate(after(2*time.Second), after(time.Second-1), one, 3))
		assertRate(t, b, after(2*time.Second), one, 2)
		assert.True(t, b.ObserveRate(after(2*time.Second), at, one, 1), "one that allows less holds at once")
		assert.True(t, b.ObserveRate(after(4*time.Second), after(3*time.Second), one, 3))
	})
	t.Run("what can't be a rate", func(t *testing.T) {
		b := NewTracker("a")
		for _, r := range []float64{-1, math.NaN(), math.Inf(1)} {
			assert.False(t, b.ObserveRate(at, at, one, r))
			assert.Empty(t, b.Merge(at, []Observation{{Upstream: one, Rate: r, At: at}}))
		}
		assert.True(t, b.ObserveRate(at, at, one, math.MaxFloat64))
		assert.Less(t, b.Wait(at, one, false), time.Millisecond)
	})
	t.Run("one that takes nothing is asked now and then", func(t *testing.T) {
		b := NewTracker("a")
		b.ObserveRate(at, at, one, 0)
		assert.Equal(t, 10*time.Second, b.Wait(at, one, false))
		assert.Zero(t, b.Wait(after(10*time.Second), one, false))
	})
	t.Run("what no answer renews is over", func(t *testing.T) {
		b := NewTracker("a")
		b.ObserveRate(at, at, one, 2)
		assertRate(t, b, after(wordKeeps), one, 2)
		assertRate(t, b, after(wordKeeps+1), one, 0)
		assert.Empty(t, b.Observations(after(wordKeeps+1)))
	})
	t.Run("only so many are remembered", func(t *testing.T) {
		b := NewTracker("a")
		for i := range 2 * wordsMost {
			b.ObserveRate(after(time.Duration(i)), at, retry.Incarnation{ID: fmt.Sprint(i)}, 1)
		}
		assert.Len(t, b.known, wordsMost)
		assertRate(t, b, after(1), retry.Incarnation{ID: fmt.Sprint(2*wordsMost - 1)}, 1)
	})
}

func TestHear(t *testing.T) {
	t.Run("the newest holds", func(t *testing.T) {
		b := NewTracker("a")
		assert.Len(t, b.Merge(after(1), []Observation{{Upstream: one, Rate: 2, At: at}}), 1)
		assert.Empty(t, b.Merge(after(1), []Observation{{Upstream: one, Rate: 3, At: at}, {Upstream: one, Lifted: true, At: at.Add(-1)}}))
		assert.Len(t, b.Merge(after(2), []Observation{{Upstream: one, Lifted: true, At: after(1)}}), 1)
		assertRate(t, b, after(2), one, 0)
	})
	t.Run("a word that goes in a circle grows old", func(t *testing.T) {
		x, y := NewTracker("x"), NewTracker("y")
		x.ObserveRate(at, at, one, 2)
		now := at
		const round, takes = 250 * time.Millisecond, 100 * time.Millisecond
		for now.Sub(at) < wordKeeps+round {
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
	t.Run("what isn't known needn't be lifted, and nothing is of a time to come", func(t *testing.T) {
		b := NewTracker("a")
		assert.Empty(t, b.Merge(at, []Observation{{Upstream: one, Lifted: true, At: at}, {Upstream: one, Rate: 1, At: after(1)}, {Rate: 1, At: at}}))
		assert.Empty(t, b.Observations(at))
	})
}

func TestShare(t *testing.T) {
	t.Run("begins with nothing, and saves up little", func(t *testing.T) {
		b := NewTracker("a")
		b.ObserveRate(at, at, one, 2)
		assert.Equal(t, 500*time.Millisecond, b.Wait(at, one, false))
		now := after(time.Hour)
		b.ObserveRate(now, now, one, 2)
		for range int(savedMost) {
			assert.Zero(t, b.Wait(now, one, false))
			b.Take(now, one, false)
		}
		assert.Equal(t, 500*time.Millisecond, b.Wait(now, one, false))
		b.Return(one)
		assert.Zero(t, b.Wait(now, one, false), "what wasn't sent costs nothing")
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
	t.Run("a share that moves isn't used twice", func(t *testing.T) {
		b := NewTracker("a")
		b.ObserveRate(at, at, one, 1)
		assert.Equal(t, time.Second, b.Wait(at, one, false))
		assert.Zero(t, b.Wait(after(time.Minute), one, false))
		other := otherAhead(b)
		b.SetNodes([]string{"a", other}, nil)
		assert.Positive(t, b.Wait(after(time.Minute), one, false), "the other one has it")
		b.SetNodes([]string{"a"}, nil)
		assert.Equal(t, time.Second, b.Wait(after(time.Minute), one, false))
	})
	t.Run("engines' are shared by those that place there", func(t *testing.T) {
		b := NewTracker("a")
		b.SetNodes([]string{"a", "b"}, []string{"b"})
		b.ObserveRate(at, at, one, 100)
		assert.Positive(t, b.Wait(after(time.Second), one, true))
		assert.Positive(t, b.Wait(after(2*time.Second), one, true))
		b.Wait(after(2*time.Second), one, false)
		assert.Zero(t, b.Wait(after(3*time.Second), one, false))
	})
}

// otherAhead returns a node that comes before a book's own.
func otherAhead(b *Tracker) string {
	for i := 0; ; i++ {
		if n := fmt.Sprint("n", i); weight(one, n) > weight(one, b.self) {
			return n
		}
	}
}

// TestSharesAddUp: nodes that see the same nodes share the rate, all of it and no more.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 30).Draw(t, "nodes")
		rate := rapid.Float64Range(rateLeast, 100).Draw(t, "rate")
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
			sum += b.shareOf(at, b.known[of], rate, false).rate
		}
		assert.InDelta(t, rate, sum, 1e-6)
	})
}
