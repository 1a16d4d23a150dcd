package edge

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/capacity"
	"spurhall.example/spurhall/internal/message"
	"spurhall.example/spurhall/internal/pair"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/quota"
	"spurhall.example/spurhall/internal/reply"
	"spurhall.example/spurhall/internal/rollout"
	"spurhall.example/spurhall/internal/roster"
	"spurhall.example/spurhall/internal/usage"
	"spurhall.example/spurhall/internal/wire"
	"spurhall.example/spurhall/internal/wire/wireconnect"
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

// peer is another node as this node knows it.
type peer struct {
	roster.Peer
	incarnation    string
	sequence       uint64
	lastFailure    string // of the last call; empty: it succeeded
	clientMu       sync.Mutex
	client         wireconnect.EdgeClient   // nil: not called yet (peerTable.clientOf)
	catalogVersion int64                    // of its configuration
	listRevision   int64                    // of its upstream list
	work           map[string]capacity.Work // sent to engines since its process started; nil: none
	workAt         time.Time                // when it had sent that
	trials         []rollout.Update
	reach          pool.Reachability
	relay          relayState
}

// peerTable holds the other nodes. Its fields are guarded by the node's lock.
type peerTable struct {
	n         *Node
	peers     map[string]*peer
	keepAlive *http.Client
	// oneShot closes its connections, for pairs that swap seldom. A connection takes 40 kB, half of it at each end
	// (BenchmarkPeerConnections), so a node of 300 held 6 MB for peers that it calls every six seconds. Reopening
	// them takes some 25 connections a second.
	oneShot  *http.Client
	sequence uint64
	fallback pair.Fallback // calls of peers that no relay names
}

// view returns the fleet as this node sees it. The node's lock is held while the view is used.
func (n *Node) view(now time.Time) roster.View {
	s := n.settings
	return roster.View{
		Now: now, Size: n.peers.size(), Regions: s.Halls,
		Self: roster.Peer{Name: s.Node, Hall: s.Hall, Cores: s.Cores, Leaving: n.isLeaving(), StoreUp: n.guard.Up()},
		Peers: func(yield func(*roster.Peer) bool) {
			for _, p := range n.peers.peers {
				if !yield(&p.Peer) {
					return
				}
			}
		},
	}
}

func newPeerTable(n *Node) *peerTable {
	d := &net.Dialer{Timeout: reportTimeout}
	return &peerTable{
		n: n, peers: make(map[string]*peer),
		keepAlive: &http.Client{Transport: n.load.Transport(reply.NewTransport(&http.Transport{
			DialContext: d.DialContext, MaxIdleConnsPerHost: 2, IdleConnTimeout: 10 * time.Second, DisableCompression: true, MaxResponseHeaderBytes: message.MaxHeader,
		}))},
		oneShot: &http.Client{Transport: n.load.Transport(reply.NewTransport(&http.Transport{DialContext: d.DialContext, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: message.MaxHeader}))},
	}
}

// size returns the number of nodes that share quotas and budgets, this one included.
func (t *peerTable) size() int { return len(t.peers) + 1 }

func (t *peerTable) getOrAdd(name, address string) *peer {
	p := t.peers[name]
	if p == nil {
		p = &peer{Peer: roster.Peer{Name: name}}
		p.FoundAt = t.n.clock.Now()
		t.peers[name] = p
		t.n.logPeer("peer_found", zap.String("peer", name), zap.String("address", address))
	}
	if p.Address != address {
		p.clientMu.Lock()
		defer p.clientMu.Unlock()
		p.Address, p.client = address, nil
	}
	return p
}

// clientOf returns the client for calls of a peer. It is created with the first call: a client takes 13 kB, and
// a node of a large fleet calls few of its peers.
func (t *peerTable) clientOf(p *peer) wireconnect.EdgeClient {
	p.clientMu.Lock()
	defer p.clientMu.Unlock()
	if p.client == nil {
		p.client = t.newClient(p.Address)
	}
	return p.client
}

func (t *peerTable) newClient(address string) wireconnect.EdgeClient {
	return wireconnect.NewEdgeClient(t.keepAlive, "http://"+address, message.Bounded())
}

// pairClient returns the client for the reports of a pair.
func (t *peerTable) pairClient(p *peer) wireconnect.EdgeClient {
	if !pair.Suffice(t.size()) {
		return wireconnect.NewEdgeClient(t.oneShot, "http://"+p.Address, message.Bounded())
	}
	return t.clientOf(p)
}

