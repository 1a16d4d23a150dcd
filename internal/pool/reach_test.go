package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"spurhall.example/spurhall/internal/timer"
)

// cutPools is two upstreams in each of two halls, seen from hall a.
func cutPools(c *timer.Manual) *Pools {
	p := New(c.Service(), "self", "a")
	p.Update(func(l *List) {
		for _, v := range []struct{ id, hall string }{{"a1", "a"}, {"a2", "a"}, {"b1", "b"}, {"b2", "b"}} {
			l.Put(Item{Entry: Entry{ID: v.id, Hall: v.hall, Service: "s", Address: "10.0.0.1:1", Slots: 8}})
		}
	})
	return p
}

// pickFrom takes the one upstream that isn't excluded.
func pickFrom(p *Pools, id string) *Use {
	ex := map[string]bool{"a1": true, "a2": true, "b1": true, "b2": true}
	delete(ex, id)
	return p.Pick(Request{ID: "x", Service: "s", Excluded: ex})
}

// assertHall checks in which halls ten requests, ended at once, are sent.
func assertHall(t *testing.T, p *Pools, avoided string, want bool) {
	t.Helper()
	seen := false
	for i := 0; i < 10; i++ {
		u := p.Pick(Request{ID: string(rune('a' + i)), Service: "s", Excluded: map[string]bool{"a1": true, "b1": true}})
		seen = seen || u.Entry().Hall == avoided
		u.End(ResultInconclusive)
	}
	assert.Equal(t, want, seen)
}

func TestUnreachableHalls(t *testing.T) {
	c := timer.NewManual(start)
	fail := func(p *Pools, ids ...string) {
		for _, id := range ids {
			pickFrom(p, id).End(ResultUnreachable)
		}
	}
	t.Run("one that can't be reached says nothing of its hall", func(t *testing.T) {
		p := cutPools(c)
		fail(p, "a1")
		assertHall(t, p, "a", true)
	})
	t.Run("two do", func(t *testing.T) {
		p := cutPools(c)
		fail(p, "a1", "a2")
		p.ApplyReport("n", nil, nil, nil)
		assertHall(t, p, "a", false)
	})
	t.Run("until one answers, or for a moment", func(t *testing.T) {
		p := cutPools(c)
		fail(p, "b1", "b2")
		assert.True(t, p.cutHalls(c.Service().Now())["b"])
		c.Advance(time.Millisecond)
		pickFrom(p, "b1").Started()
		assert.False(t, p.cutHalls(c.Service().Now())["b"])
		fail(p, "a1", "a2")
		assert.True(t, p.cutHalls(c.Service().Now())["a"])
		c.Advance(unreachableKeeps)
		assert.False(t, p.cutHalls(c.Service().Now())["a"])
	})
}

// told is what other nodes of the hall have found: so many couldn't reach each upstream, a
// tenth of a second ago.
func told(nodes int, answered map[string]time.Duration, ids ...string) Reachability {
	r := Reachability{LastResponse: answered}
	for _, id := range ids {
		r.Unreachable = append(r.Unreachable, UnreachableUpstream{Upstream: id, Nodes: nodes, Age: 100 * time.Millisecond})
	}
	return r
}

