package follow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"spurhall.example/spurhall/internal/pool"
)

func TestStep(t *testing.T) {
	start := time.Unix(1000, 0)
	assertStep := func(t *testing.T, holds, steady bool, s *Step, now time.Time) {
		t.Helper()
		assert.Equal(t, holds, s.Holds(now))
		assert.Equal(t, steady, s.Steady(now))
	}
	t.Run("a list that was never complete", func(t *testing.T) { assertStep(t, false, false, &Step{}, start) })
	t.Run("the first list", func(t *testing.T) {
		s := &Step{}
		s.Confirm(start)
		assertStep(t, true, true, s, start.Add(pool.MaxVersionLag))
		assertStep(t, false, false, s, start.Add(pool.MaxVersionLag+1))
	})
	t.Run("confirmed again and again", func(t *testing.T) {
		s, now := &Step{}, start
		for range 10 {
			now = now.Add(pool.MaxVersionLag)
			s.Confirm(now)
			assertStep(t, true, true, s, now)
		}
	})
	t.Run("an earlier confirmation changes nothing", func(t *testing.T) {
		s := &Step{}
		s.Confirm(start)
		s.Confirm(start.Add(-time.Hour))
		assert.Equal(t, time.Second, s.Age(start.Add(time.Second)))
		assertStep(t, true, true, s, start)
	})
	t.Run("by the store, and by the other nodes", func(t *testing.T) {
		s, now := &Step{}, start.Add(time.Minute)
		s.ConfirmByStore(now, start, 0)
		assertStep(t, false, false, s, now)
		s.ConfirmByStore(now, now, 5*time.Second)
		assertStep(t, false, false, s, now)
		s.ConfirmByOthers(now, 5*time.Second)
		assertStep(t, false, false, s, now)
		s.ConfirmByOthers(now, 0)
		assertStep(t, true, false, s, now)
		s.ConfirmByStore(now, now, 0)
		assert.Zero(t, s.Age(now))
	})
	t.Run("after a gap it is steady only once the others know no version for longer", func(t *testing.T) {
		s := &Step{}
		s.Confirm(start)
		back := start.Add(5 * time.Second)
		s.Confirm(back)
		assertStep(t, true, false, s, back)
		for now := back; now.Sub(back) < steadyAfter; now = now.Add(time.Second) {
			s.Confirm(now)
			assertStep(t, true, false, s, now)
		}
		s.Confirm(back.Add(steadyAfter))
		assertStep(t, true, true, s, back.Add(steadyAfter))
	})
	t.Run("what it may have missed", func(t *testing.T) {
		s := &Step{}
		assert.Zero(t, s.Confirm(start))
		assert.Zero(t, s.MissedAgo(start), "nothing since the first list")
		assert.Zero(t, s.Confirm(start.Add(pool.MaxVersionLag)))
		back := start.Add(time.Minute)
		assert.Equal(t, time.Minute-pool.MaxVersionLag, s.Confirm(back))
		assert.Equal(t, time.Second, s.MissedAgo(back.Add(time.Second)))
		assert.Equal(t, pool.StreamsLast, s.MissedAgo(back.Add(pool.StreamsLast)))
		assert.Zero(t, s.MissedAgo(back.Add(pool.StreamsLast+1)), "streams of that time are over")
		s.Miss(back.Add(-time.Second))
		assert.Equal(t, time.Second, s.MissedAgo(back.Add(time.Second)), "an earlier one changes nothing")
		s.Miss(back.Add(time.Minute))
		assert.Equal(t, time.Millisecond, s.MissedAgo(back.Add(time.Minute)), "until this moment")
	})
}
