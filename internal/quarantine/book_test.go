package quarantine

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func printOf(body string) Fingerprint { return FingerprintOf(Request{Body: []byte(body)}) }

// world is a book with a clock.
type world struct {
	b   *Tracker
	now time.Duration
}

func newWorld() *world { return &world{b: NewTracker("n")} }

// broke ends an upstream under requests that have begun to run there.
func (w *world) broke(upstream string, bodies ...string) {
	for _, v := range bodies {
		w.b.ObserveCrash(at(w.now), Crash{Fingerprint: printOf(v), Upstream: upstream, At: at(w.now)})
	}
}

func (w *world) check(body string) Verdict { return w.b.Check(at(w.now), printOf(body)) }

func (w *world) assertHeld(t *testing.T, held bool, bodies ...string) {
	t.Helper()
	for _, v := range bodies {
		assert.Equal(t, held, w.check(v).Quarantined, v)
	}
}

func TestHeldByProof(t *testing.T) {
	w := newWorld()
	for i := range CrashThreshold {
		w.assertHeld(t, false, "x")
		w.broke(fmt.Sprint("u", i), "x")
		w.now += time.Second
	}
	w.assertHeld(t, true, "x")
	w.assertHeld(t, false, "y")
	assert.Equal(t, CrashThreshold, w.check("x").Upstreams)
	assert.Greater(t, w.check("x").Wait, holdFirst-5*time.Second)
	t.Run("no memory is used for those that weren't there", func(t *testing.T) {
		assert.True(t, w.b.HasCrashes(func() Shape { return ShapeOf(Request{Body: []byte("x")}) }))
		assert.False(t, w.b.HasCrashes(func() Shape { return ShapeOf(Request{Body: []byte("other")}) }))
	})
}

// TestOneEndCountsOnce: several copies of a request at one upstream, and several words of one
// end, are one end; an upstream that came back under its id and ended again is another one.
func TestOneEndCountsOnce(t *testing.T) {
	w := newWorld()
	for range 5 {
		w.broke("u", "x")
		w.now += 100 * time.Millisecond
	}
	w.assertHeld(t, false, "x")
	for range CrashThreshold - 1 {
		w.now += 4 * time.Second
		w.broke("u", "x")
	}
	w.assertHeld(t, true, "x")
}

// TestWhatIsNoEvidence is each reason for which an end doesn't count.
func TestWhatIsNoEvidence(t *testing.T) {
	ends := func(w *world, n int, bodies ...string) {
		for i := range n {
			w.broke(fmt.Sprint("u", i), bodies...)
			w.now += time.Second
		}
	}
	t.Run("it was answered since", func(t *testing.T) {
		w := newWorld()
		ends(w, CrashThreshold-1, "x")
		w.b.ObserveResponse(at(w.now), printOf("x"))
		w.now += sameWithin
		w.broke("u7", "x")
		w.assertHeld(t, false, "x")
	})
	t.Run("two that end upstreams are both held back", func(t *testing.T) {
		w := newWorld()
		ends(w, CrashThreshold+2, "x")
		for i := range CrashThreshold {
			w.broke(fmt.Sprint("v", i), "y")
		}
		w.assertHeld(t, true, "x", "y")
	})
}

// TestLetThroughAgain: after its time a request is let through once, and not a second time
// before it is known how the first one ended. An answer clears it; an end holds it back for
// twice as long.
func TestLetThroughAgain(t *testing.T) {
	held := func() *world {
		w := newWorld()
		for i := range CrashThreshold {
			w.broke(fmt.Sprint("u", i), "x")
		}
		w.now += holdFirst - time.Millisecond
		w.assertHeld(t, true, "x")
		w.now += spread + time.Millisecond
		return w
	}
	t.Run("one at a time", func(t *testing.T) {
		w := held()
		assert.True(t, w.check("x").Probe)
		w.assertHeld(t, true, "x")
	})
	t.Run("nor while another node's is under way", func(t *testing.T) {
		w := held()
		other := NewTracker("other")
		other.Merge(at(0), w.b.BuildUpdate(at(0)))
		w.check("x")
		other.Merge(at(w.now), w.b.BuildUpdate(at(w.now)))
		v := other.Check(at(w.now), printOf("x"))
		assert.True(t, v.Quarantined)
		assert.LessOrEqual(t, v.Wait, trialTakes)
		assert.Empty(t, w.b.Merge(at(w.now), other.BuildUpdate(at(w.now))), "it isn't news to who told it")
		w.now += trialTakes
		assert.True(t, other.Check(at(w.now), printOf("x")).Probe)
	})
	t.Run("answered", func(t *testing.T) {
		w := held()
		w.check("x")
		c := w.b.ObserveResponse(at(w.now), printOf("x"))
		assert.Len(t, c, 1)
		assert.False(t, c[0].Quarantined)
		w.assertHeld(t, false, "x")
	})
	t.Run("another end", func(t *testing.T) {
		w := held()
		w.check("x")
		w.broke("u8", "x")
		v := w.check("x")
		assert.True(t, v.Quarantined)
		assert.GreaterOrEqual(t, v.Wait, 2*holdFirst)
	})
	t.Run("never longer than the longest", func(t *testing.T) {
		w := held()
		for i := range 20 {
			w.broke(fmt.Sprint("w", i), "x")
			w.now += w.check("x").Wait
		}
		w.broke("last", "x")
		assert.LessOrEqual(t, w.check("x").Wait, holdLongest+spread)
	})
	t.Run("nodes at moments of their own", func(t *testing.T) {
		w, turns := held(), map[time.Duration]bool{}
		said := w.b.BuildUpdate(at(0))
		for i := range 8 {
			b := NewTracker(fmt.Sprint("n", i))
			b.Merge(at(0), said)
			turns[b.Check(at(0), printOf("x")).Wait] = true
		}
		assert.Len(t, turns, 8)
	})
}

