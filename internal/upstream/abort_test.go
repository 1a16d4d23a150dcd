package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"spurhall.example/spurhall/internal/timer"
)

// This file guards against the late delivery of aborted requests: an upstream received and ran a request
// 5.3 s after its caller had got the final response (502), and 2.8 s after the upstream had announced that
// it was leaving. The network to the upstream was partitioned while the request was being sent, and the
// attempt was aborted. The connection was closed, not reset, so the kernel continued to send the buffered
// bytes, which arrived when the partition healed. It depends on timing.

// slowListener returns a listener whose connections buffer very little until they are read.
func slowListener(t *testing.T) net.Listener {
	t.Helper()
	c := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		e := c.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
		if e != nil {
			return e
		}
		return err
	}}
	l, err := c.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// TestAbandonedRequestsGoNoFurther: bytes of an aborted request that the kernel has buffered are not sent.
func TestAbandonedRequestsGoNoFurther(t *testing.T) {
	l := slowListener(t)
	body := bytes.Repeat([]byte("x"), 512<<10)
	client := NewClient(timer.Real(), Options{ConnectTimeout: time.Second})
	defer client.Close()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.Addr().String()+"/", bytes.NewReader(body))
		if err != nil {
			done <- err
			return
		}
		_, err = client.Do(r, false)
		done <- err
	}()
	c, err := l.Accept()
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	time.Sleep(200 * time.Millisecond) // the kernel's buffers are full
	cancel()
	assert.ErrorIs(t, <-done, ErrMayHaveRun)
	time.Sleep(50 * time.Millisecond)
	b, err := io.ReadAll(c)
	assert.Error(t, err, "the connection is reset")
	assert.Less(t, len(b), 64<<10, "bytes that had not arrived are not sent")
}
