package pool

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"spurhall.example/spurhall/internal/timer"
)

// TestWorkIsWhatUpstreamsTake: tries that brought an upstream no work aren't load. While a
// hall is cut off, each of its requests tries several of the others' upstreams in vain; when
// its nodes are heard again, that counted as load, and twice as much as came was ordered for.
func TestWorkIsWhatUpstreamsTake(t *testing.T) {
	c := timer.NewManual(start)
	p := fetchPoolsAt(c)
	last := 0.0
	reading := func() float64 {
		w := p.Work()["s"].Prefill
		assert.GreaterOrEqual(t, w, last, "a sum that falls belongs to a new process")
		last = w
		return w
	}
	try := func(own uint64, r Result) {
		u := p.Pick(shared("r", own))
		if r == ResultGood {
			u.Started()
		}
		u.End(r)
	}
	try(1, ResultGood)
	one := reading()
	for _, r := range []Result{ResultUnreachable, ResultRejected, ResultMisplaced} {
		try(2, r)
		reading()
	}
	for i := 0; i < 4; i++ {
		try(uint64(3+i), ResultUnreachable)
		reading()
	}
	try(9, ResultGood)
	assert.LessOrEqual(t, reading(), 2.01*one)
	t.Run("a try that may have run is", func(t *testing.T) {
		before := reading()
		for i := uint64(20); i < 30; i++ { // more than what is still to be made up for
			try(i, ResultFailed)
		}
		assert.Greater(t, reading(), before)
	})
}
