package registration

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/roster"
	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/timer"
)

// newTestPoller returns a poller that ends with its first read, and the reads that it makes.
func newTestPoller(t *testing.T) (p *Poller, ctx context.Context, reads *[]string) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	reads = new([]string)
	read := func(ctx context.Context, kind string) (store.RangeResult, error) {
		if ctx.Err() != nil {
			return store.RangeResult{}, ctx.Err()
		}
		*reads = append(*reads, kind)
		return store.RangeResult{Pairs: []store.Pair{{Key: Prefix + "edge-1", Value: []byte(`{}`)}}}, nil
	}
	known := false
	clock := timer.Real()
	return &Poller{
		Clock: clock, Log: zap.NewNop(), Node: "edge-0", StartedAt: clock.Now(),
		KV: func() store.KV {
			return store.KV{
				Range:      func(ctx context.Context, _, _ string) (store.RangeResult, error) { return read(ctx, "exact") },
				StaleRange: func(ctx context.Context, _ string) (store.RangeResult, error) { return read(ctx, "stale") },
			}
		},
		Known: func() bool { return known }, HoldsSeat: func() bool { return false }, SentAt: func() time.Time { return time.Time{} },
		Apply: func(list []roster.Member) {
			known = true
			assert.Len(t, list, 1)
			cancel()
		},
	}, ctx, reads
}

func TestPoller(t *testing.T) {
	t.Run("reads exactly at first", func(t *testing.T) {
		p, ctx, reads := newTestPoller(t)
		assert.False(t, p.Tried())
		p.Run(ctx)
		assert.Equal(t, []string{"exact"}, *reads)
		assert.True(t, p.Tried())
	})
	t.Run("doesn't read what a watcher has sent", func(t *testing.T) {
		p, _, reads := newTestPoller(t)
		p.Known, p.SentAt = func() bool { return true }, func() time.Time { return p.Clock.Now() }
		p.Sent()
		ctx, cancel := context.WithTimeout(t.Context(), ReadInterval+ReadInterval/4)
		defer cancel()
		p.Run(ctx)
		assert.Empty(t, *reads)
		assert.True(t, p.Tried())
	})
	t.Run("leaves the read to the holders of seats when the whole system starts", func(t *testing.T) {
		p, _, reads := newTestPoller(t)
		p.FirstStart = true
		ctx, cancel := context.WithTimeout(t.Context(), 10*turnPoll)
		defer cancel()
		p.Run(ctx)
		assert.Empty(t, *reads)
	})
	t.Run("reads soon as the holder of a seat", func(t *testing.T) {
		p, ctx, reads := newTestPoller(t)
		p.FirstStart, p.HoldsSeat = true, func() bool { return true }
		p.Run(ctx)
		assert.Equal(t, []string{"exact"}, *reads)
		assert.GreaterOrEqual(t, p.Clock.Since(p.StartedAt), firstStartDelay)
	})
}

func TestAwaitEndsOnceTheRegistryIsTried(t *testing.T) {
	p, _, _ := newTestPoller(t)
	p.Sent()
	p.Await(t.Context())
	assert.Less(t, p.Clock.Since(p.StartedAt), maxWait)
}
