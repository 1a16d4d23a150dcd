package forward

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"spurhall.example/spurhall/internal/call"
	"spurhall.example/spurhall/internal/capacity"
	"spurhall.example/spurhall/internal/catalog"
	"spurhall.example/spurhall/internal/link"
	"spurhall.example/spurhall/internal/memory"
	"spurhall.example/spurhall/internal/order"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/timer"
)

// orderRig is a server before one engine that reads 30 tokens a millisecond.
type orderRig struct {
	clock   *timer.Manual
	pools   *pool.Pools
	server  *Server
	catalog *catalog.Catalog
	sent    call.Order // with the last request
	log     *observer.ObservedLogs
	number  int
}

// asked is a caller's request.
type asked struct {
	host, key   string
	prompt      int
	earlier     time.Duration // since the caller's first attempt
	lastEvent   string        // as the caller names it
	resumeAfter string        // the event after which this node resumes
}

// wholePrompt is two seconds of reading.
const wholePrompt = 60_000

// newOrderRig has a route with each rank, and a workspace with rank 0 of its own if there is a key.
func newOrderRig(t *testing.T, engine *catalog.EngineSpec, key string, ranks ...int) *orderRig {
	t.Helper()
	s := catalog.Spec{Services: []catalog.ServiceSpec{{Name: "llm", Engine: engine}}}
	if key != "" {
		s.Workspaces = []catalog.WorkspaceSpec{{Name: "w", Keys: []string{key}, HasPriority: true}}
	}
	for i, r := range ranks {
		s.Routes = append(s.Routes, catalog.RouteSpec{
			Name: fmt.Sprint("r", i), Host: fmt.Sprint("h", i), Prefix: "/", Kind: catalog.KindStream, LatencyTarget: time.Second, Priority: r,
			Services: []catalog.WeightedService{{Service: "llm", Weight: 1}},
		})
	}
	c, err := catalog.New(s)
	require.NoError(t, err)
	v := &orderRig{clock: timer.NewManual(time.Unix(1000, 0)), catalog: c}
	v.pools = pool.New(v.clock.Service(), "n", "hall")
	v.list(1, "e")
	v.pools.RestoreEngine("llm", capacity.Engine{Reading: 30, First: 50, Token: 10})
	core, log := observer.New(zap.InfoLevel)
	v.log = log
	v.server = NewServer(Options{
		Memory:  memory.New(v.clock.Service(), 64<<20, nil),
		Link:    link.New(v.clock.Service(), 0, nil),
		ListAge: func() (time.Duration, bool) { return 0, true },
		Clock:   v.clock.Service(), Log: zap.New(core), Pools: v.pools, Dialect: call.Dialect{WriteOrder: func(_ http.Header, o call.Order) { v.sent = o }},
	})
	return v
}

// list replaces the engine.
func (v *orderRig) list(revision int64, id string) {
	v.pools.Update(func(l *pool.List) {
		l.Replace(v.clock.Service().Now(), revision, []pool.Item{{Revision: revision, Entry: pool.Entry{ID: id, Service: "llm", Address: id, Hall: "hall", Slots: 8}}})
	})
}

// newLLMRig has an engine, and a route with each rank.
func newLLMRig(t *testing.T, ranks ...int) *orderRig {
	t.Helper()
	return newOrderRig(t, &catalog.EngineSpec{Slots: 8}, "", ranks...)
}

// send builds the request for the engine, and returns it with its priority.
func (v *orderRig) send(t *testing.T, r asked) (*request, int) {
	t.Helper()
	v.number++
	q := &request{
		held: v.server.o.Memory.Scope(),
		meta: call.Meta{ID: fmt.Sprint(v.number), PromptTokens: r.prompt, LastEvent: r.lastEvent}, http: httptest.NewRequest(http.MethodPost, "/a", http.NoBody),
		catalog: v.catalog, route: v.catalog.Match(r.host, "/"), workspace: v.catalog.Workspace(r.key), service: "llm", arrived: v.clock.Service().Now(), waitedBefore: r.earlier,
	}
	u := v.server.o.Pools.Pick(v.server.need(q, nil))
	require.NotNil(t, u)
	v.server.placeInOrder(q, u, r.resumeAfter)
	v.server.newUpstreamRequest(&attempt{use: u, ctx: context.Background()}, q, r.resumeAfter)
	return q, v.sent.Priority
}

// fill lets so much wait at the engine that the service is short of room.
func (v *orderRig) fill(t *testing.T) {
	t.Helper()
	_, p := v.send(t, asked{host: "h0", prompt: wholePrompt})
	assert.Equal(t, order.Unset, p, "nothing waits at the engine")
}

