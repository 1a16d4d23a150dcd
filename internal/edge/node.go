// Package edge implements the node of one entry VM on the users' platform: it owns the components and runs
// a goroutine for each background task.
//
//	watch.go      follows the configuration and the upstream list in the store
//	listage.go    decides whether the upstream list is recent enough to choose from
//	watchers.go   decides which nodes watch the store; the others follow them
//	peers.go      exchanges reports with the other nodes (package peer)
//	relay.go      exchanges them through relays in a large fleet
//	members.go    registers this node, and applies how the others are discovered (packages registration, bootstrap)
//	quarantine.go shares crash evidence about requests
//	lineage.go    shares which version began a stream
//	limits.go     shares the rate limits that upstreams set for all nodes together
//	rollouts.go   moves traffic to upstreams of another version
//	duties.go     runs the duties of the lease holder, such as usage reports
//	records.go    connects the records for the next holder (package handover) with quotas and usage
//	uplink.go     connects package uplink, which opens connections to upstreams, with the other nodes
//	serve.go      listeners, readiness, planned stop
//
// A request holds no lock for longer than a map look-up and never waits for the store: agreed state
// (configuration, upstreams) is cached here and updated in the background, and shared state (quotas, the
// retry budget, load) is split into per-node parts of a sum.
package edge

import (
	"context"
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/accept"
	"spurhall.example/spurhall/internal/bootstrap"
	"spurhall.example/spurhall/internal/call"
	"spurhall.example/spurhall/internal/capacity"
	"spurhall.example/spurhall/internal/catalog"
	"spurhall.example/spurhall/internal/changelog"
	"spurhall.example/spurhall/internal/duty"
	"spurhall.example/spurhall/internal/era"
	"spurhall.example/spurhall/internal/follow"
	"spurhall.example/spurhall/internal/forward"
	"spurhall.example/spurhall/internal/handover"
	"spurhall.example/spurhall/internal/lag"
	"spurhall.example/spurhall/internal/lease"
	"spurhall.example/spurhall/internal/lineage"
	"spurhall.example/spurhall/internal/link"
	"spurhall.example/spurhall/internal/logging"
	"spurhall.example/spurhall/internal/memory"
	"spurhall.example/spurhall/internal/peer"
	"spurhall.example/spurhall/internal/peerload"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/quarantine"
	"spurhall.example/spurhall/internal/quota"
	"spurhall.example/spurhall/internal/registration"
	"spurhall.example/spurhall/internal/relay"
	"spurhall.example/spurhall/internal/retry"
	"spurhall.example/spurhall/internal/rollout"
	"spurhall.example/spurhall/internal/roster"
	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/timer"
	"spurhall.example/spurhall/internal/uplink"
	"spurhall.example/spurhall/internal/upstream"
	"spurhall.example/spurhall/internal/usage"
)

// Options configures a node. Its functions implement the platform's protocol; the node itself knows none of
// the platform's names.
type Options struct {
	Settings    *Settings
	Incarnation string // unique for this process
	Clock       *timer.Service
	Log         *zap.Logger
	KV          store.KV
	Era         *era.Tracker // receives the era of each response of KV before the response is returned
	Cloud       duty.Cloud
	Dialect     call.Dialect
	// CatalogKey and EntryPrefix locate the configuration and the upstreams in the store; DecodeCatalog and
	// DecodeEntry decode their values.
	CatalogKey string
	// OperatorPrefix is the prefix of all keys that the operators write: CatalogKey and the roll-out orders
	// below OrderPrefix among them.
	OperatorPrefix string
	OrderPrefix    string
	DecodeOrder    func(key string, value []byte) (rollout.Order, error)
	// EncodeStatus returns the key and value of a roll-out's status, which the operators read.
	EncodeStatus  func(o rollout.Order, s rollout.Stage) (key string, value []byte, err error)
	EntryPrefix   string
	DecodeCatalog func(b []byte) (*catalog.Catalog, error)
	DecodeEntry   func(key string, value []byte) (pool.Entry, error)
	// FetchCachedParts asks the engine at an address which prompt parts it has cached; nil if no engine can
	// say.
	FetchCachedParts func(ctx context.Context, address string) ([]call.Part, call.Response, error)
	// DialUpstream opens connections to upstreams; nil: over the node's own network.
	DialUpstream upstream.DialFunc
}

