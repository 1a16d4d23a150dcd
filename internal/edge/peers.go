package edge

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/message"
	"spurhall.example/spurhall/internal/pair"
	"spurhall.example/spurhall/internal/peer"
	"spurhall.example/spurhall/internal/quota"
	"spurhall.example/spurhall/internal/roster"
	"spurhall.example/spurhall/internal/usage"
	"spurhall.example/spurhall/internal/wire"
)

// This file exchanges state between nodes: pairs of nodes swap reports, paced by package pair. A report
// holds the whole current state, or counts since the process started, so the next one makes up for a lost
// one.

const (
	reportTimeout = 600 * time.Millisecond
	// peersWait is the age of a process from which on the nodes that it has received reports from count as all
	// nodes, if the registry can't be read: a few rounds.
	peersWait = time.Second
)

// view returns the fleet as this node sees it. The node's lock is held while the view is used.
func (n *Node) view(now time.Time) roster.View {
	s := n.settings
	return n.peers.View(now, roster.Peer{Name: s.Node, Hall: s.Hall, Cores: s.Cores, Leaving: n.isLeaving(), StoreUp: n.guard.Up()}, s.Halls)
}

func (n *Node) newPeers() *peer.Table {
	return peer.NewTable(peer.Options{Self: n.settings.Node, Hall: n.settings.Hall, Clock: n.clock, Log: n.log, Timeout: reportTimeout, Meter: n.load.Transport})
}

// runRounds reports to the peers until the context ends.
func (n *Node) runRounds(ctx context.Context) {
	n.clock.Every(ctx, pair.Round, func(now time.Time) {
		n.reportRound(ctx, now)
		n.askOthers(ctx, now)
		n.sight()
		n.missed.Check(ctx, now)
		n.front.TellNewStreams(now)
	})
}

func (n *Node) reportRound(ctx context.Context, now time.Time) {
	n.updateSpeeds()
	report := n.buildReport(pairWindows)
	n.mu.Lock()
	n.logSuspension()
	n.startQuotaSpan(now)
	n.guard.SetRates(n.storeRates())
	n.usage.Forget(n.clock.Wall())
	round := n.peers.Round(n.view(now))
	n.updateLimitSenders(now)
	n.peers.EndRound(n.view(now).IsWatcher())
	n.evaluateTrials(now)
	reach, relayed := n.peers.Reach(now), n.home.IsFresh(now)
	n.mu.Unlock()
	if !relayed {
		n.applyReach(reach)
	}
	n.leaveTunnels(round.Leaving)
	responsivePeers.Set(int64(round.Responsive))
	for _, p := range round.Due {
		go n.swapReports(ctx, p, report)
	}
}

// logSuspension logs that the VM was suspended: cached state is older than the monotonic clock indicates,
// and timers fire late. The node's lock is held.
func (n *Node) logSuspension() {
	if d := n.clock.Suspended(); d > n.loggedSuspension {
		n.log.Warn("vm_suspended", zap.Duration("for", d-n.loggedSuspension), zap.Duration("in_all", d))
		n.loggedSuspension = d
	}
}

// knowsPeers reports whether the known peers count as all other nodes. A process that has just started
// without reaching the store isn't the only node, though no peer has reported to it. The node's lock is held.
func (n *Node) knowsPeers(now time.Time) bool {
	return n.role.RegistryRead || n.lookup.Complete() || now.Sub(n.start) > peersWait
}

// startQuotaSpan starts a new span of the quotas once every pair has had its turn.
func (n *Node) startQuotaSpan(now time.Time) {
	if n.knowsPeers(now) {
		n.setQuotaPeers(now)
	}
	lag := time.Duration(0)
	if n.home.IsFresh(now) {
		lag = maxRelayLag
	}
	n.spans.Step(now, n.log, n.quotas, n.peers.Size(), lag)
}

// setQuotaPeers sets the nodes that share quotas: those that are known, and those that must be assumed besides. The node's lock
// is held.
func (n *Node) setQuotaPeers(now time.Time) {
	unnamed := 0
	if !n.role.RegistryRead && !n.lookup.Complete() && !n.settings.FirstStart {
		unnamed = n.view(now).Unnamed()
	}
	n.quotas.SetKnownPeers(now, n.peers.Names(), unnamed)
}

