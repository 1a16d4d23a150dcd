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

// What users saw: a request reached an upstream 2.8 s after that had said that it leaves, 5.3 s after
// its caller had got its final answer, and was run.
//
// Order of events: the way to an upstream is cut while a request is on it; the attempt is given up and
// the caller answered; the way heals, and the kernel delivers what it had held.
//
// Cause: a connection that is given up was closed, not reset, and the kernel goes on sending what was
// written to a closed one for as long as the other end is silent.
//
// Evidence: the operators' record has the caller's answer (502) at 12.985 s, and the request's arrival
// from the same node at 18.316 s; the upstream had been silent from 8 s on. Six plays of the same day
// with other luck didn't show it.

// slowReader is a listener whose connections take next to nothing until they are read.
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

// TestAbandonedRequestsGoNoFurther: what the kernel holds of a request that is given up isn't sent on.
func TestAbortedRequestIsNotDelivered(t *testing.T) {
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
	time.Sleep(200 * time.Millisecond) // the kernel has taken what it takes
	cancel()
	assert.ErrorIs(t, <-done, ErrMayHaveRun)
	time.Sleep(50 * time.Millisecond)
	b, err := io.ReadAll(c)
	assert.Error(t, err, "the connection is reset")
	assert.Less(t, len(b), 64<<10, "and what hadn't arrived isn't sent")
}
