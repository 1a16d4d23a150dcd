package edge

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/call"
	"spurhall.example/spurhall/internal/pair"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/wire"
)

// This file asks a relay to choose an upstream for a request; package pool gives the reasons. A relay that
// doesn't respond at once isn't waited for: the node chooses by itself, as it does in a small fleet and after
// a failed attempt.

// placeTimeout is how long a relay is waited for: by estimate, several times what a busy relay with 0.2
// cores takes for a call, and an eighth of the shortest latency target of an engine, 250 ms.
const (
	placeTimeout = 30 * time.Millisecond
	// placeRetryPause is how long a relay that didn't respond in time isn't asked: until the next report to it,
	// whose failure makes this node switch to another relay.
	placeRetryPause = pair.Round
)

// placeByRelay returns the upstream that this node's relay chooses for a request, or "" if the node itself
// is to choose.
func (n *Node) placeByRelay(ctx context.Context, v pool.Request) string {
	n.mu.Lock()
	p := n.peers.Get(n.home.Name())
	now := n.clock.Now()
	ask := n.home.IsFresh(now) && !now.Before(n.placeRetryAt)
	n.mu.Unlock()
	if p == nil || !ask {
		return ""
	}
	c, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	r := &wire.PlaceRequest{Node: n.settings.Node, Request: v.ID, Service: v.Service, Prompt: v.Prompt, Output: v.Output}
	for _, x := range v.Parts {
		r.Parts = append(r.Parts, &wire.Part{Id: x.ID, Tokens: int64(x.Tokens)})
	}
	a, err := n.peers.Client(p).Place(c, connect.NewRequest(r))
	if ctx.Err() != nil {
		return "" // the caller has left, which says nothing about the relay
	}
	if err != nil {
		n.mu.Lock()
		n.placeRetryAt = n.clock.Now().Add(placeRetryPause)
		n.mu.Unlock()
		n.log.Info("place_failed", zap.String("request", v.ID), zap.String("relay", p.Name), zap.String("cause", err.Error()))
		return ""
	}
	return a.Msg.Upstream
}

// Place chooses an upstream for a request of another node. A call that has exceeded its node's time-out is
// rejected: its placement would use the upstream's rate, and count as load, without a request being sent.
func (s *edgeService) Place(ctx context.Context, r *connect.Request[wire.PlaceRequest]) (*connect.Response[wire.PlaceResponse], error) {
	m := r.Msg
	if ctx.Err() != nil {
		s.n.log.Info("place_late", zap.String("request", m.Request), zap.String("node", m.Node))
		return nil, connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
	}
	v := pool.Request{ID: m.Request, Service: m.Service, Prompt: m.Prompt, Output: m.Output, Engine: true}
	for _, x := range m.Parts {
		v.Parts = append(v.Parts, call.Part{ID: x.Id, Tokens: int(x.Tokens)})
	}
	chosen := s.n.pools.PlaceFor(m.Node, v)
	if ctx.Err() != nil {
		s.n.log.Info("place_late", zap.String("request", m.Request), zap.String("node", m.Node), zap.String("upstream", chosen))
	}
	return connect.NewResponse(&wire.PlaceResponse{Upstream: chosen}), nil
}
