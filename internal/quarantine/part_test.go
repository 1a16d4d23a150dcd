package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"google.golang.org/protobuf/proto"
)

// partRig is a tracker, and what upstreams do under requests with parts.
type partRig struct {
	t       *testing.T
	tracker *Tracker
	now     time.Time
	request uint64
}

func newPartRig(t *testing.T) *partRig {
	return &partRig{t: t, tracker: NewTracker("n"), now: at(0)}
}

// crash lets an upstream crash under a new request of a workspace, and others be answered.
func (r *partRig) crash(workspace string, parts ...uint64) {
	r.now = r.now.Add(time.Second)
	r.request++
	r.tracker.ObservePartCrash(r.now, PartCrash{Prompt: NewPrompt("llm", workspace, parts), Request: r.request, Upstream: fmt.Sprint("u", r.request), At: r.now})
	r.now = r.now.Add(100 * time.Millisecond)
	r.answer(0xffff)
}

func (r *partRig) answer(parts ...uint64) {
	r.tracker.ObservePartAnswer(r.now, NewPrompt("llm", "w", parts))
}

func (r *partRig) crashes(n int, workspace string, parts ...uint64) {
	for range n {
		r.crash(workspace, parts...)
	}
}

func (r *partRig) assertHeld(held bool, workspace string, parts ...uint64) {
	r.t.Helper()
	assert.Equal(r.t, held, r.tracker.CheckParts(r.now, NewPrompt("llm", workspace, parts), false).Quarantined)
}

func TestPartIsQuarantined(t *testing.T) {
	t.Run("after three crashes, for requests that have it", func(t *testing.T) {
		r := newPartRig(t)
		r.crashes(2, "w", 1, badPart)
		r.answer(1)
		r.assertHeld(false, "w", 1, badPart)
		r.crash("w", badPart, 1)
		r.answer(1)
		r.assertHeld(true, "w", 1, badPart)
		r.assertHeld(true, "w", badPart, 7, 8)
		r.assertHeld(false, "w", 1)
		assert.False(t, r.tracker.CheckParts(r.now, NewPrompt("other service", "w", []uint64{badPart}), false).Quarantined)
	})
	t.Run("not by repeats of one request", func(t *testing.T) {
		r := newPartRig(t)
		for range 9 {
			r.request = 1
			r.crash("w", badPart)
		}
		r.assertHeld(false, "w", badPart)
	})
	t.Run("not by one burst", func(t *testing.T) {
		r := newPartRig(t)
		for i := range uint64(9) {
			r.now = r.now.Add(10 * time.Millisecond)
			r.tracker.ObservePartCrash(r.now, PartCrash{Prompt: NewPrompt("llm", "w", []uint64{badPart}), Request: i, Upstream: fmt.Sprint("u", i), At: r.now})
		}
		r.now = r.now.Add(100 * time.Millisecond)
		r.answer(0xffff)
		r.assertHeld(false, "w", badPart)
	})
	t.Run("and released by an answer", func(t *testing.T) {
		r := newPartRig(t)
		r.crashes(4, "w", badPart)
		r.assertHeld(true, "w", badPart)
		r.now = r.now.Add(time.Second)
		r.answer(badPart)
		r.assertHeld(false, "w", badPart)
	})
	t.Run("together with those that it was always with", func(t *testing.T) {
		r := newPartRig(t)
		r.crashes(4, "w", 1, badPart)
		r.assertHeld(true, "w", 1, badPart)
		assert.True(t, r.tracker.CheckParts(r.now, NewPrompt("llm", "w", []uint64{1}), true).Probe, "one with some of them tells them apart")
		assert.True(t, r.tracker.CheckParts(r.now, NewPrompt("llm", "w", []uint64{1}), true).Quarantined, "one at a time")
		r.now = r.now.Add(time.Second)
		r.answer(1)
		r.assertHeld(false, "w", 1)
		r.assertHeld(true, "w", badPart)
	})
}

// crashUnanswered lets upstreams crash under new requests, one after the other, and nothing be answered.
func (r *partRig) crashUnanswered(upstreams int, apart time.Duration, parts ...uint64) {
	for range upstreams {
		r.now = r.now.Add(apart)
		r.request++
		r.tracker.ObservePartCrash(r.now, PartCrash{Prompt: NewPrompt("llm", "w", parts), Request: r.request, Upstream: fmt.Sprint("u", r.request), At: r.now})
	}
}

