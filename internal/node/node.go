// Package node puts one spurhalld together: it owns the parts, starts a goroutine
// for each duty, and stops them in order.
//
//	node.go      the parts and their wiring
//	exchange.go  peers: facts and configuration revisions
//	observe.go   the platform's VM list and notices; upstreams' loads
//	serve.go     accepted requests: running, holding, handing over, finding
//	peer.go      what peers may ask of this node
//	scale.go     the hall's leader and its VM orders
//	drain.go     stopping and leaving
package node

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"expvar"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/chart"
	"spurhall.example/spurhall/internal/claim"
	"spurhall.example/spurhall/internal/config"
	"spurhall.example/spurhall/internal/dispatch"
	"spurhall.example/spurhall/internal/ingress"
	"spurhall.example/spurhall/internal/job"
	"spurhall.example/spurhall/internal/member"
	"spurhall.example/spurhall/internal/request"
	"spurhall.example/spurhall/internal/route"
	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/timeline"
	"spurhall.example/spurhall/internal/timer"
	"spurhall.example/spurhall/internal/upstream"
)

// Options sets a node.
type Options struct {
	VM            string // the VM's id in the VM list
	Hall          string
	Zone          string
	PeerAddress   string
	Seeds         []string
	Clock         *timer.Service
	Log           *zap.Logger
	KV            store.KV
	Cloud         store.Cloud
	PlatformRate  float64 // calls a second that the platform takes in all
	Policy        route.Policy
	CrossHallLatency     time.Duration
	ExchangeInterval      time.Duration // between two exchanges
	PeerTransport http.RoundTripper
	PeerScheme    string
	Autoscale     bool // take part in leading this hall's VM orders
	// Blocked cuts this node off from a peer address, for tests of a cut network.
	Blocked func(address string) bool
}

// Node is one daemon.
type Node struct {
	o              Options
	id             string
	clock          *timer.Service
	log            *timeline.Log
	lifecycle           *chart.Life
	guard          *store.Guard
	kv             store.KV
	table          *member.Table
	view           *config.View
	store          *config.Store
	claims         *claim.Manager
	journal        *job.Journal
	registry       *request.Registry
	dispatcher     *dispatch.Dispatcher
	client         *upstream.Client
	ingress        *ingress.Server
	peers          *peers
	ctx            context.Context
	cancel         context.CancelFunc
	duties         sync.WaitGroup
	lastNotice        int64
	missingFromList         map[string]bool
	openJobs           map[string]string // open jobs of the journal and their owners, if followed
	sequence       uint64
	cachedLive           []member.Record // see liveNodes
	cachedLiveAt         time.Time
	cachedLiveVersion uint64
	intervals          atomic.Pointer[reportIntervals]
	mu             sync.Mutex
}

