package handover

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/lease"
	"spurhall.example/spurhall/internal/standin"
	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/timer"
)

const testLease = "lease"

// holder is a process that may hold the lease.
type holder struct {
	*Store
	lease *lease.Lease
}

func newHolder(kv store.KV, clock *timer.Service, name string) *holder {
	return &holder{&Store{KV: kv, Lease: testLease, Log: zap.NewNop()}, lease.New(kv, clock, testLease, name, 3*time.Second)}
}

// acquire takes the lease and returns its token.
func (h *holder) acquire(t *testing.T) int64 {
	t.Helper()
	require.NoError(t, h.lease.Step(context.Background()))
	token, held := h.lease.Token()
	require.True(t, held)
	return token
}

func TestNextHolderRestoresOrderFloor(t *testing.T) {
	ctx := context.Background()
	clock := timer.NewManual(time.Unix(1000, 0))
	s := httptest.NewServer(standin.NewPlatform(clock.Service()).Handler())
	t.Cleanup(s.Close)
	kv := store.NewGateway(s.URL, 5*time.Second, timer.Real()).KV()
	until := clock.Service().Now().Add(FloorPeriod(4 * time.Second))
	a := newHolder(kv, clock.Service(), "a")

	var first, second Floor
	token := a.acquire(t)
	first.Restore(ctx, a.Store, 1, until)
	first.SetCount("llm", "hall-a", 4)
	first.Write(ctx, a.Store, token)
	clock.Advance(4 * time.Second) // a's lease has expired
	b := newHolder(kv, clock.Service(), "b")
	b.acquire(t)
	until = clock.Service().Now().Add(FloorPeriod(4 * time.Second))
	second.Restore(ctx, b.Store, 1, until)

	t.Run("a new holder orders no fewer on demand for a while", func(t *testing.T) {
		assert.Equal(t, 4, second.MinCount(clock.Service().Now(), "llm", "hall-a"))
		assert.Zero(t, second.MinCount(clock.Service().Now(), "llm", "hall-b"))
		assert.Zero(t, second.MinCount(until, "llm", "hall-a"))
	})
	t.Run("a process that has run for longer uses its own measurements", func(t *testing.T) {
		var v Floor
		v.Restore(ctx, b.Store, 1, clock.Service().Now())
		assert.Zero(t, v.MinCount(clock.Service().Now(), "llm", "hall-a"))
	})
	t.Run("the previous holder can't write", func(t *testing.T) {
		first.SetCount("llm", "hall-a", 1)
		first.Write(ctx, a.Store, token)
		var third Floor
		third.Restore(ctx, b.Store, 1, until)
		assert.Equal(t, 4, third.MinCount(clock.Service().Now(), "llm", "hall-a"))
	})
	t.Run("a failed write is retried", func(t *testing.T) {
		down := kv
		down.Txn = func(context.Context, store.Txn) (store.TxnResult, error) { return store.TxnResult{}, store.ErrUnknown }
		second.SetCount("llm", "hall-a", 6)
		token, _ := b.lease.Token()
		b.KV = down
		second.Write(ctx, b.Store, token)
		b.KV = kv
		second.Write(ctx, b.Store, token)
		var third Floor
		third.Restore(ctx, b.Store, 1, until)
		assert.Equal(t, 6, third.MinCount(clock.Service().Now(), "llm", "hall-a"))
	})
	t.Run("the floor is 0 if the store is unavailable", func(t *testing.T) {
		down := kv
		down.Range = func(context.Context, string, string) (store.RangeResult, error) {
			return store.RangeResult{}, store.ErrUnavailable
		}
		c := newHolder(down, clock.Service(), "c")
		var v Floor
		v.Restore(ctx, c.Store, 1, until)
		assert.Zero(t, v.MinCount(clock.Service().Now(), "llm", "hall-a"))
	})
}
