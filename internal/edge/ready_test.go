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

// exhausted is a listener of a process that is out of descriptors.
type exhausted struct{ net.Listener }

// Accept fails.
func (exhausted) Accept() (net.Conn, error) {
	return nil, errors.New("accept: too many open files")
}

// TestNodeThatTakesNoConnectionIsNotReady: the balancer asks another listener, and would go on
// sending callers.
func TestNodeThatTakesNoConnectionIsNotReady(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	clock := timer.NewManual(time.Unix(1000, 0))
	n := &Node{s: &Settings{}, clock: clock.Service(), log: zap.NewNop()}
	c, err := catalog.New(catalog.Spec{Version: 1})
	require.NoError(t, err)
	n.catalog.Store(&held{catalog: c})
	n.listed.Store(true)
	assert.True(t, n.ready())
	w := n.watchFront(exhausted{l})
	assert.True(t, n.ready())
	_, err = w.Accept()
	assert.Error(t, err)
	assert.False(t, n.ready())
	clock.Advance(accept.FailureHold)
	assert.True(t, n.ready(), "nobody has called since, so it is tried again")
	_, _ = w.Accept()
	assert.False(t, n.ready())
	t.Run("nor one whose listener is closed", func(t *testing.T) {
		w := n.watchFront(l)
		assert.True(t, n.ready())
		require.NoError(t, l.Close())
		_, _ = w.Accept()
		clock.Advance(time.Hour)
		assert.False(t, n.ready())
	})
}
