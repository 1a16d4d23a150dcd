package edge

import (
	"context"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/capacity"
	"spurhall.example/spurhall/internal/message"
	"spurhall.example/spurhall/internal/pair"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/quota"
	"spurhall.example/spurhall/internal/rollout"
	"spurhall.example/spurhall/internal/usage"
	"spurhall.example/spurhall/internal/wire"
	"spurhall.example/spurhall/internal/wire/wireconnect"
)

// This file is what nodes tell each other: pairs swap reports, paced by package pair. A report
// is the whole state of the moment or counts since the process began: a lost one is made
// good by the next.

const (
	reportTimeout = 600 * time.Millisecond
	// lookedBy is how old a process is when the nodes that it has heard from count as all
	// there are, if the registry can't be read: some rounds.
	lookedBy = time.Second
)

// peer is another node as this one knows it.
type peer struct {
	name     string
	address  string
	hall     string // empty: not heard yet
	leaving  bool
	storeUp  bool // the store answers it
	cores    float64
	lifetime string
	sequence uint64
	heard    time.Time
	called   time.Time // by this node
	listed   time.Time // last seen in the store's registry
	busy     bool      // a call is under way
	silent   bool      // its silence was logged
	failure  string    // of the last call; empty: it was answered
	client   wireconnect.EdgeClient
	seldom   wireconnect.EdgeClient // the same, without keeping a connection
	version  int64                  // of its catalog
	revision int64                  // of its upstream list
	work     map[string]capacity.Work
	trials   []rollout.Update
	reach    pool.Reachability
	relaying relaying
}

// table is the other nodes. Its fields are guarded by the node's lock.
type table struct {
	n         *Node
	peers     map[string]*peer
	transport *http.Client
	once      *http.Client // closes its connections: for pairs that swap seldom
	sequence  uint64
}

// keepPairs is how often pairs have to swap for their connections to be kept in between. A
// connection takes 40 kB, half of it at each end (BenchmarkPeerConnections), so a node of 300
// held 6 MB for peers that it calls each six seconds. Opening them anew is some 25 a second.
const keepPairs = 2 * time.Second

func newTable(n *Node) *table {
	d := &net.Dialer{Timeout: reportTimeout}
	return &table{
		n: n, peers: make(map[string]*peer),
		transport: &http.Client{Transport: &http.Transport{
			DialContext: d.DialContext, MaxIdleConnsPerHost: 2, IdleConnTimeout: 10 * time.Second, DisableCompression: true,
		}},
		once: &http.Client{Transport: &http.Transport{DialContext: d.DialContext, DisableKeepAlives: true, DisableCompression: true}},
	}
}

// size is the number of nodes that share quotas and budgets, this one included.
func (t *table) size() int { return len(t.peers) + 1 }

func (t *table) get(name, address string) *peer {
	p := t.peers[name]
	if p == nil {
		p = &peer{name: name}
		t.peers[name] = p
		t.n.notePeer("peer_found", zap.String("peer", name), zap.String("address", address))
	}
	if p.address != address {
		p.address = address
		p.client = t.client(address)
		p.seldom = wireconnect.NewEdgeClient(t.once, "http://"+address)
	}
	return p
}

func (t *table) client(address string) wireconnect.EdgeClient {
	return wireconnect.NewEdgeClient(t.transport, "http://"+address)
}

// pair returns what a pair's reports go through.
func (t *table) pair(p *peer) wireconnect.EdgeClient {
	if pair.Interval(t.size()) > keepPairs {
		return p.seldom
	}
	return p.client
}

// due returns the nodes to call in this round.
func (t *table) due(now time.Time) []*peer {
	others := make([]pair.Peer, 0, len(t.peers))
	for _, p := range t.peers {
		others = append(others, pair.Peer{Name: p.name, LastSeen: p.heard, LastCalled: p.called, Busy: p.busy})
	}
	var list []*peer
	for _, name := range pair.Due(now, t.n.s.Node, others) {
		list = append(list, t.peers[name])
	}
	return list
}

