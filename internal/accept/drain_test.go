package accept

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/timer"
)

// drainRig is a server whose handler says that it runs and waits until it may respond.
type drainRig struct {
	t       *testing.T
	l       *Listener
	running chan context.Context
	respond chan struct{}
	ended   chan error // what the server returned

	connected int // callers' connections so far, all of them open
}

func newDrainRig(t *testing.T) *drainRig {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := &drainRig{t: t, l: New(inner, timer.Real(), zap.NewNop(), 0), running: make(chan context.Context, 8), respond: make(chan struct{}, 8), ended: make(chan error, 1)}
	s := &http.Server{ConnState: r.l.ObserveState, ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r.running <- q.Context()
		<-r.respond
		_, _ = io.WriteString(w, "done")
	})}
	go func() { r.ended <- s.Serve(r.l) }()
	t.Cleanup(func() { _ = s.Close() })
	return r
}

// connect returns a caller's connection.
func (r *drainRig) connect() net.Conn {
	r.t.Helper()
	c, err := net.Dial("tcp", r.l.Addr().String())
	require.NoError(r.t, err)
	r.t.Cleanup(func() { _ = c.Close() })
	require.NoError(r.t, c.SetDeadline(time.Now().Add(10*time.Second)))
	r.connected++
	require.Eventually(r.t, func() bool { return r.l.Open() == r.connected }, 10*time.Second, time.Millisecond)
	return c
}

func (r *drainRig) write(c net.Conn, text string) {
	r.t.Helper()
	_, err := io.WriteString(c, text)
	require.NoError(r.t, err)
}

func (r *drainRig) assertResponse(c net.Conn) {
	r.t.Helper()
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(r.t, err)
	b, err := io.ReadAll(a.Body)
	require.NoError(r.t, err)
	assert.Equal(r.t, "done", string(b))
}

// assertClosed checks that the connection ends without a byte more.
func (r *drainRig) assertClosed(c net.Conn) {
	r.t.Helper()
	n, err := c.Read(make([]byte, 1))
	assert.Zero(r.t, n)
	assert.ErrorIs(r.t, err, io.EOF)
}

// assertDrained checks that the server ends as in a planned stop.
func (r *drainRig) assertDrained() {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	require.NoError(r.t, r.l.wait(ctx))
	assert.ErrorIs(r.t, <-r.ended, http.ErrServerClosed)
}

const wholeRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

func TestDrainClosesConnectionsBetweenRequests(t *testing.T) {
	t.Run("without a request so far", func(t *testing.T) {
		r := newDrainRig(t)
		c := r.connect()
		require.NoError(t, r.l.Drain())
		r.assertClosed(c)
		r.assertDrained()
	})
	t.Run("after a response", func(t *testing.T) {
		r := newDrainRig(t)
		c := r.connect()
		r.write(c, wholeRequest)
		r.respond <- struct{}{}
		r.assertResponse(c)
		require.NoError(t, r.l.Drain())
		r.assertClosed(c)
		r.assertDrained()
	})
}

func TestDrainInterruptsNoRequest(t *testing.T) {
	t.Run("that is being handled", func(t *testing.T) {
		r := newDrainRig(t)
		c := r.connect()
		r.write(c, wholeRequest)
		ctx := <-r.running
		require.NoError(t, r.l.Drain())
		time.Sleep(30 * time.Millisecond)
		assert.NoError(t, ctx.Err(), "the handler must not take its caller for gone")
		assert.Equal(t, 1, r.l.Open())
		r.respond <- struct{}{}
		r.assertResponse(c)
		r.assertClosed(c)
		r.assertDrained()
	})
	t.Run("that was read with the one before it", func(t *testing.T) {
		r := newDrainRig(t)
		c := r.connect()
		r.write(c, wholeRequest+wholeRequest)
		<-r.running
		r.respond <- struct{}{}
		ctx := <-r.running
		require.NoError(t, r.l.Drain())
		time.Sleep(30 * time.Millisecond)
		assert.NoError(t, ctx.Err(), "the handler must not take its caller for gone")
		r.respond <- struct{}{}
		b := bufio.NewReader(c)
		for range 2 {
			a, err := http.ReadResponse(b, nil)
			require.NoError(t, err)
			_, err = io.Copy(io.Discard, a.Body)
			require.NoError(t, err)
		}
		r.assertDrained()
	})
	t.Run("of which only a part has arrived", func(t *testing.T) {
		r := newDrainRig(t)
		c := r.connect()
		r.write(c, wholeRequest[:20])
		time.Sleep(30 * time.Millisecond)
		require.NoError(t, r.l.Drain())
		time.Sleep(30 * time.Millisecond)
		r.write(c, wholeRequest[20:])
		r.respond <- struct{}{}
		r.assertResponse(c)
		r.assertDrained()
	})
	t.Run("that has arrived and isn't read yet", func(t *testing.T) {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		r := &drainRig{t: t, l: New(inner, timer.Real(), zap.NewNop(), 0)}
		accepted := make(chan net.Conn, 1)
		go func() {
			c, err := r.l.Accept()
			if assert.NoError(t, err) {
				accepted <- c
			}
		}()
		r.write(r.connect(), wholeRequest)
		c := <-accepted
		defer func() { _ = c.Close() }()
		time.Sleep(30 * time.Millisecond)
		require.NoError(t, r.l.Drain())
		b := make([]byte, 100)
		n, err := c.Read(b)
		require.NoError(t, err)
		assert.Equal(t, wholeRequest, string(b[:n]))
	})
}

func TestDrainAcceptsWhatWaitsInTheQueue(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := New(inner, timer.Real(), zap.NewNop(), 0)
	for range 3 {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
	}
	require.NoError(t, l.Drain())
	for range 3 {
		c, err := l.Accept()
		require.NoError(t, err)
		require.NoError(t, c.Close())
	}
	_, err = l.Accept()
	assert.ErrorIs(t, err, http.ErrServerClosed)
	require.NoError(t, l.Close())
}

func TestWaitEndsWithItsContext(t *testing.T) {
	r := newDrainRig(t)
	r.write(r.connect(), wholeRequest)
	<-r.running
	require.NoError(t, r.l.Drain())
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, r.l.wait(ctx), context.DeadlineExceeded)
	r.respond <- struct{}{}
	r.assertDrained()
}

func Example() {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}
	l := New(inner, timer.Real(), zap.NewNop(), 0)
	s := &http.Server{ConnState: l.ObserveState, Handler: http.NotFoundHandler(), ReadHeaderTimeout: time.Second}
	ended := make(chan error)
	go func() { ended <- s.Serve(l) }()
	fmt.Println(DrainAll(context.Background(), l))
	fmt.Println(<-ended)
	// Output:
	// <nil>
	// http: Server closed
}
