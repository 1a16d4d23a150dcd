package edge

import (
	"context"
	"errors"
	"expvar"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/era"
	"spurhall.example/spurhall/internal/wire"
)

// This file is what a node does when the store has come back from an older copy of itself. Revisions
// bear their era (package era), and leases, conditions and watches of another era don't reach the
// store, so lists, tokens and this node's key in the registry need nothing here. What is left:
//
//   - the lease of the duties is dropped at once and not with its next renewal; the next term begins
//     with a higher token, and what a holder writes is written again in it;
//   - watches begin anew at once, and not with the end of what they wait for;
//   - a window's usage that may have been settled before isn't settled a second time.

// storeEra is the era to which the store rose last; 0: it hasn't while this process ran.
var storeEra = expvar.NewInt("store_era")

// storeReturns counts how often the store came back from a copy.
var storeReturns = expvar.NewInt("store_returns")

// eraRose takes in that the store has come back from a copy. It is called from within the call that
// heard so.
func (n *Node) eraRose(r era.Rise) {
	storeEra.Set(r.To)
	storeReturns.Add(1)
	n.log.Warn("store_era_rose", zap.Int64("from", r.From), zap.Int64("to", r.To), zap.Int64("revision_before", r.LastNumber))
	now := n.clock.Now()
	n.returned.Store(&now)
	n.lease.Forget()
	n.catalogReader.again()
	n.listReader.again()
}

// hearEra takes in the era of a revision that another node has told of: this one may not reach the
// store.
func (n *Node) hearEra(peer string, revision int64) {
	err := n.era.Observe(era.Of(revision))
	if err != nil && !errors.Is(err, era.ErrEarlierEra) {
		n.log.Warn("era_unreadable", zap.String("peer", peer), zap.Int64("revision", revision), zap.String("cause", err.Error()))
	}
}

// Store tells operators what this node knows of the store.
func (s *edgeService) Store(context.Context, *connect.Request[wire.StoreRequest]) (*connect.Response[wire.StoreResponse], error) {
	n, now := s.n, s.n.clock.Now()
	missing, upstreams := n.pools.Missing()
	_, holder := n.lease.Token()
	r := &wire.StoreResponse{
		Node: n.s.Node, Era: n.era.Current(), Revision: era.Number(n.pools.Revision()), Watching: n.listReader.inTouch.Load(),
		Holder: holder, Upstreams: int64(upstreams),
	}
	if t := n.returned.Load(); t != nil {
		r.Returned, r.ReturnedAgeMs = true, now.Sub(*t).Milliseconds()
	}
	for _, v := range missing {
		r.Missing = append(r.Missing, &wire.Missing{Upstream: v.Upstream, ForMs: v.Until.Sub(now).Milliseconds()})
	}
	return connect.NewResponse(r), nil
}

// eraRecord is when the duties' first holder in an era began.
var eraRecord = record{name: "era", key: "spurhall/era"}

// eraBegan is its value.
type eraBegan struct {
	Era int64 `json:"era"`
	At  int64 `json:"at"` // Unix milliseconds
}

// eraTerm is the holder's side: what may have been settled in an era before. A process that starts
// after the store's return can't know when that was, so the first holder in an era writes down that it
// is in one, and takes all that lies before that moment for doubtful.
type eraTerm struct {
	known bool
	began time.Time // what ended before may have been settled in an era before; zero: nothing may
}

// begin finds out when the era began that this term is of. It is tried again with the next step where
// the store doesn't answer; until then all is doubtful.
func (v *eraTerm) begin(ctx context.Context, n *Node, token int64) {
	v.began = n.clock.Wall()
	if era.Of(token) == 0 { // this store has none
		v.known, v.began = true, time.Time{}
		return
	}
	var w eraBegan
	found, err := eraRecord.load(ctx, n, &w)
	if err != nil {
		n.log.Info("era_unread", zap.String("cause", err.Error()))
		v.known = found // what can't be decoded can't be read the next time
		return
	}
	v.known = true
	switch {
	case found && w.Era == era.Of(token):
		v.began = time.UnixMilli(w.At)
		return
	case n.s.FirstStart && n.returned.Load() == nil:
		v.began = time.UnixMilli(0) // nobody was there before
	}
	v.known = eraRecord.write(ctx, n, token, eraBegan{Era: era.Of(token), At: v.began.UnixMilli()})
}

// doubts tells whether a window that ended then may have been settled in an era before.
func (v *eraTerm) doubts(end time.Time) bool { return !v.known || end.Before(v.began) }
