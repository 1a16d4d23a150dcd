package forward

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/accept"
	"spurhall.example/spurhall/internal/call"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/timer"
)

// serveOne serves a handler on a callers' listener, and returns a connection on which a request was sent.
func serveOne(t *testing.T, h func(l *accept.Listener) http.HandlerFunc) net.Conn {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := accept.New(inner, timer.Real(), zap.NewNop(), 0)
	s := &http.Server{Handler: h(l), ConnState: l.ObserveState, ConnContext: l.ConnContext, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	c, err := net.Dial("tcp", inner.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = io.WriteString(c, "GET /a HTTP/1.1\r\nHost: example.com\r\n\r\n")
	require.NoError(t, err)
	return c
}

func TestRequestWhoseContextEndsBeforeItIsSentIsRefused(t *testing.T) {
	r := newWithholdRig(t)
	c := serveOne(t, func(l *accept.Listener) http.HandlerFunc {
		return func(w http.ResponseWriter, q *http.Request) {
			go l.Interrupt(errors.New("the time is over"))
			<-q.Context().Done()
			r.server.ServeHTTP(w, q)
		}
	})
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, a.StatusCode)
	assert.NotEmpty(t, a.Header.Get("Retry-After"))
	assert.Zero(t, r.arrived.Load())
}

func TestRequestWhoseHandlerPanicsIsAnswered(t *testing.T) {
	for _, v := range []struct {
		name   string
		spoil  func(o *Options)
		status int
		sent   int64
	}{
		{"before it is sent", func(o *Options) { o.RecordFirstAttempt = func(string) { panic("test") } }, http.StatusServiceUnavailable, 0},
		{"after it was sent", func(o *Options) { o.ObserveResponse = func(pool.Entry, call.Response, time.Time) { panic("test") } }, http.StatusBadGateway, 1},
	} {
		t.Run(v.name, func(t *testing.T) {
			r := newWithholdRig(t)
			v.spoil(&r.server.o)
			c := serveOne(t, func(*accept.Listener) http.HandlerFunc { return r.server.ServeHTTP })
			a, err := http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(t, err)
			assert.Equal(t, v.status, a.StatusCode)
			assert.Equal(t, v.sent, r.arrived.Load())
		})
	}
	t.Run("after its response has begun", func(t *testing.T) {
		r := newWithholdRig(t)
		c := serveOne(t, func(*accept.Listener) http.HandlerFunc {
			return func(w http.ResponseWriter, q *http.Request) {
				defer r.server.recoverHandler(w, &request{http: q, responding: true})
				w.Header().Set("Content-Length", "10")
				_, _ = io.WriteString(w, "half")
				panic("test")
			}
		})
		a, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err == nil {
			_, err = io.Copy(io.Discard, a.Body)
		}
		assert.Error(t, err)
	})
}
