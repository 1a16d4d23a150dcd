package edge

import (
	"context"

	"connectrpc.com/connect"

	"spurhall.example/spurhall/internal/message"
	"spurhall.example/spurhall/internal/wire"
)

// Upstreams returns this node's state of the upstreams to operators.
func (s *edgeService) Upstreams(_ context.Context, r *connect.Request[wire.UpstreamsRequest]) (*connect.Response[wire.UpstreamsResponse], error) {
	a := &wire.UpstreamsResponse{Node: s.n.settings.Node}
	for _, v := range s.n.pools.States(r.Msg.Service) {
		a.Upstreams = append(a.Upstreams, message.StateToWire(v))
	}
	return connect.NewResponse(a), nil
}