// names returns the other nodes' names.
func (t *table) names() []string {
	r := make([]string, 0, len(t.peers))
	for n := range t.peers {
		r = append(r, n)
	}
	return r
}

// rounds reports to the others until the context ends.
func (n *Node) rounds(ctx context.Context) {
	n.clock.Every(ctx, pair.Round, func(now time.Time) { n.round(ctx, now) })
}

func (n *Node) round(ctx context.Context, now time.Time) {
	report := n.report(pairWindows)
	n.mu.Lock()
	n.noteSuspension()
	n.shareQuotas(now)
	n.guard.SetRates(n.share())
	n.usage.Forget(n.clock.Wall())
	heard, silent := 0, pair.UnresponsiveAfter(n.peers.size())
	for _, p := range n.peers.peers {
		if now.Sub(p.heard) <= silent {
			heard++
		} else if !p.silent && !p.heard.IsZero() {
			p.silent = true
			n.notePeer("peer_silent", zap.String("peer", p.name), zap.Duration("for", now.Sub(p.heard)), zap.String("last_call", p.failure))
		}
	}
	call := n.peers.due(now)
	for _, p := range call {
		p.busy, p.called = true, now
	}
	n.shareLimits(now)
	n.tellPeers()
	n.weighTrials(now)
	reach, relayed := n.hallReach(now), now.Sub(n.relayed) <= relayedFor
	n.mu.Unlock()
	if !relayed {
		n.takeReach(reach)
	}
	peersHeard.Set(int64(heard))
	for _, p := range call {
		go n.tell(ctx, p, report)
	}
}

// noteSuspension tells that the VM was suspended: what was believed before is older than the
// steady clock says, and timers come late. The node's lock is held.
func (n *Node) noteSuspension() {
	if d := n.clock.Suspended(); d > n.suspended {
		n.log.Warn("vm_suspended", zap.Duration("for", d-n.suspended), zap.Duration("in_all", d))
		n.suspended = d
	}
}

// hallReach is what the other nodes of this hall have told of whom they couldn't reach. The
// node's lock is held.
func (n *Node) hallReach(now time.Time) pool.Reachability {
	var sum pool.Reachability
	for _, p := range n.peers.peers {
		if p.hall == n.s.Hall {
			sum = sum.Merge(p.reach, now.Sub(p.heard))
		}
	}
	return sum
}

// knowsOthers tells whether what this process knows of other nodes is taken for all there are. One that has just
// begun and that the store doesn't answer isn't alone, though it has heard of nobody. The node's lock is held.
func (n *Node) knowsOthers(now time.Time) bool { return n.looked || now.Sub(n.start) > lookedBy }

// shareQuotas begins a new span of the quotas once every pair has had its turn.
func (n *Node) shareQuotas(now time.Time) {
	if n.knowsOthers(now) {
		n.quotas.SetPeers(now, n.peers.names())
	}
	every, lag := pair.Interval(n.peers.size()), time.Duration(0)
	if now.Sub(n.relayed) <= relayedFor {
		every, lag = min(every, relaySpan), relayLag
	}
	if now.Sub(n.shared) < every-pair.Round/2 {
		return
	}
	n.shared = now
	n.quotas.StartRound(now, every, lag)
}

// tell swaps reports with one node.
func (n *Node) tell(ctx context.Context, p *peer, r *wire.NodeReport) {
	c, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	n.mu.Lock()
	client := n.peers.pair(p)
	n.mu.Unlock()
	a, err := client.Report(c, connect.NewRequest(&wire.ReportRequest{Report: r}))
	n.mu.Lock()
	p.busy, p.failure = false, ""
	if err != nil {
		p.failure = err.Error()
	}
	n.mu.Unlock()
	if err == nil && a.Msg.Report != nil {
		n.takeIn(ctx, a.Msg.Report)
	}
}

// pairWindows is how many usage windows a report to another node tells of: the one under way
// and those that a holder of the duties may still have to report.
const pairWindows = 5

