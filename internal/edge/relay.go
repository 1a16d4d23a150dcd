package edge

import (
	"context"
	"errors"
	"slices"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/message"
	"spurhall.example/spurhall/internal/pair"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/quota"
	"spurhall.example/spurhall/internal/relay"
	"spurhall.example/spurhall/internal/wire"
)

// This file carries what nodes tell each other through relays (package relay) in fleets in
// which not all pairs of nodes swap reports in each round. Pairs go on swapping, slowly:
// what they tell counts for each node that the relays don't tell of.

const (
	relayTimeout = 400 * time.Millisecond // a round, and what a busy relay takes
	// relayPoll is how often a process that starts looks whether it has found the others.
	relayPoll = 20 * time.Millisecond
	// relayedFor is how long after the last digest a node goes by what relays tell, and
	// relayLag how old the word of a node is that comes over two relays: two rounds on the
	// way, and one until the next digest.
	relayedFor = 4 * pair.Round
	relayLag   = 3 * pair.Round
	// relaySpan is a span of the quotas where digests come in each round.
	relaySpan = 2 * pair.Round
	// relayWindows is how many usage windows a node tells its relay of: the one under way,
	// and the one before, which may have ended since the last report.
	relayWindows = 2
	// reportTakes is what passes at most between the making of a report and its arrival in
	// calm, so that it may lack what was placed for its node since.
	reportTakes = 20 * time.Millisecond
	// relayFailed is how long a relay that failed isn't asked unless it is heard again.
	relayFailed = 5 * time.Second
)

// relaying is what a node knows of another one as a relay.
type relaying struct {
	failed   time.Time // when it last didn't answer
	called   time.Time // when it was last asked for a swap
	swapped  time.Time // when it last swapped
	busy     bool      // a swap is under way
	lifetime string    // of this process, as it knows it, with the version it knows
	version  uint64
}

// relay reports to a relay, or is one, until the context ends. A process that starts does
// so as soon as it has found the others.
func (n *Node) relay(ctx context.Context) {
	for !n.relayStep(ctx) {
		if n.clock.Since(n.start) > lookedBy || n.clock.Sleep(ctx, relayPoll) != nil {
			break
		}
	}
	n.clock.Every(ctx, pair.Round, func(time.Time) { n.relayStep(ctx) })
}

// relayStep does a round, if the fleet is large, and tells whether it did.
func (n *Node) relayStep(ctx context.Context) bool {
	n.mu.Lock()
	large := pair.Interval(n.peers.size()) > pair.Round
	n.mu.Unlock()
	if large {
		n.relayRound(ctx, n.clock.Now())
	}
	return large
}

func (n *Node) relayRound(ctx context.Context, now time.Time) {
	r := n.report(relayWindows)
	n.mu.Lock()
	n.book.Expire(now)
	ordered := n.hallNodes(now, n.s.Hall)
	if !slices.Contains(relay.Relays(ordered), n.s.Node) {
		n.mu.Unlock()
		if len(ordered) > 0 {
			n.reportTo(ctx, relay.ReportTargets(n.s.Node, ordered)[0], r)
		}
		return
	}
	n.book.ApplyReport(now, message.ReportFromWire(r))
	_, version := n.view.KnownVersion(n.s.Node)
	d := n.book.Digest(now, n.s.Node, version)
	n.home = n.s.Node
	n.mu.Unlock()
	n.takeDigest(n.s.Node, d)
	n.swapAll(ctx, now)
}

// hallNodes returns the nodes of a hall that may be its relays, in order. The node's lock is
// held.
func (n *Node) hallNodes(now time.Time, hall string) []string {
	nodes := make(map[string]float64)
	if hall == n.s.Hall && !n.isLeaving() {
		nodes[n.s.Node] = n.s.Cores
	}
	for _, p := range n.peers.peers {
		failed := !p.relaying.failed.IsZero() && p.heard.Before(p.relaying.failed) && now.Sub(p.relaying.failed) < relayFailed
		if p.hall == hall && !p.leaving && !failed && n.isThere(now, p) {
			nodes[p.name] = p.cores
		}
	}
	return relay.RankNodes(nodes)
}

