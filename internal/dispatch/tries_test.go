package dispatch

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"spurhall.example/spurhall/internal/retry"
	"spurhall.example/spurhall/internal/upstream"
)

// looks plays a request whose tries all fail with an error, and returns how many there were.
func looks(err error, id func(i int) string) int {
	t := newTries()
	for i := range 500 {
		if t.bound.Next() == retry.ScopeNone || t.bound.Reached() >= maxAttempts {
			return i
		}
		t.note(id(i), err, 100*time.Microsecond)
	}
	return 500
}

func TestTries(t *testing.T) {
	t.Run("dead upstreams don't end the search", func(t *testing.T) { assert.Equal(t, 500, looks(upstream.ErrNotSent, strconv.Itoa)) })
	t.Run("one dead address that is tried over and over does", func(t *testing.T) {
		assert.LessOrEqual(t, looks(upstream.ErrNotSent, func(int) string { return "legacy" }), maxAttempts+1)
	})
	t.Run("nor are more reached than before", func(t *testing.T) { assert.Equal(t, maxAttempts, looks(upstream.ErrMayHaveRun, strconv.Itoa)) })
}