func TestWhatOthersCouldntReach(t *testing.T) {
	c := timer.NewManual(start)
	long := func() { c.Advance(lostAfter) }
	later := func(p *Pools) { c.Advance(cutQuiet + time.Second); p.Report() }
	t.Run("one node's word isn't enough", func(t *testing.T) {
		p := cutPools(c)
		p.ApplyReachability(told(1, nil, "a1"))
		assertHall(t, p, "a", true)
		long()
		assert.Empty(t, p.Lost(nil))
	})
	t.Run("several nodes' is", func(t *testing.T) {
		p := cutPools(c)
		p.ApplyReachability(told(2, nil, "a1"))
		assert.Empty(t, p.Lost(nil), "it may be a cut")
		for i := 0; i < 10; i++ {
			u := p.Pick(Request{ID: string(rune('a' + i)), Service: "s"})
			assert.NotEqual(t, "a1", u.Entry().ID)
			u.End(ResultInconclusive)
		}
		long()
		assert.Equal(t, map[string]bool{"a1": true}, p.Lost(nil))
	})
	t.Run("not where this node has reached it since", func(t *testing.T) {
		p := cutPools(c)
		pickFrom(p, "a1").Started()
		p.ApplyReachability(told(5, nil, "a1"))
		long()
		assert.Empty(t, p.Lost(nil))
	})
	t.Run("a hall that has answered nobody is cut off", func(t *testing.T) {
		p := cutPools(c)
		later(p)
		assert.Equal(t, []string{"b"}, p.ApplyReachability(told(2, nil, "b1", "b2")))
		assert.Empty(t, p.ApplyReachability(told(2, nil, "b1", "b2")), "it is told once")
		assertHall(t, p, "b", false)
		long()
		assert.Empty(t, p.Lost(nil), "its upstreams serve their own hall")
		assert.Len(t, p.Lost(map[string]bool{"b": true}), 2, "its nodes are heard: it isn't cut off, they are dead")
	})
	t.Run("one that goes on answering somebody isn't", func(t *testing.T) {
		p := cutPools(c)
		assert.Empty(t, p.ApplyReachability(told(2, map[string]time.Duration{"b": 50 * time.Millisecond}, "b1", "b2")))
		assert.False(t, p.cutHalls(c.Service().Now())["b"])
	})
	t.Run("nor one that this node reaches", func(t *testing.T) {
		p := cutPools(c)
		pickFrom(p, "b1").Started()
		assert.Empty(t, p.ApplyReachability(told(2, nil, "b2", "b2")))
	})
	t.Run("lost ones count again when they answer, or after a while", func(t *testing.T) {
		p := cutPools(c)
		p.ApplyReachability(told(2, nil, "a1", "a2"))
		long()
		assert.Len(t, p.Lost(nil), 2)
		c.Advance(time.Millisecond)
		pickFrom(p, "a1").Started()
		assert.Equal(t, map[string]bool{"a2": true}, p.Lost(nil))
		c.Advance(lostKeeps)
		assert.Empty(t, p.Lost(nil))
	})
	t.Run("another upstream at the address is proof", func(t *testing.T) {
		p, q := cutPools(c), cutPools(c)
		pickFrom(p, "a1").End(ResultMisplaced)
		q.ApplyReachability(p.Reachability())
		assert.Equal(t, map[string]bool{"a1": true}, q.Lost(nil))
		assert.Nil(t, pickFrom(p, "a1"), "nothing goes there any more")
		assert.Nil(t, pickFrom(q, "a1"), "nor from nodes that were told")
	})
	t.Run("a node tells what it has found itself only", func(t *testing.T) {
		p := cutPools(c)
		p.ApplyReachability(told(3, nil, "a1"))
		assert.Empty(t, p.Reachability().Unreachable)
		pickFrom(p, "b1").End(ResultUnreachable)
		assert.Equal(t, "b1", p.Reachability().Unreachable[0].Upstream)
	})
}

func TestReachAddsUp(t *testing.T) {
	a := told(1, map[string]time.Duration{"b": time.Second}, "x", "y")
	s := Reachability{}.Merge(a, 0).Merge(told(1, map[string]time.Duration{"b": 200 * time.Millisecond}, "y"), 100*time.Millisecond)
	assert.Equal(t, []UnreachableUpstream{{Upstream: "x", Nodes: 1, Age: 100 * time.Millisecond}, {Upstream: "y", Nodes: 2, Age: 100 * time.Millisecond}}, s.Unreachable)
	assert.Equal(t, 300*time.Millisecond, s.LastResponse["b"])
}
