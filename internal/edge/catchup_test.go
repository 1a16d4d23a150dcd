package edge

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"spurhall.example/spurhall/internal/pair"
	"spurhall.example/spurhall/internal/wire"
	"spurhall.example/spurhall/internal/wire/wireconnect"
)

// catchUpsAtOnce is how many peers are asked at the same time.
const catchUpsAtOnce = 2

// aheadService is a peer that is ahead of the node under test, and doesn't answer until it is told to.
type aheadService struct {
	wireconnect.UnimplementedEdgeHandler
	asked  atomic.Int32
	answer chan struct{}
}

func (s *aheadService) CatchUp(ctx context.Context, _ *connect.Request[wire.CatchUpRequest]) (*connect.Response[wire.CatchUpResponse], error) {
	s.asked.Add(1)
	select {
	case <-s.answer:
	case <-ctx.Done():
	}
	return connect.NewResponse(&wire.CatchUpResponse{}), nil
}

// hearNewer lets a node receive reports of a dozen peers whose configuration is newer.
func hearNewer(t *testing.T, n *Node, address string, sequence uint64) {
	for i := range 12 {
		require.True(t, n.applyReport(t.Context(), &wire.NodeReport{
			Node: fmt.Sprint("ahead-", i), Lifetime: "1", Sequence: sequence, Address: address, CatalogVersion: 2, StoreUp: true, Hall: "a",
		}))
	}
}

// TestCatchUpsAreBounded checks that a node asks two of its peers at a time for a configuration that it lacks.
func TestCatchUpsAreBounded(t *testing.T) {
	s := &aheadService{answer: make(chan struct{})}
	_, h := wireconnect.NewEdgeHandler(s)
	w := httptest.NewServer(h)
	defer w.Close()
	address := w.Listener.Addr().String()
	asked := func(k int32) func() bool { return func() bool { return s.asked.Load() == k } }
	n, clock := newScaleNode(t, 2, 1)
	t.Run("not at once: it is on its way", func(t *testing.T) {
		hearNewer(t, n, address, 1)
		assert.Never(t, func() bool { return s.asked.Load() > 0 }, 50*time.Millisecond, 10*time.Millisecond)
	})
	t.Run("then from two peers", func(t *testing.T) {
		clock.Advance(pair.Round)
		hearNewer(t, n, address, 2)
		require.Eventually(t, asked(catchUpsAtOnce), 5*time.Second, time.Millisecond)
		hearNewer(t, n, address, 3)
		assert.Never(t, func() bool { return s.asked.Load() > catchUpsAtOnce }, 50*time.Millisecond, 10*time.Millisecond)
	})
	t.Run("again once these have answered", func(t *testing.T) {
		close(s.answer)
		sequence := uint64(3)
		assert.Eventually(t, func() bool {
			sequence++
			hearNewer(t, n, address, sequence)
			return s.asked.Load() > catchUpsAtOnce
		}, 5*time.Second, 10*time.Millisecond)
	})
	t.Run("at once without any configuration", func(t *testing.T) {
		n, _ := newScaleNode(t, 2, 1)
		n.catalog.Store(nil)
		before := s.asked.Load()
		hearNewer(t, n, address, 1)
		assert.Eventually(t, func() bool { return s.asked.Load() > before }, 5*time.Second, time.Millisecond)
	})
}
