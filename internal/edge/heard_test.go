package edge

import (
	"context"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/call"
	"spurhall.example/spurhall/internal/era"
	"spurhall.example/spurhall/internal/fault"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/timer"
	"spurhall.example/spurhall/internal/wire"
)

// TestNoAnswerSaysNothing: a node asks an engine that names a limit what it has cached, and can't reach it. That no
// answer named a limit was taken for an answer that names none: it was lifted, for all nodes.
func TestNoAnswerSaysNothing(t *testing.T) {
	c := timer.NewManual(time.Unix(1_700_000_000, 0))
	n := New(Options{
		Settings: &Settings{Node: "n", Hall: "h", Peers: "127.0.0.1:1", UsageWindow: time.Second}, Incarnation: "n", Clock: c.Service(), Log: zap.NewNop(), Era: era.NewTracker(),
		FetchCachedParts: func(context.Context, string) ([]call.Part, call.Response, error) {
			return nil, call.Response{}, fault.Because(store.ErrUnknown, "connection refused")
		},
	})
	e := pool.Entry{ID: "a", Service: "s", Address: "10.0.0.1:1", Hall: "h", Slots: 8}
	n.pools.Update(func(l *pool.List) { l.Put(pool.Item{Entry: e, Revision: 1}) })
	n.pools.ObserveLimit(e, call.Limit{Status: call.LimitNamed, Rate: 1}, n.start)
	c.Advance(time.Second)
	sent := c.Service().Now()
	_, said, _ := n.o.FetchCachedParts(t.Context(), e.Address)
	n.heard(e, said, sent)
	assert.Len(t, n.pools.Limits(), 1)
	assert.False(t, n.pools.Limits()[0].Lifted)
}

// TestUpstreamsAreShown: what operators are told of an upstream is what the node goes by.
func TestUpstreamsAreShown(t *testing.T) {
	c := timer.NewManual(time.Unix(1_700_000_000, 0))
	n := New(Options{Settings: &Settings{Node: "n", Hall: "h", Peers: "127.0.0.1:1", UsageWindow: time.Second}, Incarnation: "n", Clock: c.Service(), Log: zap.NewNop(), Era: era.NewTracker()})
	for _, id := range []string{"a", "b", "c"} {
		n.pools.Update(func(l *pool.List) {
			l.Put(pool.Item{Entry: pool.Entry{ID: id, Service: "s", Address: "10.0.0.1:1", Hall: "h", Born: 5}, Revision: 1})
		})
	}
	e := n.pools.Items()[0].Entry
	e.ID = "a"
	n.heard(e, call.Response{Limit: call.Limit{Status: call.LimitNamed, Rate: 3}, Cooldown: time.Second}, c.Service().Now())
	e.ID = "b"
	n.heard(e, call.Response{Leaving: true, Limit: call.Limit{Status: call.LimitNone}}, c.Service().Now())
	c.Advance(400 * time.Millisecond)
	a, err := (&edgeService{n: n}).Upstreams(t.Context(), connect.NewRequest(&wire.UpstreamsRequest{Service: "s"}))
	require.NoError(t, err)
	require.Len(t, a.Msg.Upstreams, 3)
	v := a.Msg.Upstreams
	assert.Equal(t, []any{"n", 3.0, int64(400), int64(600)}, []any{a.Msg.Node, v[0].Rate, v[0].LimitAgeMs, v[0].RestMs})
	assert.True(t, v[1].Leaving)
	assert.False(t, v[1].Declared, "its answer said so")
	assert.Equal(t, []any{false, false, int64(-1), int64(5)}, []any{v[2].Leaving, v[2].Limited, v[2].UnreachedMs, v[2].Born})
}
