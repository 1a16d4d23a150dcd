package edge

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/message"
	"spurhall.example/spurhall/internal/pair"
	"spurhall.example/spurhall/internal/peer"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/quota"
	"spurhall.example/spurhall/internal/relay"
	"spurhall.example/spurhall/internal/wire"
)

// This file exchanges state through relays (package relay) in fleets in which not all pairs of nodes swap
// reports in each round. Pairs still swap, more slowly: their reports count for each node that the relays'
// digests don't cover.

const (
	relayTimeout = 400 * time.Millisecond // a round, and the response time of a busy relay
	// relayPoll is how often a starting process checks whether it has discovered the other nodes.
	relayPoll = 20 * time.Millisecond
	// maxRelayLag is the greatest age of a node's report that arrives through two relays: two rounds in transit, and one until the next digest.
	maxRelayLag = 3 * pair.Round
	// relayWindows is how many usage windows a report to a relay contains: the current one and the previous
	// one, which may have ended since the last report.
	relayWindows = 2
	// maxReportDelay bounds the time from building a report to its arrival without faults. A report may lack
	// placements made for its node within that time.
	maxReportDelay = 20 * time.Millisecond
)

// runRelay reports to a relay, or acts as one, until the context ends. A starting process does so as soon as
// it has discovered the other nodes.
func (n *Node) runRelay(ctx context.Context) {
	for !n.relayStep(ctx) {
		if n.clock.Since(n.start) > peersWait || n.clock.Sleep(ctx, relayPoll) != nil {
			break
		}
	}
	n.clock.Every(ctx, pair.Round, func(time.Time) { n.relayStep(ctx) })
}

// relayStep runs a round if the fleet is large, and reports whether it did.
func (n *Node) relayStep(ctx context.Context) bool {
	now := n.clock.Now()
	n.mu.Lock()
	large, skip := pair.Interval(n.peers.Size()) > pair.Round, n.isIdle(now)
	n.mu.Unlock()
	if large && !skip {
		n.relayRound(ctx, now)
	}
	return large
}

// isIdle reports whether this node of a large fleet has had no requests of late, and has reported in the last rounds. A
// relay isn't idle. The node's lock is held.
func (n *Node) isIdle(now time.Time) bool {
	return !pair.Suffice(n.peers.Size()) && n.home.IsIdle(now, n.settings.Node, n.requestAt) && !n.pools.HasRequests()
}

func (n *Node) relayRound(ctx context.Context, now time.Time) {
	r := n.buildRelayReport()
	n.mu.Lock()
	n.aggregator.Expire(now)
	ordered := n.view(now).HallNodes(n.settings.Hall)
	if !ordered.Relays().Has(n.settings.Node) {
		n.mu.Unlock()
		if len(ordered) > 0 {
			n.reportToRelay(ctx, ordered.ReportTargets(n.settings.Node)[0], r)
		}
		return
	}
	n.aggregator.ApplyReport(now, message.ReportFromWire(r))
	_, version := n.relayView.KnownVersion(now, n.settings.Node)
	d := n.aggregator.Digest(now, n.settings.Node, version)
	n.home.Set(n.settings.Node)
	n.mu.Unlock()
	n.applyDigest(n.settings.Node, d)
	n.swapWithRelays(ctx, now)
}

// buildRelayReport returns this node's state as a relay is sent it: with what the node has seen of upstreams' speeds,
// which pairs of large fleets don't join.
func (n *Node) buildRelayReport() *wire.NodeReport {
	r := n.buildReport(relayWindows)
	r.Speeds = message.SeenSpeedsToWire(n.pools.SeenSpeeds())
	return r
}

// reportToRelay sends this node's report to a relay, and applies the digest that it responds with.
func (n *Node) reportToRelay(ctx context.Context, name string, r *wire.NodeReport) {
	n.mu.Lock()
	p := n.peers.Get(name)
	incarnation, version := n.relayView.KnownVersion(n.clock.Now(), name)
	n.mu.Unlock()
	if p == nil {
		return
	}
	c, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	a, err := n.peers.Client(p).Gather(c, connect.NewRequest(&wire.GatherRequest{Report: r, Lifetime: incarnation, Version: version}))
	n.recordRelayCall(p, err)
	if err == nil {
		n.mu.Lock()
		n.aggregator.OwnNodeMoved(name)
		n.mu.Unlock()
		n.applyGatherResponse(name, a.Msg)
	}
}

