package edge

import (
	"context"
	"errors"
	"os"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"spurhall.example/spurhall/internal/logging"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/wire"
)

func assertInStep(t *testing.T, want bool, n *Node) {
	t.Helper()
	assert.Equal(t, want, n.sight().InStep)
}

// hearFrom lets a node hear from so many of its peers.
func (n *Node) hearFrom(peers int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for p := range n.peers.All() {
		if peers--; peers >= 0 {
			p.LastSeen = n.clock.Now()
		}
	}
}

func TestInStep(t *testing.T) {
	t.Run("a node that follows", func(t *testing.T) {
		n, clock := newAgingNode(t)
		clock.Advance(pool.MaxVersionLag)
		assertInStep(t, true, n)
		clock.Advance(time.Millisecond)
		assertInStep(t, false, n)
		hear(t, n, &wire.FollowResponse{Watching: true})
		v := n.sight()
		assert.True(t, v.InStep)
		assert.False(t, v.Steady, "what it has just heard of may be old")
		assert.False(t, v.Whole, "it may have missed versions that came and went")
	})
	t.Run("a watcher that missed a while, or isn't in step", func(t *testing.T) {
		n, clock := newAgingNode(t)
		assert.True(t, n.sight().Whole)
		clock.Advance(pool.MaxVersionLag)
		hear(t, n, &wire.FollowResponse{Watching: true, MissedAgoMs: 60_000})
		v := n.sight()
		assert.True(t, v.InStep)
		assert.False(t, v.Whole, "it has missed what its watcher has")
		clock.Advance(pool.MaxVersionLag)
		hear(t, n, &wire.FollowResponse{Watching: true, OutOfStep: true})
		clock.Advance(pool.MaxVersionLag)
		assertInStep(t, false, n)
	})
	t.Run("a watch that was behind", func(t *testing.T) {
		n, clock := newAgingNode(t)
		n.recordListChange("w", n.pools.Revision()+1)
		clock.Advance(time.Second)
		n.recordListChange("w", n.pools.Revision()+1)
		clock.Advance(pool.MaxVersionLag)
		hear(t, n, &wire.FollowResponse{Watching: true})
		assert.False(t, n.sight().Whole)
	})
	t.Run("a watch that hangs", func(t *testing.T) {
		n, clock := newAgingNode(t)
		n.listFollower.MarkConnected()
		var err error
		kv := n.guard.Wrap(store.KV{KeepAlive: func(context.Context, int64) (time.Duration, error) { return 0, err }})
		for range 5 {
			clock.Advance(2 * time.Second)
			_, got := kv.KeepAlive(t.Context(), 1)
			require.NoError(t, got)
			assertInStep(t, true, n)
		}
		err = errors.New("no answer")
		clock.Advance(2 * time.Second)
		_, _ = kv.KeepAlive(t.Context(), 1)
		assertInStep(t, true, n)
		clock.Advance(time.Second)
		assertInStep(t, false, n)
		assertCurrent(t, true, n)
	})
	t.Run("the store is away", func(t *testing.T) {
		n, clock := newAgingNode(t)
		n.listFollower.MarkLost(errors.New("no answer"))
		size := n.peers.Size() - 1
		for range 10 {
			clock.Advance(time.Second)
			n.hearFrom(size)
			assertInStep(t, true, n)
		}
		t.Run("and half of the nodes are", func(t *testing.T) {
			clock.Advance(5 * time.Second)
			n.hearFrom((size+1)/2 - 1)
			assertInStep(t, false, n)
		})
		t.Run("and another node has a later list", func(t *testing.T) {
			clock.Advance(5 * time.Second)
			n.hearFrom(size)
			n.recordListChange("w", n.pools.Revision()+1)
			assertInStep(t, false, n)
		})
	})
}

// TestVersionsHeardEndTheProcess guards against a field of a log line which the log's encoder can't write.
func TestVersionsHeardEndTheProcess(t *testing.T) {
	n, _ := newAgingNode(t)
	log, err := logging.NewBounded("info", "n", logging.NewRing(os.Stderr))
	require.NoError(t, err)
	n.log = log
	assert.NotPanics(t, func() {
		n.hearVersions("w", pool.ServiceVersions{Service: "s", Versions: []pool.LateVersion{{Version: "v9", GoneAgo: time.Second}}})
	})
	known, _ := n.pools.StreamVersions("s")
	assert.Contains(t, known, "v9")
}

// TestProcessThatHasJustStartedSaysThatItKnowsAllVersions guards against an answer that leaves out what served before the process
// started, and closes the gap of the node that asks.
func TestProcessThatHasJustStartedSaysThatItKnowsAllVersions(t *testing.T) {
	n, _ := newAgingNode(t)
	n.settings.FirstStart = true
	n.streams = n.newStreamKeeper()
	ask := func() (*connect.Response[wire.LateVersionsResponse], error) {
		return (&edgeService{n: n}).LateVersions(t.Context(), connect.NewRequest(&wire.LateVersionsRequest{}))
	}
	_, err := ask()
	assert.Equal(t, connect.CodeUnavailable, connect.CodeOf(err))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go n.streams.RunSaved(ctx)
	assert.Eventually(t, func() bool {
		a, err := ask()
		return err == nil && a.Msg.Whole
	}, 10*time.Second, time.Millisecond)
}