// report is this node's state, with the counts of so many of the newest usage windows.
func (n *Node) report(windows int64) *wire.NodeReport {
	loads, placed := n.pools.Report()
	r := &wire.NodeReport{
		Node: n.s.Node, Lifetime: n.o.Incarnation, Address: n.s.Peers, ListRevision: n.pools.Revision(), ListChange: n.pools.LastChange(),
		UptimeMs: n.clock.Since(n.start).Milliseconds(), StoreUp: n.guard.Up(), Leaving: n.isLeaving(), Hall: n.s.Hall, Cores: n.s.Cores,
	}
	if h := n.catalog.Load(); h != nil {
		r.CatalogVersion = h.catalog.Version()
	}
	r.Reach = message.ReachToWire(n.pools.Reachability())
	r.Suspicions = n.suspicions()
	r.Limits = message.LimitsToWire(n.clock.Now(), n.pools.Limits())
	r.Loads, r.Placed = message.LoadsToWire(loads), message.PlacementsToWire(placed)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peers.sequence++
	r.Sequence = n.peers.sequence
	r.Spent = message.SpentToWire(n.quotas.Charged())
	r.Trials = message.TrialsToWire(n.words())
	r.Started = message.StartedToWire(n.newest(n.usage.Own(), windows))
	for v, w := range n.pools.Work() {
		r.Work = append(r.Work, &wire.Work{Service: v, Reading: w.Prefill, Slots: w.Slots, Memory: w.Memory})
	}
	for v, e := range n.pools.Learned() {
		r.Engines = append(r.Engines, &wire.Engine{Service: v, Reading: e.Reading, First: e.First, Token: e.Token, Samples: int32(e.Samples)})
	}
	return r
}

// newest is the newest of some windows.
func (n *Node) newest(w usage.Windows, windows int64) usage.Windows {
	r := make(usage.Windows, windows)
	for k := n.usage.Window(n.clock.Wall()); windows > 0; k, windows = k-1, windows-1 {
		if c := w[k]; c != nil {
			r[k] = c
		}
	}
	return r
}

// takeIn takes in another node's report.
func (n *Node) takeIn(ctx context.Context, r *wire.NodeReport) {
	if r.GetNode() == "" || r.Node == n.s.Node {
		return
	}
	if !n.admitReport(r) {
		return
	}
	n.hearEra(r.Node, r.ListChange)
	n.hearSuspicions(r.Suspicions, r.Node)
	n.hearLimits(r.Limits, r.Node)
	engines := make(map[string]capacity.Engine, len(r.Engines))
	for _, v := range r.Engines {
		engines[v.Service] = capacity.Engine{Reading: v.Reading, First: v.First, Token: v.Token, Samples: int(v.Samples)}
	}
	n.pools.ApplyReport(r.Node, message.LoadsFromWire(r.Loads), message.PlacementsFromWire(r.Placed), engines)
	n.noteChange(r.Node, r.ListChange)
	n.catchUp(ctx, r)
}

// admitReport takes in what adds up, and tells whether the report is news.
func (n *Node) admitReport(r *wire.NodeReport) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	p := n.peers.get(r.Node, r.Address)
	if p.lifetime == r.Lifetime && r.Sequence <= p.sequence {
		return false
	}
	if p.lifetime != r.Lifetime || now.Sub(p.heard) > pair.UnresponsiveAfter(n.peers.size()) {
		n.notePeer("peer_heard", zap.String("peer", r.Node), zap.String("lifetime", r.Lifetime), zap.Int64("catalog", r.CatalogVersion))
	}
	p.lifetime, p.sequence, p.heard, p.silent = r.Lifetime, r.Sequence, now, false
	p.version, p.revision, p.hall, p.leaving, p.storeUp, p.cores = r.CatalogVersion, r.ListRevision, r.Hall, r.Leaving, r.StoreUp, r.Cores
	p.trials, p.reach = message.TrialsFromWire(r.Trials), message.ReachFromWire(r.Reach)
	n.hearWords(now, p.trials, r.Node)
	p.work = make(map[string]capacity.Work, len(r.Work))
	for _, v := range r.Work {
		p.work[v.Service] = capacity.Work{Prefill: v.Reading, Slots: v.Slots, Memory: v.Memory}
	}
	n.quotas.ApplyUpdate(now, quota.Update{Node: r.Node, Incarnation: r.Lifetime, Sequence: r.Sequence, Uptime: message.FromMillis(r.UptimeMs), Charged: message.SpentFromWire(r.Spent)})
	n.usage.Merge(r.Node, r.Lifetime, message.StartedFromWire(r.Started))
	return true
}

