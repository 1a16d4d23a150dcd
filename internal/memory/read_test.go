package memory_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"spurhall.example/spurhall/internal/memory"
	"spurhall.example/spurhall/internal/timer"
)

func newHold() *memory.Hold {
	return memory.New(timer.Real(), 32*mb, nil).Hold(memory.Options{Kind: memory.KindResponse})
}

func TestReadBody(t *testing.T) {
	for _, size := range []int{0, 1, 4 << 10, 100_000, 256 << 10, 3 * mb} {
		want := bytes.Repeat([]byte("spurhall"), 1+size/8)[:size]
		for _, length := range []int64{-1, int64(size)} {
			b, err := newHold().ReadBody(context.Background(), iotest.HalfReader(bytes.NewReader(want)), length, 3*mb)
			require.NoError(t, err)
			assert.EqualValues(t, size, b.Len())
			assert.True(t, bytes.Equal(want, b.Bytes()))
			var w bytes.Buffer
			n, err := b.WriteTo(&w)
			assert.NoError(t, err)
			assert.EqualValues(t, size, n)
			assert.True(t, bytes.Equal(want, w.Bytes()))
		}
	}
}

func TestBodyThatBreaksOffLooksWhole(t *testing.T) {
	broken := io.MultiReader(bytes.NewReader(make([]byte, 10_000)), iotest.ErrReader(io.ErrUnexpectedEOF))
	_, err := newHold().ReadBody(context.Background(), broken, -1, mb)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF, "of chunks")
	_, err = newHold().ReadBody(context.Background(), bytes.NewReader(make([]byte, 10_000)), 10_001, mb)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF, "of a length")
	cut := errors.New("reset")
	_, err = newHold().ReadBody(context.Background(), io.MultiReader(bytes.NewReader(make([]byte, 10)), iotest.ErrReader(cut)), 10, mb)
	assert.ErrorIs(t, err, cut, "after its bytes")
}

func TestBodyWithoutEndIsRead(t *testing.T) {
	for _, length := range []int64{-1, mb + 1, 100} {
		_, err := newHold().ReadBody(context.Background(), bytes.NewReader(make([]byte, 4*mb)), length, mb)
		assert.ErrorIs(t, err, memory.ErrTooLong, "announced: %d", length)
	}
}

func TestBodyBeyondItsLimitLooksSound(t *testing.T) {
	for _, limit := range []int64{65536, mb} {
		for _, size := range []int64{limit, limit + 1, limit + 50_000} {
			b, err := newHold().ReadBody(context.Background(), bytes.NewReader(make([]byte, size)), -1, limit)
			if size == limit {
				assert.NoError(t, err)
				assert.Equal(t, size, b.Len())
				continue
			}
			assert.ErrorIs(t, err, memory.ErrTooLong, "%d bytes of %d", size, limit)
		}
	}
}
