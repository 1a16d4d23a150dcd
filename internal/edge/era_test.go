package edge

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/capacity"
	"spurhall.example/spurhall/internal/era"
	"spurhall.example/spurhall/internal/follow"
	"spurhall.example/spurhall/internal/handover"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/quarantine"
	"spurhall.example/spurhall/internal/standin"
	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/timer"
)

// newEraKV returns a stand-in's keys as a store that may return from a copy.
func newEraKV(k *standin.Keys, c *era.Tracker) store.KV {
	return store.WithEra(store.KV{
		Range: func(_ context.Context, key, end string) (store.RangeResult, error) { return k.Range(key, end), nil },
		Txn:   func(_ context.Context, t store.Txn) (store.TxnResult, error) { return k.Txn(t) },
		Grant: func(_ context.Context, d time.Duration) (int64, error) { return k.Grant(d), nil },
		KeepAlive: func(_ context.Context, id int64) (time.Duration, error) {
			return k.KeepAlive(id), nil
		},
		Revoke: func(_ context.Context, id int64) error { k.Revoke(id); return nil },
	}, c)
}

// eraNode is a node that holds the duties at such a store, in its first era.
type eraNode struct {
	*Node
	keys  *standin.Keys
	clock *timer.Manual
}

func newEraNode(t *testing.T) *eraNode {
	clock := timer.NewManual(time.Unix(1000, 0))
	v := &eraNode{keys: standin.NewKeys(clock.Service()), clock: clock}
	c := era.NewTracker()
	require.NoError(t, c.Observe(1))
	v.Node = newHolder(t, newEraKV(v.keys, c), clock.Service(), "a")
	v.Node.era, v.Node.settings = c, &Settings{Node: "a"}
	v.Node.quarantine = quarantine.NewTracker("a")
	c.OnRise(func(era.Rise) { v.Node.lease.Forget() })
	return v
}

// restoreStore returns the store to a copy, and lets the node acquire the duties again.
func (v *eraNode) restoreStore(t *testing.T, c *standin.Copy) int64 {
	t.Helper()
	v.keys.Return(c)
	require.NoError(t, v.Node.era.Observe(v.Node.era.Current()+1))
	return acquireLease(t, v.Node)
}

// TestOrderFloorRewrittenAfterStoreRestore checks that counts ordered since the copy are written to the store
// again.
func TestOrderFloorRewrittenAfterStoreRestore(t *testing.T) {
	ctx, n := t.Context(), newEraNode(t)
	token := acquireLease(t, n.Node)
	copied := n.keys.Copy()
	var v, next handover.Floor
	v.Restore(ctx, n.records(), token, n.orderFloorEnd())
	v.SetCount("llm", "hall-a", 4)
	v.Write(ctx, n.records(), token)
	token = n.restoreStore(t, copied)
	v.Restore(ctx, n.records(), token, n.orderFloorEnd())
	v.Write(ctx, n.records(), token)
	next.Restore(ctx, n.records(), token, n.orderFloorEnd())
	assert.Equal(t, 4, next.MinCount(n.clock.Service().Now(), "llm", "hall-a"))
}

// TestQuarantineRewrittenAfterStoreRestore checks that crashes recorded since the copy are written to the
// store again.
func TestQuarantineRewrittenAfterStoreRestore(t *testing.T) {
	ctx, n := t.Context(), newEraNode(t)
	token := acquireLease(t, n.Node)
	copied := n.keys.Copy()
	now := n.clock.Service().Now()
	for i := range quarantine.CrashThreshold {
		n.quarantine.ObserveCrash(now, quarantine.Crash{Fingerprint: crashingFingerprint, Upstream: string(rune('a' + i)), At: now})
	}
	var q handover.Crashes
	q.Write(ctx, n.records(), n.Node.clock, token, n.quarantine)
	assert.Len(t, n.keys.Range(handover.CrashesRecord.Key, "").Pairs, 1)
	token = n.restoreStore(t, copied)
	assert.Empty(t, n.keys.Range(handover.CrashesRecord.Key, "").Pairs)
	q.Write(ctx, n.records(), n.Node.clock, token, n.quarantine)
	assert.Len(t, n.keys.Range(handover.CrashesRecord.Key, "").Pairs, 1)
}

