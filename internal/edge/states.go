package edge

import (
	"context"

	"connectrpc.com/connect"

	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/wire"
)

// Upstreams returns this node's state of the upstreams to operators.
func (s *edgeService) Upstreams(_ context.Context, r *connect.Request[wire.UpstreamsRequest]) (*connect.Response[wire.UpstreamsResponse], error) {
	a := &wire.UpstreamsResponse{Node: s.n.settings.Node}
	for _, v := range s.n.pools.States(r.Msg.Service) {
		a.Upstreams = append(a.Upstreams, stateToWire(v))
	}
	return connect.NewResponse(a), nil
}

func stateToWire(v pool.State) *wire.UpstreamState {
	e := v.Entry
	m := &wire.UpstreamState{
		Id: e.ID, Service: e.Service, Hall: e.Hall, Born: e.Born, Leaving: e.Leaving, Declared: e.Declared, Misplaced: v.Misplaced, RestMs: v.Cooldown.Milliseconds(),
		Limited: v.Limited, Rate: v.Rate, LimitAgeMs: v.LimitAge.Milliseconds(), Share: v.Share, Slowness: v.Slowness, Speed: v.Speed, SpeedEvidence: v.SpeedEvidence, UnreachedMs: -1, Running: int64(v.Running),
	}
	if v.UnreachableAge >= 0 {
		m.UnreachedMs = v.UnreachableAge.Milliseconds()
	}
	return m
}
