package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// search simulates a request: the first rejected attempts reach an upstream that rejects it, the others
// are refused a connection after took. It returns how many upstreams were tried, at most limit.
func search(rejected int, took time.Duration, limit int) int {
	var t SearchLimit
	for n := range limit {
		if t.Next() == ScopeNone {
			return n
		}
		if n < rejected {
			t.RecordReached()
		} else {
			t.RecordUnreachable(took)
		}
	}
	return limit
}

func TestTries(t *testing.T) {
	const quick = 500 * time.Microsecond
	t.Run("upstreams that reject a request are limited by number", func(t *testing.T) { assert.Equal(t, maxUpstreams, search(99, 0, 99)) })
	t.Run("unreachable upstreams are not", func(t *testing.T) { assert.Equal(t, 99, search(0, quick, 99)) })
	t.Run("nor after a full upstream", func(t *testing.T) { assert.Equal(t, 99, search(1, quick, 99)) })
	t.Run("they are limited by the time lost on them", func(t *testing.T) { assert.Equal(t, 100, search(0, time.Millisecond, 300)) })
	t.Run("upstreams that do not respond cost a connection time-out each", func(t *testing.T) { assert.Equal(t, maxUpstreams, search(0, 250*time.Millisecond, 99)) })
	t.Run("further attempts go only to upstreams not known to be unreachable", func(t *testing.T) {
		var v SearchLimit
		for range maxUpstreams {
			assert.Equal(t, ScopeAll, v.Next())
			v.RecordUnreachable(quick)
		}
		assert.Equal(t, ScopeReachable, v.Next())
	})
	t.Run("after four rejections among unreachable upstreams one attempt is left", func(t *testing.T) {
		var v SearchLimit
		for range 4 {
			v.RecordReached()
			v.RecordUnreachable(quick)
		}
		assert.Equal(t, ScopeReachable, v.Next())
		v.RecordReached()
		assert.Equal(t, ScopeNone, v.Next())
	})
}
