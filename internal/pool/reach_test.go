package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"spurhall.example/spurhall/internal/timer"
)

// cutPools is two upstreams in each of two halls, seen from hall a.
func cutPools(c *timer.Manual) *Pools {
	p := New(c.Service(), "a")
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
	return p.Pick(Need{ID: "x", Service: "s", Excluded: ex})
}

// assertHall checks in which halls ten requests, ended at once, are sent.
func assertHall(t *testing.T, p *Pools, avoided string, want bool) {
	t.Helper()
	seen := false
	for i := 0; i < 10; i++ {
		u := p.Pick(Need{ID: string(rune('a' + i)), Service: "s", Excluded: map[string]bool{"a1": true, "b1": true}})
		seen = seen || u.Entry().Hall == avoided
		u.End(ResultUnclear)
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
		p.TakeIn("n", nil, nil, nil)
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
