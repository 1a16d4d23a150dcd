package follow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// hearDozen lets a node hear of a version from a dozen peers, and returns how many of them it asks.
func hearDozen(c *CatchUps, now time.Time, newest, have int64, listStale bool) int {
	asked := 0
	for range 12 {
		if c.Hear(now, newest, have, listStale) {
			asked++
		}
	}
	return asked
}

// TestEachNewConfigurationIsRequestedFromAllPeers: a dozen peers sent it whole to a node whose watcher sent it as well.
func TestEachNewConfigurationIsRequestedFromAllPeers(t *testing.T) {
	now := time.Unix(1000, 0)
	t.Run("one that is on its way", func(t *testing.T) {
		var c CatchUps
		assert.Zero(t, hearDozen(&c, now, 2, 1, false))
		assert.Zero(t, hearDozen(&c, now.Add(catchUpPatience), 2, 2, false), "it has come")
		assert.Zero(t, hearDozen(&c, now.Add(time.Minute), 3, 2, false), "the next one")
	})
	t.Run("one that doesn't come", func(t *testing.T) {
		var c CatchUps
		hearDozen(&c, now, 2, 1, false)
		assert.Equal(t, maxCatchUps, hearDozen(&c, now.Add(catchUpPatience), 2, 1, false))
		c.End()
		assert.Equal(t, 1, hearDozen(&c, now.Add(2*catchUpPatience), 2, 1, false))
	})
	t.Run("at once for a node without a configuration, or whose list is stale", func(t *testing.T) {
		assert.Equal(t, maxCatchUps, hearDozen(new(CatchUps), now, 2, -1, false))
		assert.Equal(t, maxCatchUps, hearDozen(new(CatchUps), now, 2, 2, true))
	})
}
