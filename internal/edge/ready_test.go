package edge

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/accept"
	"spurhall.example/spurhall/internal/catalog"
	"spurhall.example/spurhall/internal/timer"
)

// failingListener is a listener in a process without free descriptors.
type failingListener struct{ net.Listener }

// Accept fails.
func (failingListener) Accept() (net.Conn, error) {
	return nil, errors.New("accept: too many open files")
}

// TestNotReadyWhileAcceptFails: the balancer checks a separate listener, and would continue to send callers to
// a node that can't accept their connections.
func TestNotReadyWhileAcceptFails(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	clock := timer.NewManual(time.Unix(1000, 0))
	n := &Node{settings: &Settings{}, clock: clock.Service(), log: zap.NewNop()}
	c, err := catalog.New(catalog.Spec{Version: 1})
	require.NoError(t, err)
	n.catalog.Store(&activeCatalog{catalog: c})
	n.listed.Store(true)
	assert.True(t, n.isReady())
	w := n.monitorFront(failingListener{l})
	assert.True(t, n.isReady())
	_, err = w.Accept()
	assert.Error(t, err)
	assert.False(t, n.isReady())
	clock.Advance(accept.FailureHold)
	assert.True(t, n.isReady(), "no connection has failed recently, so the node is ready again")
	_, _ = w.Accept()
	assert.False(t, n.isReady())
	t.Run("a closed listener", func(t *testing.T) {
		w := n.monitorFront(l)
		assert.True(t, n.isReady())
		require.NoError(t, l.Close())
		_, _ = w.Accept()
		clock.Advance(time.Hour)
		assert.False(t, n.isReady())
	})
}

// TestListenLeavesNothingOpen: a daemon whose second listener fails may be started again at once.
func TestListenLeavesNothingOpen(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = taken.Close() }()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	front := free.Addr().String()
	require.NoError(t, free.Close())
	_, err = Listen(&Settings{Front: front, Readiness: taken.Addr().String(), Peers: "127.0.0.1:0"}, "", 0)
	require.Error(t, err)
	again, err := net.Listen("tcp", front)
	require.NoError(t, err, "the callers' listener must be closed")
	require.NoError(t, again.Close())
}