// TestEnginesRewrittenAfterStoreRestore restores the store to a copy whose engine figures are missing or older
// than those of this process. They must not replace the current figures, which are written to the store again.
func TestEnginesRewrittenAfterStoreRestore(t *testing.T) {
	old, now := capacity.Engine{Reading: 30, First: 90, Token: 20}, capacity.Engine{Reading: 90, First: 30, Token: 5}
	for name, copied := range map[string]map[string]capacity.Engine{
		"an older figure": {"llm": old}, "none of this service": {"other": now}, "none": nil,
	} {
		t.Run(name, func(t *testing.T) {
			ctx, n := t.Context(), newEraNode(t)
			n.pools = pool.New(n.clock.Service(), "a", "hall-a")
			token := acquireLease(t, n.Node)
			var v handover.Engines
			v.Restore(ctx, n.records(), n.pools.RestoreEngine)
			v.Write(ctx, n.records(), token, copied)
			c := n.keys.Copy()
			n.pools.RestoreEngine("llm", now)
			v.Write(ctx, n.records(), token, n.pools.Learned())
			token = n.restoreStore(t, c)
			v.Restore(ctx, n.records(), n.pools.RestoreEngine)
			assert.Equal(t, now.Reading, n.pools.Engine("llm").Reading)
			v.Write(ctx, n.records(), token, n.pools.Learned())
			n.pools = pool.New(n.clock.Service(), "a", "hall-a")
			var next handover.Engines
			next.Restore(ctx, n.records(), n.pools.RestoreEngine)
			assert.Equal(t, now.Reading, n.pools.Engine("llm").Reading, "a later process restores it")
		})
	}
}

// TestWatchesRestartOnEraRise checks that a rise ends the watches in progress, whichever node reports it. A
// node that learns of it from a peer has no failing call at the store, and would read again only at the end of
// the watch's wait, up to 6 s later.
func TestWatchesRestartOnEraRise(t *testing.T) {
	n := newEraNode(t).Node
	watches := make(chan context.Context, 2)
	n.kv.Range = func(context.Context, string, string) (store.RangeResult, error) { return store.RangeResult{}, nil }
	n.kv.Watch = func(ctx context.Context, _ store.Span, _ func(store.WatchBatch) error) error {
		watches <- ctx
		<-ctx.Done()
		return ctx.Err()
	}
	newReader := func() *follow.Reader {
		return follow.NewReader(follow.ReaderOptions{
			Clock: n.clock, Log: zap.NewNop(), KV: func() store.KV { return n.kv }, ApplySnapshot: func(store.RangeResult) {}, OnConnected: func() {},
		})
	}
	n.listFollower, n.catalogFollower = newReader(), newReader()
	n.streams = n.newStreamKeeper()
	ended := make(chan error, 2)
	for _, r := range []*follow.Reader{n.listFollower, n.catalogFollower} {
		go func() { ended <- r.ReadAndWatch(t.Context()) }()
	}
	list, catalog := <-watches, <-watches
	n.onEraRise(era.Rise{From: 1, To: 2})
	assert.ErrorIs(t, context.Cause(list), follow.ErrBehind)
	assert.ErrorIs(t, context.Cause(catalog), follow.ErrBehind)
	assert.ErrorIs(t, <-ended, follow.ErrBehind)
	assert.ErrorIs(t, <-ended, follow.ErrBehind)
}

// TestDoubtfulWindows checks that the first holder in an era doubts the windows that ended before its term,
// also if its process started after the store's return; the next holder in that era uses the first one's
// record.
func TestDoubtfulWindows(t *testing.T) {
	ctx := t.Context()
	startTerm := func(n *eraNode, token int64) eraTerm {
		var v eraTerm
		v.restore(ctx, n.Node, token)
		return v
	}
	t.Run("no window is doubtful in the first term of the whole system", func(t *testing.T) {
		n := newEraNode(t)
		n.Node.settings.FirstStart = true
		v := startTerm(n, acquireLease(t, n.Node))
		assert.False(t, v.isDoubtful(time.Unix(1, 0)))
	})
	t.Run("windows before a return are doubtful, also for the next holder", func(t *testing.T) {
		n := newEraNode(t)
		n.Node.settings.FirstStart = true
		v := startTerm(n, acquireLease(t, n.Node))
		copied := n.keys.Copy()
		n.Node.storeRestoredAt.Store(new(time.Time))
		token := n.restoreStore(t, copied)
		at := n.clock.Service().Wall()
		v = startTerm(n, token)
		assert.True(t, v.isDoubtful(at.Add(-time.Second)))
		assert.False(t, v.isDoubtful(at.Add(time.Second)))
		n.clock.Advance(time.Minute)
		v = startTerm(n, token)
		assert.False(t, v.isDoubtful(at.Add(time.Second)), "the era started when the first holder recorded it")
	})
	t.Run("a process started after the return doubts earlier windows", func(t *testing.T) {
		n := newEraNode(t)
		v := startTerm(n, acquireLease(t, n.Node))
		assert.True(t, v.isDoubtful(n.clock.Service().Wall().Add(-time.Second)))
	})
	t.Run("all windows are doubtful while the store is unavailable", func(t *testing.T) {
		n := newEraNode(t)
		token := acquireLease(t, n.Node)
		n.Node.kv.Range = func(context.Context, string, string) (store.RangeResult, error) {
			return store.RangeResult{}, store.ErrUnavailable
		}
		n.Node.log = zap.NewNop()
		v := startTerm(n, token)
		assert.True(t, v.isDoubtful(time.Unix(1<<40, 0)))
	})
	t.Run("no window is doubtful in a store without eras", func(t *testing.T) {
		n := newEraNode(t)
		v := startTerm(n, 7)
		assert.False(t, v.isDoubtful(time.Unix(1, 0)))
	})
}