// applyGatherResponse applies a relay's response to a report.
func (n *Node) applyGatherResponse(name string, a *wire.GatherResponse) {
	n.applyDigest(name, message.DigestFromWire(a))
	n.mergeSuspicions(a.Suspicions, name)
	n.mergeLimits(a.Limits, name)
	n.pools.ApplySpeedFigures(message.SpeedsFromWire(a.Speeds))
	if n.needsRelays() {
		n.pools.ApplyReport(name, nil, nil, message.EnginesFromWire(a.Engines))
	}
}

// needsRelays reports whether the fleet is so large that pairs don't show what other nodes have learned and sent.
func (n *Node) needsRelays() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !pair.Suffice(n.peers.Size())
}

// recordRelayCall records whether a relay responded.
func (n *Node) recordRelayCall(p *peer.Peer, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err == nil {
		if n.home.Set(p.Name) {
			n.log.Info("relay_in_use", zap.String("relay", p.Name))
		}
		return
	}
	p.RelayFailedAt = n.clock.Now()
	n.home.Fail(p.Name)
	n.log.Info("relay_failed", zap.String("relay", p.Name), zap.String("cause", err.Error()))
}

// applyDigest applies a relay's digest of the other nodes.
func (n *Node) applyDigest(name string, d relay.Digest) {
	n.mu.Lock()
	now := n.clock.Now()
	updates := n.relayView.ApplyDigest(now, name, d)
	covered := make(map[string]bool, len(updates))
	for _, w := range updates {
		covered[w.Node] = true
		if n.peers.ApplyRelayed(now, peer.Relayed{Name: w.Node, Incarnation: w.Incarnation, Sequence: w.Sequence, Age: w.Age, Leaving: w.Status.Leaving, StoreUp: !w.Status.StoreDown}) {
			n.quotas.ApplyUpdate(now, quota.Update{Node: w.Node, Incarnation: w.Incarnation, Sequence: w.Sequence, Uptime: w.Uptime, Age: w.Age, Leaving: w.Status.Leaving, Charged: w.Spent})
		}
	}
	n.home.Receive(now, covered)
	n.rollouts.digestTrials = d.Trials
	n.mergeTrials(now, d.Trials, name)
	if name == n.settings.Node {
		n.confirmPlacements(d.Shares)
	}
	n.mu.Unlock()
	n.pools.ApplyPeerLoads(d.Shares, covered, d.Placed)
	n.applyReach(d.Reachability)
}

// applyReach applies what the other nodes of the hall couldn't reach.
func (n *Node) applyReach(r pool.Reachability) {
	for _, h := range n.pools.ApplyReachability(r) {
		n.log.Info("hall_cut_off", zap.String("hall", h), zap.Int("unreached", len(r.Unreachable)), zap.Duration("answered", r.LastResponse[h]))
	}
}

// confirmPlacements marks the share of this node's own nodes as complete, as this node places their requests,
// and drops the pending placements that the share already contains. The node's lock is held.
func (n *Node) confirmPlacements(shares []pool.PeerLoad) {
	shares[0].Complete = true
	n.pools.DropReported(func(node string, at time.Time) bool { return n.aggregator.LastSeen(node).After(at.Add(maxReportDelay)) })
}

// swapWithRelays swaps with the other relays whose turn it is.
func (n *Node) swapWithRelays(ctx context.Context, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.peers.DueRelays(n.view(now)) {
		go n.swapWithRelay(ctx, p)
	}
}

// swapWithRelay sends the state of this relay's nodes to another relay, and applies what that one returns.
func (n *Node) swapWithRelay(ctx context.Context, p *peer.Peer) {
	c, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	n.mu.Lock()
	g, client := n.buildGroup(p.Name, p.Relay.KnownIncarnation, p.Relay.KnownVersion), n.peers.Client(p)
	n.mu.Unlock()
	a, err := client.Swap(c, connect.NewRequest(&wire.SwapRequest{Group: g}))
	if err == nil && a.Msg.Group == nil {
		err = errNoGroup
	}
	n.mu.Lock()
	p.Relay.Busy = false
	if err != nil {
		if now := n.clock.Now(); !relay.IsAvoided(now, p.RelayFailedAt, p.LastSeen) {
			n.log.Info("swap_failed", zap.String("relay", p.Name), zap.String("cause", err.Error()))
			p.RelayFailedAt = now
		}
		n.mu.Unlock()
		return
	}
	n.mu.Unlock()
	n.applyGroup(a.Msg.Group)
}

