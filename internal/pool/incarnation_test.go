package pool

import (
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"spurhall.example/spurhall/internal/timer"
)

func incarnationAt(born, revision int64, leaving bool) Item {
	v := item("a", revision)
	v.Entry.Born, v.Entry.Leaving, v.Entry.Declared = born, leaving, leaving
	return v
}

// TestIncarnationsInAnyOrder: an upstream is restarted repeatedly under its id, also while the time of day
// is set back. In whatever order and however often the writes of its incarnations are applied, the latest
// write of the latest incarnation must be listed, and an incarnation that was followed by another must
// never be listed again.
func TestIncarnationsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var writes []Item
		revision := int64(0)
		born := rapid.SliceOfNDistinct(rapid.Int64Range(1, 9), 1, 4, rapid.ID[int64]).Draw(t, "start times")
		leaving := false
		for _, b := range born {
			leaving = false
			for range rapid.IntRange(1, 3).Draw(t, "writes") {
				revision++
				leaving = leaving || rapid.Bool().Draw(t, "leaving")
				writes = append(writes, incarnationAt(b, revision, leaving))
			}
		}
		newest := writes[len(writes)-1]
		r := rand.New(rand.NewSource(rapid.Int64().Draw(t, "order")))
		applied := append(append([]Item(nil), writes...), writes...)
		r.Shuffle(len(applied), func(i, j int) { applied[i], applied[j] = applied[j], applied[i] })
		l := NewList()
		for _, v := range applied {
			l.Put(v)
		}
		l.Items(func(v Item) { assert.Equal(t, newest, v) })
	})
}

// TestIncarnations checks which entries count as a new incarnation under an old id.
func TestIncarnations(t *testing.T) {
	current := func(l *List) Entry {
		var e Entry
		l.Items(func(v Item) { e = v.Entry })
		return e
	}
	t.Run("one that is restarted after it was leaving is used", func(t *testing.T) {
		l := NewList()
		l.Put(incarnationAt(1, 1, true))
		l.Put(incarnationAt(2, 2, false))
		assert.False(t, current(l).Leaving)
	})
	t.Run("a late write of the previous incarnation", func(t *testing.T) {
		l := NewList()
		l.Put(incarnationAt(1, 1, false))
		l.Put(incarnationAt(2, 2, false))
		l.Put(incarnationAt(1, 3, true))
		assert.Equal(t, int64(2), current(l).Born)
		assert.False(t, current(l).Leaving)
	})
	t.Run("also after the entry was deleted", func(t *testing.T) {
		l := NewList()
		l.Put(incarnationAt(1, 1, false))
		l.Put(incarnationAt(2, 2, false))
		l.Delete(start, "a")
		l.Put(incarnationAt(1, 3, false))
		l.Put(incarnationAt(1, 3, false)) // received twice
		l.Put(incarnationAt(1, 4, false))
		assertListed(t, l)
	})
	t.Run("one that was taken for the previous incarnation continues to write", func(t *testing.T) {
		l := NewList()
		l.Put(incarnationAt(2, 2, false)) // this list has not seen incarnation 1, of which a write arrives late
		l.Put(incarnationAt(1, 3, false))
		for i := range int64(maxLateWrites + 1) {
			l.Put(incarnationAt(2, 4+i, false))
		}
		assert.Equal(t, int64(2), current(l).Born)
	})
	t.Run("an entry without a start time is of the listed incarnation", func(t *testing.T) {
		l := NewList()
		l.Put(incarnationAt(1, 1, true))
		l.Put(incarnationAt(0, 2, false))
		assert.True(t, current(l).Leaving)
	})
	t.Run("the number of remembered incarnations is bounded", func(t *testing.T) {
		l := NewList()
		for i := range int64(5 * maxPastIncarnations) {
			l.Put(incarnationAt(i+1, i+1, false))
		}
		assert.LessOrEqual(t, len(l.past["a"]), maxPastIncarnations)
	})
}

// TestNewIncarnationStartsFresh: nothing that is known of an incarnation may carry over to the next one
// under its id.
func TestNewIncarnationStartsFresh(t *testing.T) {
	clock := timer.NewManual(start)
	p := New(clock.Service(), "self", "h")
	p.Update(func(l *List) { l.Put(incarnationAt(1, 1, false)) })
	u := p.Pick(Request{Service: "s"})
	for range 5 {
		v := p.Pick(Request{Service: "s"})
		v.End(ResultUnreachable)
	}
	p.ApplyReachability(Reachability{Unreachable: []UnreachableUpstream{{Upstream: "a", Born: 1, Nodes: 3, Misplaced: true}}})
	assert.Nil(t, p.Pick(Request{Service: "s"}), "another upstream uses its address")
	changes := p.Update(func(l *List) { l.Put(incarnationAt(2, 2, false)) }).Changes
	events := []string{}
	for _, c := range changes {
		events = append(events, c.Event)
	}
	assert.Equal(t, []string{"gone", "listed"}, events)
	n := p.Pick(Request{Service: "s"})
	if assert.NotNil(t, n) {
		assert.Equal(t, 0, n.Choice().Running, "requests at the previous incarnation do not count")
		u.End(ResultFailed)
		loads, _ := p.Report()
		assert.Equal(t, []Load{{Upstream: "a", Running: 1}}, withoutWork(loads))
		n.End(ResultGood)
	}
	t.Run("a report on the previous incarnation does not apply to it", func(t *testing.T) {
		p.ApplyReachability(Reachability{Unreachable: []UnreachableUpstream{{Upstream: "a", Born: 1, Nodes: 3, Misplaced: true, Age: time.Millisecond}}})
		assert.NotNil(t, p.Pick(Request{Service: "s"}))
	})
}

func withoutWork(l []Load) []Load {
	for i := range l {
		l[i].Queued, l[i].Reserved = 0, 0
	}
	return l
}

// TestStartTimeArrivesWithNextIncarnation: an upstream's entry has no start time; a later one has, and so
// has that of the next incarnation, and a node applies both at once.
//
// It guards against an upstream that is never used again after another one responded at its address: what
// a node knows of an upstream was dropped only if the entry known to the node and the listed one differed
// in incarnation, which can't be seen if the known one has no start time.
func TestStartTimeArrivesWithNextIncarnation(t *testing.T) {
	p := New(timer.NewManual(start).Service(), "self", "h")
	p.Update(func(l *List) { l.Put(incarnationAt(0, 1, false)) })
	p.Pick(Request{ID: "x", Service: "s"}).End(ResultMisplaced)
	assert.Nil(t, p.Pick(Request{ID: "x", Service: "s"}))
	p.Update(func(l *List) {
		l.Put(incarnationAt(5, 2, false))
		l.Put(incarnationAt(6, 3, false))
	})
	assert.NotNil(t, p.Pick(Request{ID: "x", Service: "s"}))
}
