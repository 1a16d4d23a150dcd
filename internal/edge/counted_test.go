package edge

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"spurhall.example/spurhall/internal/standin"
	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/timer"
	"spurhall.example/spurhall/internal/usage"
)

// counter is a holder that counts.
func newCounter(t *testing.T, kv store.KV, clock *timer.Service, name, lifetime string) *Node {
	t.Helper()
	n := newHolder(t, kv, clock, name)
	n.settings = &Settings{Node: name}
	n.options.Incarnation = lifetime
	n.usage = usage.New(name, lifetime, 5*time.Second)
	return n
}

// TestCountsOutliveAllProcesses: a window has ended and isn't settled when all processes
// are lost.
func TestUsageCountsSurviveLossOfAllProcesses(t *testing.T) {
	ctx := context.Background()
	clock := timer.NewManual(time.Unix(1000, 0))
	s := httptest.NewServer(standin.NewPlatform(clock.Service()).Handler())
	t.Cleanup(s.Close)
	kv := store.NewGateway(s.URL, 5*time.Second, timer.Real()).KV()

	a := newCounter(t, kv, clock.Service(), "a", "1")
	acquireLease(t, a)
	window := a.usage.Window(clock.Service().Now())
	var c usageCountsWriter
	c.restore(ctx, a)
	a.usage.Add(clock.Service().Now(), "w")
	a.usage.TakeIn("b", "1", usage.Windows{window: {"w": 7}})
	clock.Advance(5 * time.Second)
	a.usage.Add(clock.Service().Now(), "w") // in the next window
	a.lease.Resign()                        // the store's clock stands for the lease's renewals
	token := acquireLease(t, a)
	c.write(ctx, a, token)
	assert.Zero(t, c.writtenWindow, "reports of the window's last moments are still to come")
	clock.Advance(usageWriteDelay)
	c.write(ctx, a, token)
	assert.Equal(t, window, c.writtenWindow)

	again := newCounter(t, kv, clock.Service(), "a", "2")
	acquireLease(t, again)
	var d usageCountsWriter
	d.restore(ctx, again)
	assert.Equal(t, usage.Counts{"w": 8}, again.usage.Sum(window))
	assert.Empty(t, again.usage.Sum(window+1), "windows that haven't ended aren't written")
	t.Run("what is heard again of a process isn't counted twice", func(t *testing.T) {
		again.usage.TakeIn("b", "1", usage.Windows{window: {"w": 7}})
		assert.Equal(t, usage.Counts{"w": 8}, again.usage.Sum(window))
	})
	t.Run("what is to be written doesn't change under the writer", func(t *testing.T) {
		list := again.processCounts(window)
		again.usage.TakeIn("b", "1", usage.Windows{window: {"w": 100, "v": 1}})
		for _, p := range list {
			assert.NotContains(t, p.Windows[window], "v")
		}
		again.usage = usage.New("a", "2", 5*time.Second)
		d.restore(ctx, again)
	})
	t.Run("counts that come late are written again", func(t *testing.T) {
		a.lease.Resign()
		again.lease.Resign()
		token := acquireLease(t, a)
		a.usage.TakeIn("c", "1", usage.Windows{window: {"w": 30}}) // it was cut off
		clock.Advance(usageRewriteInterval)
		c.write(ctx, a, token)
		a.lease.Resign()
		late := newCounter(t, kv, clock.Service(), "a", "4")
		acquireLease(t, late)
		var e usageCountsWriter
		e.restore(ctx, late)
		assert.Equal(t, usage.Counts{"w": 38}, late.usage.Sum(window))
		late.lease.Resign()
		acquireLease(t, again)
	})
	t.Run("it is passed on", func(t *testing.T) {
		again.lease.Resign()
		d.write(ctx, again, acquireLease(t, again))
		third := newCounter(t, kv, clock.Service(), "a", "3")
		acquireLease(t, third)
		var e usageCountsWriter
		e.restore(ctx, third)
		assert.Equal(t, usage.Counts{"w": 8}, third.usage.Sum(window))
	})
}
