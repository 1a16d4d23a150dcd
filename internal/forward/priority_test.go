package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestElapsedWait(t *testing.T) {
	assertElapsed := func(t *testing.T, w *waitTracker, wait, want time.Duration) {
		t.Helper()
		assert.Equal(t, want, w.elapsed("r", wait, 8*time.Second))
	}
	t.Run("a retrying caller has less time left", func(t *testing.T) {
		var w waitTracker
		assertElapsed(t, &w, 8*time.Second, 0)
		assertElapsed(t, &w, 6*time.Second, 2*time.Second)
	})
	t.Run("the route's time-out is assumed until there are enough samples", func(t *testing.T) {
		var w waitTracker
		assertElapsed(t, &w, 6*time.Second, 2*time.Second)
	})
	t.Run("callers with a shorter wait limit are not overdue", func(t *testing.T) {
		var w waitTracker
		for i := 0; i < minWaitSamples; i++ {
			w.elapsed("r", 3*time.Second, 8*time.Second)
		}
		assertElapsed(t, &w, 3*time.Second, 0)
		assertElapsed(t, &w, 2*time.Second, time.Second)
	})
	t.Run("no wait limit stated", func(t *testing.T) {
		var w waitTracker
		assertElapsed(t, &w, 0, 0)
	})
}
