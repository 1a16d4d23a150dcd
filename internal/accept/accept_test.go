package accept

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/timer"
)

// TestCallersThatAreTooMany: under ten times the traffic a node ran out of descriptors. Callers
// waited for seconds in its listener's queue, and what they had sent was sent on when they had
// left. The evidence: accept failed for 3.6 s, the request's own line says that it took 6 ms.
func TestCallersThatAreTooMany(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	clock := timer.NewManual(time.Unix(1000, 0))
	w := &Listener{Listener: l, clock: clock.Service(), log: zap.NewNop(), maxOpen: 2}
	taken := make(chan net.Conn, 8)
	go func() {
		for {
			c, err := w.Accept()
			if err != nil {
				close(taken)
				return
			}
			taken <- c
		}
	}()
	call := func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	call()
	call()
	first := <-taken
	<-taken
	assert.False(t, w.Failing(clock.Service().Now()))
	_, err = call().Read(make([]byte, 1))
	assert.Error(t, err, "it is closed at once")
	assert.True(t, w.Failing(clock.Service().Now()), "and the balancer is told")
	require.NoError(t, first.Close())
	_ = first.Close() // counts once
	call()
	assert.NotNil(t, <-taken)
	assert.Equal(t, int64(2), w.open.Load())
	require.NoError(t, l.Close())
	<-taken
	t.Run("how many", func(t *testing.T) {
		assert.Zero(t, maxCallers(0))
		assert.Equal(t, int64(1665), maxCallers(4100))
	})
}
