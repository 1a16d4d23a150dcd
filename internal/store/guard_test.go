package store

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"spurhall.example/spurhall/internal/timer"
)

// stubKV returns a service whose calls return the given error, and whose watches wait for their context.
func stubKV(err *error) KV {
	return KV{
		Range:     func(context.Context, string, string) (RangeResult, error) { return RangeResult{}, *err },
		KeepAlive: func(context.Context, int64) (time.Duration, error) { return 0, *err },
		Watch: func(ctx context.Context, _ Span, _ func(WatchBatch) error) error {
			<-ctx.Done()
			return ctx.Err()
		},
	}
}

func newGuard(clock *timer.Service) *Guard {
	return NewGuard(clock, GuardOptions{Reads: 1000, Writes: 1000})
}

// startWatch starts a watch and returns a channel for its error.
func startWatch(ctx context.Context, kv KV) <-chan error {
	end := make(chan error, 1)
	go func() { end <- kv.Watch(ctx, Span{Key: "k", From: 1}, func(WatchBatch) error { return nil }) }()
	return end
}

func TestGuardDoubtsWatches(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
		ends bool
	}{
		{"a call without a response", ErrUnknown, true},
		{"a call that is rejected", ErrUnavailable, true},
		{"a call over the store's rate", ErrBudget, false},
		{"an expired lease", ErrLeaseGone, false},
		{"a call that the store doesn't take", ErrNotTaken, false},
		{"a response", nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			err, started := c.err, make(chan struct{})
			plain := stubKV(&err)
			waits := plain.Watch
			plain.Watch = func(ctx context.Context, s Span, f func(WatchBatch) error) error {
				close(started)
				return waits(ctx, s, f)
			}
			kv := newGuard(timer.Real()).Wrap(plain)
			ctx, cancel := context.WithCancel(context.Background())
			end := startWatch(ctx, kv)
			<-started
			ended := func() bool {
				_, _ = kv.KeepAlive(ctx, 1)
				return len(end) > 0
			}
			if c.ends {
				require.Eventually(t, ended, 30*time.Second, time.Millisecond)
				assert.ErrorIs(t, <-end, ErrWatchUntrusted)
			} else {
				for i := 0; i < 20; i++ {
					assert.False(t, ended())
				}
			}
			cancel()
			if !c.ends {
				assert.ErrorIs(t, <-end, context.Canceled)
			}
		})
	}
}

// TestGuardDoubtsTheOtherWatches: a store that loses its history may never respond to the waiting
// watches, so the first watch that fails must end the others.
func TestGuardDoubtsTheOtherWatches(t *testing.T) {
	kv := stubKV(new(error))
	waits, started := kv.Watch, make(chan struct{})
	fail := make(chan struct{})
	kv.Watch = func(ctx context.Context, s Span, f func(WatchBatch) error) error {
		if s.Key != "short" {
			close(started)
			return waits(ctx, s, f)
		}
		<-fail
		return ErrUnavailable
	}
	kv = newGuard(timer.Real()).Wrap(kv)
	end := startWatch(context.Background(), kv)
	<-started
	go func() { _ = kv.Watch(context.Background(), Span{Key: "short"}, func(WatchBatch) error { return nil }) }()
	require.Never(t, func() bool { return len(end) > 0 }, 50*time.Millisecond, 5*time.Millisecond)
	close(fail)
	assert.ErrorIs(t, <-end, ErrWatchUntrusted)
}

// TestWatcherThatHasSeenEnough: an error of a watch's callback doesn't count as a failure of the
// store.
func TestWatcherThatHasSeenEnough(t *testing.T) {
	kv := stubKV(new(error))
	waits, started := kv.Watch, make(chan struct{})
	kv.Watch = func(ctx context.Context, s Span, f func(WatchBatch) error) error {
		if s.Key != "short" {
			close(started)
			return waits(ctx, s, f)
		}
		return f(WatchBatch{})
	}
	g := newGuard(timer.Real())
	kv = g.Wrap(kv)
	ctx, cancel := context.WithCancel(context.Background())
	end := startWatch(ctx, kv)
	<-started
	enough := errors.New("enough")
	for range 2 * breakerThreshold {
		assert.ErrorIs(t, kv.Watch(ctx, Span{Key: "short"}, func(WatchBatch) error { return enough }), enough)
	}
	assert.True(t, g.Up())
	require.Never(t, func() bool { return len(end) > 0 }, 50*time.Millisecond, 5*time.Millisecond)
	cancel()
	assert.ErrorIs(t, <-end, context.Canceled)
}

func TestBreakerOpensAfterFailures(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	err := error(ErrUnavailable)
	g := newGuard(clock.Service())
	kv := g.Wrap(stubKV(&err))
	read := func() error { _, e := kv.Range(context.Background(), "k", ""); return e }
	for i := 0; i < breakerThreshold; i++ {
		assert.ErrorIs(t, read(), ErrUnavailable)
	}
	err = nil
	t.Run("no calls while the breaker is open", func(t *testing.T) { assert.ErrorIs(t, read(), ErrUnavailable) })
	t.Run("one response closes it", func(t *testing.T) {
		clock.Advance(backoffLimit)
		assert.NoError(t, read())
		assert.True(t, g.Up())
	})
	t.Run("a cancelled call is no failure", func(t *testing.T) {
		err = errors.Join(context.Canceled)
		for i := 0; i < 2*breakerThreshold; i++ {
			assert.ErrorIs(t, read(), context.Canceled)
		}
		assert.True(t, g.Up())
	})
}

func TestGuardLimitsRates(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	err := error(nil)
	kv := NewGuard(clock.Service(), GuardOptions{Reads: 1, Writes: 1}).Wrap(stubKV(&err))
	made := 0
	for i := 0; i < 100; i++ {
		if _, e := kv.Range(context.Background(), "k", ""); e == nil {
			made++
		} else {
			assert.ErrorIs(t, e, ErrBudget)
		}
	}
	assert.Less(t, made, 20)
}

func TestContact(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	g := newGuard(clock.Service())
	var err error
	stub := stubKV(&err)
	answers := stub.KeepAlive
	stub.KeepAlive = func(ctx context.Context, lease int64) (time.Duration, error) {
		clock.Advance(time.Second)
		return answers(ctx, lease)
	}
	stub.Watch = func(_ context.Context, _ Span, f func(WatchBatch) error) error { return f(WatchBatch{}) }
	kv := g.Wrap(stub)
	call := func() {
		t.Helper()
		_, got := kv.KeepAlive(t.Context(), 1)
		assert.Equal(t, err, got)
	}
	assert.Zero(t, g.Contact())
	sent := clock.Service().Now()
	call()
	assert.Equal(t, sent, g.Contact(), "when it was made, not when the response arrived")
	err = ErrUnknown
	call()
	assert.Equal(t, sent, g.Contact(), "no response")
	require.NoError(t, kv.Watch(t.Context(), Span{Key: "k", From: 1}, func(WatchBatch) error { return nil }))
	assert.Equal(t, clock.Service().Now(), g.Contact(), "a watch's response")
}
