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
	"spurhall.example/spurhall/internal/timer"
)

// young is the server of a process that has just started.
type young struct {
	clock   *timer.Manual
	server  *Server
	known   chan struct{}
	catalog atomic.Pointer[catalog.Catalog]
	status  chan int
}

func newYoung() *young {
	y := &young{clock: timer.NewManual(time.Unix(1000, 0)), known: make(chan struct{}), status: make(chan int, 1)}
	y.server = NewServer(Options{
		Clock: y.clock.Service(), Log: zap.NewNop(), Ready: y.known, Catalog: y.catalog.Load, Phase: func() Phase { return PhaseServing },
		Dialect: call.Dialect{
			ReadMeta:        func(http.Header) call.Meta { return call.Meta{ID: "r"} },
			WriteRetryAfter: func(http.Header, time.Duration) {},
		},
	})
	return y
}

// ask sends a request and leaves its status in the channel.
func (y *young) ask(ctx context.Context) {
	go func() {
		w := httptest.NewRecorder()
		defer func() {
			_ = recover() // a caller that left ends in an abort
			y.status <- w.Code
		}()
		y.server.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/a/b", http.NoBody).WithContext(ctx))
	}()
}

func (y *young) assertWaits(t *testing.T) {
	t.Helper()
	select {
	case c := <-y.status:
		assert.Fail(t, "it was answered", "%d", c)
	case <-time.After(50 * time.Millisecond):
	}
}

func (y *young) assertAnswered(t *testing.T, want int) {
	t.Helper()
	select {
	case c := <-y.status:
		assert.Equal(t, want, c)
	case <-time.After(5 * time.Second):
		require.Fail(t, "no answer")
	}
}

func TestRequestBeforeTheFirstConfiguration(t *testing.T) {
	t.Run("waits for it", func(t *testing.T) {
		y := newYoung()
		y.ask(context.Background())
		y.assertWaits(t)
		c, err := catalog.New(catalog.Spec{Version: 1})
		require.NoError(t, err)
		y.catalog.Store(c)
		close(y.known)
		y.assertAnswered(t, http.StatusNotFound)
	})
	t.Run("is refused soon if it doesn't come", func(t *testing.T) {
		y := newYoung()
		y.ask(context.Background())
		y.assertWaits(t)
		y.clock.Advance(knownWait)
		y.assertAnswered(t, http.StatusServiceUnavailable)
	})
}
