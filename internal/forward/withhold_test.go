package forward

import (
	"context"
	"net"
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
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/quarantine"
	"spurhall.example/spurhall/internal/rollout"
	"spurhall.example/spurhall/internal/timer"
)

// withholdRig is a server before one plain upstream that responds.
type withholdRig struct {
	server  *Server
	clock   *timer.Manual
	arrived atomic.Int64
	age     time.Duration
	current bool
}

func newWithholdRig(t *testing.T) *withholdRig {
	t.Helper()
	r := &withholdRig{clock: timer.NewManual(time.Unix(1000, 0)), current: true}
	u := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { r.arrived.Add(1) }))
	t.Cleanup(u.Close)
	c, err := catalog.New(catalog.Spec{
		Services: []catalog.ServiceSpec{{Name: "api"}},
		Routes:   []catalog.RouteSpec{{Name: "r", Host: "example.com", Prefix: "/", Kind: catalog.KindRepeatable, MaxAttempts: 2, Services: []catalog.WeightedService{{Service: "api", Weight: 1}}}},
	})
	require.NoError(t, err)
	clock := r.clock.Service()
	pools := pool.New(clock, "n", "hall")
	pools.Update(func(l *pool.List) {
		l.Replace(clock.Now(), 1, []pool.Item{{Revision: 1, Entry: pool.Entry{ID: "a", Service: "api", Address: u.Listener.Addr().String(), Hall: "hall", Slots: 8}}})
	})
	ready := make(chan struct{})
	close(ready)
	r.server = NewServer(Options{
		Memory: memory.New(clock, 64<<20, nil),
		Link:   link.New(clock, 0, nil),
		Clock:  clock, Log: zap.NewNop(), Pools: pools, Connections: NewConnections(clock, nil), Ready: ready, Quarantine: quarantine.NewTracker("n"),
		Catalog: func() *catalog.Catalog { return c }, Phase: func() Phase { return PhaseServing },
		ListAge:            func() (time.Duration, bool) { return r.age, r.current },
		Place:              func(context.Context, pool.Request) string { return "" },
		RecordFirstAttempt: func(string) {}, AllowRetry: func(string) bool { return true }, CountStarted: func(string) {},
		ObserveResponse: func(pool.Entry, call.Response, time.Time) {},
		Trials: Trials{
			Offer: func(string, string) bool { return false }, Return: func(string, string) {}, Record: func(string, string, int, rollout.Response) {},
			Overtaken: func(string, rollout.Silence) {},
		},
		Dialect: call.Dialect{
			ReadMeta:        func(http.Header) call.Meta { return call.Meta{ID: "1"} },
			WriteOrder:      func(http.Header, call.Order) {},
			ReadResponse:    func(*http.Response) call.Response { return call.Response{RequestID: "1", Signed: true} },
			WriteRetryAfter: func(h http.Header, _ time.Duration) { h.Set("Retry-After", "soon") },
		},
	})
	return r
}

func (r *withholdRig) call() *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r.server.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "http://example.com/a", http.NoBody))
	return w
}

func TestRequestIsSentByAListThatIsTooOld(t *testing.T) {
	r := newWithholdRig(t)
	assert.Equal(t, http.StatusOK, r.call().Code)
	r.age, r.current = 2*time.Second, false
	w := r.call()
	assert.Equal(t, int64(1), r.arrived.Load(), "the upstream may have left since")
	assert.Equal(t, http.StatusServiceUnavailable, w.Code)
	assert.NotEmpty(t, w.Header().Get("Retry-After"))
}

func TestWithheldAttempts(t *testing.T) {
	t.Run("an upstream that leaves while its connection opens counts for nothing", func(t *testing.T) {
		r := newWithholdRig(t)
		r.server.o.Connections = NewConnections(r.clock.Service(), func(ctx context.Context, e pool.Entry) (net.Conn, error) {
			e.Leaving = true
			r.server.o.Pools.Update(func(l *pool.List) { l.Put(pool.Item{Revision: 2, Entry: e}) })
			return (&net.Dialer{}).DialContext(ctx, "tcp", e.Address)
		})
		w := r.call()
		assert.Zero(t, r.arrived.Load())
		assert.Equal(t, http.StatusServiceUnavailable, w.Code)
		s := r.server.o.Pools.States("api")[0]
		assert.Negative(t, s.UnreachableAge, "it could be reached")
		assert.Zero(t, s.Running)
	})
	t.Run("nothing is sent after the deadline, also where its timer is late", func(t *testing.T) {
		r := newWithholdRig(t)
		r.server.o.Connections = NewConnections(r.clock.Service(), func(ctx context.Context, e pool.Entry) (net.Conn, error) {
			r.clock.Suspend(time.Hour)
			return (&net.Dialer{}).DialContext(ctx, "tcp", e.Address)
		})
		assert.Equal(t, http.StatusServiceUnavailable, r.call().Code)
		assert.Zero(t, r.arrived.Load())
	})
}