// isThere tells whether another node is heard or stands in the registry. The node's lock is held.
func (n *Node) isThere(now time.Time, p *peer) bool {
	return now.Sub(p.heard) <= pair.UnresponsiveAfter(n.peers.size()) || now.Sub(p.listed) <= 2*memberLook
}

// relays returns some of the relays of all halls, as this node sees them: of a hall's nodes in order, those that a
// function of package relay picks. The node's lock is held.
func (n *Node) relays(now time.Time, some func(ordered []string) []string) []string {
	list := some(n.hallNodes(now, n.s.Hall))
	for hall := range n.s.Halls {
		if hall != n.s.Hall {
			list = append(list, some(n.hallNodes(now, hall))...)
		}
	}
	slices.Sort(list)
	return list
}

// reportTo tells a relay what this node has, and takes in what it knows of the others.
func (n *Node) reportTo(ctx context.Context, name string, r *wire.NodeReport) {
	n.mu.Lock()
	p := n.peers.peers[name]
	lifetime, version := n.view.KnownVersion(name)
	n.mu.Unlock()
	if p == nil {
		return
	}
	c, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	a, err := p.client.Gather(c, connect.NewRequest(&wire.GatherRequest{Report: r, Lifetime: lifetime, Version: version}))
	n.noteRelay(p, err)
	if err == nil {
		n.mu.Lock()
		n.book.OwnNodeMoved(name)
		n.mu.Unlock()
		n.takeGathered(name, a.Msg)
	}
}

// takeGathered takes in what a relay answered.
func (n *Node) takeGathered(name string, a *wire.GatherResponse) {
	n.takeDigest(name, message.DigestFromWire(a))
	n.hearSuspicions(a.Suspicions, name)
	n.hearLimits(a.Limits, name)
}

// noteRelay takes in whether a relay answered.
func (n *Node) noteRelay(p *peer, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err == nil {
		if n.home != p.name {
			n.home = p.name
			n.log.Info("relay_in_use", zap.String("relay", p.name))
		}
		return
	}
	p.relaying.failed = n.clock.Now()
	if n.home == p.name {
		n.home = ""
	}
	n.log.Info("relay_failed", zap.String("relay", p.name), zap.String("cause", err.Error()))
}

// takeDigest takes in what a relay knows of the other nodes.
func (n *Node) takeDigest(name string, d relay.Digest) {
	n.mu.Lock()
	now := n.clock.Now()
	words := n.view.ApplyDigest(now, name, d)
	covered := make(map[string]bool, len(words))
	for _, w := range words {
		covered[w.Node] = true
		if p := n.peers.peers[w.Node]; p != nil && !(p.lifetime == w.Incarnation && p.sequence > w.Sequence) {
			n.quotas.ApplyUpdate(now, quota.Update{Node: w.Node, Incarnation: w.Incarnation, Sequence: w.Sequence, Uptime: w.Uptime, Age: w.Age, Charged: w.Spent})
		}
	}
	n.relayed, n.covered, n.rollouts.others = now, covered, d.Trials
	n.hearWords(now, d.Trials, name)
	if name == n.s.Node {
		n.settle(d.Shares)
	}
	n.mu.Unlock()
	n.pools.ApplyPeerLoads(d.Shares, covered, d.Placed)
	n.takeReach(d.Reachability)
}

// takeReach takes in what the other nodes of the hall couldn't reach.
func (n *Node) takeReach(r pool.Reachability) {
	for _, h := range n.pools.ApplyReachability(r) {
		n.log.Info("hall_cut_off", zap.String("hall", h), zap.Int("unreached", len(r.Unreachable)), zap.Duration("answered", r.LastResponse[h]))
	}
}

// settle notes that this node places the requests of the nodes of its own share, and drops
// those that the share tells of by now. The node's lock is held.
func (n *Node) settle(shares []pool.PeerLoad) {
	shares[0].Complete = true
	n.pools.DropReported(func(node string, at time.Time) bool { return n.book.LastSeen(node).After(at.Add(reportTakes)) })
}

