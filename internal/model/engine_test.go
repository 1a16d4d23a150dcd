package model

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// newTestEngine returns an engine that reads a token a millisecond, in steps of ten.
func newTestEngine(room float64) (*World, *engine) {
	w := &World{}
	return w, newEngine(w, &EngineSpec{Slots: 2, Chunk: 10, Reading: 1, Step: time.Millisecond, First: time.Millisecond, Room: room}, "e")
}

func newTestJob(prompt float64, out int, started *int) *job {
	return &job{
		q: &request{prompt: prompt}, out: out, done: func(time.Duration) {}, lost: func() {}, started: func(time.Duration) { *started++ },
	}
}

// TestNoFirstEventWithoutASlot: a request that loses its slot in the step that ends its reading has no first event.
func TestNoFirstEventWithoutASlot(t *testing.T) {
	until := func(w *World, ms int) { w.run(time.Duration(ms)*time.Millisecond, func(time.Duration) {}) }
	t.Run("its caller leaves", func(t *testing.T) {
		w, e := newTestEngine(0)
		n := 0
		j := newTestJob(10, 5, &n)
		e.take(j)
		until(w, 5)
		e.leave(j)
		until(w, 1000)
		assert.Zero(t, n)
		assert.Zero(t, e.running)
	})
	t.Run("it is preempted", func(t *testing.T) {
		w, e := newTestEngine(23)
		n, m := 0, 0
		e.take(newTestJob(10, 20, &n))
		until(w, 13)
		assert.Equal(t, 1, n)
		j := newTestJob(10, 5, &m)
		e.take(j)
		until(w, 28)
		assert.Zero(t, m)
		assert.Zero(t, j.made)
		until(w, 1000)
		assert.Equal(t, 1, m)
		assert.Zero(t, e.running)
	})
}
