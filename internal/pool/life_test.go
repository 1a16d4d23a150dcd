package pool

import (
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"spurhall.example/spurhall/internal/timer"
)

func lifeAt(born, revision int64, leaving bool) Item {
	v := item("a", revision)
	v.Entry.Born, v.Entry.Leaving, v.Entry.Declared = born, leaving, leaving
	return v
}

// TestAnyOrderOfLives: an upstream comes back under its id, life after life, also when the time
// of day steps back in between. Whatever words of them come in whatever order and how often,
// the newest life's newest word is what is held, and a life that was followed by another one
// never comes back.
func TestAnyOrderOfLives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var words []Item
		revision := int64(0)
		born := rapid.SliceOfNDistinct(rapid.Int64Range(1, 9), 1, 4, rapid.ID[int64]).Draw(t, "lives")
		leaving := false
		for _, b := range born {
			leaving = false
			for range rapid.IntRange(1, 3).Draw(t, "words") {
				revision++
				leaving = leaving || rapid.Bool().Draw(t, "leaving")
				words = append(words, lifeAt(b, revision, leaving))
			}
		}
		newest := words[len(words)-1]
		r := rand.New(rand.NewSource(rapid.Int64().Draw(t, "order")))
		told := append(append([]Item(nil), words...), words...)
		r.Shuffle(len(told), func(i, j int) { told[i], told[j] = told[j], told[i] })
		l := NewList()
		for _, v := range told {
			l.Put(v)
		}
		l.Items(func(v Item) { assert.Equal(t, newest, v) })
	})
}

// TestLives is what a new life under an old id is and isn't.
func TestLives(t *testing.T) {
	held := func(l *List) Entry {
		var e Entry
		l.Items(func(v Item) { e = v.Entry })
		return e
	}
	t.Run("one that comes back after it was leaving is used", func(t *testing.T) {
		l := NewList()
		l.Put(lifeAt(1, 1, true))
		l.Put(lifeAt(2, 2, false))
		assert.False(t, held(l).Leaving)
	})
	t.Run("a write of the life before, done late", func(t *testing.T) {
		l := NewList()
		l.Put(lifeAt(1, 1, false))
		l.Put(lifeAt(2, 2, false))
		l.Put(lifeAt(1, 3, true))
		assert.Equal(t, int64(2), held(l).Born)
		assert.False(t, held(l).Leaving)
	})
	t.Run("also after its entry went", func(t *testing.T) {
		l := NewList()
		l.Put(lifeAt(1, 1, false))
		l.Put(lifeAt(2, 2, false))
		l.Delete(start, "a")
		l.Put(lifeAt(1, 3, false))
		l.Put(lifeAt(1, 3, false)) // told twice
		l.Put(lifeAt(1, 4, false))
		assertListed(t, l)
	})
	t.Run("one that was taken for the life before goes on writing", func(t *testing.T) {
		l := NewList()
		l.Put(lifeAt(2, 2, false)) // this list saw nothing of life 1, of which a write is done late
		l.Put(lifeAt(1, 3, false))
		for i := range int64(lateWrites + 1) {
			l.Put(lifeAt(2, 4+i, false))
		}
		assert.Equal(t, int64(2), held(l).Born)
	})
	t.Run("an entry that doesn't say its birth is of the life held", func(t *testing.T) {
		l := NewList()
		l.Put(lifeAt(1, 1, true))
		l.Put(lifeAt(0, 2, false))
		assert.True(t, held(l).Leaving)
	})
	t.Run("the lives remembered are bounded", func(t *testing.T) {
		l := NewList()
		for i := range int64(5 * livesKept) {
			l.Put(lifeAt(i+1, i+1, false))
		}
		assert.LessOrEqual(t, len(l.past["a"]), livesKept)
	})
}

// TestNewLifeBeginsAnew: nothing of what is known of a life is taken over by the next one under
// its id.
func TestNewLifeBeginsAnew(t *testing.T) {
	clock := timer.NewManual(start)
	p := New(clock.Service(), "self", "h")
	p.Update(func(l *List) { l.Put(lifeAt(1, 1, false)) })
	u := p.Pick(Request{Service: "s"})
	for range 5 {
		v := p.Pick(Request{Service: "s"})
		v.End(ResultUnreachable)
	}
	p.ApplyReachability(Reachability{Unreachable: []UnreachableUpstream{{Upstream: "a", Born: 1, Nodes: 3, Misplaced: true}}})
	assert.Nil(t, p.Pick(Request{Service: "s"}), "its address is another's")
	changes := p.Update(func(l *List) { l.Put(lifeAt(2, 2, false)) })
	events := []string{}
	for _, c := range changes {
		events = append(events, c.Event)
	}
	assert.Equal(t, []string{"gone", "listed"}, events)
	n := p.Pick(Request{Service: "s"})
	if assert.NotNil(t, n) {
		assert.Equal(t, 0, n.Choice().Running, "what runs at the life before")
		u.End(ResultFailed)
		loads, _ := p.Report()
		assert.Equal(t, []Load{{Upstream: "a", Running: 1}}, withoutWork(loads))
		n.End(ResultGood)
	}
	t.Run("a word of the life before is none of it", func(t *testing.T) {
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

// TestBirthThatComesWithTheNextLife: an upstream's entry says no birth. A later one does, and so does that
// of the next life; a node hears of both at once.
//
// What was seen, once, beside load: an upstream was never used again that another one had answered for.
// Cause: what a node knows of an upstream is dropped when the entry that it knows and the list's are
// known to be of two lives, and one without a birth isn't known to be.
func TestBirthThatComesWithTheNextLife(t *testing.T) {
	p := New(timer.NewManual(start).Service(), "self", "h")
	p.Update(func(l *List) { l.Put(lifeAt(0, 1, false)) })
	p.Pick(Request{ID: "x", Service: "s"}).End(ResultMisplaced)
	assert.Nil(t, p.Pick(Request{ID: "x", Service: "s"}))
	p.Update(func(l *List) {
		l.Put(lifeAt(5, 2, false))
		l.Put(lifeAt(6, 3, false))
	})
	assert.NotNil(t, p.Pick(Request{ID: "x", Service: "s"}))
}
