package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"spurhall.example/spurhall/internal/era"
	"spurhall.example/spurhall/internal/timer"
)

// leavingOf returns whether the entry held of an id is leaving.
func leavingOf(l *List, id string) bool {
	leaving := false
	l.Items(func(v Item) { leaving = leaving || v.Entry.ID == id && v.Entry.Leaving })
	return leaving
}

// TestOwnWordOfLeaving: that an upstream leaves holds for the life that said so, whatever the
// store writes of that life, and for no other.
func TestOwnWordOfLeaving(t *testing.T) {
	said := func() *List {
		l := NewList()
		l.Put(lifeAt(5, 1, false))
		l.MarkLeaving(Entry{ID: "a", Born: 5})
		return l
	}
	t.Run("an entry that says ready", func(t *testing.T) {
		l := said()
		l.Put(lifeAt(5, 2, false))
		assert.True(t, leavingOf(l, "a"))
	})
	t.Run("an entry that went and came again", func(t *testing.T) {
		l := said()
		l.Delete(start, "a")
		l.Put(lifeAt(5, 9, false))
		assert.True(t, leavingOf(l, "a"))
	})
	t.Run("one that lapsed with the store, too", func(t *testing.T) {
		l := said()
		l.StoreReturned(start)
		l.Replace(start, 9, nil)
		l.Expire(start.Add(lapseGrace))
		l.Put(lifeAt(5, 10, false))
		assert.True(t, leavingOf(l, "a"))
	})
	t.Run("a word that comes while the entry is away", func(t *testing.T) {
		l := NewList()
		l.MarkLeaving(Entry{ID: "a", Born: 5})
		l.Put(lifeAt(5, 1, false))
		assert.True(t, leavingOf(l, "a"))
	})
	t.Run("which is taken for known then", func(t *testing.T) {
		p := New(timer.NewManual(start).Service(), "self", "a")
		e := Entry{ID: "a", Born: 5}
		assert.False(t, p.Leaving(e))
		p.Update(func(l *List) { l.MarkLeaving(e) })
		assert.True(t, p.Leaving(e))
		assert.False(t, p.Leaving(Entry{ID: "a", Born: 6}))
	})
	t.Run("the next life is used", func(t *testing.T) {
		l := said()
		l.Put(lifeAt(6, 2, false))
		assert.False(t, leavingOf(l, "a"))
	})
	t.Run("also after its entry was away", func(t *testing.T) {
		l := said()
		l.Delete(start, "a")
		l.Put(lifeAt(6, 2, false))
		assert.False(t, leavingOf(l, "a"))
	})
	t.Run("a late word of the life before changes nothing", func(t *testing.T) {
		l := said()
		l.Put(lifeAt(6, 2, false))
		l.MarkLeaving(Entry{ID: "a", Born: 5})
		assert.False(t, leavingOf(l, "a"))
	})
	t.Run("what is remembered of lives that are gone is bounded", func(t *testing.T) {
		l := NewList()
		for i := range 3 * idsKept {
			l.MarkLeaving(Entry{ID: string(rune(i)), Born: 1})
		}
		assert.LessOrEqual(t, len(l.dropped), idsKept)
	})
}

// rest lets an upstream ask for rest.
func rest(p *Pools, id string, d time.Duration) {
	for _, v := range p.Items() {
		if v.Entry.ID == id {
			p.StartCooldown(v.Entry, d)
		}
	}
}