// catchUp asks a node that knows more, when the store doesn't tell this one.
func (n *Node) catchUp(ctx context.Context, r *wire.NodeReport) {
	have := int64(-1)
	if c := n.current(); c != nil {
		have = c.Version()
	}
	stale := !n.guard.Up() && r.StoreUp && r.ListRevision > n.pools.Revision()
	if r.CatalogVersion <= have && !stale {
		return
	}
	go n.askFor(ctx, r.Node, have)
}

func (n *Node) askFor(ctx context.Context, name string, have int64) {
	n.mu.Lock()
	p := n.peers.peers[name]
	if p == nil || p.client == nil {
		n.mu.Unlock()
		return
	}
	client := p.client
	n.mu.Unlock()
	c, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	a, err := client.CatchUp(c, connect.NewRequest(&wire.CatchUpRequest{CatalogVersion: have, ListRevision: n.pools.Revision()}))
	if err != nil {
		n.log.Info("catch_up_failed", zap.String("peer", name), zap.String("cause", err.Error()))
		return
	}
	if a.Msg.CatalogVersion > have && len(a.Msg.Catalog) > 0 {
		n.accept(a.Msg.Catalog, name)
	}
	n.takeList(name, a.Msg)
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range a.Msg.Reports {
		n.usage.Merge(r.Node, r.Lifetime, message.StartedFromWire(r.Started))
	}
}

// takeList takes a peer's upstream list while the store doesn't answer this node.
func (n *Node) takeList(name string, m *wire.CatchUpResponse) {
	if m.ListRevision <= n.pools.Revision() || n.guard.Up() {
		return
	}
	items := message.ItemsFromWire(m.List)
	n.update(name, func(now time.Time, l *pool.List) { l.Replace(now, m.ListRevision, items) })
	n.listed.Store(true)
	n.knowsMore()
}

// edgeService is what other nodes may ask of this one.
type edgeService struct{ n *Node }

// Report swaps reports.
func (s *edgeService) Report(ctx context.Context, r *connect.Request[wire.ReportRequest]) (*connect.Response[wire.ReportResponse], error) {
	if r.Msg.Report != nil {
		s.n.takeIn(context.WithoutCancel(ctx), r.Msg.Report)
	}
	return connect.NewResponse(&wire.ReportResponse{Report: s.n.report(pairWindows)}), nil
}

// CatchUp gives what the asker lacks.
func (s *edgeService) CatchUp(_ context.Context, r *connect.Request[wire.CatchUpRequest]) (*connect.Response[wire.CatchUpResponse], error) {
	a := &wire.CatchUpResponse{}
	if h := s.n.catalog.Load(); h != nil && h.catalog.Version() > r.Msg.CatalogVersion {
		a.Catalog, a.CatalogVersion = h.raw, h.catalog.Version()
	}
	if v := s.n.pools.Revision(); v > r.Msg.ListRevision {
		a.ListRevision, a.List = v, s.n.itemsToWire()
	}
	s.n.mu.Lock()
	defer s.n.mu.Unlock()
	s.n.usage.EachOther(func(node, lifetime string, w usage.Windows) {
		a.Reports = append(a.Reports, &wire.NodeReport{Node: node, Lifetime: lifetime, Started: message.StartedToWire(w)})
	})
	return connect.NewResponse(a), nil
}
