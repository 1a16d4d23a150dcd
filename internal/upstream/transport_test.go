package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math/rand"
	"net"
	"net/http"
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

// forgetful answers the first request of each connection and, from the second on,
// runs the request and closes the connection without a word.
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

// runOnReused opens a connection with one request and sends a keyed one without a
// body over it, which the service runs without answering.
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
	assert.ErrorIs(t, err, ErrMayHaveRun, "it ran, so it must not be told as not sent")
	t.Run("without the guard it does", func(t *testing.T) {
		c := newTestClient()
		c.guardReplay = false
		n, _ := sendOnReusedConn(t, c)
		assert.EqualValues(t, 2, n)
	})
}

func TestErrNotSent(t *testing.T) {
	c := newTestClient()
	t.Run("nobody listens", func(t *testing.T) {
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
		assert.LessOrEqual(t, runs.Load(), sent, "a request told as not sent has run")
	})
}

// The context may end between the moment a connection is given to a request and
// the moment its writer writes. The seal decides who was first.
func TestSealStopsLateWrite(t *testing.T) {
	for _, guarded := range []bool{true, false} {
		a, b := net.Pipe()
		go func() { _, _ = bufio.NewReader(b).ReadByte() }()
		c := &conn{Conn: a}
		u := &connUse{conns: []*conn{c}, writesBefore: []int{0}, seal: guarded}
		assert.False(t, u.wrote())
		_, err := c.Write([]byte("x"))
		if guarded {
			assert.Error(t, err, "told as not sent, so it must not be sent")
		} else {
			assert.NoError(t, err, "without the seal the late write goes out")
		}
		_, _ = a.Close(), b.Close()
	}
}

// TestSeveredIsTheUpstreamsDoing: a connection that the upstream closes or resets is told from
// one that falls silent. Both are lost, and only the first says something of the upstream.
//
// What was seen, once, on an idle machine: an upstream that closed the connection was taken for a silent
// one. The transport reads that the connection was closed and closes its own end while it is about to write
// the next part of the request; the error that comes out is the write's, "use of closed network connection",
// which tells nothing of who closed first.
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
	t.Run("closed before the whole request is sent", func(t *testing.T) {
		address := dropAfterFirst(t, &runs)
		require.NoError(t, send(context.Background(), address))
		body := &slowBody{first: "x", second: "y", pause: 100 * time.Millisecond}
		q, err := http.NewRequest("POST", "http://"+address+"/run", body)
		require.NoError(t, err)
		q.ContentLength = 2
		_, err = c.Do(q, false)
		assert.ErrorIs(t, err, ErrSevered)
	})
	t.Run("given up by the caller while it is sent", func(t *testing.T) {
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
	t.Run("silent", func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		err := send(ctx, silentUpstream(t))
		assert.ErrorIs(t, err, ErrMayHaveRun)
		assert.NotErrorIs(t, err, ErrSevered)
	})
}

// silent returns the address of an upstream that takes connections and says nothing.
func silentUpstream(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String()
}

// slowBody is a body in two parts, the second of which comes after a pause.
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
	assert.False(t, c.RefusesConnections(context.Background(), l.Addr().String()), "somebody listens")
	require.NoError(t, l.Close())
	assert.True(t, c.RefusesConnections(context.Background(), l.Addr().String()))
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	assert.False(t, c.RefusesConnections(gone, l.Addr().String()), "nothing is known")
}
