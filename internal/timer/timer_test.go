package timer

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

// waiting waits until a manual clock has so many waiters.
func waiting(t *testing.T, m *Manual, count int) {
	t.Helper()
	require.Eventually(t, func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return len(m.waiting) == count
	}, 30*time.Second, time.Millisecond)
}

func TestManual(t *testing.T) {
	t.Run("fires what is due, and only that", func(t *testing.T) {
		m := NewManual(start)
		a, _ := m.Service().After(time.Second)
		b, _ := m.Service().After(3 * time.Second)
		m.Advance(2 * time.Second)
		assert.Equal(t, start.Add(2*time.Second), <-a)
		assert.Empty(t, b)
	})
	t.Run("what is given up doesn't fire", func(t *testing.T) {
		m := NewManual(start)
		a, stop := m.Service().After(time.Second)
		stop()
		m.Advance(time.Minute)
		assert.Empty(t, a)
	})
	t.Run("no wait is over at once", func(t *testing.T) {
		a, _ := NewManual(start).Service().After(0)
		assert.Equal(t, start, <-a)
	})
}

func TestSleep(t *testing.T) {
	m := NewManual(start)
	ctx, cancel := context.WithCancel(context.Background())
	end := make(chan error, 2)
	go func() { end <- m.Service().Sleep(ctx, time.Second) }()
	waiting(t, m, 1)
	m.Advance(time.Second)
	assert.NoError(t, <-end)
	go func() { end <- m.Service().Sleep(ctx, time.Second) }()
	waiting(t, m, 1)
	cancel()
	assert.ErrorIs(t, <-end, context.Canceled)
	waiting(t, m, 0)
}

// TestEveryNeverStacksCalls: a call that takes longer than the pause delays the next one.
func TestEveryNeverStacksCalls(t *testing.T) {
	m := NewManual(start)
	ctx, cancel := context.WithCancel(context.Background())
	calls, let := make(chan time.Time), make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.Service().Every(ctx, time.Second, func(now time.Time) { calls <- now; <-let })
	}()
	waiting(t, m, 1)
	m.Advance(time.Second)
	assert.Equal(t, start.Add(time.Second), <-calls)
	m.Advance(5 * time.Second) // while the call lasts
	let <- struct{}{}
	waiting(t, m, 1)
	assert.Empty(t, calls)
	m.Advance(time.Second)
	assert.Equal(t, start.Add(7*time.Second), <-calls)
	cancel()
	let <- struct{}{}
	<-done
}

func TestWatchdog(t *testing.T) {
	m := NewManual(start)
	barked := make(chan struct{}, 1)
	w := m.Service().Watchdog(context.Background(), time.Second, func() { barked <- struct{}{} })
	waiting(t, m, 1)
	m.Advance(900 * time.Millisecond)
	w.Feed()
	require.Eventually(t, func() bool { // fed: it waits for a full second again
		m.mu.Lock()
		defer m.mu.Unlock()
		return len(m.waiting) == 1 && m.waiting[0].at.Equal(start.Add(1900*time.Millisecond))
	}, 30*time.Second, time.Millisecond)
	m.Advance(900 * time.Millisecond)
	assert.Empty(t, barked)
	m.Advance(100 * time.Millisecond)
	<-barked
	w.Stop()
}

// ExampleManual shows how a test owns the time.
func ExampleManual() {
	m := NewManual(time.Unix(0, 0).UTC())
	c, stop := m.Service().After(time.Minute)
	defer stop()
	m.Advance(time.Minute)
	fmt.Println((<-c).Format(time.TimeOnly))
	// Output: 00:01:00
}

func TestWhile(t *testing.T) {
	ended, checks := 0, 0
	task := func(ctx context.Context) { <-ctx.Done() }
	Real().While(t.Context(), time.Millisecond, func() bool { checks++; return checks < 3 }, task, func(ctx context.Context) {
		task(ctx)
		ended++
	})
	assert.Equal(t, 3, checks)
	assert.Equal(t, 1, ended, "it has returned once its tasks have ended")
}
