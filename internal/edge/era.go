package edge

import (
	"context"
	"errors"
	"expvar"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/era"
	"spurhall.example/spurhall/internal/handover"
	"spurhall.example/spurhall/internal/wire"
)

// This file handles the store's return from an older copy of itself. Revisions contain their era (package
// era), and leases, conditions and watches of another era don't reach the store, so lists, tokens and this
// node's key in the registry need no handling here. What remains:
//
//   - the duties' lease is dropped at once instead of at its next renewal; the next term starts with a
//     higher token, and a holder writes its records again in it;
//   - watches restart at once instead of at the end of their wait;
//   - the usage of a window that may have been settled before isn't settled a second time.

// storeEra is the era to which the store rose last; 0: no rise during this process.
var storeEra = expvar.NewInt("store_era")

// storeReturns counts the store's returns from a copy.
var storeReturns = expvar.NewInt("store_returns")

// onEraRise handles the store's return from a copy. It runs within the call that observed the new era.
func (n *Node) onEraRise(r era.Rise) {
	storeEra.Set(r.To)
	storeReturns.Add(1)
	n.log.Warn("store_era_rose", zap.Int64("from", r.From), zap.Int64("to", r.To), zap.Int64("revision_before", r.LastNumber))
	now := n.clock.Now()
	n.storeRestoredAt.Store(&now)
	n.lease.Forget()
	n.savedStreams.Forget()
	n.streams.SaveAgain()
	n.catalogFollower.Restart()
	n.listFollower.Restart()
}

// mergeEra applies the era of a revision that a peer has reported: this node may not reach the store itself.
func (n *Node) mergeEra(peer string, revision int64) {
	err := n.era.Observe(era.Of(revision))
	if err != nil && !errors.Is(err, era.ErrEarlierEra) {
		n.log.Warn("era_unreadable", zap.String("peer", peer), zap.Int64("revision", revision), zap.String("cause", err.Error()))
	}
}

// Store returns this node's view of the store to operators.
func (s *edgeService) Store(context.Context, *connect.Request[wire.StoreRequest]) (*connect.Response[wire.StoreResponse], error) {
	n, now := s.n, s.n.clock.Now()
	missing, upstreams := n.pools.Missing()
	_, holder := n.lease.Token()
	r := &wire.StoreResponse{
		Node: n.settings.Node, Era: n.era.Current(), Revision: era.Number(n.pools.Revision()), Watching: n.listFollower.Connected(),
		Holder: holder, Upstreams: int64(upstreams),
	}
	if t := n.storeRestoredAt.Load(); t != nil {
		r.Returned, r.ReturnedAgeMs = true, now.Sub(*t).Milliseconds()
	}
	for _, v := range missing {
		r.Missing = append(r.Missing, &wire.Missing{Upstream: v.Upstream, ForMs: v.Until.Sub(now).Milliseconds()})
	}
	return connect.NewResponse(r), nil
}

// eraRecord holds the start of the first duty term in an era.
var eraRecord = handover.Record{Name: "era", Key: "spurhall/era"}

// eraStart is the value of eraRecord.
type eraStart struct {
	Era int64 `json:"era"`
	At  int64 `json:"at"` // Unix milliseconds
}

// eraTerm determines for the holder which windows may have been settled in a previous era. A process that
// starts after the store's return can't know when that was, so the first holder in an era records its own
// start and treats every window that ended before it as doubtful.
type eraTerm struct {
	loaded    bool
	startedAt time.Time // windows that ended before may have been settled in a previous era; zero: none may
}

// restore reads when the era of this term started. If the store doesn't respond, the next step repeats it;
// until then all windows are doubtful.
func (v *eraTerm) restore(ctx context.Context, n *Node, token int64) {
	v.startedAt = n.clock.Wall()
	if era.Of(token) == 0 { // the store has no eras
		v.loaded, v.startedAt = true, time.Time{}
		return
	}
	var w eraStart
	found, err := n.records().Load(ctx, eraRecord, &w)
	if err != nil {
		n.log.Info("era_unread", zap.String("cause", err.Error()))
		v.loaded = found // a value that can't be decoded stays unreadable
		return
	}
	v.loaded = true
	switch {
	case found && w.Era == era.Of(token):
		v.startedAt = time.UnixMilli(w.At)
		return
	case n.settings.FirstStart && n.storeRestoredAt.Load() == nil:
		v.startedAt = time.UnixMilli(0) // first start of the whole system: there was no earlier holder
	}
	v.loaded = n.records().Write(ctx, eraRecord, token, eraStart{Era: era.Of(token), At: v.startedAt.UnixMilli()})
}

// isDoubtful reports whether a window with that end may have been settled in a previous era.
func (v *eraTerm) isDoubtful(end time.Time) bool { return !v.loaded || end.Before(v.startedAt) }
