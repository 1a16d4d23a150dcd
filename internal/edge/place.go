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

// This file asks a relay where to send a request; pool/placed.go says why. A relay that
// doesn't answer at once isn't waited for: the node chooses by itself, as it does in a small
// fleet and for whatever has failed once.

// placeTimeout is how long a relay is waited for: some times what a busy one of 0.2 cores
// takes for a call, by estimate, and an eighth of the shortest latency target of an engine, 250 ms.
const (
	placeTimeout = 30 * time.Millisecond
	// placePause is how long a relay that didn't answer in time isn't asked: until the next
	// report to it, whose failure makes this node turn to another.
	placePause = pair.Round
)

// place returns the upstream that this node's relay chooses for a request, or nothing if
// the node is to choose.
func (n *Node) place(ctx context.Context, v pool.Request) string {
	n.mu.Lock()
	p := n.peers.peers[n.home]
	now := n.clock.Now()
	ask := now.Sub(n.relayed) <= relayedFor && !now.Before(n.placing)
	n.mu.Unlock()
	if p == nil || !ask {
		return ""
	}
	c, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	r := &wire.PlaceRequest{Node: n.s.Node, Request: v.ID, Service: v.Service, Prompt: v.Prompt, Output: v.Output}
	for _, x := range v.Parts {
		r.Parts = append(r.Parts, &wire.Part{Id: x.ID, Tokens: int64(x.Tokens)})
	}
	a, err := p.client.Place(c, connect.NewRequest(r))
	if ctx.Err() != nil {
		return "" // the caller has left, which tells nothing of the relay
	}
	if err != nil {
		n.mu.Lock()
		n.placing = n.clock.Now().Add(placePause)
		n.mu.Unlock()
		n.log.Info("place_failed", zap.String("request", v.ID), zap.String("relay", p.name), zap.String("cause", err.Error()))
		return ""
	}
	return a.Msg.Upstream
}

// Place chooses an upstream for a request of another node. One that has waited for longer than its node does isn't
// placed any more: it would take an upstream's turn, and count as load, for nobody.
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
	return connect.NewResponse(&wire.PlaceResponse{Upstream: s.n.pools.PlaceFor(m.Node, v)}), nil
}
