package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"spurhall.example/spurhall/internal/call"
	"spurhall.example/spurhall/internal/catalog"
	"spurhall.example/spurhall/internal/order"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/timer"
)

// orderRig is a server before one engine.
type orderRig struct {
	clock   *timer.Manual
	server  *Server
	catalog *catalog.Catalog
	number  int
}

func newOrderRig(t *testing.T, ranks ...int) *orderRig {
	t.Helper()
	s := catalog.Spec{Services: []catalog.ServiceSpec{{Name: "llm", Engine: &catalog.EngineSpec{Slots: 8}}}}
	for i, r := range ranks {
		s.Routes = append(s.Routes, catalog.RouteSpec{
			Name: fmt.Sprint("r", i), Host: fmt.Sprint("h", i), Prefix: "/", Kind: catalog.KindStream, LatencyTarget: time.Second, Priority: r,
			Services: []catalog.WeightedService{{Service: "llm", Weight: 1}},
		})
	}
	c, err := catalog.New(s)
	require.NoError(t, err)
	v := &orderRig{clock: timer.NewManual(time.Unix(1000, 0)), catalog: c}
	p := pool.New(v.clock.Service(), "n", "hall")
	p.Update(func(l *pool.List) {
		l.Replace(v.clock.Service().Now(), 1, []pool.Item{{Revision: 1, Entry: pool.Entry{ID: "e", Service: "llm", Address: "e", Hall: "hall", Slots: 8}}})
	})
	v.server = NewServer(Options{Clock: v.clock.Service(), Pools: p})
	return v
}

// send chooses an engine for a request with a prompt of so many tokens, and returns it with its priority.
func (v *orderRig) send(t *testing.T, host string, prompt int, resumed bool) (*request, int) {
	t.Helper()
	v.number++
	q := &request{meta: call.Meta{ID: fmt.Sprint(v.number), PromptTokens: prompt}, catalog: v.catalog, route: v.catalog.Match(host, "/"), service: "llm", arrived: v.clock.Service().Now()}
	u := v.server.o.Pools.Pick(v.server.need(q, nil))
	require.NotNil(t, u)
	return q, v.server.priority(q, u, resumed)
}

func TestOrderAtEngines(t *testing.T) {
	const long = 60_000 // tokens, two seconds of reading for an engine of which nothing is known
	t.Run("ranks are sent once the wait endangers a target", func(t *testing.T) {
		v := newOrderRig(t, 0, 1)
		q, p := v.send(t, "h0", long, false)
		assert.Equal(t, order.Unset, p, "nothing waits at the engine")
		assert.Empty(t, orderFields(q))
		q, p = v.send(t, "h1", 100, false)
		assert.NotEqual(t, order.Unset, p)
		assert.NotEmpty(t, orderFields(q))
		assert.True(t, q.order.Short)
		assert.Equal(t, 2*time.Second, q.expectedWait.Round(100*time.Millisecond))
	})
	t.Run("equal ranks are not told apart", func(t *testing.T) {
		v := newOrderRig(t, 1, 1)
		v.send(t, "h0", long, false)
		q, p := v.send(t, "h1", 100, false)
		assert.Equal(t, order.Unset, p)
		assert.Empty(t, orderFields(q))
	})
	t.Run("a resumed stream goes first", func(t *testing.T) {
		v := newOrderRig(t, 0, 1)
		_, p := v.send(t, "h1", 100, true)
		assert.Equal(t, 0, p)
	})
}
