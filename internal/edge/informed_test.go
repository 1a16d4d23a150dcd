package edge

import (
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/relay"
	"spurhall.example/spurhall/internal/wire"
)

// TestRelayTakesAnInformedNodeForANewOne: it would send the node all placements again.
func TestRelayTakesAnInformedNodeForANewOne(t *testing.T) {
	n, clock := newScaleNode(t, 2, 1)
	n.aggregator.ApplyReport(n.clock.Now(), relay.Report{Node: "other", Incarnation: "1", Sequence: 1, Placed: []pool.Placement{{Prefix: 1, Upstream: "u"}}})
	clock.Advance(10 * time.Second)
	ask := func(node, lifetime string) int {
		r := &wire.NodeReport{Node: node, Lifetime: "1", Sequence: 1, Hall: "a", StoreUp: true}
		a, err := (&edgeService{n}).Gather(t.Context(), connect.NewRequest(&wire.GatherRequest{Report: r, Lifetime: lifetime}))
		require.NoError(t, err)
		return len(a.Msg.Placed)
	}
	assert.Equal(t, 1, ask("new", ""))
	assert.Zero(t, ask("moved", "of another relay"))
}
