package edge

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/call"
	"spurhall.example/spurhall/internal/era"
	"spurhall.example/spurhall/internal/fault"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/timer"
)

// TestNoAnswerSaysNothing: a node asks an engine that names a limit what it has cached, and can't reach it. That no
// answer named a limit was taken for an answer that names none: it was lifted, for all nodes.
func TestNoAnswerSaysNothing(t *testing.T) {
	c := timer.NewManual(time.Unix(1_700_000_000, 0))
	n := New(Options{
		Settings: &Settings{Node: "n", Hall: "h", Peers: "127.0.0.1:1", UsageWindow: time.Second}, Lifetime: "n", Clock: c.Service(), Log: zap.NewNop(), Era: era.NewClock(),
		Cached: func(context.Context, string) ([]call.Part, call.Answer, error) {
			return nil, call.Answer{}, fault.Because(store.ErrUnknown, "connection refused")
		},
	})
	e := pool.Entry{ID: "a", Service: "s", Address: "10.0.0.1:1", Hall: "h", Slots: 8}
	n.pools.Update(func(l *pool.List) { l.Put(pool.Item{Entry: e, Revision: 1}) })
	n.pools.HearLimit(e, call.Limit{Word: call.LimitNamed, Rate: 1}, n.start)
	c.Advance(time.Second)
	sent := c.Service().Now()
	_, said, _ := n.o.Cached(t.Context(), e.Address)
	n.heard(e, said, sent)
	assert.Len(t, n.pools.Limits(), 1)
	assert.False(t, n.pools.Limits()[0].Lifted)
}
