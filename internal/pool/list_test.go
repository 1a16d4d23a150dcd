package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var start = time.Unix(1_700_000_000, 0)

func item(id string, revision int64) Item {
	return Item{Entry: Entry{ID: id, Service: "s", Address: "10.0.0.1:80"}, Revision: revision}
}

func assertListed(t *testing.T, l *List, want ...string) {
	t.Helper()
	got := []string{}
	l.Items(func(v Item) { got = append(got, v.Entry.ID) })
	assert.ElementsMatch(t, want, got)
}

func TestList(t *testing.T) {
	t.Run("a deletion without an outage takes effect at once", func(t *testing.T) {
		l := NewList()
		l.Replace(start, 5, []Item{item("a", 3), item("b", 4)})
		l.Delete(start, "a")
		assertListed(t, l, "b")
	})
	t.Run("an older list changes nothing", func(t *testing.T) {
		l := NewList()
		l.Replace(start, 5, []Item{item("a", 3)})
		l.Replace(start, 4, []Item{item("b", 2)})
		assertListed(t, l, "a")
	})
	t.Run("leaving is final", func(t *testing.T) {
		l := NewList()
		v := item("a", 3)
		v.Entry.Leaving = true
		l.Put(v)
		l.Put(item("a", 4))
		l.Items(func(v Item) { assert.True(t, v.Entry.Leaving) })
	})
}

func TestEntriesLapsedInStoreOutage(t *testing.T) {
	lapsed := func() *List {
		l := NewList()
		l.Replace(start, 5, []Item{item("a", 3), item("b", 4)})
		l.StoreReturned(start)
		l.Replace(start, 9, []Item{item("b", 4)})
		return l
	}
	t.Run("are kept for the grace period", func(t *testing.T) {
		l := lapsed()
		assert.Empty(t, l.Expire(start.Add(lapseGrace-1)))
		assertListed(t, l, "a", "b")
	})
	t.Run("are dropped after it", func(t *testing.T) {
		l := lapsed()
		assert.Equal(t, []string{"a"}, l.Expire(start.Add(lapseGrace)))
		assertListed(t, l, "b")
	})
	t.Run("stay if they are written again", func(t *testing.T) {
		l := lapsed()
		l.Put(item("a", 10))
		assert.Empty(t, l.Expire(start.Add(time.Hour)))
		assertListed(t, l, "a", "b")
	})
	t.Run("a deletion after the grace period takes effect at once", func(t *testing.T) {
		l := lapsed()
		l.Delete(start.Add(lapseGrace), "b")
		assertListed(t, l, "a")
	})
}
