package registration

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"spurhall.example/spurhall/internal/roster"
	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/timer"
)

// fakeStore holds keys and leases, and fails as a test says.
type fakeStore struct {
	pairs  []store.Pair
	leases int64
	lease  int64 // of the key
	ttl    time.Duration
	gone   bool // leases are over
	down   bool
}

var errDown = errors.New("the store is down")

func (f *fakeStore) kv() store.KV {
	return store.KV{
		Grant: func(_ context.Context, d time.Duration) (int64, error) {
			f.ttl = d
			if f.down {
				return 0, errDown
			}
			f.leases++
			return f.leases, nil
		},
		KeepAlive: func(context.Context, int64) (time.Duration, error) {
			if f.gone {
				return 0, store.ErrLeaseGone
			}
			if f.down {
				return 0, errDown
			}
			return time.Second, nil
		},
		Range: func(context.Context, string, string) (store.RangeResult, error) {
			return store.RangeResult{Pairs: f.pairs}, nil
		},
		Txn: func(_ context.Context, x store.Txn) (store.TxnResult, error) {
			f.lease = x.Then[0].Lease
			f.pairs = []store.Pair{{Key: x.Then[0].Key, Value: x.Then[0].Value}}
			return store.TxnResult{Succeeded: true}, nil
		},
	}
}

func newRegistration(f *fakeStore, incarnation string) (*Registration, *observer.ObservedLogs) {
	core, logs := observer.New(zap.DebugLevel)
	m := roster.Member{Name: "edge-1", Address: "10.0.0.5:8744", Hall: "a", Cores: 0.2}
	return New(Options{KV: f.kv(), Clock: timer.Real(), Log: zap.New(core), Member: m, Incarnation: incarnation}), logs
}

func assertLogged(t *testing.T, logs *observer.ObservedLogs, message string, want int) {
	t.Helper()
	assert.Equal(t, want, logs.FilterMessage(message).Len(), message)
}

func TestRenew(t *testing.T) {
	ctx := context.Background()
	t.Run("writes the key, which others read", func(t *testing.T) {
		f := &fakeStore{}
		r, logs := newRegistration(f, "one")
		assert.Equal(t, int64(1), r.renew(ctx, 0))
		assertLogged(t, logs, "registered", 1)
		assert.Equal(t, int64(1), f.lease, "the key goes with the lease")
		assert.Equal(t, ttl, f.ttl)
		list, err := Read(ctx, zap.NewNop(), func(ctx context.Context, p string) (store.RangeResult, error) { return f.kv().Range(ctx, p, "") })
		require.NoError(t, err)
		assert.Equal(t, []roster.Member{r.o.Member}, list)
	})
	t.Run("keeps a lease that couldn't be renewed", func(t *testing.T) {
		r, logs := newRegistration(&fakeStore{down: true}, "one")
		assert.Equal(t, int64(7), r.renew(ctx, 7))
		assertLogged(t, logs, "registration_failed", 0)
	})
	t.Run("writes the key again once its lease is over", func(t *testing.T) {
		r, logs := newRegistration(&fakeStore{gone: true, leases: 7}, "one")
		assert.Equal(t, int64(8), r.renew(ctx, 7))
		assertLogged(t, logs, "registered", 1)
	})
	t.Run("has no lease while the store is down", func(t *testing.T) {
		r, logs := newRegistration(&fakeStore{gone: true, down: true}, "one")
		assert.Zero(t, r.renew(ctx, 7))
		assertLogged(t, logs, "registration_failed", 1)
	})
	t.Run("tells of a process that was killed", func(t *testing.T) {
		f := &fakeStore{}
		first, _ := newRegistration(f, "one")
		first.renew(ctx, 0)
		second, logs := newRegistration(f, "two")
		second.renew(ctx, 0)
		assertLogged(t, logs, "previous_killed", 1)
		again, logs := newRegistration(f, "two")
		again.renew(ctx, 0)
		assertLogged(t, logs, "previous_killed", 0)
	})
}

// TestKeyOfAnotherWriter: a value that can't be read names no node, and the others are read.
func TestKeyOfAnotherWriter(t *testing.T) {
	core, logs := observer.New(zap.DebugLevel)
	list, err := Read(context.Background(), zap.New(core), func(context.Context, string) (store.RangeResult, error) {
		return store.RangeResult{Pairs: []store.Pair{{Key: Prefix + "x", Value: []byte("{")}, {Key: Prefix + "y", Value: []byte(`{"hall":"b"}`)}}}, nil
	})
	require.NoError(t, err)
	assert.Equal(t, []roster.Member{{Name: "y", Hall: "b"}}, list)
	assertLogged(t, logs, "member_unreadable", 1)
}