// New returns a node that isn't running yet.
func New(o Options) *Node {
	id := newID(o.VM)
	n := &Node{
		o: o, id: id, clock: o.Clock, log: timeline.New(id, o.Clock, o.Log),
		lifecycle: chart.Load("node").Begin(), view: config.NewView(), registry: request.NewRegistry(),
		missingFromList: make(map[string]bool), openJobs: make(map[string]string),
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.guard = store.NewGuard(o.Clock, store.GuardOptions{Reads: o.PlatformRate, Writes: o.PlatformRate / 4})
	n.kv = n.guard.Wrap(o.KV)
	n.store = config.NewStore(n.kv)
	n.journal = job.New(n.kv, o.Clock, commitInterval)
	n.client = upstream.NewClient(o.Clock, upstream.Options{ConnectTimeout: 500 * time.Millisecond, IdlePerHost: 64})
	n.table = member.NewTable(n.onFact)
	n.peers = newPeers(n)
	n.dispatcher = dispatch.New(dispatch.Options{
		Node: id, Hall: o.Hall, Clock: o.Clock, Client: n.client, Table: n.table, Policy: o.Policy, Distance: o.CrossHallLatency,
		Nodes: func() int { return len(n.liveNodes()) },
		Event: n.log.Add, ExchangeSoon: n.peers.exchangeNow, HallReachable: n.peers.hallReachable,
	})
	n.claims = claim.NewManager(claim.Options{
		Member: claim.Member{ID: id, Hall: o.Hall, Address: o.PeerAddress, VM: o.VM}, KV: n.kv, Up: n.guard.Up,
		PeerUp: n.peers.anyPeerHasPlatform, Clock: o.Clock, Send: n.peers.sendClaim, ProxyWrite: n.peers.claimByProxy, ProxyErase: n.peers.eraseByProxy,
		Event:    func(name, detail string) { n.log.Add(name, "", detail) },
		Interval: claimInterval, Timeout: promiseTimeout,
	})
	n.ingress = ingress.New(ingress.Options{
		Node: id, Clock: o.Clock, View: n.view, Dispatcher: n.dispatcher, Registry: n.registry, Claims: n.claims,
		Ready: func() bool { return n.lifecycle.Is("ready") }, Start: n.start, AcceptJob: n.acceptJob, Find: n.find,
	})
	return n
}

const (
	commitInterval = 10 * time.Millisecond
	claimInterval  = 2 * time.Millisecond
	promiseTimeout = 500 * time.Millisecond
)

const idBytes = 4

func newID(vm string) string {
	b := make([]byte, idBytes)
	_, _ = rand.Read(b)
	return vm + "-" + hex.EncodeToString(b)
}

// vmOf returns the VM that a node's id was made for.
func vmOf(id string) string {
	return id[:max(0, len(id)-1-2*idBytes)]
}

// ID returns the node's id, which is new with each process.
func (n *Node) ID() string { return n.id }

// Hall returns the node's hall.
func (n *Node) Hall() string { return n.o.Hall }

// State returns where the node is in its life.
func (n *Node) State() string { return n.lifecycle.State() }

// Timeline returns the node's events.
func (n *Node) Timeline() *timeline.Log { return n.log }

// View returns the configuration in force.
func (n *Node) View() *config.View { return n.view }

// Store returns the configuration's store.
func (n *Node) Store() *config.Store { return n.store }

// Table returns what is known of the other VMs.
func (n *Node) Table() *member.Table { return n.table }

// Registry returns the requests held here.
func (n *Node) Registry() *request.Registry { return n.registry }

// Claims returns the node's claims.
func (n *Node) Claims() *claim.Manager { return n.claims }

// Clock returns the node's clock.
func (n *Node) Clock() *timer.Service { return n.clock }

// PlatformUp tells whether the platform answered lately.
func (n *Node) PlatformUp() bool { return n.guard.Up() }

// Callers returns the callers' interface.
func (n *Node) CallerHandler() http.Handler { return n.ingress.Handler() }

// Dispatcher returns the pools.
func (n *Node) Dispatcher() *dispatch.Dispatcher { return n.dispatcher }

// Accept puts a snapshot in force here at once, if it is newer.
func (n *Node) Accept(s config.Snapshot, from string) {
	err := n.view.Apply(s)
	switch {
	case err == nil:
		n.log.Add("config_in_force", "", fmt.Sprintf("revision %d by %s, from %s", s.Revision, s.Author, from))
		n.publishOwnFact()
		n.peers.exchangeNow() // the others hear of it now, and pull it
	case !config.IsStale(err):
		n.log.Add("config_refused", "", err.Error())
	}
}

// duty runs f in a goroutine of its own until the node stops.
func (n *Node) startDuty(f func(ctx context.Context)) {
	n.duties.Add(1)
	go func() {
		defer n.duties.Done()
		f(n.ctx)
	}()
}

// Start begins the duties and makes the node ready.
func (n *Node) Start() {
	n.publishOwnFact()
	n.startDuty(n.claims.Run)
	n.startDuty(n.journal.Run)
	n.startDuty(n.peers.run)
	n.startDuty(n.followConfig)
	n.startDuty(n.pollVMs)
	n.startDuty(n.pollNotices)
	n.startDuty(n.pollLoads)
	n.startDuty(n.watchJobs)
	n.startDuty(n.sweep)
	n.startDuty(n.sharePlatformRate)
	n.startDuty(n.becomeReady)
	if n.o.Autoscale {
		n.startDuty(n.scale)
	}
}

// becomeReady opens the node to callers as soon as it has a configuration, or after
// a while without one: it may be the first node ever.
func (n *Node) becomeReady(ctx context.Context) {
	c, stop := n.clock.After(readyTimeout)
	defer stop()
	select {
	case <-n.view.Changed():
	case <-c:
	case <-ctx.Done():
		return
	}
	if n.lifecycle.Fire("ready") == nil {
		n.log.Add("node_ready", "", fmt.Sprintf("hall %s, revision %d", n.o.Hall, n.view.Revision()))
	}
}

const readyTimeout = 2 * time.Second

// followConfig watches the head. One node of a hall does, the rest learn from their
// peers; a node that hears of no other in its hall watches itself.
func (n *Node) followConfig(ctx context.Context) {
	for ctx.Err() == nil {
		if !n.hasDuty("config", 1) {
			_ = n.clock.Sleep(ctx, time.Second)
			continue
		}
		x, cancel := context.WithCancel(ctx)
		n.startDuty(func(context.Context) { n.cancelOnDutyLoss(x, "config", cancel) })
		err := n.store.Follow(x, func(s config.Snapshot) {
			if s.Revision > 0 {
				n.Accept(s, "platform")
			}
		})
		cancel()
		if err != nil && !errors.Is(err, context.Canceled) {
			_ = n.clock.Sleep(ctx, time.Second)
		}
	}
}

// A heartbeat takes a few exchanges to reach all nodes of a hall.
const (
	minHallTimeout    = 3 * time.Second
	hallTimeoutExchanges = 8
)

func (n *Node) liveNodes() []member.Record {
	now := n.clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cachedLive != nil && now.Sub(n.cachedLiveAt) < liveCacheTTL && n.table.NodesVersion() == n.cachedLiveVersion {
		return n.cachedLive
	}
	near := n.hallTimeout()
	n.cachedLive = n.table.SelectRecords(func(f *member.Fact, at time.Time) bool {
		limit := near
		if f.Hall != n.o.Hall {
			limit += 2 * n.currentIntervals().crossHallInterval
		}
		return f.Kind == member.KindNode && f.Status == member.StatusLive && (f.ID == n.id || now.Sub(at) < limit)
	})
	n.cachedLiveAt, n.cachedLiveVersion = now, n.table.NodesVersion()
	return n.cachedLive
}

const (
	// liveFor is how long a list of live nodes is used again: it is asked for at every
	// decision about who does what, and changes rarely.
	liveCacheTTL = 200 * time.Millisecond
)

const (
	nodesPerHeartbeatExchange   = 8
	loadIntervalPerVM     = 75 * time.Millisecond
	maxLoadInterval   = 5 * time.Second
	crossHallIntervalPerNode    = 200 * time.Millisecond
	minCrossHallInterval   = 20 * time.Second
	minHeartbeatExchanges = 2
)

// observeSelf tells the others of this node as it is now.
func (n *Node) publishOwnFact() {
	n.mu.Lock()
	n.sequence++
	f := member.Fact{
		ID: n.id, Kind: member.KindNode, Incarnation: 1, Status: member.StatusLive, Sequence: n.sequence,
		Hall: n.o.Hall, Zone: n.o.Zone, Address: n.o.PeerAddress, ConfigRevision: n.view.Revision(),
		Running: int32(n.openCalls()),
	}
	n.mu.Unlock()
	if n.lifecycle.Is("draining") {
		f.Status = member.StatusLeaving
	}
	n.table.Observe(n.clock.Now(), f)
}

func (n *Node) openCalls() int64 {
	if n.ingress == nil {
		return 0
	}
	return n.ingress.InFlight()
}

// onFact acts on a change of a VM's status, and passes it on at once.
func (n *Node) onFact(old, now member.Fact) {
	if now.Status <= member.StatusLive || now.ID == n.id {
		return
	}
	if old.Incarnation != now.Incarnation && old.ID != "" || old.ID == "" {
		return // a VM that is first heard of as leaving was never used here
	}
	n.log.Add("vm_"+now.Status.String(), "", now.ID)
	n.peers.exchangeNow()
	if now.Kind == member.KindUpstream {
		go n.dispatcher.MoveStreams(n.ctx, now, n.noticeRemaining(&now))
	}
}

// Published metrics of the process.
var metrics = struct {
	nodes, upstreams, requests, revision, open *expvar.Int
}{
	expvar.NewInt("nodes_live"), expvar.NewInt("upstreams_live"), expvar.NewInt("requests_held"),
	expvar.NewInt("config_revision"), expvar.NewInt("callers_open"),
}

// sweep forgets what is over, and brings the metrics up to date.
func (n *Node) sweep(ctx context.Context) {
	n.clock.Every(ctx, time.Second, func(now time.Time) {
		n.registry.Sweep(now.Add(-responseRetention))
		n.table.Forget(now.Add(-goneRetention))
		n.peers.forget(now.Add(-goneRetention))
		n.stopAbandoned(now)
		metrics.nodes.Set(int64(len(n.liveNodes())))
		metrics.upstreams.Set(int64(len(n.table.Select(func(f *member.Fact) bool {
			return f.Kind == member.KindUpstream && f.Status == member.StatusLive
		}))))
		metrics.requests.Set(int64(len(n.registry.List(func(*request.Request) bool { return true }))))
		metrics.revision.Set(int64(n.view.Revision()))
		metrics.open.Set(n.openCalls())
	})
}

const (
	responseRetention = 60 * time.Second
	goneRetention    = 10 * time.Minute
	// callerGrace is how long a stream goes on after its caller has left: the caller
	// may come back through another node.
	callerGrace = 30 * time.Second
)

func (n *Node) stopAbandoned(now time.Time) {
	for _, r := range n.registry.List(func(r *request.Request) bool { return !r.Job() }) {
		if since, alone := r.Record().UnreadSince(); alone && now.Sub(since) > callerGrace {
			r.Cancel()
		}
	}
}
