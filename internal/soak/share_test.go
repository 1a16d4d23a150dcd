package soak

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"spurhall.example/spurhall/internal/timer"
)

func TestShares(t *testing.T) {
	const cores = 0.2
	p, err := NewProcess(timer.Real(), t.TempDir(), "busy", "sh", nil, "-c", "while :; do :; done")
	require.NoError(t, err)
	require.NoError(t, p.Start())
	t.Cleanup(p.Close)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		shareOut(ctx, timer.Real(), []*share{{p: p, cores: cores}})
	}()
	part := func() float64 {
		first, ok := processorTime(p.pid())
		require.True(t, ok)
		began := time.Now()
		time.Sleep(10 * sharePeriod)
		last, ok := processorTime(p.pid())
		require.True(t, ok)
		return (last - first).Seconds() / time.Since(began).Seconds()
	}
	t.Run("a process that always runs has its part", func(t *testing.T) {
		got := part()
		assert.Less(t, got, 2*cores)
		assert.Positive(t, got)
	})
	t.Run("so has the one that is started after it", func(t *testing.T) {
		p.Kill()
		require.NoError(t, p.Start())
		got := part()
		assert.Less(t, got, 2*cores)
		assert.Positive(t, got)
	})
	t.Run("one that ran on while nobody looked isn't stopped for longer than a period", func(t *testing.T) {
		v := &share{p: p, cores: cores, left: -time.Hour}
		v.begin(sharePeriod)
		v.begin(sharePeriod)
		assert.Positive(t, v.left)
		v.left = -time.Hour
		v.begin(3 * sharePeriod)
		assert.Positive(t, v.left, "and gets its part of a period that lasted longer")
	})
	t.Run("at the end it runs", func(t *testing.T) {
		cancel()
		<-ended
		before, _ := processorTime(p.pid())
		require.Eventually(t, func() bool {
			now, ok := processorTime(p.pid())
			return ok && now-before > time.Duration(cores*float64(sharePeriod))
		}, 10*time.Second, sharePoll)
	})
}
