package edge

import (
	"context"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/follow"
	"spurhall.example/spurhall/internal/handover"
	"spurhall.example/spurhall/internal/lineage"
	"spurhall.example/spurhall/internal/message"
	"spurhall.example/spurhall/internal/peer"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/wire"
)

// This file connects package lineage with the other nodes and the upstream list.

func (n *Node) newStreamKeeper() *lineage.Keeper {
	n.savedStreams = handover.NewStreams(n.records(), n.clock, n.settings.Node)
	return lineage.NewKeeper(lineage.Options{
		Clock: n.clock, Log: n.log, Node: n.settings.Node, Nodes: n.streamKeepers, Tell: n.tellStreams, Ask: n.askStream,
		InStep: func() bool { return n.sight().InStep },
		Saved:  lineage.Saved{Load: n.loadStreams, Save: n.savedStreams.Save, Interval: n.saveInterval, Needed: n.pools.MixesVersions},
	})
}

// saveInterval returns the shortest time between two saves of what this node remembers of streams.
func (n *Node) saveInterval() time.Duration {
	return lineage.SaveInterval(n.streamKeepers(), n.settings.Store.Writes)
}

// loadStreams reads which versions served before this process started, and which streams the process before remembered.
func (n *Node) loadStreams(ctx context.Context) ([]lineage.Record, error) {
	if n.settings.FirstStart {
		return nil, nil
	}
	versions, err := handover.ReadVersions(ctx, n.records())
	if err != nil {
		return nil, err
	}
	if len(versions) == 0 {
		n.missVersions("no versions are stored", 0)
	}
	list, err := n.savedStreams.Load(ctx)
	if err != nil {
		return nil, err
	}
	n.pools.RestoreVersions(versions)
	for service, v := range versions {
		n.noteVersionsOf(service)
		n.log.Info("versions_found", zap.String("service", service), zap.Strings("versions", v))
	}
	return list, nil
}

// leaveStreams hands on and stores what this node remembers of streams, before its process ends.
func (n *Node) leaveStreams() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	var w sync.WaitGroup
	w.Go(func() { n.streams.HandOn(ctx) })
	w.Go(func() { n.streams.Save(ctx) })
	w.Wait()
}

// leaveTimeout bounds what a node does for others after its callers have left.
const leaveTimeout = 300 * time.Millisecond

// streamKeepers returns the nodes that may remember streams, this one unless it leaves.
func (n *Node) streamKeepers() []lineage.Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	return lineage.NodesOf(n.view(n.clock.Now()))
}

func (n *Node) tellStreams(ctx context.Context, node string, list []lineage.Record) error {
	p, err := n.peerNamed(node)
	if err == nil {
		_, err = n.peers.Client(p).TellStreams(ctx, connect.NewRequest(&wire.TellStreamsRequest{Streams: message.StreamsToWire(list)}))
	}
	return err
}

func (n *Node) askStream(ctx context.Context, node string, k lineage.Key, service string) (version string, known bool, err error) {
	p, err := n.peerNamed(node)
	if err != nil {
		return "", false, err
	}
	a, err := n.peers.Client(p).FindStream(ctx, connect.NewRequest(&wire.FindStreamRequest{Key: uint64(k), Service: service}))
	if err != nil {
		return "", false, err
	}
	n.hearVersions(node, pool.ServiceVersions{Service: service, Versions: message.VersionsFromWire(a.Msg.Versions)})
	return a.Msg.Version, a.Msg.Known, nil
}

// newMissed returns what asks other nodes for the versions that this one may have missed.
func (n *Node) newMissed() *follow.Missed {
	return &follow.Missed{
		Clock: n.clock, Log: n.log, Step: &n.step, Ask: n.askVersions,
		Nodes: func() []string { return lineage.Others(n.settings.Node, n.streamKeepers()) },
	}
}

// askVersions hears which versions another node knows.
func (n *Node) askVersions(ctx context.Context, node string) (whole bool, err error) {
	p, err := n.peerNamed(node)
	if err != nil {
		return false, err
	}
	a, err := n.peers.Client(p).LateVersions(ctx, connect.NewRequest(&wire.LateVersionsRequest{}))
	if err != nil {
		return false, err
	}
	for _, v := range message.ServiceVersionsFromWire(a.Msg.Services) {
		n.hearVersions(node, v)
	}
	return a.Msg.Whole, nil
}

