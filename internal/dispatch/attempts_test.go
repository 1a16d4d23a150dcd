package dispatch

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"spurhall.example/spurhall/internal/retry"
	"spurhall.example/spurhall/internal/upstream"
)

// countAttempts simulates a request whose attempts all fail with an error, and returns their number.
func countAttempts(err error, id func(i int) string) int {
	t := newAttempts()
	for i := range 500 {
		if t.search.Next() == retry.ScopeNone || t.search.Reached() >= maxAttempts {
			return i
		}
		t.record(id(i), err, 100*time.Microsecond)
	}
	return 500
}

func TestAttempts(t *testing.T) {
	t.Run("unreachable upstreams do not end the search", func(t *testing.T) { assert.Equal(t, 500, countAttempts(upstream.ErrNotSent, strconv.Itoa)) })
	t.Run("repeated attempts at one unreachable address end it", func(t *testing.T) {
		assert.LessOrEqual(t, countAttempts(upstream.ErrNotSent, func(int) string { return "legacy" }), maxAttempts+1)
	})
	t.Run("the number of upstreams reached stays bounded", func(t *testing.T) { assert.Equal(t, maxAttempts, countAttempts(upstream.ErrMayHaveRun, strconv.Itoa)) })
}