// TestRest plays rests of upstreams on a clock.
func TestRest(t *testing.T) {
	newPools := func() (*timer.Manual, *Pools) {
		c := timer.NewManual(start)
		return c, cutPools(c)
	}
	picks := func(p *Pools, id string) bool {
		u := pickFrom(p, id)
		if u != nil {
			u.End(ResultInconclusive)
		}
		return u != nil
	}
	t.Run("nothing until it ends, and then at once", func(t *testing.T) {
		c, p := newPools()
		rest(p, "a1", 3*time.Second)
		assert.False(t, picks(p, "a1"))
		c.Advance(3*time.Second - 1)
		assert.False(t, picks(p, "a1"))
		c.Advance(1)
		assert.True(t, picks(p, "a1"))
	})
	t.Run("a shorter word doesn't cut a longer one", func(t *testing.T) {
		c, p := newPools()
		rest(p, "a1", 3*time.Second)
		rest(p, "a1", time.Second)
		c.Advance(2 * time.Second)
		assert.False(t, picks(p, "a1"))
	})
	t.Run("a relay's word doesn't go past it", func(t *testing.T) {
		_, p := newPools()
		rest(p, "a1", time.Second)
		u := p.PickAt(Request{ID: "x", Service: "s"}, "a1")
		assert.NotEqual(t, "a1", u.Entry().ID)
	})
	t.Run("nor is it the last resort when all others are ejected", func(t *testing.T) {
		_, p := newPools()
		rest(p, "a1", time.Second)
		for range 20 {
			for _, id := range []string{"a2", "b1", "b2"} {
				pickFrom(p, id).End(ResultFailed)
			}
		}
		u := p.Pick(Request{ID: "x", Service: "s"})
		assert.NotEqual(t, "a1", u.Entry().ID)
	})
	t.Run("an entry that lapses and comes again rests on", func(t *testing.T) {
		_, p := newPools()
		u := pickFrom(p, "a1")
		p.StartCooldown(u.Entry(), 3*time.Second)
		p.Update(func(l *List) { l.Delete(start, "a1") })
		p.Update(func(l *List) { l.Put(Item{Entry: u.Entry(), Revision: 9}) })
		assert.False(t, picks(p, "a1"))
	})
	t.Run("the next life doesn't", func(t *testing.T) {
		_, p := newPools()
		e := pickFrom(p, "a1").Entry()
		e.Born = 5
		p.Update(func(l *List) { l.Put(Item{Entry: e, Revision: 2}) })
		rest(p, "a1", 3*time.Second)
		e.Born = 6
		p.Update(func(l *List) { l.Put(Item{Entry: e, Revision: 3}) })
		assert.True(t, picks(p, "a1"))
	})
	t.Run("when all rest, the time to the first one's end is told", func(t *testing.T) {
		c, p := newPools()
		for i, id := range []string{"a1", "a2", "b1", "b2"} {
			assert.Zero(t, p.RetryAfter("s"))
			rest(p, id, time.Duration(i+2)*time.Second)
		}
		assert.Equal(t, 2*time.Second, p.RetryAfter("s"))
		c.Advance(1500 * time.Millisecond)
		assert.Equal(t, 500*time.Millisecond, p.RetryAfter("s"))
		c.Advance(500 * time.Millisecond)
		assert.Zero(t, p.RetryAfter("s"))
	})
}

// dated is a revision of an era.
func dated(t *testing.T, e, number int64) int64 {
	r, err := era.Revision(e, number)
	require.NoError(t, err)
	return r
}

// TestListOverAnOlderCopy: the store comes back from a copy, with older entries and lower numbers.
func TestListOverAnOlderCopy(t *testing.T) {
	entry := func(id string, revision int64) Item { return item(id, revision) }
	held := func(t *testing.T) *List {
		l := NewList()
		l.Replace(start, dated(t, 1, 50), []Item{entry("a", dated(t, 1, 10)), entry("b", dated(t, 1, 11)), entry("c", dated(t, 1, 40))})
		return l
	}
	t.Run("what the copy lacks is believed for the grace time, and gone after", func(t *testing.T) {
		l := held(t)
		l.Replace(start, dated(t, 2, 20), []Item{entry("a", dated(t, 2, 10)), entry("b", dated(t, 2, 11))})
		assertListed(t, l, "a", "b", "c")
		assert.Equal(t, []string{"c"}, l.Expire(start.Add(lapseGrace)))
	})
	t.Run("unless it is written again", func(t *testing.T) {
		l := held(t)
		l.Replace(start, dated(t, 2, 20), []Item{entry("a", dated(t, 2, 10)), entry("b", dated(t, 2, 11))})
		l.Put(entry("c", dated(t, 2, 21)))
		assert.Empty(t, l.Expire(start.Add(lapseGrace)))
	})
	t.Run("what has left since the copy stays away", func(t *testing.T) {
		l := held(t)
		l.Remove(start, dated(t, 1, 51), "b")
		l.Replace(start, dated(t, 2, 20), []Item{entry("a", dated(t, 2, 10)), entry("b", dated(t, 2, 11))})
		assert.False(t, listed(l, "b"))
		l.Put(entry("b", dated(t, 2, 30)))
		assert.True(t, listed(l, "b"), "whoever writes again lives")
	})
	t.Run("what was leaving stays so", func(t *testing.T) {
		l := held(t)
		v := entry("b", dated(t, 1, 51))
		v.Entry.Leaving = true
		l.Put(v)
		l.Replace(start, dated(t, 2, 20), []Item{entry("a", dated(t, 2, 10)), entry("b", dated(t, 2, 11))})
		assert.True(t, leavingOf(l, "b"))
	})
	t.Run("a list of an earlier era that comes late changes nothing", func(t *testing.T) {
		l := held(t)
		l.Replace(start, dated(t, 2, 20), []Item{entry("a", dated(t, 2, 10))})
		l.Replace(start, dated(t, 1, 60), []Item{entry("d", dated(t, 1, 60))})
		assert.False(t, listed(l, "d"))
	})
}

// listed tells whether an entry is held.
func listed(l *List, id string) bool {
	found := false
	l.Items(func(v Item) { found = found || v.Entry.ID == id })
	return found
}