// grid is how far apart drawn ends are. No span for which a request is held back is a multiple
// of it, give or take what messages take: at just that moment books may differ.
const grid = 5700 * time.Millisecond

// TestBooksAgree draws ends and answers, tells them to books in any order and more than once,
// each word younger by what its message took, and finds the same held back by all.
func TestBooksAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type word struct {
			w  Update
			at time.Duration
		}
		var words []word
		for range rapid.IntRange(1, 40).Draw(t, "words") {
			v := word{at: time.Duration(rapid.IntRange(0, 20).Draw(t, "at")) * grid}
			p := printOf(rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "print"))
			if rapid.IntRange(0, 9).Draw(t, "kind") == 0 {
				v.w.Responses = []Response{{p, at(v.at)}}
			} else {
				u := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "upstream")
				v.w.Crashes = []Crash{{Fingerprint: p, Upstream: u, At: at(v.at)}}
			}
			words = append(words, v)
		}
		now := at(121 * time.Second)
		r := rand.New(rand.NewSource(rapid.Int64().Draw(t, "order")))
		tell := func() *Tracker {
			b := NewTracker("n")
			for range 2 {
				r.Shuffle(len(words), func(i, j int) { words[i], words[j] = words[j], words[i] })
				for _, v := range words {
					late := time.Duration(r.Intn(300)) * time.Millisecond
					w := Update{Crashes: append([]Crash(nil), v.w.Crashes...), Responses: append([]Response(nil), v.w.Responses...)}
					for i := range w.Crashes {
						w.Crashes[i].At = w.Crashes[i].At.Add(late)
					}
					for i := range w.Responses {
						w.Responses[i].At = w.Responses[i].At.Add(late)
					}
					b.Merge(now, w)
				}
			}
			return b
		}
		a, b := tell(), tell()
		for _, x := range []string{"x", "y", "z"} {
			assert.Equal(t, a.Remaining(now, printOf(x)) > 0, b.Remaining(now, printOf(x)) > 0, x)
		}
	})
}

// TestBookIsBounded: a million different requests under which upstreams ended, and one that is
// held back, which isn't forgotten for them.
func TestBookIsBounded(t *testing.T) {
	w := newWorld()
	for i := range CrashThreshold {
		w.broke(fmt.Sprint("u", i), "x")
	}
	for i := range 20_000 {
		w.broke(fmt.Sprint("u", i), fmt.Sprint("body ", i))
		w.now += time.Millisecond / 4
	}
	assert.LessOrEqual(t, len(w.b.suspects), suspectsLimit)
	w.assertHeld(t, true, "x")
	t.Run("a message is bounded, and what holds back goes first", func(t *testing.T) {
		v := w.b.BuildUpdate(at(w.now))
		assert.LessOrEqual(t, len(v.Crashes), endsTold)
		assert.Equal(t, printOf("x"), v.Crashes[0].Fingerprint)
	})
	t.Run("what proves nothing lapses", func(t *testing.T) {
		w.b.BuildUpdate(at(w.now + suspectKeeps + time.Second))
		assert.Len(t, w.b.suspects, 1)
		w.b.BuildUpdate(at(w.now + holdFirst + heldKeeps + time.Minute))
		assert.Empty(t, w.b.suspects)
		assert.Empty(t, w.b.families)
	})
}

// TestWordsReachThoseThatBeginLater: news is told for a while, and what holds a request back
// always.
func TestWordsReachThoseThatBeginLater(t *testing.T) {
	w := newWorld()
	for i := range CrashThreshold {
		w.broke(fmt.Sprint("u", i), "x")
	}
	w.broke("u", "y")
	assert.Len(t, w.b.BuildUpdate(at(w.now)).Crashes, CrashThreshold+1)
	w.now += tellsFor + time.Second
	v := w.b.BuildUpdate(at(w.now))
	assert.Len(t, v.Crashes, CrashThreshold)
	late := newWorld()
	late.now = w.now
	c := late.b.Merge(at(w.now), v)
	assert.Len(t, c, 1)
	late.assertHeld(t, true, "x")
	t.Run("what is known is no news", func(t *testing.T) { assert.Empty(t, late.b.Merge(at(w.now), v)) })
}
