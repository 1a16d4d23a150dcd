package memory_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"spurhall.example/spurhall/internal/memory"
	"spurhall.example/spurhall/internal/timer"
)

const mb = 1 << 20

func ExampleBudget() {
	b := memory.New(timer.Real(), 2*mb, nil)
	h := b.Hold(memory.Options{Kind: memory.KindResponse, Service: "api", Upstream: "u1"})
	err := h.Take(context.Background(), 1000)
	fmt.Println(err, b.Used(memory.KindResponse))
	h.Release()
	fmt.Println(b.Used(memory.KindResponse))
	// Output:
	// <nil> 1000
	// 0
}

// holder is a response that takes bytes, and gives them back when it is ended.
type holder struct {
	*memory.Hold
	ended chan error
}

func hold(b *memory.Budget, service string) *holder {
	h := &holder{ended: make(chan error, 1)}
	h.Hold = b.Hold(memory.Options{Kind: memory.KindResponse, Service: service, Upstream: service + "-1", End: func(err error) { h.ended <- err; h.Release() }})
	return h
}

// take takes bytes in the background.
func (h *holder) take(n int64) <-chan error {
	c := make(chan error, 1)
	go func() { c <- h.Take(context.Background(), n) }()
	return c
}

func assertWaits(t *testing.T, c <-chan error) {
	t.Helper()
	select {
	case err := <-c:
		assert.Fail(t, "it doesn't wait", "%v", err)
	case <-time.After(20 * time.Millisecond):
	}
}

func result(t *testing.T, c <-chan error) error {
	t.Helper()
	select {
	case err := <-c:
		return err
	case <-time.After(10 * time.Second):
		require.Fail(t, "it waits")
		return nil
	}
}

func TestSoundResponsesWaitForGarbage(t *testing.T) {
	b := memory.New(timer.Real(), 16*mb, nil)
	garbage, sound := hold(b, "faulty"), hold(b, "api")
	require.NoError(t, garbage.Take(context.Background(), 6*mb))
	require.NoError(t, result(t, sound.take(4*mb)))
	assert.ErrorIs(t, result(t, garbage.ended), memory.ErrOversized)
}

func TestUsualResponseIsEndedForAnother(t *testing.T) {
	b := memory.New(timer.Real(), 16*mb, nil)
	b.Observe("api", 4*mb)
	first, second := hold(b, "api"), hold(b, "api")
	require.NoError(t, first.Take(context.Background(), 4*mb))
	first.Complete()
	c := second.take(4 * mb)
	assertWaits(t, c)
	assert.Empty(t, first.ended)
	first.Release()
	assert.NoError(t, result(t, c))
}

func TestLargeResponseIsEndedThoughThereIsRoom(t *testing.T) {
	b := memory.New(timer.Real(), 40*mb, nil)
	one, other := hold(b, "api"), hold(b, "api")
	require.NoError(t, one.Take(context.Background(), 15*mb))
	require.NoError(t, other.Take(context.Background(), mb))
	assert.Empty(t, one.ended)
}

func TestSmallResponsesWaitForLargeOnes(t *testing.T) {
	b := memory.New(timer.Real(), 16*mb, nil)
	b.Observe("api", 16*mb)
	large, next, small := hold(b, "api"), hold(b, "api"), hold(b, "api")
	require.NoError(t, large.Take(context.Background(), 7*mb))
	large.Complete()
	assertWaits(t, next.take(mb))
	assert.NoError(t, result(t, small.take(10_000)))
}

func TestResponsesThatWaitForEachOtherWaitForEver(t *testing.T) {
	b := memory.New(timer.Real(), 16*mb, nil)
	b.Observe("api", 8*mb)
	old, young := hold(b, "api"), hold(b, "api")
	require.NoError(t, old.Take(context.Background(), 4*mb))
	require.NoError(t, young.Take(context.Background(), 3*mb))
	first := old.take(3 * mb)
	assertWaits(t, first)
	assert.ErrorIs(t, result(t, young.take(3*mb)), memory.ErrFull)
	young.Release()
	assert.NoError(t, result(t, first))
}

func TestRequestWaitsWithoutABound(t *testing.T) {
	m := timer.NewManual(time.Unix(1000, 0))
	b := memory.New(m.Service(), 2*mb, nil)
	served := b.Hold(memory.Options{Kind: memory.KindRequest})
	require.NoError(t, served.Take(context.Background(), mb))
	served.Complete()
	late := &holder{Hold: b.Hold(memory.Options{Kind: memory.KindRequest, MaxWait: time.Second})}
	c := late.take(mb / 2)
	assertWaits(t, c)
	m.Advance(time.Second)
	assert.ErrorIs(t, result(t, c), memory.ErrFull)
}

func TestEndOfTheContextLeavesBytesTaken(t *testing.T) {
	b := memory.New(timer.Real(), 2*mb, nil)
	s := b.Scope()
	first, second := s.Hold(memory.Options{Kind: memory.KindResponse}), s.Hold(memory.Options{Kind: memory.KindResponse})
	require.NoError(t, first.Take(context.Background(), mb/2))
	first.Complete()
	gone := errors.New("the caller has left")
	ctx, cancel := context.WithCancelCause(context.Background())
	cancel(gone)
	assert.ErrorIs(t, second.Take(ctx, mb/2), gone)
	s.Release()
	assert.Zero(t, b.Used(memory.KindResponse))
}

// TestHoldsNeverExceedTheirBudget plays drawn holds that take, return and release bytes.
func TestHoldsNeverExceedTheirBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(mb, 8*mb).Draw(t, "limit")
		b := memory.New(timer.Real(), 2*limit, nil)
		var holds []*holder
		ctx, cancel := context.WithCancel(context.Background())
		cancel() // nothing waits
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch i := rapid.IntRange(0, 9).Draw(t, "step"); {
			case i < 3 || len(holds) == 0:
				holds = append(holds, hold(b, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service")))
			case i < 8:
				_ = rapid.SampledFrom(holds).Draw(t, "hold").Take(ctx, rapid.Int64Range(1, limit).Draw(t, "bytes"))
			case i < 9:
				rapid.SampledFrom(holds).Draw(t, "hold").Return()
			default:
				rapid.SampledFrom(holds).Draw(t, "hold").Release()
			}
			assert.LessOrEqual(t, b.Used(memory.KindResponse), limit)
		}
		for _, h := range holds {
			h.Release()
		}
		assert.Zero(t, b.Used(memory.KindResponse))
	})
}

// TestAnnouncedResponsesEndEachOther guards against responses that all begin, and of which one after the other is ended so that
// any gets its rest.
func TestAnnouncedResponsesEndEachOther(t *testing.T) {
	const (
		responses = 24
		size      = 4 * mb
	)
	b := memory.New(timer.Real(), 32*mb, nil)
	b.Observe("api", size)
	results := make(chan error, responses)
	for range responses {
		h := hold(b, "api")
		go func() {
			_, err := h.ReadBody(context.Background(), slowReader{bytes.NewReader(make([]byte, size))}, size, size)
			h.Release()
			results <- err
		}()
	}
	for range responses {
		assert.NoError(t, result(t, results))
	}
	assert.Zero(t, b.Used(memory.KindResponse))
}

// slowReader is a reader that others overtake.
type slowReader struct{ r io.Reader }

// Read implements io.Reader.
func (s slowReader) Read(b []byte) (int, error) {
	time.Sleep(time.Millisecond)
	return s.r.Read(b)
}
