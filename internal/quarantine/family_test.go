package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// series ends an upstream under each of so many requests that are alike, a second apart.
func (w *world) series(from, count int) {
	for i := range count {
		w.now += time.Second
		w.broke(fmt.Sprint("u", from+i), fmt.Sprintf("deadly %03d", from+i))
	}
}

func (w *world) answered(body string) []Change { return w.b.ObserveResponse(at(w.now), printOf(body)) }

// TestFamily is what holds requests back that are alike, and what doesn't.
func TestFamily(t *testing.T) {
	t.Run("ends without an answer in between", func(t *testing.T) {
		w := newWorld()
		w.series(0, familyProof-1)
		w.assertHeld(t, false, "deadly 999")
		w.series(familyProof-1, 1)
		w.assertHeld(t, true, "deadly 999")
		assert.True(t, w.check("deadly 999").ByShape)
		w.assertHeld(t, false, "another length")
	})
	t.Run("an answer in between", func(t *testing.T) {
		w := newWorld()
		w.series(0, familyProof-1)
		w.answered("deadly 500")
		w.series(familyProof-1, familyProof-1)
		w.assertHeld(t, false, "deadly 999")
	})
	t.Run("ends from before an answer, told late", func(t *testing.T) {
		w := newWorld()
		w.series(0, familyProof-1)
		late := w.now
		w.now += time.Second
		w.answered("deadly 500")
		for i := range familyProof {
			e := Crash{Fingerprint: printOf(fmt.Sprintf("deadly 6%02d", i)), Upstream: fmt.Sprint("v", i), At: at(late - time.Duration(i)*time.Second)}
			w.b.Merge(at(w.now), Update{Crashes: []Crash{e}})
		}
		w.assertHeld(t, false, "deadly 999")
	})
	t.Run("ends that come together", func(t *testing.T) {
		w := newWorld()
		for i := range 10 {
			w.now += endsTogether / 11
			w.broke(fmt.Sprint("u", i), fmt.Sprintf("deadly %03d", i))
		}
		w.assertHeld(t, false, "deadly 999")
	})
	t.Run("ends of too few requests", func(t *testing.T) {
		w := newWorld()
		for i := range 2 * familyProof {
			w.now += time.Second
			w.broke(fmt.Sprint("u", i), fmt.Sprintf("deadly %03d", i%(familyPrints-1)))
		}
		w.assertHeld(t, false, "deadly 999")
	})
	t.Run("one is let through at a time, an end holds it back for longer, an answer frees them", func(t *testing.T) {
		w := newWorld()
		w.series(0, familyProof)
		w.now += familyHold + familySpread
		assert.True(t, w.check("deadly 100").Probe)
		w.assertHeld(t, true, "deadly 101")
		w.broke("v", "deadly 100")
		w.now += familyHold + familySpread
		w.assertHeld(t, true, "deadly 101")
		w.now += familyHold
		assert.True(t, w.check("deadly 101").Probe)
		w.now += trialTakes - time.Millisecond
		w.assertHeld(t, true, "deadly 102")
		assert.Len(t, w.answered("deadly 101"), 1)
		w.assertHeld(t, false, "deadly 102", "deadly 103")
	})
	t.Run("the longest time", func(t *testing.T) {
		w := newWorld()
		w.series(0, 30)
		assert.LessOrEqual(t, w.check("deadly 999").Wait, familyLongest+familySpread)
		w.now += familyLongest + familySpread
		assert.True(t, w.check("deadly 999").Probe)
	})
	t.Run("nodes tell each other of ends, trials and answers", func(t *testing.T) {
		w, o := newWorld(), newWorld()
		w.series(0, familyProof)
		tell := func() []Change { return o.b.Merge(at(w.now), w.b.BuildUpdate(at(w.now))) }
		held := tell()
		if assert.Len(t, held, 1) {
			assert.True(t, held[0].Quarantined && held[0].ByShape)
			assert.Len(t, held[0].Upstreams, familyProof)
		}
		w.now += familyHold + familySpread
		o.now = w.now
		assert.True(t, w.check("deadly 100").Probe)
		tell()
		o.assertHeld(t, true, "deadly 101")
		w.answered("deadly 100")
		freed := tell()
		if assert.Len(t, freed, 1) {
			assert.False(t, freed[0].Quarantined)
		}
		o.assertHeld(t, false, "deadly 101")
	})
	t.Run("what is remembered of one is bounded, and goes with its last request", func(t *testing.T) {
		w := newWorld()
		w.series(0, 2*familyEnds)
		shape := printOf("deadly 000").Shape()
		assert.Len(t, w.b.families[shape].ends, familyEnds)
		w.b.BuildUpdate(at(w.now + suspectKeeps + time.Second))
		assert.Empty(t, w.b.families)
	})
}

// TestRepeats: a second try isn't sent where a copy has ended an upstream that the request wasn't at.
func TestRepeats(t *testing.T) {
	w := newWorld()
	at := func(ids ...string) func(string) bool {
		return func(u string) bool {
			for _, id := range ids {
				if id == u {
					return true
				}
			}
			return false
		}
	}
	assert.True(t, w.b.MayRetry(printOf("x"), at()))
	w.broke("u", "x", "beside")
	assert.True(t, w.b.MayRetry(printOf("x"), at("u")), "its own end")
	assert.False(t, w.b.MayRetry(printOf("x"), at("v")), "another copy's")
	w.now += time.Second
	w.answered("beside")
	assert.True(t, w.b.MayRetry(printOf("beside"), at("v")), "it was answered since")
}
