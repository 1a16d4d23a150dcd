package pool

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"spurhall.example/spurhall/internal/capacity"
	"spurhall.example/spurhall/internal/timer"
)

// orderedEngines are engines where room is short: prompts wait at each.
type orderedEngines struct {
	clock *timer.Manual
	p     *Pools
	n     int
}

func newOrderedEngines() *orderedEngines {
	c := timer.NewManual(start)
	e := &orderedEngines{clock: c, p: fetchPoolsAt(c)}
	for _, id := range []string{"a1", "a2", "b1", "b2"} {
		busy(e.p, id, 4)
	}
	return e
}

// at chooses an engine for a request of its own parts.
func (e *orderedEngines) at(t *testing.T, id string) *Use {
	t.Helper()
	e.n++
	n := shared(fmt.Sprint("r", e.n), uint64(1000+e.n))
	n.Excluded = map[string]bool{"a1": true, "a2": true, "b1": true, "b2": true}
	delete(n.Excluded, id)
	u := e.p.Pick(n)
	require.NotNil(t, u)
	return u
}

// run sends a request that is taken out of turn, and has its first event after some time.
func (e *orderedEngines) run(t *testing.T, id string, overtakes bool, after func(u *Use) time.Duration) {
	t.Helper()
	u := e.at(t, id)
	u.SetOutOfTurn(overtakes)
	e.clock.Advance(after(u))
	u.Started()
	u.End(ResultGood)
}

func (e *orderedEngines) slowness(t *testing.T, id string) float64 {
	t.Helper()
	u := e.at(t, id)
	defer u.End(ResultInconclusive)
	return u.Choice().Slowness
}

func (e *orderedEngines) lagMs() float64 { return e.p.service("s").lagMs }

func TestOvertakenRequests(t *testing.T) {
	t.Run("their engine doesn't look slow", func(t *testing.T) {
		e := newOrderedEngines()
		for range 20 {
			e.run(t, "a1", false, func(*Use) time.Duration { return 2 * time.Second })
			e.run(t, "a2", true, func(u *Use) time.Duration { return u.Expected().Reading })
		}
		assert.Equal(t, 1.0, e.slowness(t, "a1"))
		assert.Zero(t, math.Round(e.lagMs()))
	})
	t.Run("they aren't sent again early", func(t *testing.T) {
		e := newOrderedEngines()
		u := e.at(t, "a1")
		u.SetOutOfTurn(false)
		assert.Equal(t, time.Duration(math.MaxInt64), u.WaitLimit())
		u.TimedOut(4 * time.Second)
		assert.Zero(t, e.lagMs())
	})
}

func TestOvertakingRequests(t *testing.T) {
	t.Run("they are expected to take the time of their own prompts", func(t *testing.T) {
		e := newOrderedEngines()
		u := e.at(t, "a1")
		u.SetOutOfTurn(true)
		reading := u.Expected().Reading
		assert.Equal(t, reading, u.WaitLimit())
		e.clock.Advance(reading)
		u.Started()
		assert.InDelta(t, 1, u.Lag(), 0.01)
	})
	t.Run("one engine that is slow to them looks slow", func(t *testing.T) {
		e := newOrderedEngines()
		for range 20 {
			e.run(t, "a1", true, func(u *Use) time.Duration { return 4 * u.Expected().Reading })
			for range 5 {
				e.run(t, "a2", true, func(u *Use) time.Duration { return u.Expected().Reading })
			}
		}
		assert.Greater(t, e.slowness(t, "a1"), 1.2)
		assert.Less(t, e.slowness(t, "a2"), 1.1)
	})
}

func TestExpectedWait(t *testing.T) {
	p := twoHalls(timer.NewManual(start))
	busy(p, "a1", 20)
	expected := func() Expected {
		n := shared("x", 7)
		n.Excluded = map[string]bool{"a2": true, "b1": true, "b2": true}
		u := p.Pick(n)
		defer u.End(ResultInconclusive)
		return u.Expected()
	}
	t.Run("none while nothing is known of the engines", func(t *testing.T) { assert.Zero(t, expected().Wait) })
	t.Run("that of what is queued once something is", func(t *testing.T) {
		p.RestoreEngine("s", capacity.Engine{Reading: 30, First: 30, Token: 10})
		assert.Greater(t, expected().Wait, 300*time.Millisecond)
	})
}

// TestOrderAtFastAndSlowEngines: what is expected of a request, in turn or not, follows the engine's own speed.
func TestOrderAtFastAndSlowEngines(t *testing.T) {
	for _, speed := range []float64{0.6, 1.6} {
		t.Run(fmt.Sprint(speed), func(t *testing.T) {
			usual, other := newOrderedEngines(), newOrderedEngines()
			other.p.members["a1"].speed.excess = speed - 1
			u, v := usual.at(t, "a1"), other.at(t, "a1")
			require.Equal(t, speed, v.speed)
			assert.InEpsilon(t, float64(u.Expected().Wait)/speed, float64(v.Expected().Wait), 1e-6)
			assert.InEpsilon(t, float64(u.Expected().Reading)/speed, float64(v.Expected().Reading), 1e-6)
			assert.InEpsilon(t, u.expectedMs/speed, v.expectedMs, 1e-9)
			u.SetOutOfTurn(true)
			v.SetOutOfTurn(true)
			assert.Equal(t, u.usualMs, v.usualMs, "of a usual engine")
			assert.InEpsilon(t, u.expectedMs/speed, v.expectedMs, 1e-9)
			assert.Less(t, v.reads, other.at(t, "a1").reads, "its own prompt alone")
		})
	}
}

// TestRestOfOvertakenRequests: a request that may be preempted in the middle teaches no time a token.
func TestRestOfOvertakenRequests(t *testing.T) {
	rest := func(overtakes bool) float64 {
		e := newOrderedEngines()
		for range 20 {
			u := e.at(t, "a1")
			u.SetOutOfTurn(overtakes)
			e.clock.Advance(time.Second)
			u.Started()
			e.clock.Advance(10 * time.Second)
			u.End(ResultGood)
		}
		return e.p.service("s").learner.Engine(e.clock.Service().Now()).Token
	}
	known := newOrderedEngines().p.service("s").learner.Engine(start).Token
	assert.Equal(t, known, rest(false))
	assert.Greater(t, rest(true), known)
}
