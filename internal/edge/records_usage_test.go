package edge

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"spurhall.example/spurhall/internal/duty"
	"spurhall.example/spurhall/internal/handover"
	"spurhall.example/spurhall/internal/pair"
	"spurhall.example/spurhall/internal/standin"
	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/timer"
	"spurhall.example/spurhall/internal/usage"
)

// newCounter returns a holder of the duties that counts usage.
func newCounter(t *testing.T, kv store.KV, clock *timer.Service, name, incarnation string) *Node {
	t.Helper()
	n := newHolder(t, kv, clock, name)
	n.settings = &Settings{Node: name}
	n.options.Incarnation = incarnation
	n.usage = usage.New(name, incarnation, 5*time.Second)
	return n
}

// TestUsageCountsSurviveLossOfAllProcesses loses all processes after a window has ended and before it is
// settled.
func TestUsageCountsSurviveLossOfAllProcesses(t *testing.T) {
	ctx := context.Background()
	clock := timer.NewManual(time.Unix(1000, 0))
	s := httptest.NewServer(standin.NewPlatform(clock.Service()).Handler())
	t.Cleanup(s.Close)
	kv := store.NewGateway(s.URL, 5*time.Second, timer.Real()).KV()

	a := newCounter(t, kv, clock.Service(), "a", "1")
	acquireLease(t, a)
	window := a.usage.Window(clock.Service().Now())
	var c handover.Usage
	a.restoreUsage(ctx)
	a.usage.Add(clock.Service().Now(), "w")
	a.usage.Merge("b", "1", usage.Windows{window: {"w": 7}})
	clock.Advance(5 * time.Second)
	a.usage.Add(clock.Service().Now(), "w") // in the next window
	a.lease.Resign()                        // not renewed while the clock was advanced
	token := acquireLease(t, a)
	a.writeUsage(ctx, &c, token)
	assert.Zero(t, c.Window(), "reports of the end of the window are still outstanding")
	clock.Advance(handover.UsageWriteDelay)
	a.writeUsage(ctx, &c, token)
	assert.Equal(t, window, c.Window())

	restarted := newCounter(t, kv, clock.Service(), "a", "2")
	acquireLease(t, restarted)
	var d handover.Usage
	restarted.restoreUsage(ctx)
	assert.Equal(t, usage.Counts{"w": 8}, restarted.usage.Sum(window))
	assert.Empty(t, restarted.usage.Sum(window+1), "windows that haven't ended aren't written")
	t.Run("repeated reports of a process are counted once", func(t *testing.T) {
		restarted.usage.Merge("b", "1", usage.Windows{window: {"w": 7}})
		assert.Equal(t, usage.Counts{"w": 8}, restarted.usage.Sum(window))
	})
	t.Run("counts to be written are a copy", func(t *testing.T) {
		list := handover.CountsOf(restarted.usage, "a", "2", window)
		restarted.usage.Merge("b", "1", usage.Windows{window: {"w": 100, "v": 1}})
		for _, p := range list {
			assert.NotContains(t, p.Windows[window], "v")
		}
		restarted.usage = usage.New("a", "2", 5*time.Second)
		restarted.restoreUsage(ctx)
	})
	t.Run("late counts cause another write", func(t *testing.T) {
		a.lease.Resign()
		restarted.lease.Resign()
		token := acquireLease(t, a)
		a.usage.Merge("c", "1", usage.Windows{window: {"w": 30}}) // its hall was partitioned
		clock.Advance(handover.UsageRewriteInterval)
		a.writeUsage(ctx, &c, token)
		a.lease.Resign()
		late := newCounter(t, kv, clock.Service(), "a", "4")
		acquireLease(t, late)
		late.restoreUsage(ctx)
		assert.Equal(t, usage.Counts{"w": 38}, late.usage.Sum(window))
		late.lease.Resign()
		acquireLease(t, restarted)
	})
	t.Run("a holder writes restored counts again", func(t *testing.T) {
		restarted.lease.Resign()
		restarted.writeUsage(ctx, &d, acquireLease(t, restarted))
		third := newCounter(t, kv, clock.Service(), "a", "3")
		acquireLease(t, third)
		third.restoreUsage(ctx)
		assert.Equal(t, usage.Counts{"w": 8}, third.usage.Sum(window))
	})
}

// TestUsageLacksRequestsOfAReportOnItsWay: a report that arrives after a window's end may have been built before it.
func TestUsageLacksRequestsOfAReportOnItsWay(t *testing.T) {
	report := func(n, from *Node) { n.applyReport(t.Context(), from.buildReport(pairWindows)) }
	begin := func() (clock *timer.Manual, holder, peer *Node, window int64) {
		clock = timer.NewManual(time.Unix(1000, 0))
		holder, peer = newTestNode("x", clock), newTestNode("y", clock)
		peer.countStarted("w")
		late := peer.buildReport(pairWindows)
		peer.countStarted("w")
		clock.Advance(time.Second)
		holder.applyReport(t.Context(), late)
		clock.Advance(pair.Round)
		return clock, holder, peer, holder.usage.Window(clock.Service().Wall()) - 1
	}
	t.Run("such a report doesn't complete the window", func(t *testing.T) {
		_, holder, _, window := begin()
		assert.False(t, holder.usageTally(window).Complete)
	})
	t.Run("one that tells of the next window does", func(t *testing.T) {
		_, holder, peer, window := begin()
		peer.countStarted("w")
		report(holder, peer)
		assert.Equal(t, duty.Tally{Counts: usage.Counts{"w": 2}, Processes: 1, Complete: true}, holder.usageTally(window))
	})
	t.Run("and one that came later than any report takes", func(t *testing.T) {
		clock, holder, peer, window := begin()
		clock.Advance(reportTimeout)
		report(holder, peer)
		assert.Equal(t, duty.Tally{Counts: usage.Counts{"w": 2}, Processes: 1, Complete: true}, holder.usageTally(window))
	})
}
