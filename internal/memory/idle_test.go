package memory_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"spurhall.example/spurhall/internal/memory"
	"spurhall.example/spurhall/internal/timer"
)

// taker is a caller who has its response of 4 MB on the way to it.
type taker struct {
	idle    time.Duration
	givenUp chan struct{}
}

// deliver begins the response of a caller who has taken hardly anything for some time, in a budget of 8 MB for responses.
func deliver(t *testing.T, b *memory.Budget, idle time.Duration) taker {
	t.Helper()
	h := hold(b, "api")
	body, err := h.ReadBody(context.Background(), bytes.NewReader(make([]byte, 3*mb)), 3*mb, 3*mb)
	require.NoError(t, err)
	h.Complete()
	v := taker{idle: idle, givenUp: make(chan struct{})}
	body.Follow(func() time.Duration { return v.idle }, func() {
		close(v.givenUp)
		h.Release()
	})
	return v
}

func (v taker) assertGivenUp(t *testing.T, want bool) {
	t.Helper()
	select {
	case <-v.givenUp:
		assert.True(t, want, "it was given up")
	case <-time.After(300 * time.Millisecond):
		assert.False(t, want, "it wasn't given up")
	}
}

func newTakers(t *testing.T) *memory.Budget {
	t.Helper()
	b := memory.New(timer.Real(), 16*mb, nil)
	b.Observe("api", 4*mb)
	return b
}

// TestResponseOfASilentCallerKeepsOthersWaiting guards against responses that wait for callers who don't take them, while others
// get no room.
func TestResponseOfASilentCallerKeepsOthersWaiting(t *testing.T) {
	b := newTakers(t)
	first, second := deliver(t, b, time.Second), deliver(t, b, 2*time.Second)
	assert.NoError(t, result(t, hold(b, "api").take(2*mb)))
	second.assertGivenUp(t, true)
	first.assertGivenUp(t, false) // one was enough
}

func TestCallerWhoTakesItsResponseYieldsToNobody(t *testing.T) {
	b := newTakers(t)
	first, second := deliver(t, b, 0), deliver(t, b, 0)
	waiting := hold(b, "api").take(2 * mb)
	first.assertGivenUp(t, false)
	second.assertGivenUp(t, false)
	assertWaits(t, waiting)
}

func TestSilentCallerYieldsToNobodyWhileThereIsRoom(t *testing.T) {
	b := newTakers(t)
	v := deliver(t, b, time.Minute)
	assert.NoError(t, result(t, hold(b, "api").take(mb)))
	v.assertGivenUp(t, false)
}

// TestWholeResponseIsGivenUpAsExcessive guards against a connection that is closed under a response which had become whole as it was
// chosen to end.
func TestWholeResponseIsGivenUpAsExcessive(t *testing.T) {
	var h *holder
	var body *memory.Body
	givenUp := make(chan struct{})
	b := memory.New(timer.Real(), 16*mb, func(memory.Ended) {
		h.Complete()
		body.Follow(func() time.Duration { return 0 }, func() { close(givenUp) })
	})
	b.Observe("api", 4<<10)
	h = hold(b, "api")
	var err error
	body, err = h.ReadBody(context.Background(), bytes.NewReader(make([]byte, 3*mb)), -1, 4*mb)
	require.NoError(t, err)
	assert.NoError(t, result(t, hold(b, "api").take(5*mb)))
	assert.Empty(t, givenUp)
	assert.ErrorIs(t, result(t, h.ended), memory.ErrOversized)
}