// LateVersions returns the versions that this node knows. It says that these are all only once it has read which served before
// its process started.
func (s *edgeService) LateVersions(ctx context.Context, _ *connect.Request[wire.LateVersionsRequest]) (*connect.Response[wire.LateVersionsResponse], error) {
	if !s.n.listed.Load() || !s.n.streams.AwaitRestored(ctx) {
		return nil, connect.NewError(connect.CodeUnavailable, errNoUpdates)
	}
	a := &wire.LateVersionsResponse{Whole: s.n.sight().Whole, Services: message.ServiceVersionsToWire(s.n.pools.AllLateVersions())}
	return connect.NewResponse(a), nil
}

// hearVersions records the versions of a service that another node knows.
func (n *Node) hearVersions(node string, v pool.ServiceVersions) {
	if n.pools.HearVersions(v.Service, v.Versions) {
		known, used := n.pools.StreamVersions(v.Service)
		n.log.Info("versions_heard", zap.String("service", v.Service), zap.String("peer", node), zap.Strings("versions", known), zap.Strings("used", used))
		n.noteVersionsOf(v.Service)
	}
}

// peerNamed returns another node that can be called; errNoUpdates: there is none of that name.
func (n *Node) peerNamed(name string) (*peer.Peer, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.peers.Get(name)
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
	v, known, err := s.n.streams.Answer(lineage.Key(r.Msg.Key))
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	a := &wire.FindStreamResponse{Known: known, Version: v}
	if !known && r.Msg.Service != "" {
		a.Versions = message.VersionsToWire(s.n.pools.LateVersionsOf(r.Msg.Service))
	}
	return connect.NewResponse(a), nil
}

// sight returns what this node has seen of the versions that may have begun streams.
func (n *Node) sight() lineage.Sight {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	if n.listFollower.Connected() {
		n.noteMissed("store", n.step.ConfirmByStore(now, n.guard.Contact(), n.lag.Late()))
	}
	if _, lacks := n.lacksList.For(now); !lacks && n.view(now).HearsMost(follow.SignLimit) {
		n.noteMissed("peers", n.step.ConfirmByOthers(now, n.lag.Late()))
	}
	inStep := n.step.Holds(now)
	return lineage.Sight{InStep: inStep, Steady: n.step.Steady(now), Whole: inStep && n.step.MissedAgo(now) == 0, Heard: n.step.Heard()}
}

// noteMissed logs that this node is in step again after a time in which it may have missed versions; 0: it can't have.
func (n *Node) noteMissed(source string, missed time.Duration) {
	if missed > 0 {
		n.log.Info("versions_missed", zap.String("source", source), zap.Duration("for", missed), zap.Int64("revision", n.pools.Revision()))
	}
}

// missVersions records that this node may have missed versions until some time ago, and why.
func (n *Node) missVersions(source string, ago time.Duration) {
	now := n.clock.Now()
	if before := n.step.MissedAgo(now); before == 0 || before > ago+missedSlack {
		n.log.Info("versions_missed", zap.String("source", source), zap.Duration("ago", ago), zap.Int64("revision", n.pools.Revision()))
	}
	n.step.Miss(now.Add(-ago))
}

// missedSlack is how much later a time in which versions were missed may seem to have ended without another line in the log:
// the way of a message, and its rounding.
const missedSlack = time.Second

// noteVersions has the streams in progress told of services that have got another version.
func (n *Node) noteVersions(changes []pool.Change) {
	services := make(map[string]bool)
	for _, c := range changes {
		services[c.Entry.Service] = true
	}
	for service := range services {
		n.noteVersionsOf(service)
	}
}

func (n *Node) noteVersionsOf(service string) {
	known, _ := n.pools.StreamVersions(service)
	n.mu.Lock()
	before := n.streamVersions[service]
	n.streamVersions[service] = known
	n.mu.Unlock()
	added := slices.ContainsFunc(known, func(v string) bool { return !slices.Contains(before, v) })
	if len(known) > 1 && added {
		n.log.Info("versions_mixed", zap.String("service", service), zap.Strings("versions", known))
		n.front.TellStreams(service)
		n.streams.SaveSoon()
	}
}
