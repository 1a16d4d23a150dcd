package memory_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"spurhall.example/spurhall/internal/memory"
	"spurhall.example/spurhall/internal/timer"
)

// This file plays holds that wait beside others that end, leave, or are slow.

func TestWaitingHoldIsNotWokenWhenTheOneBeforeItLeaves(t *testing.T) {
	b := memory.New(timer.Real(), 16*mb, nil)
	b.Observe("api", 8*mb)
	served, first, second := hold(b, "api"), hold(b, "api"), hold(b, "api")
	require.NoError(t, served.Take(context.Background(), 5*mb))
	served.Complete()
	ctx, cancel := context.WithCancelCause(context.Background())
	left := errors.New("the caller has left")
	gone := make(chan error, 1)
	go func() { gone <- first.Take(ctx, 3*mb) }()
	time.Sleep(20 * time.Millisecond)
	c := second.take(mb)
	assertWaits(t, c)
	cancel(left)
	assert.ErrorIs(t, result(t, gone), left)
	assert.NoError(t, result(t, c))
}

func TestResponseIsEndedThoughTheRestOfItFits(t *testing.T) {
	b := memory.New(timer.Real(), 16*mb, nil)
	b.Observe("api", 8*mb)
	old, young, newcomer := hold(b, "api"), hold(b, "api"), hold(b, "api")
	require.NoError(t, old.Take(context.Background(), 3*mb))
	require.NoError(t, young.Take(context.Background(), 3*mb+mb/2))
	waits := newcomer.take(mb)
	assertWaits(t, waits)
	first, second := old.take(mb/4), young.take(mb/4)
	assert.NoError(t, result(t, first))
	assert.NoError(t, result(t, second))
	assert.Empty(t, old.ended)
	assert.Empty(t, young.ended)
	old.Release()
	assert.NoError(t, result(t, waits))
}

func TestCompleteResponseThatWasChosenKeepsGarbageFromBeingEnded(t *testing.T) {
	b := memory.New(timer.Real(), 16*mb, nil)
	chosen := b.Hold(memory.Options{Kind: memory.KindResponse, Service: "api", End: func(error) {}})
	garbage, sound := hold(b, "faulty"), hold(b, "sound")
	require.NoError(t, chosen.Take(context.Background(), 4*mb))
	require.NoError(t, garbage.Take(context.Background(), 2*mb+mb/2))
	c := sound.take(mb)
	assertWaits(t, c) // the one that was chosen hasn't been released
	chosen.Complete() // and was whole by then; its caller reads slowly
	assert.NoError(t, result(t, c))
	assert.ErrorIs(t, result(t, garbage.ended), memory.ErrOversized)
}

// TestHoldWaitsForEver plays concurrent holds that take, complete, leave and are ended: each comes to its end, and nothing is left.
func TestHoldWaitsForEver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(mb, 4*mb).Draw(t, "limit")
		b := memory.New(timer.Real(), 2*limit, nil)
		var w sync.WaitGroup
		for i := range rapid.IntRange(2, 24).Draw(t, "holds") {
			seed := rapid.Uint64().Draw(t, "seed")
			service := []string{"a", "b", "c"}[i%3]
			w.Go(func() { playHold(b, service, limit, rand.New(rand.NewPCG(seed, 0))) })
		}
		done := make(chan struct{})
		go func() { w.Wait(); close(done) }()
		for over := false; !over; {
			select {
			case <-done:
				over = true
			case <-time.After(10 * time.Second):
				t.Fatal("a hold waits")
			case <-time.After(time.Millisecond):
				if used := b.Used(memory.KindResponse); used > limit || used < 0 {
					t.Fatalf("%d bytes are held of %d", used, limit)
				}
			}
		}
		if used := b.Used(memory.KindResponse); used != 0 {
			t.Fatalf("%d bytes are left", used)
		}
	})
}

// playHold plays a response that takes pieces until it is whole, ended, or left by its caller.
func playHold(b *memory.Budget, service string, limit int64, r *rand.Rand) {
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	h := b.Hold(memory.Options{Kind: memory.KindResponse, Service: service, Upstream: service, End: cancel})
	defer h.Release()
	if r.IntN(4) == 0 {
		leave := time.AfterFunc(time.Duration(r.IntN(3000))*time.Microsecond, func() { cancel(errors.New("left")) })
		defer leave.Stop()
	}
	var size int64
	for range r.IntN(12) {
		n := 1 + r.Int64N(limit/4)
		if h.Take(ctx, n) != nil {
			return
		}
		if size += n; r.IntN(8) == 0 {
			h.Return()
			size = 0
		}
		time.Sleep(time.Duration(r.IntN(200)) * time.Microsecond)
	}
	h.Complete()
	b.Observe(service, size)
}

// TestRequestsWaitAndNobodyIsTold guards against bodies that hold the memory and never come to their end while others wait.
func TestRequestsWaitAndNobodyIsTold(t *testing.T) {
	b := memory.New(timer.Real(), 16*mb, nil)
	slow := b.Hold(memory.Options{Kind: memory.KindRequest})
	require.NoError(t, slow.Take(context.Background(), 7*mb))
	b.OnShort(slow.Release)
	other := b.Hold(memory.Options{Kind: memory.KindRequest, MaxWait: 10 * time.Second})
	assert.NoError(t, other.Take(context.Background(), 2*mb))
	t.Run("responses make room among themselves", func(t *testing.T) {
		b := memory.New(timer.Real(), 16*mb, nil)
		b.OnShort(func() { t.Error("told") })
		require.NoError(t, hold(b, "api").Take(context.Background(), 7*mb))
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_ = hold(b, "api").Take(ctx, 2*mb) // one of them is ended, or waits
	})
}
