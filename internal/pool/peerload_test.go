package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"spurhall.example/spurhall/internal/capacity"
	"spurhall.example/spurhall/internal/timer"
)

// peerLoadAt returns the load at a1 and at b1 that results from a report of eight requests at a1 after the
// given time.
func peerLoadAt(age time.Duration) (there, elsewhere loadSum) {
	c := timer.NewManual(start)
	p := twoHalls(c)
	p.ApplyReport("other", []Load{{Upstream: "a1", Running: 8, Queued: 3000, Reserved: 8000}}, nil, nil)
	c.Advance(age)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sumPeerLoad(c.Service().Now(), "s", capacity.Engine{Reading: 100})
	return p.peerLoad(p.members["a1"]), p.peerLoad(p.members["b1"])
}

func TestPeerLoadByAge(t *testing.T) {
	t.Run("a fresh report counts for the upstreams that it names", func(t *testing.T) {
		there, elsewhere := peerLoadAt(0)
		assert.Equal(t, loadSum{8, 3000, 8000}, there)
		assert.Zero(t, elsewhere)
	})
	t.Run("an older one counts increasingly for all upstreams equally", func(t *testing.T) {
		there, elsewhere := peerLoadAt(time.Second) // the duration of a request
		assert.InDelta(t, 8/2.72+8*0.632/4, there.running, 0.01)
		assert.InDelta(t, 8*0.632/4, elsewhere.running, 0.01)
		assert.InDelta(t, 8.0, there.running+3*elsewhere.running, 0.01, "the sum is unchanged")
	})
	t.Run("an expired one does not count", func(t *testing.T) {
		there, elsewhere := peerLoadAt(peerReportTTL + 1)
		assert.Zero(t, there)
		assert.Zero(t, elsewhere)
	})
}

// TestWaitLimit: while one upstream is slow, requests at it are abandoned early; while all upstreams are
// slow, they are not.
func TestWaitLimit(t *testing.T) {
	c := timer.NewManual(time.Unix(1000, 0))
	p := fetchPoolsAt(c)
	respond := func(after time.Duration) {
		u := p.Pick(shared("r", 1))
		c.Advance(after)
		u.Started()
		u.End(ResultGood)
	}
	waitLimit := func() time.Duration {
		u := p.Pick(shared("x", 2))
		defer u.End(ResultInconclusive)
		return u.WaitLimit()
	}
	for i := 0; i < 20; i++ {
		respond(100 * time.Millisecond)
	}
	usual := waitLimit()
	assert.Less(t, usual, time.Second)
	for i := 0; i < 20; i++ {
		respond(time.Second)
	}
	assert.Greater(t, waitLimit(), usual+time.Second, "all lag: another upstream would not be faster")
	for i := 0; i < 40; i++ {
		respond(100 * time.Millisecond)
	}
	assert.Less(t, waitLimit(), usual+time.Second)
	t.Run("an abandoned request counts as a lag", func(t *testing.T) {
		before := waitLimit()
		u := p.Pick(shared("y", 3))
		u.TimedOut(2 * time.Second)
		u.End(ResultFailed)
		assert.Greater(t, waitLimit(), before)
	})
}
