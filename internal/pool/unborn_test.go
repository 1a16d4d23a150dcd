package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"spurhall.example/spurhall/internal/call"
	"spurhall.example/spurhall/internal/timer"
)

// TestLivesWithoutBirth: an upstream whose entries name no birth said that it leaves, ended, and came back under its
// id. It was listed and never used again: leaving is for good in one life, and nothing ended a life but
// another birth. A pool of processes that are restarted in place was empty when the last of them had been.
// Which evidence ends such a life is here, and what is none.
func TestLivesWithoutBirth(t *testing.T) {
	left := func() *List {
		l := NewList()
		l.Replace(start, 1, []Item{lifeAt(0, 1, false)})
		l.MarkLeaving(lifeAt(0, 1, false).Entry)
		return l
	}
	for name, born := range map[string]int64{"which names none either": 0, "which names one": 7} {
		t.Run("the next life, "+name, func(t *testing.T) {
			t.Run("after its entry was gone for longer than a living one's may be", func(t *testing.T) {
				l := left()
				l.Delete(start, "a")
				l.Expire(start.Add(lapseGrace))
				l.Put(lifeAt(born, 2, false))
				assert.False(t, leavingOf(l, "a"))
			})
			t.Run("after it has said itself that it leaves, in its entry", func(t *testing.T) {
				l := NewList()
				l.Put(lifeAt(0, 1, true))
				l.Put(lifeAt(born, 2, false))
				assert.False(t, leavingOf(l, "a"))
			})
			t.Run("at another address", func(t *testing.T) {
				l := left()
				v := lifeAt(born, 2, false)
				v.Entry.Address = "10.0.0.2:80"
				l.Put(v)
				assert.False(t, leavingOf(l, "a"))
			})
		})
	}
	t.Run("a birth where none was named is the next life's", func(t *testing.T) {
		l := left()
		l.Put(lifeAt(7, 2, false))
		assert.False(t, leavingOf(l, "a"))
		t.Run("of which a word of the one before says nothing", func(t *testing.T) {
			l.MarkLeaving(lifeAt(0, 1, false).Entry)
			assert.False(t, leavingOf(l, "a"))
		})
		t.Run("and an entry without one that comes after it is of the life held", func(t *testing.T) {
			l.MarkLeaving(lifeAt(7, 2, false).Entry)
			l.Put(lifeAt(0, 3, false))
			assert.True(t, leavingOf(l, "a"))
		})
	})
	t.Run("an answer of the life before, that comes late, says nothing of the next", func(t *testing.T) {
		l := NewList()
		l.Put(lifeAt(0, 1, true))
		l.Put(lifeAt(0, 2, false))
		l.MarkLeaving(lifeAt(0, 1, false).Entry)
		assert.False(t, leavingOf(l, "a"))
	})
	t.Run("who is told by others of the next life believes it", func(t *testing.T) {
		told := NewList()
		told.Put(lifeAt(0, 1, false))
		told.MarkLeaving(lifeAt(0, 1, false).Entry)
		l := left()
		l.Delete(start, "a")
		l.Expire(start.Add(lapseGrace))
		l.Put(lifeAt(0, 5, false))
		var word Item
		l.Items(func(v Item) { word = v })
		told.Put(word)
		assert.False(t, leavingOf(told, "a"))
		t.Run("and goes on doing so when the store tells of it", func(t *testing.T) {
			l.Items(func(v Item) { told.MarkLeaving(v.Entry) })
			told.Put(lifeAt(0, 6, false))
			assert.True(t, leavingOf(told, "a"))
		})
		t.Run("nor is that life told again another one", func(t *testing.T) {
			word.Revision = 7
			told.Put(word)
			assert.True(t, leavingOf(told, "a"))
		})
	})
	t.Run("no evidence", func(t *testing.T) {
		t.Run("an entry that says ready, of one that said otherwise in an answer", func(t *testing.T) {
			l := left()
			l.Put(lifeAt(0, 2, false))
			assert.True(t, leavingOf(l, "a"))
		})
		t.Run("an entry that was gone for no longer than a living one's may be", func(t *testing.T) {
			l := left()
			l.Delete(start, "a")
			l.Expire(start.Add(lapseGrace - time.Millisecond))
			l.Put(lifeAt(0, 2, false))
			assert.True(t, leavingOf(l, "a"))
		})
		t.Run("one that lapsed with the store, and is back soon after it", func(t *testing.T) {
			l := left()
			l.Delete(start, "a")
			l.Expire(start.Add(lapseGrace))
			l.StoreReturned(start.Add(time.Minute))
			l.Replace(start.Add(time.Minute), 9, []Item{lifeAt(0, 9, false)})
			assert.True(t, leavingOf(l, "a"))
		})
		t.Run("an entry from before, of an older copy of the store", func(t *testing.T) {
			l := NewList()
			l.Replace(start, dated(t, 1, 50), []Item{lifeAt(0, dated(t, 1, 40), true)})
			for range 2 { // the copy is read again
				l.Replace(start, dated(t, 2, 20), []Item{lifeAt(0, dated(t, 2, 10), false)})
				assert.True(t, leavingOf(l, "a"))
			}
			t.Run("but one that is written after it", func(t *testing.T) {
				l.Put(lifeAt(0, dated(t, 2, 21), false))
				assert.False(t, leavingOf(l, "a"))
			})
		})
	})
}

// TestNextLifeWithoutBirthBeginsAnew: what was known of a life goes with it, also where none names a birth.
func TestNextLifeWithoutBirthBeginsAnew(t *testing.T) {
	c := timer.NewManual(start)
	p := New(c.Service(), "self", "h")
	p.Update(func(l *List) { l.Put(lifeAt(0, 1, false)) })
	u := p.Pick(Request{ID: "x", Service: "s"})
	p.ObserveLimit(u.Entry(), call.Limit{Status: call.LimitNamed, Rate: 1}, start)
	p.StartCooldown(u.Entry(), time.Hour)
	u.End(ResultMisplaced)
	p.Update(func(l *List) { l.Put(lifeAt(0, 2, true)) })
	assert.Nil(t, p.Pick(Request{ID: "x", Service: "s"}))
	p.Update(func(l *List) { l.Put(lifeAt(0, 3, false)) })
	v := p.Pick(Request{ID: "x", Service: "s"})
	if assert.NotNil(t, v, "its address is its own again, and it asked for no rest") {
		assert.Equal(t, 0, v.Choice().Running)
	}
	t.Run("also after it was away", func(t *testing.T) {
		p.StartCooldown(v.Entry(), time.Hour)
		p.Update(func(l *List) { l.Delete(start, "a") })
		p.Update(func(l *List) { l.Expire(start.Add(lapseGrace)) })
		p.Update(func(l *List) { l.Put(lifeAt(0, 4, false)) })
		assert.NotNil(t, p.Pick(Request{ID: "x", Service: "s"}))
	})
}
