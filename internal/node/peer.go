package node

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"spurhall.example/spurhall/internal/message"
	"spurhall.example/spurhall/internal/request"
	"spurhall.example/spurhall/internal/stream"
	"spurhall.example/spurhall/internal/wire"
	"spurhall.example/spurhall/internal/wire/wireconnect"
)

// peerService implements the RPCs that peers call on this node.
type peerService struct{ n *Node }

// PeerHandler returns the handler of the peers' interface.
func (n *Node) PeerHandler() http.Handler {
	m := http.NewServeMux()
	m.Handle(wireconnect.NewPeerHandler(&peerService{n}, message.BoundedHandler()))
	return message.Whole(m)
}

// Exchange exchanges facts with a peer.
func (s *peerService) Exchange(_ context.Context, r *connect.Request[wire.ExchangeRequest]) (*connect.Response[wire.ExchangeResponse], error) {
	return connect.NewResponse(s.n.peers.handleExchange(r.Msg)), nil
}

// PullConfig returns the configuration in force, if it is newer than the peer's.
func (s *peerService) PullConfig(_ context.Context, r *connect.Request[wire.PullConfigRequest]) (*connect.Response[wire.PullConfigResponse], error) {
	v := s.n.view.Snapshot()
	a := &wire.PullConfigResponse{}
	if v.Revision > r.Msg.Have {
		a.Snapshot = SnapshotToWire(&v)
	}
	return connect.NewResponse(a), nil
}

// Claim handles a message of the claim protocol.
func (s *peerService) Claim(_ context.Context, r *connect.Request[wire.ClaimMessage]) (*connect.Response[wire.ClaimResponse], error) {
	a := &wire.ClaimResponse{}
	if g := s.n.claims.Receive(claimFromWire(r.Msg)); g != nil {
		a.Reply = claimToWire(g)
	}
	return connect.NewResponse(a), nil
}

// ClaimFor writes a claim for a peer that cannot reach the platform.
func (s *peerService) ClaimFor(ctx context.Context, r *connect.Request[wire.ClaimForRequest]) (*connect.Response[wire.ClaimForResponse], error) {
	w, revision := s.n.claims.WriteFor(ctx, r.Msg.Member, r.Msg.Key, r.Msg.Attempt, time.Duration(r.Msg.LifetimeMs)*time.Millisecond)
	return connect.NewResponse(&wire.ClaimForResponse{Result: int32(w), Revision: revision}), nil
}

// EraseFor erases a claim for a peer that cannot reach the platform.
func (s *peerService) EraseFor(ctx context.Context, r *connect.Request[wire.EraseForRequest]) (*connect.Response[wire.EraseForResponse], error) {
	done := s.n.claims.EraseFor(ctx, r.Msg.Key, r.Msg.Attempt)
	return connect.NewResponse(&wire.EraseForResponse{Done: done}), nil
}

// Hold accepts a request from a peer, either to keep a copy of it or to continue it.
func (s *peerService) Hold(_ context.Context, r *connect.Request[wire.HoldRequest]) (*connect.Response[wire.HoldResponse], error) {
	if r.Msg.Request == nil || r.Msg.Request.Id == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errNoRequest)
	}
	if !s.n.lifecycle.Is("ready") {
		return nil, connect.NewError(connect.CodeUnavailable, errNotReady)
	}
	v := request.FromWire(r.Msg.Request)
	if r.Msg.CopyOnly {
		s.n.registry.Add(request.New(v))
		return connect.NewResponse(&wire.HoldResponse{}), nil
	}
	s.n.log.Add("request_taken", v.ID, "from "+v.Owner)
	s.n.adopt(v)
	return connect.NewResponse(&wire.HoldResponse{}), nil
}

var (
	errNoRequest = errs.NewType("no_request").New("the request is missing")
	errNotReady  = errs.NewType("not_ready").New("this node takes no requests now")
)

// Drop removes a copy held for a peer.
func (s *peerService) Drop(_ context.Context, r *connect.Request[wire.DropRequest]) (*connect.Response[wire.DropResponse], error) {
	if v := s.n.registry.Get(r.Msg.Id); v != nil && v.Owner() != s.n.id {
		s.n.registry.Remove(r.Msg.Id)
	}
	return connect.NewResponse(&wire.DropResponse{}), nil
}

// owned returns a request that this node runs, or one whose complete response it has.
func (s *peerService) owned(id, workspace string) *request.Request {
	r := s.n.registry.Get(id)
	if r == nil || r.Workspace() != workspace {
		return nil
	}
	if r.Owner() != s.n.id && r.Record().Read(0).Outcome == stream.OutcomeOpen {
		return nil
	}
	return r
}

// Find reports whether this node has a request.
func (s *peerService) Find(_ context.Context, r *connect.Request[wire.FindRequest]) (*connect.Response[wire.FindResponse], error) {
	a := &wire.FindResponse{}
	if v := s.owned(r.Msg.Id, r.Msg.Workspace); v != nil {
		spec := v.Spec()
		a.Found, a.Request = true, spec.Wire()
	}
	return connect.NewResponse(a), nil
}

// Read streams the response from an offset to its end.
func (s *peerService) Read(ctx context.Context, r *connect.Request[wire.ReadRequest], out *connect.ServerStream[wire.ReadChunk]) error {
	v := s.owned(r.Msg.Id, r.Msg.Workspace)
	if v == nil {
		return connect.NewError(connect.CodeNotFound, errNoRequest)
	}
	defer v.Record().AddReader(s.n.clock.Now)()
	next := int(r.Msg.Offset)
	for {
		w, err := v.Record().Wait(ctx, next)
		if err != nil {
			return err
		}
		c := &wire.ReadChunk{Offset: int32(next), Pieces: w.Tokens, Outcome: string(w.Outcome), Failure: w.Failure}
		next += len(w.Tokens)
		if err := out.Send(c); err != nil || w.Outcome != stream.OutcomeOpen {
			return err
		}
	}
}
