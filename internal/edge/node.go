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
	Settings *Settings
	Incarnation string // unique for this process
	Clock    *timer.Service
	Log      *zap.Logger
	KV       store.KV
	Era      *era.Tracker // hears of each answer of KV before it is returned
	Cloud    duty.Cloud
	Dialect  call.Dialect
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
	// Cached asks the engine at an address which prompt parts it has cached; nil: none can.
	FetchCachedParts func(ctx context.Context, address string) ([]call.Part, call.Response, error)
}

// Node is one entry VM's process.
type Node struct {
	o        Options
	s        *Settings
	clock    *timer.Service
	log      *zap.Logger
	start    time.Time
	guard    *store.Guard
	kv       store.KV
	era      *era.Tracker
	pools    *pool.Pools
	lines    *forward.Connections
	front    *forward.Server
	suspects *quarantine.Tracker // requests that end upstreams
	lease    *lease.Lease

	catalogReader *follower
	listReader    *follower
	unreadable    unreadable
	unreadWords   unreadWords
	news          *news

	catalog  atomic.Pointer[held]
	listed   atomic.Bool               // the upstreams have been read once
	returned atomic.Pointer[time.Time] // when the store last came back from a copy; nil: not while this process ran
	knows    sync.Once
	known    chan struct{} // closed when there are a configuration and upstreams
	phase    atomic.Int32  // of a planned stop, a forward.Phase
	callers  atomic.Pointer[accept.Listener]

	mu      sync.Mutex // for what follows
	quotas  *quota.Quotas
	repeats map[string]*retry.Window
	shared  time.Time // when the quotas' present span began
	looked  bool      // the registry of the nodes has been read
	usage   *usage.Tracker
	peers   *table
	notes   notes
	book    *relay.Aggregator     // what this node knows as a relay
	view    relay.View      // what it knows by its relay
	home    string          // the relay that it reports to
	relayed time.Time       // when the last digest came
	covered map[string]bool // the nodes that it told of
	placing time.Time       // from when on a relay is asked to place requests

	othersChange int64         // newest change of the list that other nodes told of
	behind       time.Time     // since when this node lacks it; zero: it doesn't
	suspended    time.Duration // as it was told last
	alone        time.Time     // until when this node watches the store by itself
	rollouts     rollouts
}

// held is the configuration in force, with the bytes it was read from for a peer that
// asks.
type held struct {
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
	n := &Node{o: o, s: s, clock: o.Clock, log: o.Log, start: o.Clock.Now(), known: make(chan struct{}), repeats: make(map[string]*retry.Window)}
	n.pools = pool.New(o.Clock, s.Node, s.Hall)
	n.pools.SetSenders(nil, nil) // until the other nodes are known
	n.lines = forward.NewConnections(o.Clock)
	n.quotas = quota.New(n.start, s.FirstStart)
	n.usage = usage.New(s.Node, o.Incarnation, s.UsageWindow)
	n.peers = newTable(n)
	n.book = relay.NewAggregator(s.Node, o.Incarnation)
	n.suspects = quarantine.NewTracker(s.Node)
	n.rollouts = newRollouts()
	n.catalogReader = n.catalogFollower()
	n.listReader = n.listFollower()
	n.unreadable = make(unreadable)
	n.news = newNews()
	n.guard = store.NewGuard(o.Clock, n.share())
	n.era = o.Era
	n.era.OnRise(n.eraRose)
	n.kv = n.guard.Wrap(store.WithEra(o.KV, o.Era))
	n.lease = lease.New(n.kv, o.Clock, dutyKey, s.Node, max(s.LeaseTTL, s.Store.MinLease))
	n.front = forward.NewServer(forward.Options{
		Clock: o.Clock, Log: o.Log, Dialect: o.Dialect, Pools: n.pools, Connections: n.lines, Ready: n.known, Catalog: n.current,
		Place: n.place, Charge: n.charge, Refund: n.refund, CountStarted: n.began, RecordFirstAttempt: n.first, AllowRetry: n.repeat, ObserveResponse: n.heard, Phase: n.stopPhase, Quarantine: n.suspects, HallReachable: n.reaches,
		Trials: forward.Trials{Offer: n.offer, Return: n.unoffer, Record: n.noteAnswer, ShouldMove: n.moves},
	})
	return n
}

// share is this node's part of the store's rates.
func (n *Node) share() store.GuardOptions {
	k := float64(n.peers.size())
	return store.GuardOptions{Reads: n.s.Store.Reads / k, Writes: n.s.Store.Writes / k, MaxBackoff: storeBackoff}
}

func (n *Node) current() *catalog.Catalog {
	if h := n.catalog.Load(); h != nil {
		return h.catalog
	}
	return nil
}

// knowsMore lets requests go that wait for a configuration and upstreams, if both are there.
func (n *Node) knowsMore() {
	if n.current() != nil && n.listed.Load() {
		n.knows.Do(func() { close(n.known) })
	}
}

// accept puts a configuration in force unless it is older than the one that is.
func (n *Node) accept(raw []byte, source string) {
	c, err := n.o.DecodeCatalog(raw)
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
	n.catalog.Store(&held{catalog: c, raw: raw})
	n.knowsMore()
	n.news.announce()
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
func (n *Node) began(workspace string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.usage.Add(n.clock.Wall(), workspace)
}

// budgetShare is the part of the operators' retry budget that is used: a node that was
// killed forgets what it spent, and may spend its part again.
const budgetShare = 0.7

func (n *Node) window(service string) *retry.Window {
	a := budgetShare * n.s.RetryExtra / float64(n.peers.size())
	w := n.repeats[service]
	if w == nil {
		w = retry.NewWindow(budgetShare*n.s.RetryRatio, a, n.s.RetryWindow)
		n.repeats[service] = w
	}
	w.SetExtra(a)
	return w
}

func (n *Node) first(service string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.window(service).First(n.clock.Since(n.start))
}

func (n *Node) repeat(service string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.window(service).Take(n.clock.Since(n.start))
}

var (
	catalogVersion = expvar.NewInt("catalog_version")
	storeUp        = expvar.NewMap("store_up") // by reader: 0 in touch, -1 not
	upstreamEvents = expvar.NewMap("upstream_events")
	peersHeard     = expvar.NewInt("peers_heard")
)
