package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// search plays a request of whose tries some are turned away and the others refused connections, each of
// which takes so long, and returns how many upstreams it looked at.
func search(turned int, took time.Duration, most int) int {
	var t SearchLimit
	for n := range most {
		if t.Next() == ScopeNone {
			return n
		}
		if n < turned {
			t.RecordReached()
		} else {
			t.RecordUnreachable(took)
		}
	}
	return most
}

func TestTries(t *testing.T) {
	const quick = 500 * time.Microsecond
	t.Run("upstreams that turn a request away are bounded by number", func(t *testing.T) { assert.Equal(t, triesMost, search(99, 0, 99)) })
	t.Run("dead ones aren't", func(t *testing.T) { assert.Equal(t, 99, search(0, quick, 99)) })
	t.Run("nor after one that was full", func(t *testing.T) { assert.Equal(t, 99, search(1, quick, 99)) })
	t.Run("but by the time lost on them", func(t *testing.T) { assert.Equal(t, 100, search(0, time.Millisecond, 300)) })
	t.Run("silent ones cost a connection's time-out each", func(t *testing.T) { assert.Equal(t, triesMost, search(0, 250*time.Millisecond, 99)) })
	t.Run("beyond them only to those that weren't found dead", func(t *testing.T) {
		var v SearchLimit
		for range triesMost {
			assert.Equal(t, ScopeAll, v.Next())
			v.RecordUnreachable(quick)
		}
		assert.Equal(t, ScopeReachable, v.Next())
	})
	t.Run("four that turn it away among many dead ones leave one", func(t *testing.T) {
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
