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
func counter(t *testing.T, kv store.KV, clock *timer.Service, name, lifetime string) *Node {
	t.Helper()
	n := holder(t, kv, clock, name)
	n.s = &Settings{Node: name}
	n.o.Incarnation = lifetime
	n.usage = usage.New(name, lifetime, 5*time.Second)
	return n
}

// TestCountsOutliveAllProcesses: a window has ended and isn't settled when all processes
// are lost.
func TestCountsOutliveAllProcesses(t *testing.T) {
	ctx := context.Background()
	clock := timer.NewManual(time.Unix(1000, 0))
	s := httptest.NewServer(standin.NewPlatform(clock.Service()).Handler())
	t.Cleanup(s.Close)
	kv := store.NewGateway(s.URL, 5*time.Second, timer.Real()).KV()

	a := counter(t, kv, clock.Service(), "a", "1")
	takeOver(t, a)
	window := a.usage.Window(clock.Service().Now())
	var c counted
	c.begin(ctx, a)
	a.usage.Add(clock.Service().Now(), "w")
	a.usage.Merge("b", "1", usage.Windows{window: {"w": 7}})
	clock.Advance(5 * time.Second)
	a.usage.Add(clock.Service().Now(), "w") // in the next window
	a.lease.Resign()                        // the store's clock stands for the lease's renewals
	token := takeOver(t, a)
	c.write(ctx, a, token)
	assert.Zero(t, c.window, "reports of the window's last moments are still to come")
	clock.Advance(countedAfter)
	c.write(ctx, a, token)
	assert.Equal(t, window, c.window)

	again := counter(t, kv, clock.Service(), "a", "2")
	takeOver(t, again)
	var d counted
	d.begin(ctx, again)
	assert.Equal(t, usage.Counts{"w": 8}, again.usage.Sum(window))
	assert.Empty(t, again.usage.Sum(window+1), "windows that haven't ended aren't written")
	t.Run("what is heard again of a process isn't counted twice", func(t *testing.T) {
		again.usage.Merge("b", "1", usage.Windows{window: {"w": 7}})
		assert.Equal(t, usage.Counts{"w": 8}, again.usage.Sum(window))
	})
	t.Run("what is to be written doesn't change under the writer", func(t *testing.T) {
		list := again.processCounts(window)
		again.usage.Merge("b", "1", usage.Windows{window: {"w": 100, "v": 1}})
		for _, p := range list {
			assert.NotContains(t, p.Windows[window], "v")
		}
		again.usage = usage.New("a", "2", 5*time.Second)
		d.begin(ctx, again)
	})
	t.Run("counts that come late are written again", func(t *testing.T) {
		a.lease.Resign()
		again.lease.Resign()
		token := takeOver(t, a)
		a.usage.Merge("c", "1", usage.Windows{window: {"w": 30}}) // it was cut off
		clock.Advance(countedAgain)
		c.write(ctx, a, token)
		a.lease.Resign()
		late := counter(t, kv, clock.Service(), "a", "4")
		takeOver(t, late)
		var e counted
		e.begin(ctx, late)
		assert.Equal(t, usage.Counts{"w": 38}, late.usage.Sum(window))
		late.lease.Resign()
		takeOver(t, again)
	})
	t.Run("it is passed on", func(t *testing.T) {
		again.lease.Resign()
		d.write(ctx, again, takeOver(t, again))
		third := counter(t, kv, clock.Service(), "a", "3")
		takeOver(t, third)
		var e counted
		e.begin(ctx, third)
		assert.Equal(t, usage.Counts{"w": 8}, third.usage.Sum(window))
	})
}
