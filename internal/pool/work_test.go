package pool

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"spurhall.example/spurhall/internal/timer"
)

// TestUnexecutedAttemptsAddNoWork: attempts that no upstream executed must not count as load. In a
// partition, each request of a hall fails at several upstreams of the other halls; if these attempts
// counted as load, twice the needed capacity would be ordered once the hall's nodes send reports again.
func TestUnexecutedAttemptsAddNoWork(t *testing.T) {
	c := timer.NewManual(start)
	p := fetchPoolsAt(c)
	last := 0.0
	reading := func() float64 {
		w := p.Work()["s"].Prefill
		assert.GreaterOrEqual(t, w, last, "a decreasing sum would be taken for a new process")
		last = w
		return w
	}
	attempt := func(own uint64, r Result) {
		u := p.Pick(shared("r", own))
		if r == ResultGood {
			u.Started()
		}
		u.End(r)
	}
	attempt(1, ResultGood)
	one := reading()
	for _, r := range []Result{ResultUnreachable, ResultRejected, ResultMisplaced} {
		attempt(2, r)
		reading()
	}
	for i := 0; i < 4; i++ {
		attempt(uint64(3+i), ResultUnreachable)
		reading()
	}
	attempt(9, ResultGood)
	assert.LessOrEqual(t, reading(), 2.01*one)
	t.Run("an attempt that may have been executed adds work", func(t *testing.T) {
		before := reading()
		for i := uint64(20); i < 30; i++ { // more than is still to be offset
			attempt(i, ResultFailed)
		}
		assert.Greater(t, reading(), before)
	})
}
