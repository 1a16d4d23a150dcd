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

// holder is a node as far as the orders' record needs one.
func holder(t *testing.T, kv store.KV, clock *timer.Service, name string) *Node {
	t.Helper()
	n := &Node{kv: kv, clock: clock, log: zap.NewNop(), start: clock.Now()}
	n.lease = lease.New(kv, clock, dutyKey, name, 3*time.Second)
	c, err := catalog.New(catalog.Spec{Version: 1, Services: []catalog.ServiceSpec{{Name: "llm", Scaling: &catalog.ScalingSpec{BootTime: 4 * time.Second}}}})
	require.NoError(t, err)
	n.catalog.Store(&held{catalog: c})
	return n
}

// takeOver makes a node the holder and returns its token.
func takeOver(t *testing.T, n *Node) int64 {
	t.Helper()
	require.NoError(t, n.lease.Step(context.Background()))
	token, held := n.lease.Token()
	require.True(t, held)
	return token
}

func TestOrderedIsKnownToTheNextHolder(t *testing.T) {
	ctx := context.Background()
	clock := timer.NewManual(time.Unix(1000, 0))
	s := httptest.NewServer(standin.NewPlatform(clock.Service()).Handler())
	t.Cleanup(s.Close)
	kv := store.NewGateway(s.URL, 5*time.Second, timer.Real()).KV()
	a := holder(t, kv, clock.Service(), "a")
	onDemand, reclaimable := subject{"llm", "hall-a", false}, subject{"llm", "hall-a", true}

	var first, second ordered
	token := takeOver(t, a)
	first.begin(ctx, a, 1)
	first.note(onDemand, 4)
	first.note(reclaimable, 9)
	first.write(ctx, a, token)
	clock.Advance(4 * time.Second) // a's lease is over
	b := holder(t, kv, clock.Service(), "b")
	takeOver(t, b)
	second.begin(ctx, b, 1)

	t.Run("it orders no fewer on demand for a while", func(t *testing.T) {
		assert.Equal(t, 4, second.least(clock.Service().Now(), onDemand))
		assert.Zero(t, second.least(clock.Service().Now(), reclaimable))
		assert.Zero(t, second.least(clock.Service().Now(), subject{"llm", "hall-b", false}))
		assert.Zero(t, second.least(clock.Service().Now().Add(b.orderedKeeps()), onDemand))
	})
	t.Run("one that has run for longer goes by what it measured", func(t *testing.T) {
		var v ordered
		old := holder(t, kv, clock.Service(), "c")
		old.start = old.start.Add(-old.orderedKeeps())
		v.begin(ctx, old, 1)
		assert.Zero(t, v.least(clock.Service().Now(), onDemand))
	})
	t.Run("the holder before writes nothing any more", func(t *testing.T) {
		first.note(onDemand, 1)
		first.write(ctx, a, token)
		var third ordered
		third.begin(ctx, b, 1)
		assert.Equal(t, 4, third.least(clock.Service().Now(), onDemand))
	})
	t.Run("what can't be written is tried again", func(t *testing.T) {
		away := kv
		away.Txn = func(context.Context, store.Txn) (store.TxnResult, error) { return store.TxnResult{}, store.ErrUnknown }
		second.note(onDemand, 6)
		token, _ := b.lease.Token()
		b.kv = away
		second.write(ctx, b, token)
		b.kv = kv
		second.write(ctx, b, token)
		var third ordered
		third.begin(ctx, b, 1)
		assert.Equal(t, 6, third.least(clock.Service().Now(), onDemand))
	})
	t.Run("a store that doesn't answer is no obstacle", func(t *testing.T) {
		away := kv
		away.Range = func(context.Context, string, string) (store.RangeResult, error) {
			return store.RangeResult{}, store.ErrUnavailable
		}
		c := holder(t, away, clock.Service(), "c")
		var v ordered
		v.begin(ctx, c, 1)
		assert.Zero(t, v.least(clock.Service().Now(), onDemand))
	})
}
