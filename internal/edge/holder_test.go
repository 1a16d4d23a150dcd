package edge

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/catalog"
	"spurhall.example/spurhall/internal/lease"
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

// TestFloorIsOfOrdersOnDemand: reclaimable upstreams that the previous holder ordered may be gone for good, so
// their counts aren't a lower bound.
func TestFloorIsOfOrdersOnDemand(t *testing.T) {
	ctx, n := t.Context(), newEraNode(t)
	onDemand, reclaimable := orderKey{"llm", "hall-a", false}, orderKey{"llm", "hall-a", true}
	token := acquireLease(t, n.Node)
	first, second := newOrderer(n.Node), newOrderer(n.Node)
	first.floor.Restore(ctx, n.records(), token, n.orderFloorEnd())
	first.setFloor(onDemand, 4)
	first.setFloor(reclaimable, 9)
	first.floor.Write(ctx, n.records(), token)
	second.floor.Restore(ctx, n.records(), token, n.orderFloorEnd())
	now := n.clock.Service().Now()
	assert.Equal(t, 4, second.minCount(now, onDemand))
	assert.Zero(t, second.minCount(now, reclaimable))
	assert.Zero(t, second.minCount(n.orderFloorEnd(), onDemand))
}
