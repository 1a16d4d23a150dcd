package edge

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/catalog"
	"spurhall.example/spurhall/internal/lease"
	"spurhall.example/spurhall/internal/standin"
	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/timer"
)

// newHolder returns a node with the parts that records in the store need.
func newHolder(t *testing.T, kv store.KV, clock *timer.Service, name string) *Node {
	t.Helper()
	n := &Node{kv: kv, clock: clock, log: zap.NewNop(), start: clock.Now()}
	n.lease = lease.New(kv, clock, dutyKey, name, 3*time.Second)
	c, err := catalog.New(catalog.Spec{Version: 1, Services: []catalog.ServiceSpec{{Name: "llm", Scaling: &catalog.ScalingSpec{BootTime: 4 * time.Second}}}})
	require.NoError(t, err)
	n.catalog.Store(&activeCatalog{catalog: c})
	return n
}

// acquireLease makes a node the holder and returns its token.
func acquireLease(t *testing.T, n *Node) int64 {
	t.Helper()
	require.NoError(t, n.lease.Step(context.Background()))
	token, held := n.lease.Token()
	require.True(t, held)
	return token
}

func TestNextHolderRestoresOrderFloor(t *testing.T) {
	ctx := context.Background()
	clock := timer.NewManual(time.Unix(1000, 0))
	s := httptest.NewServer(standin.NewPlatform(clock.Service()).Handler())
	t.Cleanup(s.Close)
	kv := store.NewGateway(s.URL, 5*time.Second, timer.Real()).KV()
	a := newHolder(t, kv, clock.Service(), "a")
	onDemand, reclaimable := orderKey{"llm", "hall-a", false}, orderKey{"llm", "hall-a", true}

	var first, second orderFloor
	token := acquireLease(t, a)
	first.restore(ctx, a, 1)
	first.record(onDemand, 4)
	first.record(reclaimable, 9)
	first.write(ctx, a, token)
	clock.Advance(4 * time.Second) // a's lease has expired
	b := newHolder(t, kv, clock.Service(), "b")
	acquireLease(t, b)
	second.restore(ctx, b, 1)

	t.Run("a new holder orders no fewer on demand for a while", func(t *testing.T) {
		assert.Equal(t, 4, second.minCount(clock.Service().Now(), onDemand))
		assert.Zero(t, second.minCount(clock.Service().Now(), reclaimable))
		assert.Zero(t, second.minCount(clock.Service().Now(), orderKey{"llm", "hall-b", false}))
		assert.Zero(t, second.minCount(clock.Service().Now().Add(b.orderFloorPeriod()), onDemand))
	})
	t.Run("a process that has run for longer uses its own measurements", func(t *testing.T) {
		var v orderFloor
		old := newHolder(t, kv, clock.Service(), "c")
		old.start = old.start.Add(-old.orderFloorPeriod())
		v.restore(ctx, old, 1)
		assert.Zero(t, v.minCount(clock.Service().Now(), onDemand))
	})
	t.Run("the previous holder can't write", func(t *testing.T) {
		first.record(onDemand, 1)
		first.write(ctx, a, token)
		var third orderFloor
		third.restore(ctx, b, 1)
		assert.Equal(t, 4, third.minCount(clock.Service().Now(), onDemand))
	})
	t.Run("a failed write is retried", func(t *testing.T) {
		down := kv
		down.Txn = func(context.Context, store.Txn) (store.TxnResult, error) { return store.TxnResult{}, store.ErrUnknown }
		second.record(onDemand, 6)
		token, _ := b.lease.Token()
		b.kv = down
		second.write(ctx, b, token)
		b.kv = kv
		second.write(ctx, b, token)
		var third orderFloor
		third.restore(ctx, b, 1)
		assert.Equal(t, 6, third.minCount(clock.Service().Now(), onDemand))
	})
	t.Run("the floor is 0 if the store is unavailable", func(t *testing.T) {
		down := kv
		down.Range = func(context.Context, string, string) (store.RangeResult, error) {
			return store.RangeResult{}, store.ErrUnavailable
		}
		c := newHolder(t, down, clock.Service(), "c")
		var v orderFloor
		v.restore(ctx, c, 1)
		assert.Zero(t, v.minCount(clock.Service().Now(), onDemand))
	})
}
