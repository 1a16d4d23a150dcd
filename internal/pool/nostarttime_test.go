package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"spurhall.example/spurhall/internal/call"
	"spurhall.example/spurhall/internal/timer"
)

// TestIncarnationsWithoutStartTime guards against an upstream without a start time that is listed and
// never used again after it announced that it leaves, ended, and was restarted under its id: leaving is
// final within an incarnation, and only a different start time used to end one. A pool of processes that
// are restarted in place was empty after the last restart. The cases list which evidence ends such an
// incarnation, and which does not.
func TestIncarnationsWithoutStartTime(t *testing.T) {
	left := func() *List {
		l := NewList()
		l.Replace(start, 1, []Item{incarnationAt(0, 1, false)})
		l.MarkLeaving(incarnationAt(0, 1, false).Entry)
		return l
	}
	for name, born := range map[string]int64{"also without a start time": 0, "with a start time": 7} {
		t.Run("the next incarnation, "+name, func(t *testing.T) {
			t.Run("after its entry was absent for longer than that of a running one may be", func(t *testing.T) {
				l := left()
				l.Delete(start, "a")
				l.Expire(start.Add(lapseGrace))
				l.Put(incarnationAt(born, 2, false))
				assert.False(t, leavingOf(l, "a"))
			})
			t.Run("after its entry declared that it leaves", func(t *testing.T) {
				l := NewList()
				l.Put(incarnationAt(0, 1, true))
				l.Put(incarnationAt(born, 2, false))
				assert.False(t, leavingOf(l, "a"))
			})
			t.Run("at another address", func(t *testing.T) {
				l := left()
				v := incarnationAt(born, 2, false)
				v.Entry.Address = "10.0.0.2:80"
				l.Put(v)
				assert.False(t, leavingOf(l, "a"))
			})
		})
	}
	t.Run("a start time where there was none is of the next incarnation", func(t *testing.T) {
		l := left()
		l.Put(incarnationAt(7, 2, false))
		assert.False(t, leavingOf(l, "a"))
		t.Run("to which a response of the previous one does not apply", func(t *testing.T) {
			l.MarkLeaving(incarnationAt(0, 1, false).Entry)
			assert.False(t, leavingOf(l, "a"))
		})
		t.Run("and a later entry without one is of the listed incarnation", func(t *testing.T) {
			l.MarkLeaving(incarnationAt(7, 2, false).Entry)
			l.Put(incarnationAt(0, 3, false))
			assert.True(t, leavingOf(l, "a"))
		})
	})
	t.Run("a late response of the previous incarnation does not apply to the next", func(t *testing.T) {
		l := NewList()
		l.Put(incarnationAt(0, 1, true))
		l.Put(incarnationAt(0, 2, false))
		l.MarkLeaving(incarnationAt(0, 1, false).Entry)
		assert.False(t, leavingOf(l, "a"))
	})
	t.Run("a list that receives the next incarnation from another node applies it", func(t *testing.T) {
		other := NewList()
		other.Put(incarnationAt(0, 1, false))
		other.MarkLeaving(incarnationAt(0, 1, false).Entry)
		l := left()
		l.Delete(start, "a")
		l.Expire(start.Add(lapseGrace))
		l.Put(incarnationAt(0, 5, false))
		var received Item
		l.Items(func(v Item) { received = v })
		other.Put(received)
		assert.False(t, leavingOf(other, "a"))
		t.Run("and still does when the store contains it", func(t *testing.T) {
			l.Items(func(v Item) { other.MarkLeaving(v.Entry) })
			other.Put(incarnationAt(0, 6, false))
			assert.True(t, leavingOf(other, "a"))
		})
		t.Run("and that incarnation received again is not another one", func(t *testing.T) {
			received.Revision = 7
			other.Put(received)
			assert.True(t, leavingOf(other, "a"))
		})
	})
	t.Run("no evidence", func(t *testing.T) {
		t.Run("an entry that says ready after a response said leaving", func(t *testing.T) {
			l := left()
			l.Put(incarnationAt(0, 2, false))
			assert.True(t, leavingOf(l, "a"))
		})
		t.Run("an entry that was absent for no longer than that of a running one may be", func(t *testing.T) {
			l := left()
			l.Delete(start, "a")
			l.Expire(start.Add(lapseGrace - time.Millisecond))
			l.Put(incarnationAt(0, 2, false))
			assert.True(t, leavingOf(l, "a"))
		})
		t.Run("one that lapsed in a store outage and is back soon after it", func(t *testing.T) {
			l := left()
			l.Delete(start, "a")
			l.Expire(start.Add(lapseGrace))
			l.StoreReturned(start.Add(time.Minute))
			l.Replace(start.Add(time.Minute), 9, []Item{incarnationAt(0, 9, false)})
			assert.True(t, leavingOf(l, "a"))
		})
		t.Run("an older entry, from an older copy of the store", func(t *testing.T) {
			l := NewList()
			l.Replace(start, dated(t, 1, 50), []Item{incarnationAt(0, dated(t, 1, 40), true)})
			for range 2 { // the copy is read again
				l.Replace(start, dated(t, 2, 20), []Item{incarnationAt(0, dated(t, 2, 10), false)})
				assert.True(t, leavingOf(l, "a"))
			}
			t.Run("but one that is written after the restore is", func(t *testing.T) {
				l.Put(incarnationAt(0, dated(t, 2, 21), false))
				assert.False(t, leavingOf(l, "a"))
			})
		})
	})
}

// TestNewIncarnationWithoutStartTimeStartsFresh: what is known of an incarnation must be dropped with it,
// also if neither has a start time.
func TestNewIncarnationWithoutStartTimeStartsFresh(t *testing.T) {
	c := timer.NewManual(start)
	p := New(c.Service(), "self", "h")
	p.Update(func(l *List) { l.Put(incarnationAt(0, 1, false)) })
	u := p.Pick(Request{ID: "x", Service: "s"})
	p.ObserveLimit(u.Entry(), call.Limit{Status: call.LimitNamed, Rate: 1}, start)
	p.StartCooldown(u.Entry(), time.Hour)
	u.End(ResultMisplaced)
	p.Update(func(l *List) { l.Put(incarnationAt(0, 2, true)) })
	assert.Nil(t, p.Pick(Request{ID: "x", Service: "s"}))
	p.Update(func(l *List) { l.Put(incarnationAt(0, 3, false)) })
	v := p.Pick(Request{ID: "x", Service: "s"})
	if assert.NotNil(t, v, "its address is its own again, and it has no cooldown") {
		assert.Equal(t, 0, v.Choice().Running)
	}
	t.Run("also after it was absent", func(t *testing.T) {
		p.StartCooldown(v.Entry(), time.Hour)
		p.Update(func(l *List) { l.Delete(start, "a") })
		p.Update(func(l *List) { l.Expire(start.Add(lapseGrace)) })
		p.Update(func(l *List) { l.Put(incarnationAt(0, 4, false)) })
		assert.NotNil(t, p.Pick(Request{ID: "x", Service: "s"}))
	})
}
