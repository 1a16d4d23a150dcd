package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"spurhall.example/spurhall/internal/capacity"
	"spurhall.example/spurhall/internal/timer"
)

// othersAt is what a report of eight requests at a1 tells of a1 and of b1 after a while.
func othersAt(age time.Duration) (there, elsewhere othersLoad) {
	c := timer.NewManual(start)
	p := cutPools(c)
	p.TakeIn("other", []Load{{Upstream: "a1", Running: 8, Queued: 3000, Held: 8000}}, nil, nil)
	c.Advance(age)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gatherOthers(c.Service().Now(), "s", capacity.Engine{Reading: 100})
	return p.members["a1"].others, p.members["b1"].others
}

func TestOthers(t *testing.T) {
	t.Run("a fresh report counts for the upstreams that it names", func(t *testing.T) {
		there, elsewhere := othersAt(0)
		assert.Equal(t, othersLoad{8, 3000, 8000}, there)
		assert.Zero(t, elsewhere)
	})
	t.Run("an older one more and more for all alike", func(t *testing.T) {
		there, elsewhere := othersAt(time.Second) // as long as a request lasts
		assert.InDelta(t, 8/2.72+8*0.632/4, there.running, 0.01)
		assert.InDelta(t, 8*0.632/4, elsewhere.running, 0.01)
		assert.InDelta(t, 8.0, there.running+3*elsewhere.running, 0.01, "in sum, all of it")
	})
	t.Run("an old one for nothing", func(t *testing.T) {
		there, elsewhere := othersAt(peerKeeps + 1)
		assert.Zero(t, there)
		assert.Zero(t, elsewhere)
	})
}