// probes returns after which times, of a span, a process that may admit probes lets requests with a part through.
func (r *partRig) probes(span time.Duration, parts ...uint64) (list []time.Duration) {
	for d := time.Duration(0); d < span; d += time.Second {
		if v := r.tracker.CheckParts(r.now.Add(d), NewPrompt("llm", "w", parts), true); v.Probe || !v.Quarantined {
			list = append(list, d)
		}
	}
	return list
}

// TestPartsAreRefusedWhileAServiceFails guards against parts that are refused, or for too long, since nothing of their service is
// answered, which may have another cause.
func TestPartsAreRefusedWhileAServiceFails(t *testing.T) {
	for name, crash := range map[string]func(r *partRig){
		"five upstreams crash": func(r *partRig) { r.crashUnanswered(5, time.Second, badPart) },
		"nine crash, one of them without it": func(r *partRig) {
			r.crashUnanswered(5, time.Second, badPart)
			r.crashUnanswered(1, time.Second, 7)
			r.crashUnanswered(3, time.Second, badPart)
		},
		"nine crash in two bursts": func(r *partRig) {
			r.crashUnanswered(5, 10*time.Millisecond, badPart)
			r.crashUnanswered(1, time.Second, badPart)
			r.crashUnanswered(3, 10*time.Millisecond, badPart)
		},
		"nine crash, and it was answered in between": func(r *partRig) {
			r.crashUnanswered(4, time.Second, badPart)
			r.now = r.now.Add(time.Second)
			r.answer(badPart)
			r.crashUnanswered(5, time.Second, badPart)
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newPartRig(t)
			crash(r)
			r.assertHeld(false, "w", badPart)
		})
	}
	refused := func(t *testing.T) *partRig {
		r := newPartRig(t)
		r.crashUnanswered(6, time.Second, badPart)
		r.assertHeld(true, "w", badPart)
		r.assertHeld(false, "w", 7)
		r.assertHeld(false, "other", badPart)
		return r
	}
	t.Run("six crash: one process lets one through after 5 s, others after twice the time each", func(t *testing.T) {
		r := refused(t)
		assert.Equal(t, []time.Duration{5 * time.Second, 15 * time.Second, 35 * time.Second, 75 * time.Second, 135 * time.Second}, r.probes(150*time.Second, badPart))
		r.now = r.now.Add(150 * time.Second)
		r.assertHeld(true, "w", badPart)
	})
	t.Run("an answer frees it", func(t *testing.T) {
		r := refused(t)
		r.now = r.now.Add(6 * time.Second)
		r.answer(badPart)
		r.assertHeld(false, "w", badPart)
	})
	t.Run("an answer without it proves it", func(t *testing.T) {
		r := refused(t)
		r.now = r.now.Add(time.Second)
		r.answer(7)
		assert.Equal(t, []time.Duration{59 * time.Second}, r.probes(5*time.Minute, badPart))
	})
}

// TestPartOfOneWorkspace guards against one workspace that has the requests of others refused by the names of its parts.
func TestPartOfOneWorkspace(t *testing.T) {
	r := newPartRig(t)
	r.crashes(5, "w", badPart)
	r.assertHeld(true, "w", badPart)
	r.assertHeld(false, "x", badPart)
	r.crash("x", badPart)
	r.assertHeld(true, "y", badPart)
}

// TestProbesOfAPartEnd guards against a part that is let through again and again, by one node after the other.
func TestProbesOfAPartEnd(t *testing.T) {
	r := newPartRig(t)
	r.crashes(3, "w", badPart)
	admitted := 0
	for range 48 * 60 { // two days, half a minute at a time
		r.now = r.now.Add(30 * time.Second)
		if r.tracker.BuildUpdate(r.now); r.now.Sub(at(0)) > heldPartTTL {
			break
		}
		r.assertHeld(true, "w", badPart) // a process that may not probe
		if v := r.tracker.CheckParts(r.now, NewPrompt("llm", "w", []uint64{badPart}), true); v.Probe {
			admitted++
			r.crash("w", badPart)
		}
	}
	assert.Equal(t, maxPartProbes, admitted)
}

