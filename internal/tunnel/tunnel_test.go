package tunnel

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"spurhall.example/spurhall/internal/timer"
	"spurhall.example/spurhall/internal/upstream"
)

// far is what listens at the address of a tunnel.
type far struct {
	listener net.Listener
	accepted chan net.Conn
}

func newFar(t *testing.T) *far {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	f := &far{listener: l, accepted: make(chan net.Conn, 4)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			f.accepted <- c
		}
	}()
	return f
}

func (f *far) address() string { return f.listener.Addr().String() }

// newServer serves tunnels to any address of this VM.
func newServer(t *testing.T, h func(w http.ResponseWriter, r *http.Request)) string {
	if h == nil {
		h = func(w http.ResponseWriter, r *http.Request) {
			c, err := net.Dial("tcp", r.Host)
			if err != nil {
				RejectDial(w, err)
				return
			}
			_ = Serve(context.Background(), w, r, c, ServeOptions{Clock: timer.Real(), AckTimeout: time.Second})
		}
	}
	s := httptest.NewServer(http.HandlerFunc(h))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func open(t *testing.T, server, address string) (net.Conn, error) {
	t.Helper()
	c, err := net.Dial("tcp", server)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return Open(context.Background(), c, address)
}

// opened returns both ends of a tunnel.
func opened(t *testing.T) (near, end net.Conn) {
	t.Helper()
	f := newFar(t)
	near, err := open(t, newServer(t, nil), f.address())
	require.NoError(t, err)
	end = <-f.accepted
	t.Cleanup(func() { _ = end.Close() })
	return near, end
}

func assertArrives(t *testing.T, from, to net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(from, text)
	require.NoError(t, err)
	b := make([]byte, len(text))
	_ = to.SetReadDeadline(time.Now().Add(10 * time.Second))
	_, err = io.ReadFull(to, b)
	require.NoError(t, err)
	assert.Equal(t, text, string(b))
}

func TestBytesPassBothWays(t *testing.T) {
	near, end := opened(t)
	assertArrives(t, near, end, "request")
	assertArrives(t, end, near, "response")
}

func TestEndsAreForwardedAsWhatTheyWere(t *testing.T) {
	read := func(t *testing.T, c net.Conn) error {
		t.Helper()
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		_, err := c.Read(make([]byte, 1))
		return err
	}
	t.Run("a close of the far end", func(t *testing.T) {
		near, end := opened(t)
		_ = end.Close()
		assert.ErrorIs(t, read(t, near), io.EOF)
	})
	t.Run("a reset by the far end", func(t *testing.T) {
		near, end := opened(t)
		_ = upstream.SetLinger(end, 0)
		_ = end.Close()
		assert.ErrorIs(t, read(t, near), syscall.ECONNRESET)
	})
	t.Run("a reset by the near end", func(t *testing.T) {
		near, end := opened(t)
		_ = upstream.SetLinger(near, 0)
		_ = near.Close()
		assert.ErrorIs(t, read(t, end), syscall.ECONNRESET)
	})
}

func TestTunnelLivesOnAfterItsCallerHasLeft(t *testing.T) {
	leave := func(t *testing.T, dialFar func(address string) (net.Conn, error)) {
		t.Helper()
		f := newFar(t)
		over := make(chan struct{})
		s := newServer(t, func(w http.ResponseWriter, r *http.Request) {
			c, err := dialFar(r.Host)
			if assert.NoError(t, err) {
				_ = Serve(context.Background(), w, r, c, ServeOptions{Clock: timer.Real(), AckTimeout: time.Second})
			}
			close(over)
		})
		near, err := open(t, s, f.address())
		require.NoError(t, err)
		end := <-f.accepted
		require.NoError(t, near.Close())
		_ = end.SetReadDeadline(time.Now().Add(10 * time.Second))
		_, err = end.Read(make([]byte, 1))
		require.Error(t, err)
		assert.NotErrorIs(t, err, os.ErrDeadlineExceeded)
		_ = end.Close()
		assertClosed(t, over)
	}
	t.Run("the upstream is reached through a proxy", func(t *testing.T) {
		proxy := newServer(t, nil)
		leave(t, func(address string) (net.Conn, error) { return open(t, proxy, address) })
	})
	t.Run("the far connection can't end one direction alone", func(t *testing.T) {
		leave(t, func(address string) (net.Conn, error) {
			c, err := net.Dial("tcp", address)
			return struct{ net.Conn }{c}, err
		})
	})
}

func assertClosed(t *testing.T, c <-chan struct{}) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(10 * time.Second):
		assert.Fail(t, "the tunnel is still open")
	}
}

func TestFailuresToOpen(t *testing.T) {
	closed := newFar(t)
	_ = closed.listener.Close()
	t.Run("the address refuses", func(t *testing.T) {
		_, err := open(t, newServer(t, nil), closed.address())
		assert.ErrorIs(t, err, ErrRefused)
		assert.ErrorIs(t, err, syscall.ECONNREFUSED)
	})
	t.Run("the address doesn't answer", func(t *testing.T) {
		_, err := open(t, newServer(t, func(w http.ResponseWriter, _ *http.Request) { RejectDial(w, errors.New("time-out")) }), closed.address())
		assert.ErrorIs(t, err, ErrUnreachable)
	})
	t.Run("the process opens none", func(t *testing.T) {
		_, err := open(t, newServer(t, func(w http.ResponseWriter, _ *http.Request) { Reject(w, "leaving") }), closed.address())
		assert.ErrorIs(t, err, ErrUnavailable)
	})
	t.Run("the process is of an earlier build", func(t *testing.T) {
		_, err := open(t, newServer(t, func(w http.ResponseWriter, r *http.Request) { http.NotFound(w, r) }), closed.address())
		assert.ErrorIs(t, err, ErrUnavailable)
	})
	t.Run("the process hangs", func(t *testing.T) {
		hangs := newFar(t)
		c, err := net.Dial("tcp", hangs.address())
		require.NoError(t, err)
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, err = Open(ctx, c, closed.address())
		assert.ErrorIs(t, err, ErrNoAnswer)
		assert.NotErrorIs(t, err, ErrUnavailable, "that would be an answer")
	})
}

// TestAnswerToConnectThatIsNone guards against tunnels that are opened by an answer which isn't one.
func TestAnswerToConnectThatIsNone(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\nTunnel Frames: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX A: 1\r\n\r\n",
		"HTTP/1.1 +20 OK\r\n\r\n",
		"HTTP/2.0 200 OK\r\n\r\n",
	} {
		t.Run(answer, func(t *testing.T) {
			near, other := net.Pipe()
			go func() {
				_, _ = http.ReadRequest(bufio.NewReader(other))
				_, _ = io.WriteString(other, answer)
			}()
			_, err := Open(t.Context(), near, "127.0.0.1:1")
			assert.ErrorIs(t, err, ErrUnavailable)
		})
	}
}
