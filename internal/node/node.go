// Package node assembles one spurhalld: it creates the components, starts a goroutine for each duty, and
// stops them in order.
//
//	node.go      the components and their wiring
//	exchange.go  peers: facts and configuration revisions
//	observe.go   the platform's VM list and notices; upstreams' loads
//	serve.go     accepted requests: running, holding, handing over, finding
//	jobs.go      takes over the jobs of owners that are gone
//	peer.go      the RPCs that peers call
//	proxy.go     claims written by a peer, while this node cannot reach the platform
//	pace.go      report intervals, duties and platform rates in proportion to the fleet
//	scale.go     the hall's leader and its VM orders
//	drain.go     stopping and leaving
package node

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"expvar"
	"fmt"
	"math"
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
	"spurhall.example/spurhall/internal/memory"
	"spurhall.example/spurhall/internal/request"
	"spurhall.example/spurhall/internal/route"
	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/timeline"
	"spurhall.example/spurhall/internal/timer"
	"spurhall.example/spurhall/internal/upstream"
)

// Options configures a node.
type Options struct {
	VM               string // the VM's id in the VM list
	Hall             string
	Zone             string
	PeerAddress      string
	Seeds            []string
	Clock            *timer.Service
	Log              *zap.Logger
	KV               store.KV
	Cloud            store.Cloud
	PlatformRate     float64 // calls per second that the platform accepts from all nodes
	Policy           route.Policy
	CrossHallLatency time.Duration
	ExchangeInterval time.Duration // between two rounds of exchanges
	PeerTransport    http.RoundTripper
	PeerScheme       string
	Autoscale        bool           // be a candidate for ordering this hall's VMs
	Memory           *memory.Budget // of callers' requests; nil: no bound
	// Blocked tells whether calls to a peer address are blocked, for tests of network partitions.
	Blocked func(address string) bool
}

// Node is one daemon.
type Node struct {
	o                 Options
	id                string
	clock             *timer.Service
	log               *timeline.Log
	lifecycle         *chart.Life
	guard             *store.Guard
	kv                store.KV
	table             *member.Table
	view              *config.View
	store             *config.Store
	claims            *claim.Manager
	journal           *job.Journal
	registry          *request.Registry
	dispatcher        *dispatch.Dispatcher
	client            *upstream.Client
	ingress           *ingress.Server
	peers             *peers
	ctx               context.Context
	cancel            context.CancelFunc
	duties            sync.WaitGroup
	lastNotice        int64
	missingFromList   map[string]bool
	openJobs          map[string]string // owners of the journal's open jobs by id, while this node follows the journal
	unansweredJobs    map[string]bool   // jobs whose takeover the store has not answered: they may be this node's
	sequence          uint64
	cachedLive        []member.Record // result of liveNodes
	cachedLiveAt      time.Time
	cachedLiveVersion uint64
	intervals         atomic.Pointer[reportIntervals]
	mu                sync.Mutex
}