// swapReports swaps reports with one peer.
func (n *Node) swapReports(ctx context.Context, p *peer.Peer, r *wire.NodeReport) {
	c, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	n.mu.Lock()
	client := n.peers.PairClient(p)
	n.mu.Unlock()
	a, err := client.Report(c, connect.NewRequest(&wire.ReportRequest{Report: r}))
	n.mu.Lock()
	p.Calling, p.LastFailure = false, ""
	if err != nil {
		p.LastFailure = err.Error()
	}
	n.mu.Unlock()
	if err == nil && a.Msg.Report != nil {
		n.applyReport(ctx, a.Msg.Report)
	}
}

// pairWindows is how many usage windows a report to a peer contains: the current one and those that a holder
// of the duties may still have to report.
const pairWindows = 5

// buildReport returns this node's state, with the counts of the given number of newest usage windows.
func (n *Node) buildReport(windows int64) *wire.NodeReport {
	loads, placed := n.pools.Report()
	r := &wire.NodeReport{
		Node: n.settings.Node, Lifetime: n.options.Incarnation, Address: n.settings.Peers, ListRevision: n.pools.Revision(), ListChange: n.pools.LastChange(),
		UptimeMs: n.clock.Since(n.start).Milliseconds(), StoreUp: n.guard.Up(), Leaving: n.isLeaving(), Hall: n.settings.Hall, Cores: n.settings.Cores,
	}
	if h := n.catalog.Load(); h != nil {
		r.CatalogVersion = h.catalog.Version()
	}
	if !n.uplink.Lost() { // what a node can't reach says nothing of upstreams when its own network is lost
		r.Reach = message.ReachToWire(n.pools.Reachability())
	}
	r.Suspicions = n.suspicions()
	r.Limits = message.LimitsToWire(n.clock.Now(), n.pools.Limits())
	if n.swapsAllPairs() {
		r.Speeds = message.SeenSpeedsToWire(n.pools.SeenSpeeds())
	}
	r.Loads, r.Placed = message.LoadsToWire(loads), message.PlacementsToWire(placed)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.reportSequence++
	r.Sequence = n.reportSequence
	n.reportedSpent = n.quotas.Charged()
	r.Spent = message.SpentToWire(n.reportedSpent)
	r.Trials = message.TrialsToWire(n.trialUpdates())
	r.Started = message.StartedToWire(n.usage.Own().Newest(n.usage.Window(n.clock.Wall()), windows))
	r.Work, r.Engines = message.WorkToWire(n.pools.Work()), message.EnginesToWire(n.pools.Learned())
	return r
}

// applyReport applies a peer's report, and reports whether it is newer than the last one.
func (n *Node) applyReport(ctx context.Context, r *wire.NodeReport) bool {
	if r.GetNode() == "" || r.Node == n.settings.Node {
		return false
	}
	if !n.mergeReport(r) {
		return false
	}
	if n.swapsAllPairs() {
		n.mergeSeenSpeeds(r)
	}
	n.mergeEra(r.Node, r.ListChange)
	n.mergeSuspicions(r.Suspicions, r.Node)
	n.mergeLimits(r.Limits, r.Node)
	n.pools.ApplyReport(r.Node, message.LoadsFromWire(r.Loads), message.PlacementsFromWire(r.Placed), message.EnginesFromWire(r.Engines))
	n.recordListChange(r.Node, r.ListChange)
	n.catchUp(ctx, r)
	return true
}

// mergeReport merges the cumulative parts of a report, and reports whether it is newer than the last one.
func (n *Node) mergeReport(r *wire.NodeReport) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	p := n.peers.Apply(now, &peer.Report{
		Name: r.Node, Address: r.Address, Hall: r.Hall, Incarnation: r.Lifetime, Sequence: r.Sequence, CatalogVersion: r.CatalogVersion, Cores: r.Cores,
		Leaving: r.Leaving, StoreUp: r.StoreUp, Work: message.WorkFromWire(r.Work), Trials: message.TrialsFromWire(r.Trials), Reach: message.ReachFromWire(r.Reach),
	})
	if p == nil {
		return false
	}
	n.mergeTrials(now, p.Trials, r.Node)
	n.quotas.ApplyUpdate(now, quota.Update{Node: r.Node, Incarnation: r.Lifetime, Sequence: r.Sequence, Uptime: message.FromMillis(r.UptimeMs), Leaving: r.Leaving, Charged: message.SpentFromWire(r.Spent)})
	n.usage.Merge(r.Node, r.Lifetime, message.StartedFromWire(r.Started))
	return true
}

