package accept

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/timer"
)

// newTaker returns both ends of a connection whose kernels take little of what isn't read.
func newTaker(t *testing.T) (node *callerConn, caller net.Conn) {
	t.Helper()
	in, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = in.Close() })
	l := New(in, timer.Real(), zap.NewNop(), 0)
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}}
	caller, err = d.Dial("tcp", in.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = caller.Close() })
	c, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c.(*callerConn), caller
}

// TestWriteEndsOnceItsCallerTakesNothing guards against responses that wait for ever, and against a bound that cuts slow readers.
func TestWriteEndsOnceItsCallerTakesNothing(t *testing.T) {
	const size = 8 << 20
	t.Run("nothing is taken", func(t *testing.T) {
		c, _ := newTaker(t)
		require.NoError(t, c.SetWriteDeadline(time.Now().Add(100*time.Millisecond)))
		_, err := c.Write(make([]byte, size))
		assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	})
	t.Run("it is taken slowly, long after the deadline", func(t *testing.T) {
		c, caller := newTaker(t)
		require.NoError(t, c.SetWriteDeadline(time.Now().Add(100*time.Millisecond)))
		read := make(chan int64)
		go func() {
			var n int64
			for began := time.Now(); time.Since(began) < 2*patience; time.Sleep(50 * time.Millisecond) {
				k, _ := io.CopyN(io.Discard, caller, 8<<10)
				n += k
			}
			k, _ := io.CopyN(io.Discard, caller, size-n)
			read <- n + k
		}()
		n, err := c.Write(make([]byte, size))
		assert.NoError(t, err)
		assert.Equal(t, size, n)
		assert.EqualValues(t, size, <-read)
	})
}

func TestTaking(t *testing.T) {
	c, caller := newTaker(t)
	v := TakingOf(context.WithValue(t.Context(), connKey{}, c))
	done := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, 8<<20))
		done <- err
	}()
	time.Sleep(100 * time.Millisecond)
	assert.Zero(t, v.Hardly(), "the first look")
	time.Sleep(patience + 50*time.Millisecond)
	assert.GreaterOrEqual(t, v.Hardly(), patience)
	_, err := io.CopyN(io.Discard, caller, 1<<20)
	require.NoError(t, err)
	assert.Zero(t, v.Hardly(), "it takes something")
	v.GiveUp()
	assert.True(t, errors.Is(<-done, net.ErrClosed))
	assert.Nil(t, TakingOf(t.Context()), "of no connection")
}
