package forward

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/call"
	"spurhall.example/spurhall/internal/catalog"
	"spurhall.example/spurhall/internal/link"
	"spurhall.example/spurhall/internal/memory"
	"spurhall.example/spurhall/internal/timer"
)

// startingServer is the server of a process that has just started.
type startingServer struct {
	clock   *timer.Manual
	server  *Server
	ready   chan struct{}
	catalog atomic.Pointer[catalog.Catalog]
	status  chan int
}

func newStartingServer() *startingServer {
	s := &startingServer{clock: timer.NewManual(time.Unix(1000, 0)), ready: make(chan struct{}), status: make(chan int, 1)}
	s.server = NewServer(Options{
		Memory:  memory.New(s.clock.Service(), 64<<20, nil),
		Link:    link.New(s.clock.Service(), 0, nil),
		ListAge: func() (time.Duration, bool) { return 0, true },
		Clock:   s.clock.Service(), Log: zap.NewNop(), Ready: s.ready, Catalog: s.catalog.Load, Phase: func() Phase { return PhaseServing },
		Dialect: call.Dialect{
			ReadMeta:        func(http.Header) call.Meta { return call.Meta{ID: "r"} },
			WriteRetryAfter: func(http.Header, time.Duration) {},
		},
	})
	return s
}

// send sends a request and puts its status into the channel.
func (s *startingServer) send(ctx context.Context) {
	go func() {
		w := httptest.NewRecorder()
		defer func() {
			_ = recover() // the handler aborts if the caller has disconnected
			s.status <- w.Code
		}()
		s.server.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/a/b", http.NoBody).WithContext(ctx))
	}()
}

func (s *startingServer) assertWaits(t *testing.T) {
	t.Helper()
	select {
	case c := <-s.status:
		assert.Fail(t, "unexpected response", "%d", c)
	case <-time.After(50 * time.Millisecond):
	}
}

func (s *startingServer) assertAnswered(t *testing.T, want int) {
	t.Helper()
	select {
	case c := <-s.status:
		assert.Equal(t, want, c)
	case <-time.After(5 * time.Second):
		require.Fail(t, "no response")
	}
}

func TestRequestBeforeTheFirstConfiguration(t *testing.T) {
	t.Run("waits for the configuration", func(t *testing.T) {
		s := newStartingServer()
		s.send(context.Background())
		s.assertWaits(t)
		c, err := catalog.New(catalog.Spec{Version: 1})
		require.NoError(t, err)
		s.catalog.Store(c)
		close(s.ready)
		s.assertAnswered(t, http.StatusNotFound)
	})
	t.Run("is rejected after the wait limit", func(t *testing.T) {
		s := newStartingServer()
		s.send(context.Background())
		s.assertWaits(t)
		s.clock.Advance(readyWait)
		s.assertAnswered(t, http.StatusServiceUnavailable)
	})
}