// New returns a node that has not been started.
func New(o Options) *Node {
	id := newID(o.VM)
	n := &Node{
		o: o, id: id, clock: o.Clock, log: timeline.New(id, o.Clock, o.Log),
		lifecycle: chart.Load("node").Begin(), view: config.NewView(), registry: request.NewRegistry(),
		missingFromList: make(map[string]bool), openJobs: make(map[string]string), unansweredJobs: make(map[string]bool),
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
		Node: id, Clock: o.Clock, View: n.view, Dispatcher: n.dispatcher, Registry: n.registry, Claims: n.claims, Memory: cmp.Or(o.Memory, memory.New(o.Clock, math.MaxInt64, nil)),
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

// vmOf returns the VM that a node's id was generated for.
func vmOf(id string) string {
	return id[:max(0, len(id)-1-2*idBytes)]
}

// ID returns the node's id, which is generated anew by each process.
func (n *Node) ID() string { return n.id }

// Hall returns the node's hall.
func (n *Node) Hall() string { return n.o.Hall }

// State returns the current state of the node's lifecycle.
func (n *Node) State() string { return n.lifecycle.State() }

// Timeline returns the node's events.
func (n *Node) Timeline() *timeline.Log { return n.log }

// View returns the configuration in force.
func (n *Node) View() *config.View { return n.view }

// Store returns the store of configurations.
func (n *Node) Store() *config.Store { return n.store }

// Table returns the facts known about the other VMs.
func (n *Node) Table() *member.Table { return n.table }

// Registry returns the requests held here.
func (n *Node) Registry() *request.Registry { return n.registry }

// Claims returns the node's claims.
func (n *Node) Claims() *claim.Manager { return n.claims }

// Clock returns the node's clock.
func (n *Node) Clock() *timer.Service { return n.clock }

// PlatformUp reports whether the platform has responded recently.
func (n *Node) PlatformUp() bool { return n.guard.Up() }

// CallerHandler returns the handler of the callers' interface.
func (n *Node) CallerHandler() http.Handler { return n.ingress.Handler() }

// Dispatcher returns the dispatcher, which holds the pools.
func (n *Node) Dispatcher() *dispatch.Dispatcher { return n.dispatcher }

// Accept puts a snapshot in force on this node at once, if it is newer than the current one.
func (n *Node) Accept(s config.Snapshot, from string) {
	err := n.view.Apply(s)
	switch {
	case err == nil:
		n.log.Add("config_in_force", "", fmt.Sprintf("revision %d by %s, from %s", s.Revision, s.Author, from))
		n.publishOwnFact()
		n.peers.exchangeNow() // the peers learn of the revision now, and pull it
	case !config.IsStale(err):
		n.log.Add("config_refused", "", err.Error())
	}
}

// startDuty runs f in a goroutine of its own; its context ends when the node stops.
func (n *Node) startDuty(f func(ctx context.Context)) {
	n.duties.Add(1)
	go func() {
		defer n.duties.Done()
		f(n.ctx)
	}()
}

// Start starts the duties; the node becomes ready once it has a configuration.
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

// becomeReady opens the node to callers as soon as it has a configuration, or after readyTimeout without one:
// it may be the first node of a deployment.
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

// followConfig watches the head revision. One node of a hall watches it and the rest learn of changes from
// their peers; a node without a live peer in its hall watches it itself.
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

// How long a node of the hall may send no heartbeat before its duties are reassigned. A heartbeat needs a few
// exchanges to reach all nodes of a hall.
const (
	minHallTimeout       = 3 * time.Second
	hallTimeoutExchanges = 8
)

// liveNodes returns the live nodes whose last fact is recent enough, this node included.
func (n *Node) liveNodes() []member.Record {
	now := n.clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cachedLive != nil && now.Sub(n.cachedLiveAt) < liveCacheTTL && n.table.NodesVersion() == n.cachedLiveVersion {
		return n.cachedLive
	}
	timeout := n.hallTimeout()
	n.cachedLive = n.table.SelectRecords(func(f *member.Fact, at time.Time) bool {
		limit := timeout
		if f.Hall != n.o.Hall {
			limit += 2 * n.currentIntervals().crossHallInterval
		}
		return f.Kind == member.KindNode && f.Status == member.StatusLive && (f.ID == n.id || now.Sub(at) < limit)
	})
	n.cachedLiveAt, n.cachedLiveVersion = now, n.table.NodesVersion()
	return n.cachedLive
}

const (
	// liveCacheTTL is how long a list of live nodes is reused: every decision about the owner of a duty needs
	// it, and it changes rarely.
	liveCacheTTL = 200 * time.Millisecond
)

const (
	nodesPerHeartbeatExchange = 8                     // nodes of the hall per round between heartbeats
	loadIntervalPerVM         = 75 * time.Millisecond // load query interval per upstream of the hall
	maxLoadInterval           = 5 * time.Second
	crossHallIntervalPerNode  = 200 * time.Millisecond // by the live nodes of all halls
	minCrossHallInterval      = 20 * time.Second
	minHeartbeatExchanges     = 2 // rounds of exchanges
)

// publishOwnFact puts this node's current state into the table, from which it is sent to the peers.
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

// onFact handles a change of a VM's status and propagates it to the peers at once.
func (n *Node) onFact(old, now member.Fact) {
	if now.Status <= member.StatusLive || now.ID == n.id {
		return
	}
	if old.Incarnation != now.Incarnation && old.ID != "" || old.ID == "" {
		return // a VM that is already leaving when first seen was never used by this node
	}
	n.log.Add("vm_"+now.Status.String(), "", now.ID)
	n.peers.exchangeNow()
	if now.Kind == member.KindUpstream {
		go n.dispatcher.MoveStreams(n.ctx, now, n.noticeRemaining(&now))
	}
}

// metrics are the published metrics of the process.
var metrics = struct {
	nodes, upstreams, requests, revision, open *expvar.Int
}{
	expvar.NewInt("nodes_live"), expvar.NewInt("upstreams_live"), expvar.NewInt("requests_held"),
	expvar.NewInt("config_revision"), expvar.NewInt("callers_open"),
}

// sweep drops expired requests, facts and peers, and updates the metrics.
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
	goneRetention     = 10 * time.Minute
	// callerGrace is how long a stream continues after its caller has disconnected: the caller may reconnect
	// through another node.
	callerGrace = 30 * time.Second
)

func (n *Node) stopAbandoned(now time.Time) {
	for _, r := range n.registry.List(func(r *request.Request) bool { return !r.Job() }) {
		if since, alone := r.Record().UnreadSince(); alone && now.Sub(since) > callerGrace {
			r.Cancel()
		}
	}
}