// swapAll swaps with the other relays whose turn it is.
func (n *Node) swapAll(ctx context.Context, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var others []pair.Peer
	for _, name := range n.relays(now, relay.Relays) {
		if p := n.peers.peers[name]; p != nil {
			others = append(others, pair.Peer{Name: name, LastSeen: p.relaying.swapped, LastCalled: p.relaying.called, Busy: p.relaying.busy})
		}
	}
	for _, name := range pair.Due(now, n.s.Node, others) {
		p := n.peers.peers[name]
		p.relaying.busy, p.relaying.called = true, now
		go n.swap(ctx, p)
	}
}

// swap tells another relay of this one's nodes, and takes in its word of its own.
func (n *Node) swap(ctx context.Context, p *peer) {
	c, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	n.mu.Lock()
	g, client := n.groupFor(p.name, p.relaying.lifetime, p.relaying.version), p.client
	n.mu.Unlock()
	a, err := client.Swap(c, connect.NewRequest(&wire.SwapRequest{Group: g}))
	if err == nil && a.Msg.Group == nil {
		err = errNoGroup
	}
	n.mu.Lock()
	p.relaying.busy = false
	if err != nil {
		if now := n.clock.Now(); p.relaying.failed.Before(p.heard) || now.Sub(p.relaying.failed) > relayFailed {
			n.log.Info("swap_failed", zap.String("relay", p.name), zap.String("cause", err.Error()))
			p.relaying.failed = now
		}
		n.mu.Unlock()
		return
	}
	n.mu.Unlock()
	n.takeGroup(a.Msg.Group)
}

// errNoGroup says that a relay's answer holds nothing.
var errNoGroup = errs.NewType("no_group").New("the relay's answer is empty")

// groupFor is this relay's word for another one that knows it up to a version. The node's
// lock is held.
func (n *Node) groupFor(name, lifetime string, version uint64) *wire.Group {
	v := n.book.Group(n.clock.Now(), n.book.BaseVersion(lifetime, version))
	v.Share.Loads = append(v.Share.Loads, n.pools.Pending()...)
	g := message.GroupToWire(v)
	g.KnownLifetime, g.KnownVersion = n.book.KnownVersion(name)
	g.Suspicions = n.suspicions()
	g.Limits = message.LimitsToWire(n.clock.Now(), n.pools.Limits())
	return g
}

// takeGroup takes in another relay's word of its nodes.
func (n *Node) takeGroup(w *wire.Group) {
	n.hearSuspicions(w.Suspicions, w.Relay)
	n.hearLimits(w.Limits, w.Relay)
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	g := message.GroupFromWire(w)
	n.book.MergeGroup(now, g)
	for _, c := range g.Changes {
		n.usage.Merge(c.Node, c.Incarnation, c.Started)
	}
	if n.home == n.s.Node {
		shares := n.book.Shares(now, n.s.Node)
		n.settle(shares)
		n.pools.ApplyPeerLoads(shares, n.covered, nil)
	}
	if p := n.peers.peers[g.Relay]; p != nil {
		p.relaying.swapped, p.relaying.lifetime, p.relaying.version = now, w.KnownLifetime, w.KnownVersion
	}
}

// Gather takes in a report, and answers with what this node knows of the others.
func (s *edgeService) Gather(ctx context.Context, r *connect.Request[wire.GatherRequest]) (*connect.Response[wire.GatherResponse], error) {
	if r.Msg.Report == nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("the report is missing"))
	}
	n, v := s.n, r.Msg.Report
	n.takeIn(context.WithoutCancel(ctx), v)
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	n.book.ApplyReport(now, message.ReportFromWire(v))
	d := n.book.Digest(now, v.Node, n.book.BaseVersion(r.Msg.Lifetime, r.Msg.Version))
	a := message.DigestToWire(d)
	a.Suspicions = n.suspicions()
	a.Limits = message.LimitsToWire(now, n.pools.Limits())
	return connect.NewResponse(a), nil
}

// Swap takes in another relay's word, and answers with this one's.
func (s *edgeService) Swap(_ context.Context, r *connect.Request[wire.SwapRequest]) (*connect.Response[wire.SwapResponse], error) {
	g := r.Msg.Group
	if g == nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("the group is missing"))
	}
	s.n.takeGroup(g)
	s.n.mu.Lock()
	defer s.n.mu.Unlock()
	return connect.NewResponse(&wire.SwapResponse{Group: s.n.groupFor(g.Relay, g.KnownLifetime, g.KnownVersion)}), nil
}