// Node is the process of one entry VM.
type Node struct {
	options  Options
	settings *Settings
	clock    *timer.Service
	log      *zap.Logger
	start    time.Time
	guard    *store.Guard
	kv       store.KV
	era      *era.Tracker
	pools    *pool.Pools
	uplink   *uplink.Uplink
	lines    *forward.Connections
	link     *link.Link
	budget   *memory.Budget // of requests and responses
	front    *forward.Server
	streams  *lineage.Keeper
	// savedStreams stores them for the next process.
	savedStreams *handover.Streams
	quarantine   *quarantine.Tracker // tracks requests that crash upstreams
	lease        *lease.Lease

	catalogFollower   *follow.Reader
	listFollower      *follow.Reader
	unreadableEntries follow.Unreadable
	unreadableOrders  follow.Unreadable
	invalidCatalog    atomic.Pointer[string] // why the last one that was rejected can't be used; nil: one was valid since
	unknownNames      unknownNames
	changes           *changelog.Log
	source            *follow.Source // what this node has for its followers
	follower          *follow.Follower
	confirmed         follow.Confirmation // of the upstream list
	step              follow.Step
	missed            *follow.Missed
	catchUps          follow.CatchUps
	lag               *lag.Monitor
	load              *peerload.Meter // of calls between nodes

	catalog         atomic.Pointer[activeCatalog]
	listed          atomic.Bool               // the upstream list has been read at least once
	storeRestoredAt atomic.Pointer[time.Time] // when the store was last restored from a copy; nil: not during this process
	registryPoller  *registration.Poller
	noNewsAt        atomic.Pointer[time.Time] // when a watcher last answered that it isn't in touch with the store; nil: never
	staleList       atomic.Bool               // the list was too old to choose from when it was last looked at
	partial         atomic.Bool               // the upstream list leaves out upstreams of other halls (pool.ScopeKept)
	holdsSeat       atomic.Bool               // this node reads the store for its hall while the whole system starts
	initOnce        sync.Once
	initialized     chan struct{} // closed once the configuration and the upstream list are present
	phase           atomic.Int32  // of a planned stop, as a forward.Phase
	frontListener   atomic.Pointer[accept.Listener]

	mu             sync.Mutex // guards the fields below
	quotas         *quota.Quotas
	spans          quota.Spans
	reportSequence uint64
	reportedSpent  map[string]float64 // what the last report says that this process has charged, by workspace
	retryWindows   map[string]*retry.Window
	role           roster.Role
	lookup         bootstrap.Lookup // of other nodes, while the registry isn't read
	registry       *roster.Registry
	// registrySentAt is when a watcher last sent or confirmed the registry, and registryAppliedAt when that was
	// last applied.
	registrySentAt    time.Time
	registryAppliedAt time.Time
	usage             *usage.Tracker
	peers             *peer.Table
	aggregator        *relay.Aggregator // state of this node as a relay
	relayView         relay.View        // state received from this node's relay
	home              relay.Home        // of this node
	placeRetryAt      time.Time         // no relay is asked to place a request before this time
	requestAt         time.Time         // when a request of this node last started at an upstream
	limitSharing      roster.Sharing

	streamVersions   map[string][]string // versions that may have begun streams, by service, when the list last changed
	lacksList        follow.Lack         // of what other nodes' lists have
	listRestartedAt  time.Time           // when the list was last read anew because of that
	loggedSuspension time.Duration       // total suspension of the VM at the last log line
	rollouts         rollouts
}

