// Package edge is one entry VM's node on the users' platform: it owns the parts and
// runs a goroutine for each duty.
//
//	watch.go    follows the configuration and the upstreams in the store
//	peers.go    reports to the other nodes, and takes in theirs
//	relay.go    the same through relays, in a large fleet
//	members.go  registers this node, and knows the others
//	suspicions.go tells of requests that end upstreams
//	limits.go   tells of what upstreams take from all nodes together
//	rollouts.go moves traffic to upstreams of another version
//	duties.go   usage reports, by the node that holds the lease
//	serve.go    listeners, readiness, the planned stop
//
// A request touches no lock for longer than a map look-up and waits for no store: what
// is agreed (configuration, upstreams) is held here and followed in the background, and
// what is shared (quotas, the retry budget, load) is each node's part of a sum.
package edge

import (
	"context"
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/accept"
	"spurhall.example/spurhall/internal/call"
	"spurhall.example/spurhall/internal/capacity"
	"spurhall.example/spurhall/internal/catalog"
	"spurhall.example/spurhall/internal/duty"
	"spurhall.example/spurhall/internal/era"
	"spurhall.example/spurhall/internal/forward"
	"spurhall.example/spurhall/internal/lease"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/quarantine"
	"spurhall.example/spurhall/internal/quota"
	"spurhall.example/spurhall/internal/relay"
	"spurhall.example/spurhall/internal/retry"
	"spurhall.example/spurhall/internal/rollout"
	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/timer"
	"spurhall.example/spurhall/internal/usage"
)

// Options sets a node. The functions speak the platform's language; a node knows none
// of its names.
type Options struct {
	Settings    *Settings
	Incarnation string // unique for this process
	Clock       *timer.Service
	Log         *zap.Logger
	KV          store.KV
	Era         *era.Clock // hears of each answer of KV before it is returned
	Cloud       duty.Cloud
	Dialect     call.Dialect
	// CatalogKey and EntryPrefix are where the store keeps the configuration and the
	// upstreams; the functions read their values.
	CatalogKey string
	// OperatorPrefix begins all keys that the operators write, CatalogKey and those of orders
	// for roll-outs, which begin with OrderPrefix, among them.
	OperatorPrefix string
	OrderPrefix    string
	DecodeOrder    func(key string, value []byte) (rollout.Order, error)
	// EncodeStatus returns the key and the value of what operators read of a roll-out.
	EncodeStatus  func(o rollout.Order, s rollout.Stage) (key string, value []byte, err error)
	EntryPrefix   string
	DecodeCatalog func(b []byte) (*catalog.Catalog, error)
	DecodeEntry   func(key string, value []byte) (pool.Entry, error)
	// FetchCachedParts asks the engine at an address which prompt parts it has cached; nil: none can.
	FetchCachedParts func(ctx context.Context, address string) ([]call.Part, call.Answer, error)
}

// Node is one entry VM's process.
type Node struct {
	options    Options
	settings   *Settings
	clock      *timer.Service
	log        *zap.Logger
	start      time.Time
	guard      *store.Guard
	kv         store.KV
	era        *era.Clock
	pools      *pool.Pools
	lines      *forward.Lines
	front      *forward.Server
	quarantine *quarantine.Book // requests that end upstreams
	lease      *lease.Lease

	catalogFollower   *follower
	listFollower      *follower
	unreadableEntries unreadableEntries
	unknownNames      unknownNames
	changes           *changeFeed

	catalog         atomic.Pointer[activeCatalog]
	listed          atomic.Bool               // the upstreams have been read once
	storeRestoredAt atomic.Pointer[time.Time] // when the store last came back from a copy; nil: not while this process ran
	initOnce        sync.Once
	initialized     chan struct{} // closed when there are a configuration and upstreams
	phase           atomic.Int32  // of a planned stop, a forward.Phase
	frontListener   atomic.Pointer[accept.Listener]

	mu            sync.Mutex // for what follows
	quotas        *quota.Quotas
	retryWindows  map[string]*retry.Window
	spanStartedAt time.Time // when the quotas' present span began
	peersRead     bool      // the registry of the nodes has been read
	usage         *usage.Book
	peers         *peerTable
	peerLog       peerLog
	aggregator    *relay.Book     // what this node knows as a relay
	relayView     relay.View      // what it knows by its relay
	homeRelay     string          // the relay that it reports to
	digestAt      time.Time       // when the last digest came
	digestNodes   map[string]bool // the nodes that it told of
	placeRetryAt  time.Time       // from when on a relay is asked to place requests

	peerListChange   int64         // newest change of the list that other nodes told of
	behindSince      time.Time     // since when this node lacks it; zero: it doesn't
	loggedSuspension time.Duration // as it was told last
	selfWatchUntil   time.Time     // until when this node watches the store by itself
	rollouts         rollouts
}

// held is the configuration in force, with the bytes it was read from for a peer that
// asks.
type activeCatalog struct {
	catalog *catalog.Catalog
	raw     []byte
}

