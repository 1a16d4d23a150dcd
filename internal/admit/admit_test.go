package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// TestEveryRequestIsAccountedForOnce: whatever comes in whatever order, a request runs,
// waits or is refused, never two of them; no more run than there are slots; and when all
// is done nothing is left.
func TestEveryRequestIsAccountedForOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New(Options{BatchReserve: 0.25, ServiceTime: time.Second})
		slots := rapid.IntRange(1, 5).Draw(t, "slots")
		c.SetSlots(0, float64(slots))
		running, waiting := map[string]bool{}, map[string]bool{}
		start := func(ids []string) {
			for _, id := range ids {
				assert.True(t, waiting[id], "%s starts without having waited", id)
				delete(waiting, id)
				running[id] = true
			}
		}
		now := time.Duration(0)
		for i := 0; i < 80; i++ {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				id := fmt.Sprint(i)
				v := c.Offer(now, Request{
					ID: id, Workspace: fmt.Sprint(i % 3), Class: Class(rapid.IntRange(0, 1).Draw(t, "class")), Cost: 1,
					MaxWait: 2 * time.Second, Limits: Limits{Weight: 1, InFlight: 4, Queue: 3, Rate: 20},
				})
				switch v.Decision {
				case DecisionRun:
					running[id] = true
				case DecisionWait:
					waiting[id] = true
				default:
					assert.Positive(t, v.RetryAfter, "told when to come back")
				}
			case 2:
				for id := range running {
					delete(running, id)
					start(c.Done(now, id))
					break
				}
			default:
				for _, id := range c.Expire(now) {
					assert.True(t, waiting[id])
					delete(waiting, id)
				}
			}
			assert.LessOrEqual(t, len(running), slots)
			assert.Equal(t, len(running), c.Running())
			assert.Equal(t, len(waiting), c.Waiting())
		}
		for len(running) > 0 {
			for id := range running {
				delete(running, id)
				start(c.Done(now, id))
				break
			}
		}
		assert.Empty(t, waiting, "slots are free, and somebody waits")
		assert.Zero(t, c.Running())
	})
}

// TestRequestsThatFindNoUpstream: they end at once, which makes nobody's wait shorter.
func TestRequestsThatFindNoUpstream(t *testing.T) {
	c := New(Options{ServiceTime: time.Second})
	c.SetSlots(0, 2)
	_, before := c.Capacity()
	for i := range 100 {
		id := fmt.Sprint(i)
		c.Offer(0, Request{ID: id, Workspace: "w"})
		c.MarkUnserved(id)
		c.Done(0, id)
	}
	_, after := c.Capacity()
	assert.Equal(t, before, after)
}
