package edge

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/follow"
	"spurhall.example/spurhall/internal/pair"
	"spurhall.example/spurhall/internal/registration"
	"spurhall.example/spurhall/internal/roster"
	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/wire"
)

// This file implements discovery: it applies the registered nodes (package registration) to the peers, and contacts
// the seeds while none is known.

// registryReadInterval is how often the registry is read, at the price of a stale read.
const registryReadInterval = 2 * time.Second

// registration returns this node's key in the store.
func (n *Node) registration() *registration.Registration {
	s := n.settings
	return registration.New(registration.Options{
		KV: n.kv, Clock: n.clock, Log: n.log, Incarnation: n.options.Incarnation, MinLease: s.Store.MinLease, FirstStart: s.FirstStart,
		Member: roster.Member{Name: s.Node, Address: s.Peers, Hall: s.Hall, Cores: s.Cores},
	})
}

// register keeps this node's key in the store until the context ends.
func (n *Node) register(ctx context.Context) { n.registration().Run(ctx) }

// pollRegistry reads the registry until the context ends, unless a watcher sends it (follow.go). The first read
// is exact, not stale: a starting node needs the other nodes at once.
func (n *Node) pollRegistry(ctx context.Context) {
	exact := func(ctx context.Context, p string) (store.RangeResult, error) {
		return n.kv.Range(ctx, p, store.PrefixEnd(p))
	}
	if n.settings.FirstStart {
		n.awaitMembers(ctx)
	}
	for !n.hasReadRegistry() && n.readRegistry(ctx, exact) != nil {
		if n.clock.Sleep(ctx, follow.RetryPause) != nil {
			return
		}
	}
	n.clock.Every(ctx, registryReadInterval, func(now time.Time) {
		n.mu.Lock()
		sent := now.Sub(n.registrySentAt) < registryReadInterval
		n.mu.Unlock()
		if sent {
			return
		}
		if err := n.readRegistry(ctx, n.kv.StaleRange); err != nil {
			n.log.Debug("registry_unread", zap.String("cause", err.Error()))
		}
	})
}

// awaitMembers waits, when the whole system starts, until it is this node's turn to read the registry: at once if
// it reads for its hall, and otherwise only if nobody has sent it.
func (n *Node) awaitMembers(ctx context.Context) {
	turn := roster.StartPatience + time.Duration(xxhash.Sum64String(n.settings.Node)%uint64(roster.StartPatience))
	for !n.hasReadRegistry() {
		age := n.clock.Since(n.start)
		if age >= turn || n.holdsSeat.Load() && age >= firstStartDelay || n.clock.Sleep(ctx, relayPoll) != nil {
			return
		}
	}
}

func (n *Node) readRegistry(ctx context.Context, read func(ctx context.Context, prefix string) (store.RangeResult, error)) error {
	list, err := registration.Read(ctx, n.log, read)
	n.registryTried.Store(true)
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	n.registry.Replace(now, list)
	n.applyRegistry(now)
	return nil
}

// applyRegistry applies the registered nodes to the peers. The node's lock is held.
func (n *Node) applyRegistry(now time.Time) {
	for _, m := range n.registry.Members() {
		if m.Name != n.settings.Node {
			n.applyMember(now, m)
		}
	}
	for name, p := range n.peers.peers {
		if p.IsGone(now, n.peers.size()) {
			delete(n.peers.peers, name)
			n.logPeer("peer_gone", zap.String("peer", name), zap.Duration("silent", now.Sub(p.LastSeen)))
		}
	}
	n.role.RegistryRead = true
	n.setQuotaPeers(now)
}

func (n *Node) applyMember(now time.Time, m roster.Member) {
	known := n.peers.peers[m.Name]
	if known != nil && now.Sub(known.LastSeen) <= roster.Silence(n.peers.size()) {
		known.LastListed = now // its own reports are newer than a stale read
		return
	}
	found := n.peers.getOrAdd(m.Name, m.Address)
	found.LastListed, found.Hall, found.Cores = now, m.Hall, m.Cores
}

// seedSpread is the time over which the nodes of a fleet begin to call the seeds, when all start at once and the
// store doesn't show them each other.
const seedSpread = pair.Round

// seedRetryInterval is how often a seed that hasn't answered is called while another node is known.
const seedRetryInterval = time.Second

// contactSeeds calls the seeds until all other nodes are known: a node that starts while the store is unavailable can't
// discover one otherwise, and some may be behind a partition.
func (n *Node) contactSeeds(ctx context.Context) {
	n.awaitRegistry(ctx)
	if !n.hasReadRegistry() {
		_ = n.clock.Sleep(ctx, time.Duration(xxhash.Sum64String(n.settings.Node)%uint64(seedSpread))) // the loop condition checks the context
	}
	for ctx.Err() == nil {
		seeds, pause := n.seedsToCall()
		if len(seeds) == 0 {
			return
		}
		for _, a := range seeds {
			n.contactSeed(ctx, a)
		}
		_ = n.clock.Sleep(ctx, pause) // the loop condition checks the context
	}
}

// seedsToCall returns the addresses of the seeds that no peer has, and the pause until they are called again. There are none
// once the other nodes are known.
func (n *Node) seedsToCall() (list []string, pause time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.peers.peers) > 0 && (n.role.RegistryRead || n.lookup.Complete()) {
		return nil, 0
	}
	known := map[string]bool{n.settings.Peers: true}
	for _, p := range n.peers.peers {
		known[p.Address] = true
	}
	list = slices.DeleteFunc(slices.Clone(n.settings.Seeds), func(a string) bool { return known[a] })
	if len(n.peers.peers) == 0 {
		return list, pair.Round
	}
	return list, seedRetryInterval
}

func (n *Node) contactSeed(ctx context.Context, address string) {
	c, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	a, err := n.peers.newClient(address).Report(c, connect.NewRequest(&wire.ReportRequest{Report: n.buildReport(pairWindows)}))
	if err != nil {
		n.log.Info("seed_silent", zap.String("address", address), zap.String("cause", err.Error()))
		return
	}
	n.applyReport(ctx, a.Msg.Report)
}