// storeBackoff bounds how long the store isn't asked after failures. Upstreams whose
// entries lapsed are believed for two seconds after the store's return, so it has to
// be noticed well within that.
const storeBackoff = 300 * time.Millisecond

// dutyKey is the store's key of the duties' lease.
const dutyKey = "spurhall/duty"

// New returns a node that isn't started.
func New(o Options) *Node {
	s := o.Settings
	n := &Node{options: o, settings: s, clock: o.Clock, log: o.Log, start: o.Clock.Now(), initialized: make(chan struct{}), retryWindows: make(map[string]*retry.Window)}
	n.pools = pool.New(o.Clock, s.Node, s.Hall)
	n.pools.SetSenders(nil, nil) // until the other nodes are known
	n.lines = forward.NewLines(o.Clock)
	n.quotas = quota.New(n.start, s.FirstStart)
	n.usage = usage.New(s.Node, o.Incarnation, s.UsageWindow)
	n.peers = newPeerTable(n)
	n.aggregator = relay.NewBook(s.Node, o.Incarnation)
	n.quarantine = quarantine.NewBook(s.Node)
	n.rollouts = newRollouts()
	n.catalogFollower = n.newCatalogFollower()
	n.listFollower = n.newListFollower()
	n.unreadableEntries = make(unreadableEntries)
	n.changes = newChangeFeed()
	n.guard = store.NewGuard(o.Clock, n.storeShare())
	n.era = o.Era
	n.era.OnRise(n.onEraRise)
	n.kv = n.guard.Wrap(store.Dated(o.KV, o.Era))
	n.lease = lease.New(n.kv, o.Clock, dutyKey, s.Node, max(s.LeaseTTL, s.Store.MinLease))
	n.front = forward.NewServer(forward.Options{
		Clock: o.Clock, Log: o.Log, Dialect: o.Dialect, Pools: n.pools, Lines: n.lines, Known: n.initialized, Catalog: n.currentCatalog,
		Place: n.placeByRelay, Charge: n.charge, Refund: n.refund, Began: n.countStarted, First: n.countFirstAttempt, Repeat: n.allowRetry, Heard: n.observeResponse, Phase: n.stopPhase, Suspects: n.quarantine, Reaches: n.reachesHall,
		Trials: forward.Trials{Offer: n.offerTrial, Return: n.returnOffer, Note: n.recordResponse, Moves: n.movesStreams},
	})
	return n
}

// share is this node's part of the store's rates.
func (n *Node) storeShare() store.GuardOptions {
	k := float64(n.peers.size())
	return store.GuardOptions{Reads: n.settings.Store.Reads / k, Writes: n.settings.Store.Writes / k, Backoff: storeBackoff}
}

func (n *Node) currentCatalog() *catalog.Catalog {
	if h := n.catalog.Load(); h != nil {
		return h.catalog
	}
	return nil
}

// knowsMore lets requests go that wait for a configuration and upstreams, if both are there.
func (n *Node) signalInitialized() {
	if n.currentCatalog() != nil && n.listed.Load() {
		n.initOnce.Do(func() { close(n.initialized) })
	}
}

// accept puts a configuration in force unless it is older than the one that is.
func (n *Node) applyCatalog(raw []byte, source string) {
	c, err := n.options.DecodeCatalog(raw)
	if err != nil {
		n.log.Error("catalog_invalid", zap.String("source", source), zap.String("cause", err.Error()))
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	old := n.catalog.Load()
	if old != nil && c.Version() <= old.catalog.Version() {
		return
	}
	n.catalog.Store(&activeCatalog{catalog: c, raw: raw})
	n.signalInitialized()
	n.changes.announce()
	limits := make(map[string]quota.Limit)
	for _, w := range c.Workspaces() {
		limits[w.Name()] = quota.Limit{Rate: w.Rate(), Burst: w.Burst()}
	}
	n.quotas.SetLimits(n.clock.Now(), limits)
	for _, name := range c.Services() {
		if e := c.Service(name).Engine; e != nil {
			n.pools.SetSize(name, capacity.Size{Slots: e.Slots, Memory: float64(e.CacheTokens), Fetch: e.FetchTokens})
		}
	}
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

// began counts by the wall clock: usage windows are cut by it.
func (n *Node) countStarted(workspace string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.usage.Add(n.clock.Wall(), workspace)
}

// budgetShare is the part of the operators' retry budget that is used: a node that was
// killed forgets what it spent, and may spend its part again.
const retryBudgetShare = 0.7

func (n *Node) retryWindow(service string) *retry.Window {
	a := retryBudgetShare * n.settings.RetryExtra / float64(n.peers.size())
	w := n.retryWindows[service]
	if w == nil {
		w = retry.NewWindow(retryBudgetShare*n.settings.RetryRatio, a, n.settings.RetryWindow)
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

var (
	catalogVersion  = expvar.NewInt("catalog_version")
	storeUp         = expvar.NewMap("store_up") // by reader: 0 in touch, -1 not
	upstreamEvents  = expvar.NewMap("upstream_events")
	responsivePeers = expvar.NewInt("peers_heard")
)
