package edge

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/pair"
	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/wire"
)

// This file makes nodes find each other: each holds a key in the store under a lease,
// and reads the others' keys now and then. A node that is in touch with others knows
// them from their reports; the registry is for those that start, and it says how many
// share a quota when some are silent.

const (
	memberPrefix = "spurhall/nodes/"
	// memberTTL is how long a node that died counts as sharing quotas: longer than a
	// restart takes, so that the others' shares don't swing.
	memberTTL = 6 * time.Second
	// memberRenew is how often the lease is renewed. A renewal costs a tenth of a call, so
	// that renewing more seldom in a large fleet, by leases entered anew, saves nothing.
	memberRenew = 1500 * time.Millisecond
	// memberLook is how often the registry is read, at the stale read's price.
	memberLook = 2 * time.Second
	// memberGone is how long a node is kept that is neither heard nor registered.
	memberGone = 3 * time.Second
)

type memberValue struct {
	Address  string  `json:"address"`
	Lifetime string  `json:"lifetime"`
	Hall     string  `json:"hall"`
	Cores    float64 `json:"cores"`
}

// register keeps this node's key in the store until the context ends.
func (n *Node) register(ctx context.Context) {
	id := int64(0)
	for ctx.Err() == nil {
		pause := memberRenew
		if id = n.renew(ctx, id); id == 0 {
			pause = followPause // the others wait for it
		}
		_ = n.clock.Sleep(ctx, pause) // the loop's condition sees the end
	}
	if id != 0 {
		n.withdraw(id)
	}
}

// renew keeps the lease of this node's key, or enters the key anew. It returns the
// lease, or 0 if there is none.
func (n *Node) renew(ctx context.Context, id int64) int64 {
	if id != 0 {
		_, err := n.kv.KeepAlive(ctx, id)
		if !errors.Is(err, store.ErrLeaseGone) {
			return id // renewed, or the next round tries again
		}
	}
	id, err := n.enter(ctx)
	if err != nil {
		n.log.Info("registration_failed", zap.String("cause", err.Error()))
		return 0
	}
	n.log.Info("registered", zap.Int64("lease", id))
	return id
}

func (n *Node) enter(ctx context.Context) (int64, error) {
	id, err := n.kv.Grant(ctx, max(memberTTL, n.s.Store.MinLease))
	if err != nil {
		return 0, err
	}
	b, err := json.Marshal(memberValue{Address: n.s.Peers, Lifetime: n.o.Incarnation, Hall: n.s.Hall, Cores: n.s.Cores})
	if err != nil {
		return 0, err
	}
	// The key may still be held by the lease of the process before, if that was killed.
	k := memberPrefix + n.s.Node
	n.logPrevious(ctx, k)
	_, err = n.kv.Txn(ctx, store.Txn{Then: []store.Op{{Kind: store.OpPut, Key: k, Value: b, Lease: id}}})
	return id, err
}

// logPrevious tells of the process before: a planned stop takes the key away.
func (n *Node) logPrevious(ctx context.Context, key string) {
	r, err := n.kv.Range(ctx, key, "")
	if err != nil || len(r.Pairs) == 0 {
		return // nothing is known of it
	}
	var v memberValue
	if err := json.Unmarshal(r.Pairs[0].Value, &v); err != nil || v.Lifetime == n.o.Incarnation {
		return
	}
	n.log.Warn("previous_killed", zap.String("lifetime", v.Lifetime), zap.Int64("registered_at", r.Pairs[0].Modified))
}

const withdrawTimeout = 300 * time.Millisecond

func (n *Node) withdraw(id int64) {
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	if err := n.kv.Revoke(ctx, id); err != nil {
		n.log.Info("withdrawal_failed", zap.String("cause", err.Error()))
	}
}

// look reads the registry until the context ends. The first look is an exact read: a
// node that starts needs the others at once.
func (n *Node) look(ctx context.Context) {
	exact := func(ctx context.Context, p string) (store.RangeResult, error) {
		return n.kv.Range(ctx, p, store.PrefixEnd(p))
	}
	for n.lookOnce(ctx, exact) != nil {
		if n.clock.Sleep(ctx, followPause) != nil {
			return
		}
	}
	n.clock.Every(ctx, memberLook, func(time.Time) {
		if err := n.lookOnce(ctx, n.kv.StaleRange); err != nil {
			n.log.Debug("registry_unread", zap.String("cause", err.Error()))
		}
	})
}

func (n *Node) lookOnce(ctx context.Context, read func(ctx context.Context, prefix string) (store.RangeResult, error)) error {
	r, err := read(ctx, memberPrefix)
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	for _, p := range r.Pairs {
		n.listMember(now, p)
	}
	for name, p := range n.peers.peers {
		if now.Sub(p.heard) > max(memberGone, pair.UnresponsiveAfter(n.peers.size())) && now.Sub(p.listed) > memberGone {
			delete(n.peers.peers, name)
			n.notePeer("peer_gone", zap.String("peer", name), zap.Duration("silent", now.Sub(p.heard)))
		}
	}
	n.looked = true
	n.quotas.SetPeers(now, n.peers.names())
	return nil
}

func (n *Node) listMember(now time.Time, p store.Pair) {
	name := p.Key[len(memberPrefix):]
	if name == n.s.Node {
		return
	}
	var v memberValue
	if err := json.Unmarshal(p.Value, &v); err != nil {
		n.log.Warn("member_unreadable", zap.String("key", p.Key), zap.String("cause", err.Error()))
		return
	}
	known := n.peers.peers[name]
	if known != nil && now.Sub(known.heard) <= pair.UnresponsiveAfter(n.peers.size()) {
		known.listed = now // what it says itself is newer than a stale read
		return
	}
	found := n.peers.get(name, v.Address)
	found.listed, found.hall, found.cores = now, v.Hall, v.Cores
}

// greet calls the seeds until another node is known: a node that starts while the store
// is away has no other way to find one.
func (n *Node) greet(ctx context.Context) {
	for len(n.s.Seeds) > 0 && ctx.Err() == nil {
		n.mu.Lock()
		known := len(n.peers.peers) > 0
		n.mu.Unlock()
		if known {
			return
		}
		for _, a := range n.s.Seeds {
			if a != n.s.Peers {
				n.greetOne(ctx, a)
			}
		}
		_ = n.clock.Sleep(ctx, pair.Round) // the loop's condition sees the end
	}
}

func (n *Node) greetOne(ctx context.Context, address string) {
	c, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	a, err := n.peers.client(address).Report(c, connect.NewRequest(&wire.ReportRequest{Report: n.report(pairWindows)}))
	if err != nil {
		n.log.Info("seed_silent", zap.String("address", address), zap.String("cause", err.Error()))
		return
	}
	n.takeIn(ctx, a.Msg.Report)
}
