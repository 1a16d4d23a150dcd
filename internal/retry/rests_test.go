package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestRests(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b := Incarnation{ID: "a", Born: 1}, Incarnation{ID: "b"}
	t.Run("until they end", func(t *testing.T) {
		r := NewCooldowns()
		assert.True(t, r.Start(now, a, 3*time.Second))
		assert.Equal(t, 3*time.Second, r.Wait(now, a))
		assert.Equal(t, time.Nanosecond, r.Wait(now.Add(3*time.Second-1), a))
		assert.Zero(t, r.Wait(now.Add(3*time.Second), a))
		assert.Zero(t, r.Wait(now, Incarnation{ID: "a", Born: 2}), "the next life's own")
	})
	t.Run("a shorter word doesn't cut a longer one", func(t *testing.T) {
		r := NewCooldowns()
		r.Start(now, a, 3*time.Second)
		assert.False(t, r.Start(now, a, time.Second), "no news")
		assert.Equal(t, 3*time.Second, r.Wait(now, a))
	})
	t.Run("the soonest", func(t *testing.T) {
		r := NewCooldowns()
		assert.Zero(t, r.ShortestWait(now, nil))
		r.Start(now, a, 3*time.Second)
		assert.Zero(t, r.ShortestWait(now, []Incarnation{a, b}))
		r.Start(now, b, 2*time.Second)
		assert.Equal(t, 2*time.Second, r.ShortestWait(now, []Incarnation{a, b}))
	})
	t.Run("those that are over aren't kept", func(t *testing.T) {
		r := NewCooldowns()
		r.Start(now, a, time.Second)
		r.Start(now.Add(time.Second), b, time.Second)
		assert.Len(t, r.until, 1)
	})
}
