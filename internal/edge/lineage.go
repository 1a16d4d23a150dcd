package edge

import (
	"context"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/lineage"
	"spurhall.example/spurhall/internal/message"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/wire"
)

// This file connects package lineage with the other nodes and the upstream list.

func (n *Node) newStreamKeeper() *lineage.Keeper {
	return lineage.NewKeeper(lineage.Options{Clock: n.clock, Log: n.log, Node: n.settings.Node, Nodes: n.streamKeepers, Tell: n.tellStreams, Ask: n.askStream})
}

// streamKeepers returns the nodes that may remember streams.
func (n *Node) streamKeepers() []lineage.Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	nodes := []lineage.Node{{Name: n.settings.Node, Hall: n.settings.Hall}}
	for p := range n.view(n.clock.Now()).Present() {
		nodes = append(nodes, lineage.Node{Name: p.Name, Hall: p.Hall})
	}
	return nodes
}

func (n *Node) tellStreams(ctx context.Context, node string, list []lineage.Record) error {
	p, err := n.peerNamed(node)
	if err == nil {
		_, err = n.peers.clientOf(p).TellStreams(ctx, connect.NewRequest(&wire.TellStreamsRequest{Streams: message.StreamsToWire(list)}))
	}
	return err
}

func (n *Node) askStream(ctx context.Context, node string, k lineage.Key) (version string, known bool, err error) {
	p, err := n.peerNamed(node)
	if err != nil {
		return "", false, err
	}
	a, err := n.peers.clientOf(p).FindStream(ctx, connect.NewRequest(&wire.FindStreamRequest{Key: uint64(k)}))
	if err != nil {
		return "", false, err
	}
	return a.Msg.Version, a.Msg.Known, nil
}

// peerNamed returns another node that can be called; errNoUpdates: there is none of that name.
func (n *Node) peerNamed(name string) (*peer, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.peers.peers[name]
	if p == nil || p.Address == "" {
		return nil, errNoUpdates
	}
	return p, nil
}

// TellStreams remembers streams that another node began.
func (s *edgeService) TellStreams(_ context.Context, r *connect.Request[wire.TellStreamsRequest]) (*connect.Response[wire.TellStreamsResponse], error) {
	s.n.streams.Hear(message.StreamsFromWire(r.Msg.Streams))
	return connect.NewResponse(&wire.TellStreamsResponse{}), nil
}

// FindStream returns the version that began a stream, if this node knows it.
func (s *edgeService) FindStream(_ context.Context, r *connect.Request[wire.FindStreamRequest]) (*connect.Response[wire.FindStreamResponse], error) {
	v, known := s.n.streams.Version(lineage.Key(r.Msg.Key))
	return connect.NewResponse(&wire.FindStreamResponse{Known: known, Version: v}), nil
}

// noteVersions has the streams in progress told of a service that has got a second version.
func (n *Node) noteVersions(changes []pool.Change) {
	services := make(map[string]bool)
	for _, c := range changes {
		services[c.Entry.Service] = true
	}
	for service := range services {
		known, _ := n.pools.StreamVersions(service, lineage.MaxTime)
		n.mu.Lock()
		before := n.mixedServices[service]
		n.mixedServices[service] = len(known) > 1
		n.mu.Unlock()
		if len(known) > 1 && !before {
			n.log.Info("versions_mixed", zap.String("service", service), zap.Strings("versions", known))
			n.front.TellStreams(service)
		}
	}
}