func TestOrderAtEngines(t *testing.T) {
	t.Run("ranks are sent once the wait endangers a target", func(t *testing.T) {
		v := newLLMRig(t, 0, 1)
		v.fill(t)
		q, p := v.send(t, asked{host: "h1", prompt: 100})
		assert.NotEqual(t, order.Unset, p)
		assert.NotEmpty(t, orderFields(q))
		assert.True(t, q.order.Short)
		assert.Equal(t, 2*time.Second, q.expectedWait.Round(100*time.Millisecond))
	})
	t.Run("no slack without a target", func(t *testing.T) {
		has := func(d time.Duration) bool {
			c, err := catalog.New(catalog.Spec{Routes: []catalog.RouteSpec{{Name: "r", Host: "h", Prefix: "/", Kind: catalog.KindStream, LatencyTarget: d, Services: []catalog.WeightedService{{Service: "llm", Weight: 1}}}}})
			require.NoError(t, err)
			f := orderFields(&request{route: c.Match("h", "/"), order: order.Decision{Short: true}})
			return slices.ContainsFunc(f, func(v zap.Field) bool { return v.Key == "slack" })
		}
		assert.True(t, has(time.Second))
		assert.False(t, has(0))
	})
	t.Run("equal ranks are not told apart", func(t *testing.T) {
		v := newLLMRig(t, 1, 1)
		v.fill(t)
		q, p := v.send(t, asked{host: "h1", prompt: 100})
		assert.Equal(t, order.Unset, p)
		assert.Empty(t, orderFields(q))
	})
	t.Run("a workspace's own rank goes before its route's", func(t *testing.T) {
		v := newOrderRig(t, &catalog.EngineSpec{Slots: 8}, "k", 3)
		v.fill(t)
		var sum [2]int
		for range 40 {
			q, p := v.send(t, asked{host: "h0", key: "k"})
			assert.True(t, q.order.Short)
			sum[0] += p
			_, p = v.send(t, asked{host: "h0"})
			sum[1] += p
		}
		assert.Less(t, sum[0], sum[1])
	})
	t.Run("overdue work goes behind the others", func(t *testing.T) {
		v := newLLMRig(t, 0, 1)
		_, p := v.send(t, asked{host: "h0", prompt: wholePrompt, earlier: 2 * time.Second})
		assert.Equal(t, 7, p)
		for range 20 {
			q, p := v.send(t, asked{host: "h0", earlier: 2 * time.Second})
			assert.Equal(t, 9, p)
			assert.Equal(t, order.ReasonOverdue, q.order.Reason)
		}
	})
	t.Run("a plain service gets none", func(t *testing.T) {
		v := newOrderRig(t, nil, "", 0, 1)
		for range 20 {
			q, p := v.send(t, asked{host: "h1", prompt: wholePrompt})
			assert.Equal(t, order.Unset, p)
			assert.Empty(t, orderFields(q))
		}
	})
}

func TestOrderOfResumedStreams(t *testing.T) {
	t.Run("what this node resumes goes first where room is short", func(t *testing.T) {
		v := newLLMRig(t, 0, 1)
		v.fill(t)
		_, p := v.send(t, asked{host: "h1", resumeAfter: "7", earlier: 2 * time.Second})
		assert.Equal(t, 0, p)
		assert.Equal(t, "7", v.sent.LastEvent)
	})
	t.Run("in calm times it is a request like others", func(t *testing.T) {
		v := newLLMRig(t, 0, 1)
		_, p := v.send(t, asked{host: "h1", resumeAfter: "7"})
		assert.Equal(t, order.Unset, p)
		_, p = v.send(t, asked{host: "h1", resumeAfter: "7", earlier: 2 * time.Second})
		assert.Equal(t, 7, p)
	})
	t.Run("a caller's own last event changes nothing", func(t *testing.T) {
		v := newLLMRig(t, 0, 1)
		v.fill(t)
		q, p := v.send(t, asked{host: "h1", lastEvent: "7"})
		assert.Equal(t, "7", v.sent.LastEvent)
		assert.NotEqual(t, order.ReasonResumed, q.order.Reason)
		assert.NotZero(t, p)
	})
}

func TestOrderIsLogged(t *testing.T) {
	v := newLLMRig(t, 0, 1)
	v.fill(t)
	for range 3 {
		v.send(t, asked{host: "h1"})
	}
	v.clock.Advance(3 * time.Second)
	v.list(2, "f")
	for range 3 {
		v.send(t, asked{host: "h1"})
	}
	for _, m := range []string{"room_short", "room_again"} {
		l := v.log.FilterMessage(m).All()
		require.Len(t, l, 1, m)
		assert.Equal(t, "llm", l[0].ContextMap()["service"])
		assert.Contains(t, l[0].ContextMap(), "expected_wait")
	}
}

func TestFailedAttemptsNameTheirOrder(t *testing.T) {
	v := newLLMRig(t, 0, 1)
	v.server.o.Connections = NewConnections(v.clock.Service(), nil)
	v.fill(t)
	q, _ := v.send(t, asked{host: "h1"})
	q.deadline = v.clock.Service().Now().Add(time.Minute)
	u := v.pools.Pick(v.server.need(q, nil))
	require.NotNil(t, u)
	_, err := v.server.runAttempt(context.Background(), q, u, "", nil)
	require.Error(t, err)
	l := v.log.FilterMessage("attempt_failed").All()
	require.Len(t, l, 1)
	for _, k := range []string{"order", "priority", "rank", "slack", "expected_wait"} {
		assert.Contains(t, l[0].ContextMap(), k)
	}
}
