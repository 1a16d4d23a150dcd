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

// TestTooManyCallers: a node under ten times its usual traffic must not run out of descriptors. Without
// a limit, accept failed for 3.6 s; callers waited in the listener's queue for seconds, and their
// requests were forwarded after they had left. The log line of such a request stated only 6 ms.
func TestTooManyCallers(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	clock := timer.NewManual(time.Unix(1000, 0))
	w := New(l, clock.Service(), zap.NewNop(), 0)
	w.maxOpen = 2
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
	assert.Error(t, err, "a connection above the limit must be closed at once")
	assert.True(t, w.Failing(clock.Service().Now()), "the listener must report the failure")
	require.NoError(t, first.Close())
	_ = first.Close() // a second close must not count
	call()
	assert.NotNil(t, <-taken)
	assert.Equal(t, 2, w.Open())
	require.NoError(t, l.Close())
	<-taken
	t.Run("limit by descriptors", func(t *testing.T) {
		assert.Zero(t, MaxCallers(0))
		assert.Equal(t, 1665, MaxCallers(4100))
	})
}
