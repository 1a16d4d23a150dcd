package memory_test

import (
	"bytes"
	"context"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"spurhall.example/spurhall/internal/memory"
	"spurhall.example/spurhall/internal/timer"
)

// looks is more looks than a caller may be idle for.
const looks = 20

// newDelivered returns a response of 4 MB that is on its way to its caller, and another one that waits for its room.
func newDelivered(t *testing.T) (delivered *holder, waiting <-chan error) {
	t.Helper()
	b := memory.New(timer.Real(), 16*mb, nil)
	b.Observe("api", 4*mb)
	delivered = hold(b, "api")
	require.NoError(t, delivered.Take(context.Background(), 4*mb))
	delivered.Complete()
	delivered.Follow(func(err error) { delivered.ended <- err; delivered.Release() })
	waiting = hold(b, "api").take(4 * mb)
	assertWaits(t, waiting)
	return delivered, waiting
}

func TestResponseOfASilentCallerKeepsOthersWaiting(t *testing.T) {
	d, waiting := newDelivered(t)
	for range looks {
		d.Look(false)
	}
	assert.ErrorIs(t, result(t, d.ended), memory.ErrIdle)
	assert.NoError(t, result(t, waiting))
}

func TestCallerWhoReadsOnYields(t *testing.T) {
	d, waiting := newDelivered(t)
	for i := range looks {
		d.Look(i%3 == 0)
	}
	assert.Empty(t, d.ended)
	assertWaits(t, waiting)
}

func TestSilentCallerYieldsThoughThereIsRoom(t *testing.T) {
	b := memory.New(timer.Real(), 16*mb, nil)
	d := hold(b, "api")
	require.NoError(t, d.Take(context.Background(), mb))
	for range looks {
		d.Look(false)
	}
	assert.Empty(t, d.ended)
}

func TestCallerWhoWaitsForRoomCountsAsIdle(t *testing.T) {
	b := memory.New(timer.Real(), 16*mb, nil)
	b.Observe("api", 16*mb)
	first, second := hold(b, "api"), hold(b, "api")
	require.NoError(t, first.Take(context.Background(), 4*mb))
	first.Complete()
	require.NoError(t, second.Take(context.Background(), 2*mb))
	waiting := second.take(3 * mb)
	assertWaits(t, waiting)
	for range looks {
		assert.False(t, second.Look(false))
	}
	assert.Empty(t, second.ended)
}

// usedAt notes how many bytes are held at each write.
type usedAt struct {
	b    *memory.Budget
	seen []int64
}

// Write implements io.Writer.
func (u *usedAt) Write(b []byte) (int, error) {
	u.seen = append(u.seen, u.b.Used(memory.KindResponse))
	return len(b), nil
}

func TestWrittenPiecesAreHeld(t *testing.T) {
	for _, length := range []int64{-1, mb} {
		b := memory.New(timer.Real(), 32*mb, nil)
		h := b.Hold(memory.Options{Kind: memory.KindResponse})
		body, err := h.ReadBody(context.Background(), bytes.NewReader(make([]byte, mb)), length, mb)
		require.NoError(t, err)
		u := &usedAt{b: b}
		_, err = body.WriteTo(u)
		require.NoError(t, err)
		require.NotEmpty(t, u.seen)
		for i := range u.seen[1:] {
			assert.Less(t, u.seen[i+1], u.seen[i])
		}
		assert.Zero(t, b.Used(memory.KindResponse))
	}
}

func TestLargeRequestIsEndedAsExcessive(t *testing.T) {
	b := memory.New(timer.Real(), 16*mb, nil)
	first := &holder{Hold: b.Hold(memory.Options{Kind: memory.KindRequest}), ended: make(chan error, 1)}
	first.Follow(func(err error) { first.ended <- err })
	require.NoError(t, first.Take(context.Background(), 4*mb))
	second := &holder{Hold: b.Hold(memory.Options{Kind: memory.KindRequest})}
	assertWaits(t, second.take(4*mb))
	assert.Empty(t, first.ended)
}
