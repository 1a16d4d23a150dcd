package store

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"spurhall.example/spurhall/internal/era"
)

// eras is a store whose answers are of an era, and that counts the calls which reach it.
type eraStub struct {
	clock *era.Tracker
	now   int64
	calls int
	rises bool // the era rises during the next call
	last  Txn
}

func (v *eraStub) respond() {
	v.calls++
	_ = v.clock.Observe(v.now) // never falls here
	if v.rises {
		v.rises = false
		v.now++
		_ = v.clock.Observe(v.now)
	}
}

func newEraStub(now int64) (*eraStub, KV) {
	v := &eraStub{clock: era.NewTracker(), now: now}
	kv := KV{
		Range: func(context.Context, string, string) (RangeResult, error) {
			v.respond()
			return RangeResult{Revision: 9, Pairs: []Pair{{Key: "k", Created: 3, Modified: 7, Lease: 5}}}, nil
		},
		Txn: func(_ context.Context, t Txn) (TxnResult, error) {
			v.respond()
			v.last = t
			return TxnResult{Succeeded: true, Revision: 10}, nil
		},
		Grant:     func(context.Context, time.Duration) (int64, error) { v.respond(); return 5, nil },
		KeepAlive: func(context.Context, int64) (time.Duration, error) { v.respond(); return time.Second, nil },
		Revoke:    func(context.Context, int64) error { v.respond(); return nil },
		Watch: func(_ context.Context, s Span, f func(WatchBatch) error) error {
			v.respond()
			if err := f(WatchBatch{Revision: s.From, Events: []Event{{Pair: Pair{Key: "k", Modified: s.From}}}}); err != nil {
				return err
			}
			v.rises = true
			v.respond()
			return f(WatchBatch{Revision: s.From + 1})
		},
	}
	return v, WithEra(kv, v.clock)
}

func revision(t *testing.T, e, n int64) int64 {
	t.Helper()
	r, err := era.Revision(e, n)
	require.NoError(t, err)
	return r
}

// TestDated is what reaches a store that may come back from an older copy, and what is told of it.
func TestWithEra(t *testing.T) {
	ctx := context.Background()
	t.Run("a store without eras is as it was", func(t *testing.T) {
		_, kv := newEraStub(0)
		r, err := kv.Range(ctx, "k", "")
		require.NoError(t, err)
		assert.Equal(t, RangeResult{Revision: 9, Pairs: []Pair{{Key: "k", Created: 3, Modified: 7, Lease: 5}}}, r)
	})
	t.Run("revisions bear the era, from the first answer on", func(t *testing.T) {
		_, kv := newEraStub(2)
		r, err := kv.Range(ctx, "k", "")
		require.NoError(t, err)
		assert.Equal(t, revision(t, 2, 9), r.Revision)
		assert.Equal(t, revision(t, 2, 7), r.Pairs[0].Modified)
	})
	t.Run("a condition of this era is sent as the store's number", func(t *testing.T) {
		v, kv := newEraStub(2)
		_, err := kv.Range(ctx, "k", "")
		require.NoError(t, err)
		a, err := kv.Txn(ctx, Txn{If: []Compare{Unmodified("k", revision(t, 2, 7)), Absent("x")}})
		require.NoError(t, err)
		assert.Equal(t, revision(t, 2, 10), a.Revision)
		assert.Equal(t, []Compare{Unmodified("k", 7), Absent("x")}, v.last.If)
	})
	t.Run("one of another era doesn't hold, and isn't sent", func(t *testing.T) {
		v, kv := newEraStub(2)
		_, err := kv.Range(ctx, "k", "")
		require.NoError(t, err)
		a, err := kv.Txn(ctx, Txn{If: []Compare{Unmodified("k", revision(t, 1, 7))}})
		require.NoError(t, err)
		assert.False(t, a.Succeeded)
		assert.Equal(t, 1, v.calls)
	})
	t.Run("a lease of another era is gone, for renewals, writes and its end", func(t *testing.T) {
		v, kv := newEraStub(2)
		id, err := kv.Grant(ctx, time.Second)
		require.NoError(t, err)
		require.NoError(t, v.clock.Observe(3))
		v.now = 3
		_, err = kv.Txn(ctx, Txn{Then: []Op{{Kind: OpPut, Key: "k", Lease: id}}})
		assert.ErrorIs(t, err, ErrLeaseGone)
		_, err = kv.KeepAlive(ctx, id)
		assert.ErrorIs(t, err, ErrLeaseGone)
		assert.Equal(t, 1, v.calls)
	})
	t.Run("whose end isn't told to the store, either", func(t *testing.T) {
		v, kv := newEraStub(2)
		id, err := kv.Grant(ctx, time.Second)
		require.NoError(t, err)
		require.NoError(t, v.clock.Observe(3))
		assert.NoError(t, kv.Revoke(ctx, id))
		assert.Equal(t, 1, v.calls)
	})
	t.Run("a watch doesn't go on from another era", func(t *testing.T) {
		v, kv := newEraStub(2)
		require.NoError(t, v.clock.Observe(2))
		err := kv.Watch(ctx, PrefixSpan("k", revision(t, 1, 7)), func(WatchBatch) error { return nil })
		assert.ErrorIs(t, err, ErrCompacted)
		assert.Zero(t, v.calls)
	})
	t.Run("nor over a rise", func(t *testing.T) {
		v, kv := newEraStub(2)
		require.NoError(t, v.clock.Observe(2))
		var got []int64
		err := kv.Watch(ctx, PrefixSpan("k", revision(t, 2, 7)), func(b WatchBatch) error { got = append(got, b.Revision); return nil })
		assert.ErrorIs(t, err, ErrCompacted)
		assert.Equal(t, []int64{revision(t, 2, 7)}, got)
	})
	t.Run("a call over a rise has an answer that was lost", func(t *testing.T) {
		v, kv := newEraStub(2)
		require.NoError(t, v.clock.Observe(2))
		v.rises = true
		_, err := kv.Range(ctx, "k", "")
		assert.ErrorIs(t, err, ErrUnavailable)
		v.rises = true
		_, err = kv.Txn(ctx, Txn{})
		assert.ErrorIs(t, err, ErrUnknown)
		v.rises = true
		_, err = kv.Grant(ctx, time.Second)
		assert.ErrorIs(t, err, ErrUnavailable)
		id, err := kv.Grant(ctx, time.Second)
		require.NoError(t, err)
		v.rises = true
		_, err = kv.KeepAlive(ctx, id)
		assert.ErrorIs(t, err, ErrLeaseGone)
	})
}