// catchUp requests newer state from the sender of a report if this node can't get it from the store.
func (n *Node) catchUp(ctx context.Context, r *wire.NodeReport) {
	have := n.catalogVersion()
	stale := !n.guard.Up() && r.StoreUp && r.ListRevision > n.pools.Revision()
	if n.catchUps.Hear(n.clock.Now(), r.CatalogVersion, have, stale) {
		go n.requestCatchUp(ctx, r.Node, have)
	}
}

func (n *Node) requestCatchUp(ctx context.Context, name string, have int64) {
	defer n.catchUps.End()
	n.mu.Lock()
	p := n.peers.Get(name)
	if p == nil || p.Address == "" {
		n.mu.Unlock()
		return
	}
	client := n.peers.Client(p)
	n.mu.Unlock()
	c, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	a, err := client.CatchUp(c, connect.NewRequest(&wire.CatchUpRequest{CatalogVersion: have, ListRevision: n.pools.Revision()}))
	if err != nil {
		n.log.Info("catch_up_failed", zap.String("peer", name), zap.String("cause", err.Error()))
		return
	}
	if c := n.currentCatalog(); len(a.Msg.Catalog) > 0 && (c == nil || a.Msg.CatalogVersion > c.Version()) {
		n.applyCatalog(a.Msg.Catalog, name)
	}
	n.applyList(name, a.Msg)
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range a.Msg.Reports {
		n.usage.Merge(r.Node, r.Lifetime, message.StartedFromWire(r.Started))
	}
}

// applyList applies a peer's upstream list while the store is unavailable to this node.
func (n *Node) applyList(name string, m *wire.CatchUpResponse) {
	if m.ListRevision <= n.pools.Revision() || n.guard.Up() || m.Partial && !n.isOfOwnHall(name) {
		return // a partial list of another hall has few upstreams of this one
	}
	n.partial.Store(m.Partial)
	n.replaceList(name, m.ListRevision, message.ItemsFromWire(m.List))
}

func (n *Node) isOfOwnHall(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.peers.Get(name)
	return p != nil && p.Hall == n.settings.Hall
}

// edgeService serves the calls of other nodes.
type edgeService struct{ n *Node }

// Report swaps reports.
func (s *edgeService) Report(ctx context.Context, r *connect.Request[wire.ReportRequest]) (*connect.Response[wire.ReportResponse], error) {
	if r.Msg.Report != nil {
		s.n.applyReport(context.WithoutCancel(ctx), r.Msg.Report)
	}
	return connect.NewResponse(&wire.ReportResponse{Report: s.n.buildReport(pairWindows)}), nil
}

// CatchUp returns what the caller lacks.
func (s *edgeService) CatchUp(_ context.Context, r *connect.Request[wire.CatchUpRequest]) (*connect.Response[wire.CatchUpResponse], error) {
	if r.Msg.WantsMembers {
		return connect.NewResponse(s.n.nameMembers(r.Msg.WantsLevels)), nil
	}
	a := &wire.CatchUpResponse{}
	if h := s.n.catalog.Load(); h != nil && h.catalog.Version() > r.Msg.CatalogVersion {
		a.Catalog, a.CatalogVersion = h.raw, h.catalog.Version()
	}
	if v := s.n.pools.Revision(); v > r.Msg.ListRevision {
		a.ListRevision, a.List, a.Partial = v, message.ItemsToWire(s.n.pools.Items()), s.n.partial.Load()
	}
	s.n.mu.Lock()
	defer s.n.mu.Unlock()
	s.n.usage.EachOther(func(node, incarnation string, w usage.Windows) {
		a.Reports = append(a.Reports, &wire.NodeReport{Node: node, Lifetime: incarnation, Started: message.StartedToWire(w)})
	})
	return connect.NewResponse(a), nil
}
