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
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/quarantine"
	"spurhall.example/spurhall/internal/standin"
	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/timer"
)

// erasKV is a stand-in's keys as a store that may come back from a copy.
func erasKV(k *standin.Keys, c *era.Tracker) store.KV {
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
	v.Node = holder(t, erasKV(v.keys, c), clock.Service(), "a")
	v.Node.era, v.Node.s = c, &Settings{Node: "a"}
	v.Node.suspects = quarantine.NewTracker("a")
	c.OnRise(func(era.Rise) { v.Node.lease.Forget() })
	return v
}

// giveBack lets the store come back from a copy, and the node take the duties anew.
func (v *eraNode) giveBack(t *testing.T, c *standin.Copy) int64 {
	t.Helper()
	v.keys.Return(c)
	require.NoError(t, v.Node.era.Observe(v.Node.era.Current()+1))
	return takeOver(t, v.Node)
}

// TestOrderedOverAnOlderCopy: what was ordered since the copy stands in the store again.
func TestOrderedOverAnOlderCopy(t *testing.T) {
	ctx, n := t.Context(), newEraNode(t)
	onDemand := subject{"llm", "hall-a", false}
	token := takeOver(t, n.Node)
	copied := n.keys.Copy()
	var v, next ordered
	v.begin(ctx, n.Node, token)
	v.note(onDemand, 4)
	v.write(ctx, n.Node, token)
	token = n.giveBack(t, copied)
	v.begin(ctx, n.Node, token)
	v.write(ctx, n.Node, token)
	next.begin(ctx, n.Node, token)
	assert.Equal(t, 4, next.least(n.clock.Service().Now(), onDemand))
}

// TestHeldOverAnOlderCopy: what holds requests back stands in the store again.
func TestHeldOverAnOlderCopy(t *testing.T) {
	ctx, n := t.Context(), newEraNode(t)
	token := takeOver(t, n.Node)
	copied := n.keys.Copy()
	now := n.clock.Service().Now()
	for i := range quarantine.CrashThreshold {
		n.suspects.ObserveCrash(now, quarantine.Crash{Fingerprint: deadlyPrint, Upstream: string(rune('a' + i)), At: now})
	}
	var q heldRequests
	q.write(ctx, n.Node, token)
	assert.Len(t, n.keys.Range(heldRecord.key, "").Pairs, 1)
	token = n.giveBack(t, copied)
	assert.Empty(t, n.keys.Range(heldRecord.key, "").Pairs)
	q.write(ctx, n.Node, token)
	assert.Len(t, n.keys.Range(heldRecord.key, "").Pairs, 1)
}

// TestLearnedOverAnOlderCopy: what the copy has of the engines is older than what this process goes by, or
// nothing. It doesn't take its place, and what is known now stands in the store again.
func TestLearnedOverAnOlderCopy(t *testing.T) {
	old, now := capacity.Engine{Reading: 30, First: 90, Token: 20}, capacity.Engine{Reading: 90, First: 30, Token: 5}
	for name, copied := range map[string]map[string]capacity.Engine{
		"an older figure": {"llm": old}, "none of this service": {"other": now}, "none": nil,
	} {
		t.Run(name, func(t *testing.T) {
			ctx, n := t.Context(), newEraNode(t)
			n.pools = pool.New(n.clock.Service(), "a", "hall-a")
			token := takeOver(t, n.Node)
			var v learned
			v.begin(ctx, n.Node)
			v.write(ctx, n.Node, token, copied)
			c := n.keys.Copy()
			n.pools.RestoreEngine("llm", now)
			v.write(ctx, n.Node, token, n.pools.Learned())
			token = n.giveBack(t, c)
			v.begin(ctx, n.Node)
			assert.Equal(t, now.Reading, n.pools.Engine("llm").Reading)
			v.write(ctx, n.Node, token, n.pools.Learned())
			n.pools = pool.New(n.clock.Service(), "a", "hall-a")
			var next learned
			next.begin(ctx, n.Node)
			assert.Equal(t, now.Reading, n.pools.Engine("llm").Reading, "who begins later finds it")
		})
	}
}

// TestWatchesBeginAnewAtARise: whoever the rise is heard from, the watches under way are ended with it. A
// node that hears it from another one has no call at the store that fails by it, and would read anew only
// once the watch's time is over, 6 s later at most.
func TestWatchesBeginAnewAtARise(t *testing.T) {
	n := newEraNode(t).Node
	n.listReader, n.catalogReader = &follower{n: n}, &follower{n: n}
	under := func(f *follower) context.Context {
		c, stop := context.WithCancelCause(t.Context())
		f.set(stop)
		return c
	}
	list, catalog := under(n.listReader), under(n.catalogReader)
	n.eraRose(era.Rise{From: 1, To: 2})
	assert.ErrorIs(t, context.Cause(list), errBehind)
	assert.ErrorIs(t, context.Cause(catalog), errBehind)
}

// TestDoubtfulWindows: the first holder in an era doubts what ended before its term, also one that
// began after the store's return; the next one in that era goes by the first one's word.
func TestDoubtfulWindows(t *testing.T) {
	ctx := t.Context()
	began := func(n *eraNode, token int64) eraTerm {
		var v eraTerm
		v.begin(ctx, n.Node, token)
		return v
	}
	t.Run("in the first term of the whole system nothing is doubtful", func(t *testing.T) {
		n := newEraNode(t)
		n.Node.s.FirstStart = true
		v := began(n, takeOver(t, n.Node))
		assert.False(t, v.doubts(time.Unix(1, 0)))
	})
	t.Run("after a return all before is, and stays so for the next holder", func(t *testing.T) {
		n := newEraNode(t)
		n.Node.s.FirstStart = true
		v := began(n, takeOver(t, n.Node))
		copied := n.keys.Copy()
		n.Node.returned.Store(new(time.Time))
		token := n.giveBack(t, copied)
		at := n.clock.Service().Wall()
		v = began(n, token)
		assert.True(t, v.doubts(at.Add(-time.Second)))
		assert.False(t, v.doubts(at.Add(time.Second)))
		n.clock.Advance(time.Minute)
		v = began(n, token)
		assert.False(t, v.doubts(at.Add(time.Second)), "the era began when the first one said")
	})
	t.Run("a process that began after it knows no better", func(t *testing.T) {
		n := newEraNode(t)
		v := began(n, takeOver(t, n.Node))
		assert.True(t, v.doubts(n.clock.Service().Wall().Add(-time.Second)))
	})
	t.Run("while the store doesn't tell, all is", func(t *testing.T) {
		n := newEraNode(t)
		token := takeOver(t, n.Node)
		n.Node.kv.Range = func(context.Context, string, string) (store.RangeResult, error) {
			return store.RangeResult{}, store.ErrUnavailable
		}
		n.Node.log = zap.NewNop()
		v := began(n, token)
		assert.True(t, v.doubts(time.Unix(1<<40, 0)))
	})
	t.Run("a store without eras loses nothing", func(t *testing.T) {
		n := newEraNode(t)
		v := began(n, 7)
		assert.False(t, v.doubts(time.Unix(1, 0)))
	})
}
