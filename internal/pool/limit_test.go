package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"spurhall.example/spurhall/internal/call"
	"spurhall.example/spurhall/internal/timer"
)

// limited is pools of one node with two upstreams, of which a names one request a second, and has nothing saved.
func limited(t *testing.T) (*Pools, *timer.Manual, map[string]Entry) {
	t.Helper()
	clock := timer.NewManual(start)
	p := New(clock.Service(), "self", "h")
	entries := map[string]Entry{}
	for _, id := range []string{"a", "b"} {
		e := Entry{ID: id, Service: "s", Address: "10.0.0.1:1", Hall: "h", Slots: 8}
		entries[id] = e
		p.Update(func(l *List) { l.Put(Item{Entry: e, Revision: 1}) })
	}
	clock.Advance(versionGrace)
	assert.True(t, p.ObserveLimit(entries["a"], call.Limit{Status: call.LimitNamed, Rate: 1}, start))
	assert.False(t, p.AllowQuery(entries["a"]), "its share begins with nothing")
	return p, clock, entries
}

// only is a need that the other upstream can't take.
func only() Request { return Request{ID: "r", Service: "s", Excluded: map[string]bool{"b": true}} }

func TestLimitedUpstreams(t *testing.T) {
	t.Run("aren't in the choice until there is room", func(t *testing.T) {
		p, clock, _ := limited(t)
		assert.Nil(t, p.Pick(only()))
		u := p.Pick(Request{ID: "r", Service: "s"})
		assert.Equal(t, "b", u.Entry().ID)
		assert.Equal(t, 1, u.Choice().Limited)
		clock.Advance(time.Second)
		require.NotNil(t, p.Pick(only()))
		assert.Nil(t, p.Pick(only()), "each request counts")
	})
	t.Run("what didn't arrive doesn't count", func(t *testing.T) {
		for _, r := range []Result{ResultUnreachable, ResultMisplaced, ResultRejected, ResultFailed} {
			p, clock, e := limited(t)
			clock.Advance(time.Second)
			p.Pick(only()).End(r)
			assert.Equal(t, r == ResultUnreachable || r == ResultMisplaced, p.AllowQuery(e["a"]), "result %d", r)
		}
	})
	t.Run("what a relay places counts there, and not at the node", func(t *testing.T) {
		p, clock, _ := limited(t)
		clock.Advance(time.Second)
		assert.Equal(t, "a", p.PlaceFor("n", only()))
		assert.Empty(t, p.PlaceFor("n", only()))
		u := p.PickAt(only(), "a")
		require.NotNil(t, u, "though this one has no share")
		u.End(ResultUnreachable)
		assert.Nil(t, p.Pick(only()), "nor is it given back here")
	})
	t.Run("questions count, and rest holds for them", func(t *testing.T) {
		p, clock, e := limited(t)
		clock.Advance(time.Second)
		assert.True(t, p.AllowQuery(e["a"]))
		assert.False(t, p.AllowQuery(e["a"]))
		assert.True(t, p.AllowQuery(e["b"]))
		p.StartCooldown(e["b"], time.Minute)
		assert.False(t, p.AllowQuery(e["b"]))
	})
	t.Run("an unclear word changes nothing", func(t *testing.T) {
		p, clock, e := limited(t)
		clock.Advance(time.Millisecond)
		assert.False(t, p.ObserveLimit(e["a"], call.Limit{Status: call.LimitUnclear}, clock.Service().Now()))
		assert.Nil(t, p.Pick(only()))
		assert.True(t, p.ObserveLimit(e["a"], call.Limit{Status: call.LimitNone}, clock.Service().Now()))
		assert.NotNil(t, p.Pick(only()))
	})
	t.Run("callers are told when to come, one after the other", func(t *testing.T) {
		p, _, e := limited(t)
		assert.Zero(t, p.RetryAfter("s"), "there is another upstream")
		p.ObserveLimit(e["b"], call.Limit{Status: call.LimitNamed, Rate: 1}, start)
		first, second := p.RetryAfter("s"), p.RetryAfter("s")
		assert.Equal(t, time.Second, first)
		assert.Equal(t, 1500*time.Millisecond, second, "two upstreams take two a second")
	})
}
