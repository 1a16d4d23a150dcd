package edge

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/pair"
	"spurhall.example/spurhall/internal/roster"
	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/wire"
)

// This file implements discovery: each node holds a key in the store under a lease, and reads the keys of the
// others periodically. A node that exchanges reports knows its peers from those; the registry serves starting
// nodes, and determines how many nodes share a quota when some are unresponsive.

const (
	memberPrefix = "spurhall/nodes/"
	// memberTTL is how long a crashed node counts as sharing quotas: longer than a restart takes, so that the
	// other nodes' shares stay stable.
	memberTTL = 6 * time.Second
	// memberRenewInterval is how often the lease is renewed. A renewal costs a tenth of a call, so renewing
	// less often in a large fleet, with leases created anew, saves nothing.
	memberRenewInterval = 1500 * time.Millisecond
	// registryReadInterval is how often the registry is read, at the price of a stale read.
	registryReadInterval = 2 * time.Second
	// memberRetention is how long a node is kept that is neither responsive nor registered.
	memberRetention = 3 * time.Second
)

type memberValue struct {
	Address     string  `json:"address"`
	Incarnation string  `json:"lifetime"`
	Hall        string  `json:"hall"`
	Cores       float64 `json:"cores"`
}

// register keeps this node's key in the store until the context ends.
func (n *Node) register(ctx context.Context) {
	id := int64(0)
	for ctx.Err() == nil {
		pause := memberRenewInterval
		if id = n.renewMember(ctx, id); id == 0 {
			pause = storeRetryPause // the other nodes depend on the key
		}
		_ = n.clock.Sleep(ctx, pause) // the loop condition checks the context
	}
	if id != 0 {
		n.withdrawMember(id)
	}
}

// renewMember renews the lease of this node's key, or writes the key under a new lease. It returns the lease,
// or 0 if there is none.
func (n *Node) renewMember(ctx context.Context, id int64) int64 {
	if id != 0 {
		_, err := n.kv.KeepAlive(ctx, id)
		if !errors.Is(err, store.ErrLeaseGone) {
			return id // renewed, or to be retried in the next round
		}
	}
	id, err := n.putMember(ctx)
	if err != nil {
		n.log.Info("registration_failed", zap.String("cause", err.Error()))
		return 0
	}
	n.log.Info("registered", zap.Int64("lease", id))
	return id
}

func (n *Node) putMember(ctx context.Context) (int64, error) {
	id, err := n.kv.Grant(ctx, max(memberTTL, n.settings.Store.MinLease))
	if err != nil {
		return 0, err
	}
	b, err := json.Marshal(memberValue{Address: n.settings.Peers, Incarnation: n.options.Incarnation, Hall: n.settings.Hall, Cores: n.settings.Cores})
	if err != nil {
		return 0, err
	}
	// If the previous process was killed, the key may still be bound to its lease.
	k := memberPrefix + n.settings.Node
	if !n.settings.FirstStart { // then there was none, and all nodes start at once
		n.logPrevious(ctx, k)
	}
	_, err = n.kv.Txn(ctx, store.Txn{Then: []store.Op{{Kind: store.OpPut, Key: k, Value: b, Lease: id}}})
	return id, err
}

// logPrevious logs that the previous process was killed: a planned stop deletes the key.
func (n *Node) logPrevious(ctx context.Context, key string) {
	r, err := n.kv.Range(ctx, key, "")
	if err != nil || len(r.Pairs) == 0 {
		return // no trace of a previous process
	}
	var v memberValue
	if err := json.Unmarshal(r.Pairs[0].Value, &v); err != nil || v.Incarnation == n.options.Incarnation {
		return
	}
	n.log.Warn("previous_killed", zap.String("lifetime", v.Incarnation), zap.Int64("registered_at", r.Pairs[0].Modified))
}

const withdrawTimeout = 300 * time.Millisecond

func (n *Node) withdrawMember(id int64) {
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	if err := n.kv.Revoke(ctx, id); err != nil {
		n.log.Info("withdrawal_failed", zap.String("cause", err.Error()))
	}
}

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
		if n.clock.Sleep(ctx, storeRetryPause) != nil {
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
	r, err := read(ctx, memberPrefix)
	n.registryTried.Store(true)
	if err != nil {
		return err
	}
	list := make([]roster.Member, 0, len(r.Pairs))
	for _, p := range r.Pairs {
		var v memberValue
		if err := json.Unmarshal(p.Value, &v); err != nil {
			n.log.Warn("member_unreadable", zap.String("key", p.Key), zap.String("cause", err.Error()))
			continue
		}
		list = append(list, roster.Member{Name: p.Key[len(memberPrefix):], Address: v.Address, Hall: v.Hall, Cores: v.Cores})
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
		if !p.IsResponsive(now, n.peers.size()) && now.Sub(p.LastSeen) > memberRetention && now.Sub(p.LastListed) > memberRetention {
			delete(n.peers.peers, name)
			n.logPeer("peer_gone", zap.String("peer", name), zap.Duration("silent", now.Sub(p.LastSeen)))
		}
	}
	n.peersRead = true
	n.quotas.SetPeers(now, n.peers.names())
}

func (n *Node) applyMember(now time.Time, m roster.Member) {
	known := n.peers.peers[m.Name]
	if known != nil && now.Sub(known.LastSeen) <= roster.Silence(n.peers.size()) {
		known.LastListed = now // its own reports are newer than a stale read
		return
	}
	found := n.peers.getOrAdd(m.Name, m.Address)
	found.LastListed, found.hall, found.cores = now, m.Hall, m.Cores
}

// seedSpread is the time over which the nodes of a fleet begin to call the seeds, when all start at once and the
// store doesn't show them each other.
const seedSpread = pair.Round

// contactSeeds calls the seeds until another node is known: a node that starts while the store is
// unavailable can't discover one otherwise.
func (n *Node) contactSeeds(ctx context.Context) {
	n.awaitRegistry(ctx)
	if !n.hasReadRegistry() {
		_ = n.clock.Sleep(ctx, time.Duration(xxhash.Sum64String(n.settings.Node)%uint64(seedSpread))) // the loop condition checks the context
	}
	for len(n.settings.Seeds) > 0 && ctx.Err() == nil {
		n.mu.Lock()
		known := len(n.peers.peers) > 0
		n.mu.Unlock()
		if known {
			return
		}
		for _, a := range n.settings.Seeds {
			if a != n.settings.Peers {
				n.contactSeed(ctx, a)
			}
		}
		_ = n.clock.Sleep(ctx, pair.Round) // the loop condition checks the context
	}
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
