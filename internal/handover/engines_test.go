package handover

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"spurhall.example/spurhall/internal/capacity"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/standin"
	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/timer"
)

// countedPlatform starts a stand-in for the platform, and returns its store with a counter of the transactions.
func countedPlatform(t *testing.T, clock *timer.Manual) (store.KV, *int) {
	t.Helper()
	s := httptest.NewServer(standin.NewPlatform(clock.Service()).Handler())
	t.Cleanup(s.Close)
	kv := store.NewGateway(s.URL, 5*time.Second, timer.Real()).KV()
	calls := 0
	counting := kv
	counting.Txn = func(c context.Context, x store.Txn) (store.TxnResult, error) {
		calls++
		return kv.Txn(c, x)
	}
	return counting, &calls
}

func TestNextHolderRestoresEngines(t *testing.T) {
	ctx := context.Background()
	clock := timer.NewManual(time.Unix(1000, 0))
	counting, calls := countedPlatform(t, clock)
	a := newHolder(counting, clock.Service(), "a")
	token := a.acquire(t)
	p := pool.New(clock.Service(), "a", "hall-a")
	var first Engines
	first.Restore(ctx, a.Store, p.RestoreEngine)
	engine := capacity.Engine{Reading: 90, First: 30, Token: 5, Samples: 400}
	first.Write(ctx, a.Store, token, map[string]capacity.Engine{"llm": engine})

	assert.Positive(t, *calls)
	t.Run("a small change causes no call", func(t *testing.T) {
		*calls = 0
		near := engine
		near.Reading *= 1.2
		first.Write(ctx, a.Store, token, map[string]capacity.Engine{"llm": near})
		assert.Zero(t, *calls)
	})
	t.Run("after the loss of all processes", func(t *testing.T) {
		clock.Advance(4 * time.Second) // a's lease has expired
		b := newHolder(counting, clock.Service(), "b")
		b.acquire(t)
		p := pool.New(clock.Service(), "b", "hall-a")
		assert.False(t, p.Engine("llm").Known())
		var second Engines
		second.Restore(ctx, b.Store, p.RestoreEngine)
		assert.Equal(t, engine.Reading, p.Engine("llm").Reading)
		assert.True(t, p.Engine("llm").Known())
		assert.Contains(t, p.Learned(), "llm", "its reports contain it")
	})
}