// activeCatalog is the configuration in force, with the raw bytes for peers that request it.
type activeCatalog struct {
	catalog *catalog.Catalog
	raw     []byte
}

// storeBackoff bounds how long the store isn't called after failures. Upstreams whose entries lapsed are
// kept for two seconds after the store's return, so the return has to be noticed well within that.
const storeBackoff = 300 * time.Millisecond

// dutyKey is the store key of the duties' lease.
const dutyKey = "spurhall/duty"

// New returns a node that isn't started.
func New(o Options) *Node {
	s := o.Settings
	n := &Node{options: o, settings: s, clock: o.Clock, log: o.Log, start: o.Clock.Now(), initialized: make(chan struct{}), retryWindows: make(map[string]*retry.Window), streamVersions: make(map[string][]string)}
	n.role.StartedAt = n.start
	n.lag, n.load = lag.New(o.Clock, o.Log), peerload.New(o.Clock, o.Log)
	n.pools = pool.New(o.Clock, s.Node, s.Hall)
	n.pools.SetSenders(nil, nil) // until the other nodes are known
	n.link, n.budget = n.newLink(), n.newBudget()
	n.uplink = n.newUplink(o.DialUpstream)
	n.lines = forward.NewConnections(o.Clock, n.uplink.Dial)
	n.quotas = quota.New(n.start, s.FirstStart)
	n.usage = usage.New(s.Node, o.Incarnation, s.UsageWindow)
	n.peers = n.newPeers()
	n.registry = roster.NewRegistry()
	n.registryPoller = n.newPoller()
	n.aggregator = relay.NewAggregator(s.Node, o.Incarnation)
	n.quarantine = quarantine.NewTracker(s.Node)
	n.rollouts = newRollouts()
	n.catalogFollower = n.newCatalogFollower()
	n.listFollower = n.newListFollower()
	n.changes = changelog.New()
	n.source, n.follower = n.newSource(), n.newFollower()
	reads, writes := n.storeRates()
	n.guard = store.NewGuard(o.Clock, store.GuardOptions{Reads: reads, Writes: writes, MaxBackoff: storeBackoff})
	n.era = o.Era
	n.era.OnRise(n.onEraRise)
	n.kv = n.guard.Wrap(store.WithEra(o.KV, o.Era))
	n.streams, n.missed = n.newStreamKeeper(), n.newMissed()
	n.lease = lease.New(n.kv, o.Clock, dutyKey, s.Node, max(s.LeaseTTL, s.Store.MinLease))
	n.front = forward.NewServer(forward.Options{
		Clock: o.Clock, Log: o.Log, Dialect: o.Dialect, Pools: n.pools, Connections: n.lines, Ready: n.initialized, Catalog: n.currentCatalog,
		ListAge: n.listAge, Place: n.placeByRelay, Charge: n.charge, Refund: n.refund, CountStarted: n.countStarted, RecordFirstAttempt: n.countFirstAttempt, AllowRetry: n.allowRetry, ReturnRetry: n.returnRetry, Late: n.lag.Late, ObserveResponse: n.observeResponse, Phase: n.stopPhase, Memory: n.budget, Link: n.link, Quarantine: n.quarantine, MayProbe: n.holdsDuties, HallReachable: n.reachesHall,
		Trials:  forward.Trials{Offer: n.offerTrial, Return: n.returnOffer, Record: n.recordResponse, Overtaken: n.recordOvertaken},
		Lineage: forward.Lineage{Tell: n.streams.Tell, Find: n.streams.Find, AwaitVersions: n.streams.AwaitRestored, Sight: n.sight},
	})
	return n
}

// storeRates returns this node's part of the store's call rates, per second.
func (n *Node) storeRates() (reads, writes float64) {
	k := float64(n.peers.Size())
	return n.settings.Store.Reads / k, n.settings.Store.Writes / k
}

