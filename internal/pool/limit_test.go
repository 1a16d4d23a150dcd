package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"spurhall.example/spurhall/internal/call"
	"spurhall.example/spurhall/internal/timer"
)

// twoUpstreams returns the pools of one node with two upstreams, a and b.
func twoUpstreams(slots int) (*Pools, *timer.Manual, map[string]Entry) {
	clock := timer.NewManual(start)
	p := New(clock.Service(), "self", "h")
	entries := map[string]Entry{}
	for _, id := range []string{"a", "b"} {
		e := Entry{ID: id, Service: "s", Address: "10.0.0.1:1", Hall: "h", Slots: slots}
		entries[id] = e
		p.Update(func(l *List) { l.Put(Item{Entry: e, Revision: 1}) })
	}
	clock.Advance(versionGrace)
	return p, clock, entries
}

// limited returns the pools of one node with two upstreams, of which a states a limit of one request a
// second and this node's share has no tokens saved.
func limited(t *testing.T) (*Pools, *timer.Manual, map[string]Entry) {
	t.Helper()
	p, clock, entries := twoUpstreams(8)
	assert.True(t, p.ObserveLimit(entries["a"], call.Limit{Status: call.LimitNamed, Rate: 1}, start))
	assert.False(t, p.AllowQuery(entries["a"]), "its share starts empty")
	return p, clock, entries
}

// onlyA returns a request that upstream b can't take.
func onlyA() Request { return Request{ID: "r", Service: "s", Excluded: map[string]bool{"b": true}} }

func TestLimitedUpstreams(t *testing.T) {
	t.Run("are no candidates until the limit allows a request", func(t *testing.T) {
		p, clock, _ := limited(t)
		assert.Nil(t, p.Pick(onlyA()))
		u := p.Pick(Request{ID: "r", Service: "s"})
		assert.Equal(t, "b", u.Entry().ID)
		assert.Equal(t, 1, u.Choice().Limited)
		clock.Advance(time.Second)
		require.NotNil(t, p.Pick(onlyA()))
		assert.Nil(t, p.Pick(onlyA()), "each request counts")
	})
	t.Run("requests that did not arrive do not count", func(t *testing.T) {
		for _, r := range []Result{ResultUnreachable, ResultMisplaced, ResultRejected, ResultFailed} {
			p, clock, e := limited(t)
			clock.Advance(time.Second)
			p.Pick(onlyA()).End(r)
			assert.Equal(t, r == ResultUnreachable || r == ResultMisplaced, p.AllowQuery(e["a"]), "result %d", r)
		}
	})
	t.Run("a request placed by a relay counts at the relay, not at the node", func(t *testing.T) {
		p, clock, _ := limited(t)
		clock.Advance(time.Second)
		assert.Equal(t, "a", p.PlaceFor("n", onlyA()))
		assert.Empty(t, p.PlaceFor("n", onlyA()))
		u := p.PickAt(onlyA(), "a")
		require.NotNil(t, u, "though this node has no share")
		u.End(ResultUnreachable)
		assert.Nil(t, p.Pick(onlyA()), "nor is it returned here")
	})
	t.Run("queries count, and a cooldown applies to them", func(t *testing.T) {
		p, clock, e := limited(t)
		clock.Advance(time.Second)
		assert.True(t, p.AllowQuery(e["a"]))
		assert.False(t, p.AllowQuery(e["a"]))
		assert.True(t, p.AllowQuery(e["b"]))
		p.StartCooldown(e["b"], time.Minute)
		assert.False(t, p.AllowQuery(e["b"]))
	})
	t.Run("an unclear limit changes nothing", func(t *testing.T) {
		p, clock, e := limited(t)
		clock.Advance(time.Millisecond)
		assert.False(t, p.ObserveLimit(e["a"], call.Limit{Status: call.LimitUnclear}, clock.Service().Now()))
		assert.Nil(t, p.Pick(onlyA()))
		assert.True(t, p.ObserveLimit(e["a"], call.Limit{Status: call.LimitNone}, clock.Service().Now()))
		assert.NotNil(t, p.Pick(onlyA()))
	})
	t.Run("callers are given return times one after the other", func(t *testing.T) {
		p, _, e := limited(t)
		assert.Zero(t, p.RetryAfter("s"), "there is another upstream")
		p.ObserveLimit(e["b"], call.Limit{Status: call.LimitNamed, Rate: 1}, start)
		first, second := p.RetryAfter("s"), p.RetryAfter("s")
		assert.Equal(t, time.Second, first)
		assert.Equal(t, 1500*time.Millisecond, second, "two upstreams accept two requests a second")
	})
}
