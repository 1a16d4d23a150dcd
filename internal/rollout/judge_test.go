package rollout

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
)

// responseStream generates responses of both versions: a number of each per step, the target's spread over its
// groups in turn.
type responseStream struct {
	random *rand.Rand
	tally  Tally
	judge  Judge
}

func newResponseStream(seed uint64) *responseStream {
	return &responseStream{random: rand.New(rand.NewPCG(seed, 3)), tally: make(Tally)}
}

// behaviour is how the responses of a version are distributed.
type behaviour struct{ failRate, slowness float64 }

func (a *responseStream) add(group, n int, k behaviour) {
	c := &a.tally.row("r")[group]
	for i := 0; i < n; i++ {
		c.Responses++
		if a.random.Float64() < k.failRate {
			c.Failed++
			continue
		}
		c.First.add(k.slowness * math.Exp(0.6*a.random.NormFloat64()))
	}
}

// step adds n responses of the target, and 13 of the version in service for each of them.
func (a *responseStream) step(n int, old behaviour, target [targetGroups]behaviour) Verdict {
	a.add(groupInService, 13*n, old)
	for i := 0; i < n; i++ {
		g := i % targetGroups
		a.add(1+g, 1, target[g])
	}
	return a.judge.Add(a.tally)
}

func all(k behaviour) [targetGroups]behaviour { return [targetGroups]behaviour{k, k, k, k} }

var usual = behaviour{0.002, 1}

// stoppedAfter returns after how many responses of the target the verdict is reached, or 0.
func stoppedAfter(seed uint64, steps int, old behaviour, target [targetGroups]behaviour) int {
	a := newResponseStream(seed)
	for i := 1; i <= steps; i++ {
		if a.step(4, old, target).Bad {
			return 4 * i
		}
	}
	return 0
}

// assertStops checks in how many of a hundred runs a version is stopped.
func assertStops(t *testing.T, steps int, old behaviour, target [targetGroups]behaviour, least, most int) {
	t.Helper()
	n := 0
	for seed := uint64(1); seed <= 100; seed++ {
		if stoppedAfter(seed, steps, old, target) > 0 {
			n++
		}
	}
	assert.GreaterOrEqual(t, n, least)
	assert.LessOrEqual(t, n, most)
}

func TestJudge(t *testing.T) {
	t.Run("a good version isn't stopped", func(t *testing.T) { assertStops(t, 75, usual, all(usual), 0, 2) })
	t.Run("a version that fails a tenth of its requests is stopped", func(t *testing.T) { assertStops(t, 75, usual, all(behaviour{0.1, 1}), 99, 100) })
	t.Run("a version that is twice as slow is stopped", func(t *testing.T) { assertStops(t, 75, usual, all(behaviour{0.002, 2}), 99, 100) })
	t.Run("failures of both versions are no evidence", func(t *testing.T) {
		assertStops(t, 75, behaviour{0.15, 1}, all(behaviour{0.15, 1}), 0, 3)
	})
	t.Run("slowness of both versions is no evidence", func(t *testing.T) { assertStops(t, 75, behaviour{0, 3}, all(behaviour{0, 3}), 0, 3) })
	t.Run("one unhealthy group of upstreams is no evidence", func(t *testing.T) {
		v := all(usual)
		v[2] = behaviour{0.8, 4}
		assertStops(t, 75, usual, v, 0, 2)
	})
	t.Run("a version that fails all requests is stopped within a dozen", func(t *testing.T) {
		assert.LessOrEqual(t, stoppedAfter(1, 10, usual, all(behaviour{1, 1})), 12)
	})
	t.Run("a version that turns bad late is stopped as fast", func(t *testing.T) {
		a := newResponseStream(1)
		for i := 0; i < 100; i++ {
			a.step(4, usual, all(usual))
		}
		for i := 0; i < 10 && !a.judge.worst.Bad; i++ {
			a.step(4, usual, all(behaviour{0.5, 1}))
		}
		assert.True(t, a.judge.worst.Bad)
	})
}

func TestVerdictFigures(t *testing.T) {
	a := newResponseStream(1)
	for i := 0; i < 20; i++ {
		a.step(4, usual, all(behaviour{0.5, 1}))
	}
	v := a.judge.Add(a.tally)
	assert.Equal(t, ReasonFails, v.Reason)
	assert.Equal(t, "r", v.Route)
	assert.GreaterOrEqual(t, v.Sum, 1.0)
}

// TestMissingUpdates: nodes whose updates stop arriving for a while and then resume add no count twice.
func TestMissingUpdates(t *testing.T) {
	a := newResponseStream(1)
	for i := 0; i < 10; i++ {
		a.step(4, usual, all(behaviour{0.05, 1}))
	}
	before := a.judge.Suspicion()
	a.judge.Add(make(Tally))
	a.judge.Add(a.tally)
	assert.Equal(t, before, a.judge.Suspicion())
}

func TestClear(t *testing.T) {
	a := newResponseStream(1)
	a.step(4, usual, all(usual))
	assert.False(t, a.judge.Clear(), "too few responses are evidence for it")
	for i := 0; i < 15; i++ {
		a.step(4, behaviour{0, 1}, all(behaviour{0, 1}))
	}
	assert.True(t, a.judge.Clear())
	a.step(8, behaviour{0, 1}, all(behaviour{1, 1}))
	assert.False(t, a.judge.Clear())
}

// TestWithoutBaseline: once the target gets all requests, failures that all upstreams may share do not stop it,
// and failures of half of the responses do.
func TestWithoutBaseline(t *testing.T) {
	play := func(k behaviour) bool {
		a := newResponseStream(1)
		for i := 0; i < 20; i++ {
			a.step(4, usual, all(usual))
		}
		for i := 0; i < 100; i++ {
			for g := 1; g < groups; g++ {
				a.add(g, 5, k)
			}
			a.judge.Add(a.tally)
		}
		return a.judge.worst.Bad
	}
	assert.False(t, play(behaviour{0.08, 1}))
	assert.True(t, play(behaviour{0.5, 1}))
}
