package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"spurhall.example/spurhall/internal/timer"
)

// twoHalls returns pools of two upstreams in each of two halls, as seen from hall a.
func twoHalls(c *timer.Manual) *Pools {
	p := New(c.Service(), "self", "a")
	p.Update(func(l *List) {
		for _, v := range []struct{ id, hall string }{{"a1", "a"}, {"a2", "a"}, {"b1", "b"}, {"b2", "b"}} {
			l.Put(Item{Entry: Entry{ID: v.id, Hall: v.hall, Service: "s", Address: "10.0.0.1:1", Slots: 8}})
		}
	})
	return p
}

// pickFrom picks the given upstream, by excluding all others.
func pickFrom(p *Pools, id string) *Use {
	ex := map[string]bool{"a1": true, "a2": true, "b1": true, "b2": true}
	delete(ex, id)
	return p.Pick(Request{ID: "x", Service: "s", Excluded: ex})
}

// assertHall checks whether any of ten requests, each ended at once, is sent to the given hall.
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
	t.Run("one unreachable upstream is no partition of its hall", func(t *testing.T) {
		p := twoHalls(c)
		fail(p, "a1")
		assertHall(t, p, "a", true)
	})
	t.Run("two are", func(t *testing.T) {
		p := twoHalls(c)
		fail(p, "a1", "a2")
		p.ApplyReport("n", nil, nil, nil)
		assertHall(t, p, "a", false)
	})
	t.Run("until one responds, or unreachableTTL has passed", func(t *testing.T) {
		p := twoHalls(c)
		fail(p, "b1", "b2")
		assert.True(t, p.partitionedHalls(c.Service().Now())["b"])
		c.Advance(time.Millisecond)
		pickFrom(p, "b1").Started()
		assert.False(t, p.partitionedHalls(c.Service().Now())["b"])
		fail(p, "a1", "a2")
		assert.True(t, p.partitionedHalls(c.Service().Now())["a"])
		c.Advance(unreachableTTL)
		assert.False(t, p.partitionedHalls(c.Service().Now())["a"])
	})
}

// reported returns what other nodes of the hall have found: the given number of them could not reach each
// of the upstreams a tenth of a second ago.
func reported(nodes int, lastResponse map[string]time.Duration, ids ...string) Reachability {
	r := Reachability{LastResponse: lastResponse}
	for _, id := range ids {
		r.Unreachable = append(r.Unreachable, UnreachableUpstream{Upstream: id, Nodes: nodes, Age: 100 * time.Millisecond})
	}
	return r
}

func TestReachabilityFromOtherNodes(t *testing.T) {
	c := timer.NewManual(start)
	long := func() { c.Advance(lostAfter) }
	later := func(p *Pools) { c.Advance(partitionSilence + time.Second); p.Report() }
	t.Run("one node's report isn't enough", func(t *testing.T) {
		p := twoHalls(c)
		p.ApplyReachability(reported(1, nil, "a1"))
		assertHall(t, p, "a", true)
		long()
		assert.Empty(t, p.Lost(nil))
	})
	t.Run("several nodes' reports are", func(t *testing.T) {
		p := twoHalls(c)
		p.ApplyReachability(reported(2, nil, "a1"))
		assert.Empty(t, p.Lost(nil), "it may be a partition")
		for i := 0; i < 10; i++ {
			u := p.Pick(Request{ID: string(rune('a' + i)), Service: "s"})
			assert.NotEqual(t, "a1", u.Entry().ID)
			u.End(ResultInconclusive)
		}
		long()
		assert.Equal(t, map[string]bool{"a1": true}, p.Lost(nil))
	})
	t.Run("not where this node has reached it since", func(t *testing.T) {
		p := twoHalls(c)
		pickFrom(p, "a1").Started()
		p.ApplyReachability(reported(5, nil, "a1"))
		long()
		assert.Empty(t, p.Lost(nil))
	})
	t.Run("a hall that has responded to no node is partitioned off", func(t *testing.T) {
		p := twoHalls(c)
		later(p)
		assert.Equal(t, []string{"b"}, p.ApplyReachability(reported(2, nil, "b1", "b2")))
		assert.Empty(t, p.ApplyReachability(reported(2, nil, "b1", "b2")), "it is returned once")
		assertHall(t, p, "b", false)
		long()
		assert.Empty(t, p.Lost(nil), "its upstreams serve their own hall")
		assert.Len(t, p.Lost(map[string]bool{"b": true}), 2, "its nodes send reports: there is no partition, its upstreams are down")
	})
	t.Run("one that still responds to a node isn't", func(t *testing.T) {
		p := twoHalls(c)
		assert.Empty(t, p.ApplyReachability(reported(2, map[string]time.Duration{"b": 50 * time.Millisecond}, "b1", "b2")))
		assert.False(t, p.partitionedHalls(c.Service().Now())["b"])
	})
	t.Run("nor one that this node reaches", func(t *testing.T) {
		p := twoHalls(c)
		pickFrom(p, "b1").Started()
		assert.Empty(t, p.ApplyReachability(reported(2, nil, "b2", "b2")))
	})
	t.Run("lost ones count again when they respond, or after lostTTL", func(t *testing.T) {
		p := twoHalls(c)
		p.ApplyReachability(reported(2, nil, "a1", "a2"))
		long()
		assert.Len(t, p.Lost(nil), 2)
		c.Advance(time.Millisecond)
		pickFrom(p, "a1").Started()
		assert.Equal(t, map[string]bool{"a2": true}, p.Lost(nil))
		c.Advance(lostTTL)
		assert.Empty(t, p.Lost(nil))
	})
	t.Run("another upstream at the address is proof", func(t *testing.T) {
		p, q := twoHalls(c), twoHalls(c)
		pickFrom(p, "a1").End(ResultMisplaced)
		q.ApplyReachability(p.Reachability())
		assert.Equal(t, map[string]bool{"a1": true}, q.Lost(nil))
		assert.Nil(t, pickFrom(p, "a1"), "the node itself sends no more requests there")
		assert.Nil(t, pickFrom(q, "a1"), "nor do nodes that received its report")
	})
	t.Run("a node reports only what it has found itself", func(t *testing.T) {
		p := twoHalls(c)
		p.ApplyReachability(reported(3, nil, "a1"))
		assert.Empty(t, p.Reachability().Unreachable)
		pickFrom(p, "b1").End(ResultUnreachable)
		assert.Equal(t, "b1", p.Reachability().Unreachable[0].Upstream)
	})
}

func TestReachabilityMerge(t *testing.T) {
	a := reported(1, map[string]time.Duration{"b": time.Second}, "x", "y")
	s := Reachability{}.Merge(a, 0).Merge(reported(1, map[string]time.Duration{"b": 200 * time.Millisecond}, "y"), 100*time.Millisecond)
	assert.Equal(t, []UnreachableUpstream{{Upstream: "x", Nodes: 1, Age: 100 * time.Millisecond}, {Upstream: "y", Nodes: 2, Age: 100 * time.Millisecond}}, s.Unreachable)
	assert.Equal(t, 300*time.Millisecond, s.LastResponse["b"])
}
