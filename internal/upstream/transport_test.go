package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"spurhall.example/spurhall/internal/timer"
)

func newTestClient() *Client {
	return NewClient(timer.Real(), Options{ConnectTimeout: time.Second, IdlePerHost: 4})
}

// dropAfterFirst starts a service that responds to the first request of each connection, and runs
// the second but closes the connection without a response. It returns the address.
func dropAfterFirst(t *testing.T, runs *atomic.Int64) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for n := 0; ; n++ {
					q, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					if q.URL.Path == "/run" {
						runs.Add(1)
					}
					if n > 0 {
						return
					}
					_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
				}
			}()
		}
	}()
	return l.Addr().String()
}

// sendOnReusedConn opens a connection with one request, and then sends a POST with an idempotency
// key and no body over it, which the service runs without a response.
func sendOnReusedConn(t *testing.T, c *Client) (int64, error) {
	var runs atomic.Int64
	a := dropAfterFirst(t, &runs)
	r, _ := http.NewRequest(http.MethodGet, "http://"+a+"/", nil)
	s, err := c.Do(r, true)
	require.NoError(t, err)
	_ = s.Body.Close()
	r, _ = http.NewRequest(http.MethodPost, "http://"+a+"/run", nil)
	r.Header.Set("Idempotency-Key", "k")
	_, err = c.Do(r, false)
	return runs.Load(), err
}

func TestTransportDoesNotResend(t *testing.T) {
	n, err := sendOnReusedConn(t, newTestClient())
	assert.EqualValues(t, 1, n)
	assert.ErrorIs(t, err, ErrMayHaveRun, "it ran, so it must not be reported as not sent")
	t.Run("without the guard it resends", func(t *testing.T) {
		c := newTestClient()
		c.guardReplay = false
		n, _ := sendOnReusedConn(t, c)
		assert.EqualValues(t, 2, n)
	})
}

func TestErrNotSent(t *testing.T) {
	c := newTestClient()
	t.Run("no listener", func(t *testing.T) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		a := l.Addr().String()
		_ = l.Close()
		r, _ := http.NewRequest(http.MethodPost, "http://"+a+"/", strings.NewReader("x"))
		_, err = c.Do(r, false)
		assert.ErrorIs(t, err, ErrNotSent)
	})
	t.Run("cancelled at any moment", func(t *testing.T) {
		var runs atomic.Int64
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		s := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
			runs.Add(1)
			<-q.Context().Done()
		})}
		go func() { _ = s.Serve(l) }()
		t.Cleanup(func() { _ = s.Close() })
		r := rand.New(rand.NewSource(1))
		sent := int64(0)
		for i := 0; i < 300; i++ {
			x, cancel := context.WithTimeout(context.Background(), time.Duration(r.Intn(600))*time.Microsecond)
			q, _ := http.NewRequestWithContext(x, http.MethodPost, "http://"+l.Addr().String()+"/", strings.NewReader("x"))
			_, err := c.Do(q, false)
			cancel()
			require.Error(t, err)
			if !errors.Is(err, ErrNotSent) {
				sent++
			}
		}
		assert.LessOrEqual(t, runs.Load(), sent, "a request reported as not sent has run")
	})
}

// The context may end after a request got its connection and before the transport writes to it. A
// write that has not started when the connection is sealed must fail.
func TestSealStopsLateWrite(t *testing.T) {
	for _, guarded := range []bool{true, false} {
		a, b := net.Pipe()
		go func() { _, _ = bufio.NewReader(b).ReadByte() }()
		c := newConn(a)
		u := &connUse{conns: []*conn{c}, writesBefore: []int{0}, seal: guarded}
		assert.False(t, u.wrote())
		_, err := c.Write([]byte("x"))
		if guarded {
			assert.Error(t, err, "reported as not sent, so it must not be sent")
		} else {
			assert.NoError(t, err, "without the seal the late write goes out")
		}
		_, _ = a.Close(), b.Close()
	}
}

