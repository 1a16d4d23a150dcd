package capacity

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

// engine answers as the model says, with noise of a step.
type engine struct {
	reading, first, token, step float64
	r                           *rand.Rand
}

func (e *engine) after(ms float64) time.Duration {
	return time.Duration((ms + e.step*e.r.Float64()) * float64(time.Millisecond))
}

// teach lets a learner see so many answers, of which a share waited for long for something
// that no node knew of. It returns the time at the end.
func (e *engine) teach(l *Learner, n int, waited float64) time.Time {
	now := start
	for i := 0; i < n; i++ {
		now = now.Add(100 * time.Millisecond)
		tokens := 200 + 8000*e.r.Float64()
		ms := e.first + tokens/e.reading
		if e.r.Float64() < waited {
			ms += 2000 * e.r.Float64()
		}
		l.ObserveFirst(now, tokens, e.after(ms))
		out := 10 + 300*e.r.Float64()
		l.ObserveRest(out, e.after(out*e.token))
		l.Engine(now)
	}
	return now
}

// assertLearned checks what was learned against the engine itself.
func assertLearned(t assert.TestingT, e *engine, got Engine) {
	assert.InEpsilon(t, e.reading, got.Reading, 0.2, "tokens a millisecond")
	assert.InDelta(t, e.first+e.step/2, got.First, 0.2*e.first+e.step, "first event")
	assert.InEpsilon(t, e.token, got.Token, 0.2, "milliseconds a token")
}

// TestLearner draws engines that differ by a factor of ten.
func TestLearner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := &engine{
			reading: rapid.Float64Range(10, 200).Draw(t, "reading"), first: rapid.Float64Range(5, 80).Draw(t, "first"),
			token: rapid.Float64Range(2, 12).Draw(t, "token"), step: rapid.Float64Range(2, 10).Draw(t, "step"),
			r: rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed"))),
		}
		var l Learner
		now := e.teach(&l, 400, 0)
		assertLearned(t, e, l.Engine(now))
	})
}

func TestLearnerBelieves(t *testing.T) {
	newEngine := func() *engine {
		return &engine{reading: 90, first: 30, token: 5, step: 5, r: rand.New(rand.NewPCG(1, 2))}
	}
	t.Run("no few answers", func(t *testing.T) {
		var l Learner
		now := newEngine().teach(&l, minSamples-1, 0)
		assert.False(t, l.Engine(now.Add(time.Second)).Known())
	})
	t.Run("most answers, where one of seven waited", func(t *testing.T) {
		e := newEngine()
		var l Learner
		now := e.teach(&l, 400, 1.0/7)
		assertLearned(t, e, l.Engine(now))
	})
	t.Run("no prompts of one length", func(t *testing.T) {
		var l Learner
		for i := 0; i < 100; i++ {
			l.ObserveFirst(start, 1000, time.Duration(20+i)*time.Millisecond)
			l.ObserveRest(100, time.Second)
		}
		assert.False(t, l.Engine(start).Known())
	})
	t.Run("the newer engine after some seconds", func(t *testing.T) {
		e := newEngine()
		var l Learner
		e.teach(&l, 400, 0)
		e.reading, e.token = 30, 10
		now := e.teach(&l, 500, 0)
		assertLearned(t, e, l.Engine(now.Add(time.Second)))
	})
	t.Run("what it recalls, until it has learned itself", func(t *testing.T) {
		e := newEngine()
		var l Learner
		l.Restore(Engine{Reading: 30, First: 60, Token: 8})
		assert.Equal(t, 30.0, l.Engine(start).Reading)
		now := e.teach(&l, 400, 0)
		assertLearned(t, e, l.Engine(now))
	})
	t.Run("what it knew, while nothing comes", func(t *testing.T) {
		e := newEngine()
		var l Learner
		now := e.teach(&l, 400, 0).Add(time.Hour)
		assertLearned(t, e, l.Engine(now))
		assert.Zero(t, l.Engine(now).Samples)
	})
}

func TestMerge(t *testing.T) {
	sound := Engine{Reading: 90, First: 30, Token: 5, Samples: 64}
	t.Run("a node with bad links doesn't move it", func(t *testing.T) {
		bad := Engine{Reading: 4, First: 700, Token: 20, Samples: 64}
		m := Merge([]Engine{sound, bad, sound, sound})
		assert.Equal(t, sound.Reading, m.Reading)
		assert.Equal(t, 256, m.Samples)
	})
	t.Run("a new node knows what others do", func(t *testing.T) {
		assert.Equal(t, sound, Merge([]Engine{{}, sound}))
	})
	t.Run("nobody knows anything", func(t *testing.T) {
		assert.False(t, Merge([]Engine{{}, {}}).Known())
	})
}

func ExampleWork_Engines() {
	e := Engine{Reading: 90, First: 30, Token: 5, Samples: 400}
	w := e.Work(6600, 385, Size{Slots: 24, Memory: 731_070}).Scale(40) // 40 requests a second
	n, binds := w.Engines(Work{Prefill: 0.65, Slots: 0.8, Memory: 0.9})
	fmt.Printf("%.1f engines, bound by %s\n", n, binds)
	// Output: 7.2 engines, bound by slots
}

func TestEngines(t *testing.T) {
	shares := Work{Prefill: 0.65, Slots: 0.8, Memory: 0.9}
	for name, c := range map[string]struct {
		w     Work
		n     float64
		binds Resource
	}{
		"reading alone":               {Work{Prefill: 2.6, Slots: 0.1}, 4, ResourcePrefill},
		"slots alone":                 {Work{Slots: 4}, 5, ResourceSlots},
		"slots beside reading":        {Work{Prefill: 3, Slots: 4}, 8, ResourceSlots},
		"memory beside reading":       {Work{Prefill: 3, Slots: 1, Memory: 4.5}, 8, ResourceMemory},
		"what waits for memory first": {Work{Memory: 0.9}, 1, ResourceMemory},
	} {
		t.Run(name, func(t *testing.T) {
			n, binds := c.w.Engines(shares)
			assert.InDelta(t, c.n, n, 1e-9)
			assert.Equal(t, c.binds, binds)
		})
	}
	t.Run("what few engines held up counts as on many", func(t *testing.T) {
		few := Work{Prefill: 3, Slots: 4}.Uncontended(6)
		assert.Equal(t, Work{Prefill: 3, Slots: 2}, few)
		assert.InEpsilon(t, 4.0, Work{Prefill: 3, Slots: 4}.Uncontended(600).Slots, 0.01)
		assert.Equal(t, Work{Prefill: 3}, Work{Prefill: 3}.Uncontended(0))
	})
}

func TestUnknownEnginesTakeNoWork(t *testing.T) {
	assert.Zero(t, Engine{Reading: 90}.Work(1000, 100, Size{Slots: 8}))
	assert.Positive(t, Engine{}.FirstEventDelay(1000), "but a choice needs some figure")
}

// BenchmarkFit: the fit of a full ring takes some 0.2 ms of a core, once a second a service.
func BenchmarkFit(b *testing.B) {
	e := &engine{reading: 90, first: 30, token: 5, step: 5, r: rand.New(rand.NewPCG(1, 2))}
	var l Learner
	now := e.teach(&l, maxSamples, 0)
	for b.Loop() {
		l.fit(now)
	}
}