// names returns the names of the other nodes.
func (t *peerTable) names() []string {
	r := make([]string, 0, len(t.peers))
	for n := range t.peers {
		r = append(r, n)
	}
	return r
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
	round := n.view(now).Round(&n.peers.fallback)
	for _, p := range round.Silent {
		n.logPeer("peer_silent", zap.String("peer", p.Name), zap.Duration("for", now.Sub(p.LastSign(n.peers.size()))), zap.String("last_call", n.peers.peers[p.Name].lastFailure))
	}
	due := make([]*peer, 0, len(round.Due))
	for _, name := range round.Due {
		due = append(due, n.peers.peers[name])
	}
	n.updateLimitSenders(now)
	n.flushPeerLog()
	n.evaluateTrials(now)
	reach, relayed := n.hallReach(now), now.Sub(n.digestAt) <= digestLifetime
	n.mu.Unlock()
	if !relayed {
		n.applyReach(reach)
	}
	n.leaveTunnels(round.Leaving)
	responsivePeers.Set(int64(round.Responsive))
	for _, p := range due {
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

// hallReach combines the reports of this hall's other nodes on what they couldn't reach. The node's lock is
// held.
func (n *Node) hallReach(now time.Time) pool.Reachability {
	var sum pool.Reachability
	for _, p := range n.peers.peers {
		if p.Hall == n.settings.Hall {
			sum = sum.Merge(p.reach, now.Sub(p.LastSeen))
		}
	}
	return sum
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
	every, lag := pair.Interval(n.peers.size()), time.Duration(0)
	if now.Sub(n.digestAt) <= digestLifetime {
		every, lag = min(every, relayQuotaSpan), maxRelayLag
	}
	if now.Sub(n.spanStartedAt) < every-pair.Round/2 {
		return
	}
	n.spanStartedAt = now
	n.quotas.StartRound(now, every, lag)
	n.logQuotaSharing()
}

// setQuotaPeers sets the nodes that share quotas: those that are known, and those that must be assumed besides. The node's lock
// is held.
func (n *Node) setQuotaPeers(now time.Time) {
	unnamed := 0
	if !n.role.RegistryRead && !n.lookup.Complete() && !n.settings.FirstStart {
		unnamed = n.view(now).Unnamed()
	}
	n.quotas.SetKnownPeers(now, n.peers.names(), unnamed)
}

// logQuotaSharing logs how many nodes share the quotas in this node's view, when that has changed. The node's lock is held.
func (n *Node) logQuotaSharing() {
	s := n.quotas.Sharing()
	if s == n.quotaSharing {
		return
	}
	n.quotaSharing = s
	n.log.Info("quota_shared", zap.Int("nodes", s.Nodes), zap.Int("heard", s.Heard), zap.Int("silent", s.Silent), zap.Int("unnamed", s.Unnamed), zap.Bool("known", s.Known), zap.Stringer("levels", s.Start))
}

// swapReports swaps reports with one peer.
func (n *Node) swapReports(ctx context.Context, p *peer, r *wire.NodeReport) {
	c, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	n.mu.Lock()
	client := n.peers.pairClient(p)
	n.mu.Unlock()
	a, err := client.Report(c, connect.NewRequest(&wire.ReportRequest{Report: r}))
	n.mu.Lock()
	p.Calling, p.lastFailure = false, ""
	if err != nil {
		p.lastFailure = err.Error()
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
	n.peers.sequence++
	r.Sequence = n.peers.sequence
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
	p := n.peers.getOrAdd(r.Node, r.Address)
	if p.incarnation == r.Lifetime && r.Sequence <= p.sequence {
		return false
	}
	if p.incarnation != r.Lifetime || !p.IsResponsive(now, n.peers.size()) {
		n.logPeer("peer_heard", zap.String("peer", r.Node), zap.String("lifetime", r.Lifetime), zap.Int64("catalog", r.CatalogVersion))
	}
	p.incarnation, p.sequence, p.LastSeen = r.Lifetime, r.Sequence, now
	p.catalogVersion, p.listRevision, p.Hall, p.Leaving, p.StoreUp, p.Cores = r.CatalogVersion, r.ListRevision, r.Hall, r.Leaving, r.StoreUp, r.Cores
	p.trials, p.reach = message.TrialsFromWire(r.Trials), message.ReachFromWire(r.Reach)
	n.mergeTrials(now, p.trials, r.Node)
	p.work, p.workAt = message.WorkFromWire(r.Work), now
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
	p := n.peers.peers[name]
	if p == nil || p.Address == "" {
		n.mu.Unlock()
		return
	}
	client := n.peers.clientOf(p)
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
	p := n.peers.peers[name]
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