func (n *Node) currentCatalog() *catalog.Catalog {
	if h := n.catalog.Load(); h != nil {
		return h.catalog
	}
	return nil
}

// catalogVersion returns the version of the configuration in force; -1: there is none.
func (n *Node) catalogVersion() int64 {
	if c := n.currentCatalog(); c != nil {
		return c.Version()
	}
	return -1
}

// signalInitialized releases the requests that wait for the configuration and the upstream list, once both
// are present.
func (n *Node) signalInitialized() {
	if n.currentCatalog() != nil && n.listed.Load() {
		n.initOnce.Do(func() { close(n.initialized) })
	}
}

// applyCatalog puts a configuration in force unless it is older than the current one.
func (n *Node) applyCatalog(raw []byte, source string) {
	c, err := n.options.DecodeCatalog(raw)
	if err != nil {
		reason := logging.Shorten(err.Error())
		if old := n.invalidCatalog.Swap(&reason); old == nil || *old != reason {
			n.log.Error("catalog_invalid", zap.String("source", source), zap.String("cause", reason))
		}
		return
	}
	n.invalidCatalog.Store(nil)
	n.mu.Lock()
	defer n.mu.Unlock()
	old := n.catalog.Load()
	if old != nil && c.Version() <= old.catalog.Version() {
		return
	}
	n.catalog.Store(&activeCatalog{catalog: c, raw: raw})
	n.signalInitialized()
	n.changes.Announce()
	limits := make(map[string]quota.Limit)
	for _, w := range c.Workspaces() {
		limits[w.Name()] = quota.Limit{Rate: w.Rate(), Burst: w.Burst()}
	}
	n.quotas.SetLimits(n.clock.Now(), limits)
	for _, name := range c.Services() {
		if e := c.Service(name).Engine; e != nil {
			n.pools.SetSize(name, capacity.Size{Slots: e.Slots, Memory: float64(e.CacheTokens), Fetch: e.FetchTokensPerMs})
		}
	}
	n.limitCallers()
	catalogVersion.Set(c.Version())
	n.log.Info("catalog_in_force", zap.Int64("version", c.Version()), zap.String("source", source))
}

func (n *Node) charge(workspace string, tokens float64) quota.Verdict {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.quotas.Charge(n.clock.Now(), workspace, tokens)
}

func (n *Node) refund(workspace string, tokens float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.quotas.Refund(workspace, tokens)
}

// countStarted counts by the wall clock, which defines the usage windows.
func (n *Node) countStarted(workspace string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.usage.Add(n.clock.Wall(), workspace)
	n.requestAt = n.clock.Now()
}

// retryBudgetShare is the part of the operators' retry budget that is used: nodes differ for a moment on how many share it.
const retryBudgetShare = 0.7

func (n *Node) retryWindow(service string) *retry.Window {
	a := retryBudgetShare * n.settings.RetryExtra / max(float64(n.peers.Size()), n.quotas.Nodes())
	w := n.retryWindows[service]
	if w == nil {
		w = retry.NewWindow(retryBudgetShare*n.settings.RetryRatio, a, n.settings.RetryWindow)
		if !n.settings.FirstStart {
			w.WithholdExtra(n.settings.RetryWindow)
		}
		n.retryWindows[service] = w
	}
	w.SetExtra(a)
	return w
}

func (n *Node) countFirstAttempt(service string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.retryWindow(service).First(n.clock.Since(n.start))
}

func (n *Node) allowRetry(service string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.retryWindow(service).Take(n.clock.Since(n.start))
}

func (n *Node) returnRetry(service string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.retryWindow(service).Return(n.clock.Since(n.start))
}

var (
	catalogVersion  = expvar.NewInt("catalog_version")
	storeUp         = expvar.NewMap("store_up") // by reader: 0 connected, -1 disconnected
	upstreamEvents  = expvar.NewMap("upstream_events")
	responsivePeers = expvar.NewInt("peers_heard")
)