// errNoGroup reports that a relay's response is empty.
var errNoGroup = errs.NewType("no_group").New("the relay's response is empty")

// buildGroup returns this relay's state for another relay that knows it up to a version. The node's lock is
// held.
func (n *Node) buildGroup(name, incarnation string, version uint64) *wire.Group {
	after := n.aggregator.BaseVersion(incarnation, version)
	v := n.aggregator.Group(n.clock.Now(), after)
	v.Share.Loads = append(v.Share.Loads, n.pools.Pending()...)
	g := message.GroupToWire(v)
	g.KnownLifetime, g.KnownVersion = n.aggregator.KnownVersion(name)
	g.Suspicions = n.suspicions()
	g.Speeds = message.SpeedPartsToWire(n.pools.SpeedParts(name, after == 0))
	g.Limits = message.LimitsToWire(n.clock.Now(), n.pools.Limits())
	return g
}

// applyGroup applies the state of another relay's nodes.
func (n *Node) applyGroup(w *wire.Group) {
	n.mergeSuspicions(w.Suspicions, w.Relay)
	n.mergeLimits(w.Limits, w.Relay)
	n.pools.ApplySpeedParts(w.Relay, message.SpeedPartsFromWire(w.Speeds))
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	g := message.GroupFromWire(w)
	n.aggregator.MergeGroup(now, g)
	for _, c := range g.Changes {
		n.usage.Merge(c.Node, c.Incarnation, c.Started)
		if !c.Unresponsive {
			n.peers.ApplyRelayedWork(c.Node, c.Work, now.Add(-c.Age))
		}
	}
	if n.home.Name() == n.settings.Node {
		shares := n.aggregator.Shares(now, n.settings.Node)
		n.confirmPlacements(shares)
		n.pools.ApplyPeerLoads(shares, n.home.Covered(), nil)
	}
	if p := n.peers.Get(g.Relay); p != nil {
		p.Relay.LastSwapped, p.Relay.KnownIncarnation, p.Relay.KnownVersion = now, w.KnownLifetime, w.KnownVersion
	}
}

// Gather applies a report, and responds with what this node knows of the others.
func (s *edgeService) Gather(ctx context.Context, r *connect.Request[wire.GatherRequest]) (*connect.Response[wire.GatherResponse], error) {
	if r.Msg.Report == nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("the report is missing"))
	}
	n, v := s.n, r.Msg.Report
	if n.applyReport(context.WithoutCancel(ctx), v) && !n.swapsAllPairs() {
		n.mergeSeenSpeeds(v)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	n.aggregator.ApplyReport(now, message.ReportFromWire(v))
	version := n.aggregator.BaseVersion(r.Msg.Lifetime, r.Msg.Version)
	if version == 0 {
		n.aggregator.SetInformed(now, v.Node, r.Msg.Lifetime != "")
	}
	a := message.DigestToWire(n.aggregator.Digest(now, v.Node, version))
	a.Speeds = message.SpeedsToWire(n.pools.SpeedFigures(v.Node, version == 0))
	a.Engines = message.EnginesToWire(n.pools.Engines())
	a.Suspicions = n.suspicions()
	a.Limits = message.LimitsToWire(now, n.pools.Limits())
	return connect.NewResponse(a), nil
}

// Swap applies another relay's state, and responds with this relay's.
func (s *edgeService) Swap(_ context.Context, r *connect.Request[wire.SwapRequest]) (*connect.Response[wire.SwapResponse], error) {
	g := r.Msg.Group
	if g == nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("the group is missing"))
	}
	s.n.applyGroup(g)
	s.n.mu.Lock()
	defer s.n.mu.Unlock()
	return connect.NewResponse(&wire.SwapResponse{Group: s.n.buildGroup(g.Relay, g.KnownLifetime, g.KnownVersion)}), nil
}