// TestProbesAreCountedAfterARestart guards against a process that knows the last probe of a part alone, and admits more.
func TestProbesAreCountedAfterARestart(t *testing.T) {
	r := newPartRig(t)
	r.crashes(3, "w", badPart)
	for range maxPartProbes {
		r.now = r.now.Add(2 * nextPartProbe)
		assert.True(t, r.tracker.CheckParts(r.now, NewPrompt("llm", "w", []uint64{badPart}), true).Probe)
		r.crash("w", badPart)
	}
	stored := UpdateFromWire(r.now, first(r.tracker.PartEvidence()).ToWire(r.now))
	r.tracker = NewTracker("o")
	r.tracker.Merge(r.now, stored)
	r.now = r.now.Add(2 * nextPartProbe)
	v := r.tracker.CheckParts(r.now, NewPrompt("llm", "w", []uint64{badPart}), true)
	assert.True(t, v.Quarantined)
	assert.False(t, v.Probe)
}

// TestPartsAreToldAndRestored checks that another process derives the same from messages, and from what is stored.
func TestPartsAreToldAndRestored(t *testing.T) {
	r := newPartRig(t)
	for i := range uint64(20) {
		r.crash("w", badPart, 10+i%3)
	}
	r.now = r.now.Add(10 * time.Second)
	for name, u := range map[string]Update{"told": r.tracker.BuildUpdate(r.now), "stored": first(r.tracker.PartEvidence())} {
		t.Run(name, func(t *testing.T) {
			o := NewTracker("o")
			o.Merge(r.now, UpdateFromWire(r.now, u.ToWire(r.now)))
			assert.True(t, o.CheckParts(r.now, NewPrompt("llm", "w", []uint64{badPart}), false).Quarantined)
			assert.False(t, o.CheckParts(r.now, NewPrompt("llm", "w", []uint64{10}), false).Quarantined)
			assert.LessOrEqual(t, len(u.PartCrashes), maxWitnesses)
		})
	}
}

func first(u Update, _ int64) Update { return u }

// TestBoundsOfParts guards against callers that take memory and messages by the parts they name.
func TestBoundsOfParts(t *testing.T) {
	r := newPartRig(t)
	most := 0
	for i := range 1500 {
		var parts []uint64
		for j := range 400 {
			parts = append(parts, uint64(1000*i+j))
		}
		r.now = r.now.Add(time.Millisecond)
		r.request++
		r.tracker.ObservePartCrash(r.now, PartCrash{Prompt: NewPrompt("llm", "w", parts), Request: r.request, Upstream: fmt.Sprint("u", i), At: r.now})
		r.answer(uint64(1000*i+500), uint64(1000*i+501))
		if i%100 == 0 {
			most = max(most, proto.Size(r.tracker.BuildUpdate(r.now).ToWire(r.now)))
		}
	}
	t.Logf("largest message: %d bytes", most)
	p := r.tracker.parts
	assert.LessOrEqual(t, len(p.crashes), maxPartCrashes)
	assert.LessOrEqual(t, len(p.refs), maxPartRefs)
	assert.LessOrEqual(t, len(p.answers), maxPartAnswers+1)
	assert.Less(t, most, 16<<10)
}

func BenchmarkParts(b *testing.B) {
	t := NewTracker("n")
	q := NewPrompt("llm", "w", []uint64{1, 2, 3})
	b.Run("check, none known", func(b *testing.B) {
		for b.Loop() {
			t.CheckParts(at(0), q, false)
		}
	})
	for i := range 200 {
		t.ObservePartCrash(at(time.Duration(i)*time.Second), PartCrash{Prompt: NewPrompt("llm", "w", []uint64{badPart, uint64(100 + i%5)}), Request: uint64(i), Upstream: fmt.Sprint(i), At: at(time.Duration(i) * time.Second)})
	}
	now := 200 * time.Second
	b.Run("answer, 200 crashes known", func(b *testing.B) {
		for b.Loop() {
			now += time.Millisecond
			t.ObservePartAnswer(at(now), q)
		}
	})
	b.Run("check, 200 crashes known", func(b *testing.B) {
		for b.Loop() {
			t.CheckParts(at(now), q, false)
		}
	})
}
