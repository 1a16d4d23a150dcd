package lag

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"spurhall.example/spurhall/internal/timer"
)

func TestMonitor(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	core, logs := observer.New(zap.InfoLevel)
	m := New(clock.Service(), zap.New(core))
	t.Run("before it runs", func(t *testing.T) { assert.Zero(t, m.Late()) })
	t.Run("in time", func(t *testing.T) {
		m.await()
		clock.Advance(tick)
		m.wake()
		assert.Zero(t, m.Late())
	})
	t.Run("overdue", func(t *testing.T) {
		m.await()
		clock.Advance(tick + 700*time.Millisecond)
		assert.Equal(t, 700*time.Millisecond, m.Late(), "a wake-up that hasn't come counts")
		m.wake()
		assert.Equal(t, 700*time.Millisecond, m.Late())
		assert.Equal(t, 1, logs.FilterMessage("running_late").Len())
	})
	t.Run("remembered for a while", func(t *testing.T) {
		m.await()
		clock.Advance(tick)
		m.wake()
		assert.Equal(t, 700*time.Millisecond, m.Late())
		clock.Advance(memory)
		m.await()
		assert.Zero(t, m.Late())
	})
}

func TestMonitorRuns(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	m := New(clock.Service(), zap.NewNop())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.Run(ctx)
	}()
	assert.Eventually(t, func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return !m.due.IsZero()
	}, 10*time.Second, time.Millisecond)
	cancel()
	<-done
}
