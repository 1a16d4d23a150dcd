package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestElapsed(t *testing.T) {
	assertElapsed := func(t *testing.T, w *waits, wait, want time.Duration) {
		t.Helper()
		assert.Equal(t, want, w.elapsed("r", wait, 8*time.Second))
	}
	t.Run("a caller that comes back has less left", func(t *testing.T) {
		var w waits
		assertElapsed(t, &w, 8*time.Second, 0)
		assertElapsed(t, &w, 6*time.Second, 2*time.Second)
	})
	t.Run("until callers are known they wait as the route lets them", func(t *testing.T) {
		var w waits
		assertElapsed(t, &w, 6*time.Second, 2*time.Second)
	})
	t.Run("callers that always wait for less aren't late", func(t *testing.T) {
		var w waits
		for i := 0; i < waitsKnown; i++ {
			w.elapsed("r", 3*time.Second, 8*time.Second)
		}
		assertElapsed(t, &w, 3*time.Second, 0)
		assertElapsed(t, &w, 2*time.Second, time.Second)
	})
	t.Run("a caller that doesn't say", func(t *testing.T) {
		var w waits
		assertElapsed(t, &w, 0, 0)
	})
}
