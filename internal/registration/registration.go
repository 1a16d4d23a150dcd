// Package registration keeps a node's key in the store under a lease, and reads the keys of all nodes.
//
// The keys serve nodes that start, and say how many nodes share a quota while some are unresponsive. Nodes that
// exchange reports know each other from these.
//
// Alternatives considered: a key without a lease that nodes write again and again. Each write is a paid call, and a
// renewal costs a tenth of one.
package registration

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/roster"
	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/timer"
)

// Prefix is the prefix of all nodes' keys.
const Prefix = "spurhall/nodes/"

const (
	// ttl is how long a crashed node counts as sharing quotas: longer than a restart takes, so that the other nodes'
	// shares stay stable.
	ttl = 6 * time.Second
	// renewInterval is how often the lease is renewed. A renewal costs a tenth of a call, so renewing less often in a
	// large fleet, with leases created anew, saves nothing.
	renewInterval = 1500 * time.Millisecond
	// retryPause is the pause after a failure: the other nodes depend on the key.
	retryPause      = 100 * time.Millisecond
	withdrawTimeout = 300 * time.Millisecond
)

// Options configures the registration of one node.
type Options struct {
	KV          store.KV
	Clock       *timer.Service
	Log         *zap.Logger
	Member      roster.Member
	Incarnation string        // unique for this process
	MinLease    time.Duration // shortest lease that the store grants
	FirstStart  bool          // the whole system starts, so that the node had no process before
}

// value is what a node's key holds.
type value struct {
	Address     string  `json:"address"`
	Incarnation string  `json:"lifetime"`
	Hall        string  `json:"hall"`
	Cores       float64 `json:"cores"`
}

// Registration is the key of one node.
type Registration struct{ o Options }

// New returns a registration that isn't in the store.
func New(o Options) *Registration { return &Registration{o: o} }

// Run keeps the key in the store until the context ends, and withdraws it then.
func (r *Registration) Run(ctx context.Context) {
	id := int64(0)
	for ctx.Err() == nil {
		pause := renewInterval
		if id = r.renew(ctx, id); id == 0 {
			pause = retryPause
		}
		_ = r.o.Clock.Sleep(ctx, pause) // the loop condition checks the context
	}
	if id != 0 {
		r.withdraw(id)
	}
}

// renew renews the lease of the key, or writes the key under a new lease. It returns the lease, or 0 if there is
// none.
func (r *Registration) renew(ctx context.Context, id int64) int64 {
	if id != 0 {
		_, err := r.o.KV.KeepAlive(ctx, id)
		if !errors.Is(err, store.ErrLeaseGone) {
			return id // renewed, or to be retried in the next round
		}
	}
	id, err := r.Put(ctx)
	if err != nil {
		r.o.Log.Info("registration_failed", zap.String("cause", err.Error()))
		return 0
	}
	r.o.Log.Info("registered", zap.Int64("lease", id))
	return id
}

// Put writes the key under a new lease, which it returns.
func (r *Registration) Put(ctx context.Context) (int64, error) {
	id, err := r.o.KV.Grant(ctx, max(ttl, r.o.MinLease))
	if err != nil {
		return 0, err
	}
	m := r.o.Member
	b, err := json.Marshal(value{Address: m.Address, Incarnation: r.o.Incarnation, Hall: m.Hall, Cores: m.Cores})
	if err != nil {
		return 0, err
	}
	// If the previous process was killed, the key may still be bound to its lease.
	k := Prefix + m.Name
	if !r.o.FirstStart { // then there was none, and all nodes start at once
		r.logPrevious(ctx, k)
	}
	_, err = r.o.KV.Txn(ctx, store.Txn{Then: []store.Op{{Kind: store.OpPut, Key: k, Value: b, Lease: id}}})
	return id, err
}

// logPrevious logs that the previous process was killed: a planned stop deletes the key.
func (r *Registration) logPrevious(ctx context.Context, key string) {
	a, err := r.o.KV.Range(ctx, key, "")
	if err != nil || len(a.Pairs) == 0 {
		return // no trace of a previous process
	}
	var v value
	if err := json.Unmarshal(a.Pairs[0].Value, &v); err != nil || v.Incarnation == r.o.Incarnation {
		return
	}
	r.o.Log.Warn("previous_killed", zap.String("lifetime", v.Incarnation), zap.Int64("registered_at", a.Pairs[0].Modified))
}

func (r *Registration) withdraw(id int64) {
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	if err := r.o.KV.Revoke(ctx, id); err != nil {
		r.o.Log.Info("withdrawal_failed", zap.String("cause", err.Error()))
	}
}

// Read returns the nodes whose keys are in the store, as the given function reads them. Keys that can't be read are
// logged and left out.
func Read(ctx context.Context, log *zap.Logger, read func(ctx context.Context, prefix string) (store.RangeResult, error)) ([]roster.Member, error) {
	r, err := read(ctx, Prefix)
	if err != nil {
		return nil, err
	}
	list := make([]roster.Member, 0, len(r.Pairs))
	for _, p := range r.Pairs {
		var v value
		if err := json.Unmarshal(p.Value, &v); err != nil {
			log.Warn("member_unreadable", zap.String("key", p.Key), zap.String("cause", err.Error()))
			continue
		}
		list = append(list, roster.Member{Name: p.Key[len(Prefix):], Address: v.Address, Hall: v.Hall, Cores: v.Cores})
	}
	return list, nil
}
