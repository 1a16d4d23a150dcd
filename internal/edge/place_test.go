package edge

import (
	"context"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/call"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/timer"
	"spurhall.example/spurhall/internal/wire"
)

// TestPlaceForNobody: a request that its node waits for no more isn't placed, and takes nothing of what an
// upstream takes from all nodes together.
func TestPlaceForNobody(t *testing.T) {
	clock := timer.NewManual(time.Unix(1_700_000_000, 0))
	p := pool.New(clock.Service(), "relay", "h")
	e := pool.Entry{ID: "a", Service: "s", Address: "10.0.0.1:1", Hall: "h", Slots: 8}
	p.Update(func(l *pool.List) { l.Put(pool.Item{Entry: e, Revision: 1}) })
	clock.Advance(time.Minute)
	p.ObserveLimit(e, call.Limit{Status: call.LimitNamed, Rate: 1}, clock.Service().Now())
	assert.Nil(t, p.Pick(pool.Request{ID: "r", Service: "s", Engine: true}), "its share begins with nothing")
	clock.Advance(time.Second)
	s := &edgeService{n: &Node{log: zap.NewNop(), pools: p}}
	left, leave := context.WithCancel(t.Context())
	leave()
	_, err := s.Place(left, connect.NewRequest(&wire.PlaceRequest{Node: "n", Request: "r", Service: "s"}))
	assert.Equal(t, connect.CodeDeadlineExceeded, connect.CodeOf(err))
	assert.Empty(t, p.Pending())
	a, err := s.Place(t.Context(), connect.NewRequest(&wire.PlaceRequest{Node: "n", Request: "r", Service: "s"}))
	assert.NoError(t, err)
	assert.Equal(t, "a", a.Msg.Upstream, "its turn is there still")
	assert.Len(t, p.Pending(), 1)
}
