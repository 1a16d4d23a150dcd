package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"spurhall.example/spurhall/internal/capacity"
	"spurhall.example/spurhall/internal/timer"
)

// othersAt is what a report of eight requests at a1 tells of a1 and of b1 after a while.
func othersAt(age time.Duration) (there, elsewhere othersLoad) {
	c := timer.NewManual(start)
	p := cutPools(c)
	p.ApplyReport("other", []Load{{Upstream: "a1", Running: 8, Queued: 3000, Reserved: 8000}}, nil, nil)
	c.Advance(age)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gatherOthers(c.Service().Now(), "s", capacity.Engine{Reading: 100})
	return p.members["a1"].others, p.members["b1"].others
}

func TestOthers(t *testing.T) {
	t.Run("a fresh report counts for the upstreams that it names", func(t *testing.T) {
		there, elsewhere := othersAt(0)
		assert.Equal(t, othersLoad{8, 3000, 8000}, there)
		assert.Zero(t, elsewhere)
	})
	t.Run("an older one more and more for all alike", func(t *testing.T) {
		there, elsewhere := othersAt(time.Second) // as long as a request lasts
		assert.InDelta(t, 8/2.72+8*0.632/4, there.running, 0.01)
		assert.InDelta(t, 8*0.632/4, elsewhere.running, 0.01)
		assert.InDelta(t, 8.0, there.running+3*elsewhere.running, 0.01, "in sum, all of it")
	})
	t.Run("an old one for nothing", func(t *testing.T) {
		there, elsewhere := othersAt(peerKeeps + 1)
		assert.Zero(t, there)
		assert.Zero(t, elsewhere)
	})
}

// TestPatience: while one upstream is slow it is given up early, while all are it isn't.
func TestPatience(t *testing.T) {
	c := timer.NewManual(time.Unix(1000, 0))
	p := fetchPoolsAt(c)
	answer := func(after time.Duration) {
		u := p.Pick(shared("r", 1))
		c.Advance(after)
		u.Started()
		u.End(ResultGood)
	}
	patience := func() time.Duration {
		u := p.Pick(shared("x", 2))
		defer u.End(ResultInconclusive)
		return u.WaitLimit()
	}
	for i := 0; i < 20; i++ {
		answer(100 * time.Millisecond)
	}
	usual := patience()
	assert.Less(t, usual, time.Second)
	for i := 0; i < 20; i++ {
		answer(time.Second)
	}
	assert.Greater(t, patience(), usual+time.Second, "all lag: another one wouldn't be quicker")
	for i := 0; i < 40; i++ {
		answer(100 * time.Millisecond)
	}
	assert.Less(t, patience(), usual+time.Second)
	t.Run("what was given up counts as a lag", func(t *testing.T) {
		before := patience()
		u := p.Pick(shared("y", 3))
		u.TimedOut(2 * time.Second)
		u.End(ResultFailed)
		assert.Greater(t, patience(), before)
	})
}
