package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestRests(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b := Lifetime{ID: "a", Born: 1}, Lifetime{ID: "b"}
	t.Run("until they end", func(t *testing.T) {
		r := NewRests()
		assert.True(t, r.Ask(now, a, 3*time.Second))
		assert.Equal(t, 3*time.Second, r.Left(now, a))
		assert.Equal(t, time.Nanosecond, r.Left(now.Add(3*time.Second-1), a))
		assert.Zero(t, r.Left(now.Add(3*time.Second), a))
		assert.Zero(t, r.Left(now, Lifetime{ID: "a", Born: 2}), "the next life's own")
	})
	t.Run("a shorter word doesn't cut a longer one", func(t *testing.T) {
		r := NewRests()
		r.Ask(now, a, 3*time.Second)
		assert.False(t, r.Ask(now, a, time.Second), "no news")
		assert.Equal(t, 3*time.Second, r.Left(now, a))
	})
	t.Run("the soonest", func(t *testing.T) {
		r := NewRests()
		assert.Zero(t, r.Soonest(now, nil))
		r.Ask(now, a, 3*time.Second)
		assert.Zero(t, r.Soonest(now, []Lifetime{a, b}))
		r.Ask(now, b, 2*time.Second)
		assert.Equal(t, 2*time.Second, r.Soonest(now, []Lifetime{a, b}))
	})
	t.Run("those that are over aren't kept", func(t *testing.T) {
		r := NewRests()
		r.Ask(now, a, time.Second)
		r.Ask(now.Add(time.Second), b, time.Second)
		assert.Len(t, r.until, 1)
	})
}