// TestSevered: a connection that the upstream closes or resets is distinguished from one that becomes
// unresponsive. Both are ErrMayHaveRun, and only the first is evidence about the upstream.
//
// It also guards against a race: the transport reads that the upstream closed the connection, and closes
// its own end while it is about to write the next part of the request. The resulting error is that of the
// write, "use of closed network connection", which doesn't show which end closed first.
func TestSevered(t *testing.T) {
	var runs atomic.Int64
	c := newTestClient()
	defer c.Close()
	send := func(ctx context.Context, address string) error {
		q, err := http.NewRequestWithContext(ctx, "POST", "http://"+address+"/run", strings.NewReader("x"))
		require.NoError(t, err)
		a, err := c.Do(q, false)
		if err == nil {
			_ = a.Body.Close()
		}
		return err
	}
	t.Run("closed", func(t *testing.T) {
		address := dropAfterFirst(t, &runs)
		require.NoError(t, send(context.Background(), address))
		err := send(context.Background(), address)
		assert.ErrorIs(t, err, ErrSevered)
		assert.ErrorIs(t, err, ErrMayHaveRun)
	})
	t.Run("closed before the complete request is sent", func(t *testing.T) {
		address := dropAfterFirst(t, &runs)
		require.NoError(t, send(context.Background(), address))
		body := &slowBody{first: "x", second: "y", pause: 100 * time.Millisecond}
		q, err := http.NewRequest("POST", "http://"+address+"/run", body)
		require.NoError(t, err)
		q.ContentLength = 2
		_, err = c.Do(q, false)
		assert.ErrorIs(t, err, ErrSevered)
	})
	t.Run("cancelled by the caller while it is sent", func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		body := &slowBody{first: "x", second: "y", pause: 100 * time.Millisecond}
		q, err := http.NewRequestWithContext(ctx, "POST", "http://"+silentUpstream(t)+"/run", body)
		require.NoError(t, err)
		q.ContentLength = 2
		time.AfterFunc(20*time.Millisecond, cancel)
		_, err = c.Do(q, false)
		assert.ErrorIs(t, err, ErrMayHaveRun)
		assert.NotErrorIs(t, err, ErrSevered)
	})
	t.Run("unresponsive", func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		err := send(ctx, silentUpstream(t))
		assert.ErrorIs(t, err, ErrMayHaveRun)
		assert.NotErrorIs(t, err, ErrSevered)
	})
}

// silentUpstream returns the address of an upstream that accepts connections and sends nothing.
func silentUpstream(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String()
}

// slowBody is a request body in two parts with a pause between them.
type slowBody struct {
	first, second string
	pause         time.Duration
	read          int
}

func (b *slowBody) Read(p []byte) (int, error) {
	b.read++
	switch b.read {
	case 1:
		return copy(p, b.first), nil
	case 2:
		time.Sleep(b.pause)
		return copy(p, b.second), nil
	}
	return 0, io.EOF
}

func TestRefusesConnections(t *testing.T) {
	c := newTestClient()
	defer c.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	assert.False(t, c.RefusesConnections(context.Background(), l.Addr().String()), "a process listens")
	require.NoError(t, l.Close())
	assert.True(t, c.RefusesConnections(context.Background(), l.Addr().String()))
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	assert.False(t, c.RefusesConnections(cancelled, l.Addr().String()), "the address was not dialled")
}

func TestCheckBeforeTheFirstByte(t *testing.T) {
	arrived := make(chan struct{}, 8)
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived <- struct{}{} }))
	t.Cleanup(s.Close)
	c := NewClient(timer.Real(), Options{ConnectTimeout: time.Second, IdlePerHost: 1})
	t.Cleanup(c.Close)
	send := func(check func() error) error {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.URL, strings.NewReader("body"))
		require.NoError(t, err)
		a, err := c.DoChecked(r, false, check)
		if err == nil {
			_, _ = io.Copy(io.Discard, a.Body)
			_ = a.Body.Close()
		}
		return err
	}
	refuse := func() error { return errors.New("it leaves") }
	for _, name := range []string{"new connection", "kept connection"} {
		t.Run(name, func(t *testing.T) {
			err := send(refuse)
			assert.ErrorIs(t, err, ErrWithheld)
			assert.ErrorIs(t, err, ErrNotSent)
			assert.Contains(t, err.Error(), "it leaves")
			assert.Empty(t, arrived, "no byte of it may arrive")
			checks := 0
			require.NoError(t, send(func() error { checks++; return nil }))
			assert.Equal(t, 1, checks)
			<-arrived
		})
	}
	t.Run("a later request on the connection has none", func(t *testing.T) {
		require.NoError(t, send(nil))
		<-arrived
	})
}
