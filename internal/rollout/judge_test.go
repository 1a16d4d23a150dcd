package rollout

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
)

// answers is a stream of answers of both versions: in each step so many of each, the target's
// over its groups in turn.
type answers struct {
	random *rand.Rand
	tally  Tally
	judge  Judge
}

func newAnswers(seed uint64) *answers {
	return &answers{random: rand.New(rand.NewPCG(seed, 3)), tally: make(Tally)}
}

// kind is what answers are like.
type kind struct{ fails, slow float64 }

func (a *answers) add(group, n int, k kind) {
	c := &a.tally.row("r")[group]
	for i := 0; i < n; i++ {
		c.Responses++
		if a.random.Float64() < k.fails {
			c.Failed++
			continue
		}
		c.First.add(k.slow * math.Exp(0.6*a.random.NormFloat64()))
	}
}

// step lets answers come, 13 of the version in service for each of the target's.
func (a *answers) step(n int, old kind, target [targetGroups]kind) Verdict {
	a.add(groupInService, 13*n, old)
	for i := 0; i < n; i++ {
		g := i % targetGroups
		a.add(1+g, 1, target[g])
	}
	return a.judge.Take(a.tally)
}

func all(k kind) [targetGroups]kind { return [targetGroups]kind{k, k, k, k} }

var usual = kind{0.002, 1}

// stoppedAfter is after how many answers of the target a verdict falls, or 0.
func stoppedAfter(seed uint64, steps int, old kind, target [targetGroups]kind) int {
	a := newAnswers(seed)
	for i := 1; i <= steps; i++ {
		if a.step(4, old, target).Bad {
			return 4 * i
		}
	}
	return 0
}

// assertStops checks in how many of a hundred plays a version is stopped.
func assertStops(t *testing.T, steps int, old kind, target [targetGroups]kind, least, most int) {
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
	t.Run("one that fails a tenth is", func(t *testing.T) { assertStops(t, 75, usual, all(kind{0.1, 1}), 99, 100) })
	t.Run("one that is twice as slow is", func(t *testing.T) { assertStops(t, 75, usual, all(kind{0.002, 2}), 99, 100) })
	t.Run("failures of both versions are no evidence", func(t *testing.T) {
		assertStops(t, 75, kind{0.15, 1}, all(kind{0.15, 1}), 0, 3)
	})
	t.Run("times of both versions are none", func(t *testing.T) { assertStops(t, 75, kind{0, 3}, all(kind{0, 3}), 0, 3) })
	t.Run("nor is one group of upstreams that is ill", func(t *testing.T) {
		v := all(usual)
		v[2] = kind{0.8, 4}
		assertStops(t, 75, usual, v, 0, 2)
	})
	t.Run("all that fail are stopped within a dozen", func(t *testing.T) {
		assert.LessOrEqual(t, stoppedAfter(1, 10, usual, all(kind{1, 1})), 12)
	})
	t.Run("one that turns bad late is stopped as soon", func(t *testing.T) {
		a := newAnswers(1)
		for i := 0; i < 100; i++ {
			a.step(4, usual, all(usual))
		}
		for i := 0; i < 10 && !a.judge.worst.Bad; i++ {
			a.step(4, usual, all(kind{0.5, 1}))
		}
		assert.True(t, a.judge.worst.Bad)
	})
}

func TestVerdictTells(t *testing.T) {
	a := newAnswers(1)
	for i := 0; i < 20; i++ {
		a.step(4, usual, all(kind{0.5, 1}))
	}
	v := a.judge.Take(a.tally)
	assert.Equal(t, ReasonFails, v.Reason)
	assert.Equal(t, "r", v.Route)
	assert.GreaterOrEqual(t, v.Sum, 1.0)
}

// TestWordsThatAreMissing: nodes that aren't heard for a while, and are heard again, add
// nothing twice.
func TestWordsThatAreMissing(t *testing.T) {
	a := newAnswers(1)
	for i := 0; i < 10; i++ {
		a.step(4, usual, all(kind{0.05, 1}))
	}
	before := a.judge.Suspicion()
	a.judge.Take(make(Tally))
	a.judge.Take(a.tally)
	assert.Equal(t, before, a.judge.Suspicion())
}

func TestClear(t *testing.T) {
	a := newAnswers(1)
	a.step(4, usual, all(usual))
	assert.False(t, a.judge.Clear(), "too few answers speak for it")
	for i := 0; i < 15; i++ {
		a.step(4, kind{0, 1}, all(kind{0, 1}))
	}
	assert.True(t, a.judge.Clear())
	a.step(8, kind{0, 1}, all(kind{1, 1}))
	assert.False(t, a.judge.Clear())
}

// TestWithNothingToCompareWith: once the target gets all, trouble that may be of all
// upstreams doesn't stop it, and failures of half of the answers do.
func TestWithNothingToCompareWith(t *testing.T) {
	play := func(k kind) bool {
		a := newAnswers(1)
		for i := 0; i < 20; i++ {
			a.step(4, usual, all(usual))
		}
		for i := 0; i < 100; i++ {
			for g := 1; g < groups; g++ {
				a.add(g, 5, k)
			}
			a.judge.Take(a.tally)
		}
		return a.judge.worst.Bad
	}
	assert.False(t, play(kind{0.08, 1}))
	assert.True(t, play(kind{0.5, 1}))
}
