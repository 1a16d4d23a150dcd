package handover

import (
	"context"
	"fmt"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"spurhall.example/spurhall/internal/lineage"
	"spurhall.example/spurhall/internal/standin"
	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/timer"
)

func TestStreamsAreStoredAsTheyAre(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list []lineage.Record
		for i := range rapid.IntRange(0, 40).Draw(t, "streams") {
			list = append(list, lineage.Record{
				Key: lineage.Key(rapid.Uint64().Draw(t, "key")<<8 | uint64(i)), Version: fmt.Sprint("v", i%3),
				Left: time.Duration(rapid.Int64Range(1, int64(lineage.MaxTime)).Draw(t, "left")),
			})
		}
		age := time.Duration(rapid.Int64Range(0, int64(lineage.MaxTime)).Draw(t, "age"))
		got := decodeStreams(encodeStreams(list), age)
		for _, r := range list {
			i := slices.IndexFunc(got, func(o lineage.Record) bool { return o.Key == r.Key && o.Version == r.Version && o.Left >= r.Left-age })
			if r.Left > age {
				require.GreaterOrEqual(t, i, 0, "%v is known for as long as before", r)
				assert.LessOrEqual(t, got[i].Left, r.Left-age+2*leftUnit)
			}
		}
	})
}

// newTestStore returns a store on the platform's stand-in.
func newTestStore(t *testing.T) (*Store, *timer.Service) {
	clock := timer.Real()
	s := httptest.NewServer(standin.NewPlatform(clock).Handler())
	t.Cleanup(s.Close)
	return &Store{KV: store.NewGateway(s.URL, 5*time.Second, clock).KV(), Lease: testLease, Log: zap.NewNop()}, clock
}

func TestStreamsOfAProcessBefore(t *testing.T) {
	ctx := context.Background()
	s, clock := newTestStore(t)
	grants := 0
	grant := s.KV.Grant
	s.KV.Grant = func(ctx context.Context, d time.Duration) (int64, error) {
		grants++
		return grant(ctx, d)
	}
	a := NewStreams(s, clock, "a")
	list := []lineage.Record{{Key: 7, Version: "v1", Left: time.Minute}, {Key: 8, Version: "v2", Left: time.Minute}}
	require.NoError(t, a.Save(ctx, list))
	require.NoError(t, a.Save(ctx, list))
	assert.Equal(t, 1, grants, "one lease serves many writes")
	t.Run("its next process reads them, no other node", func(t *testing.T) {
		got, err := NewStreams(s, clock, "a").Load(ctx)
		require.NoError(t, err)
		assert.Len(t, got, 2)
		got, err = NewStreams(s, clock, "b").Load(ctx)
		require.NoError(t, err)
		assert.Empty(t, got)
	})
	t.Run("a store that has lost the lease", func(t *testing.T) {
		a.Forget()
		require.NoError(t, a.Save(ctx, list))
		assert.Equal(t, 2, grants)
	})
	t.Run("what can't be read is no reason to wait", func(t *testing.T) {
		_, err := s.KV.Txn(ctx, store.Put(streamsPrefix+"a", []byte("{")))
		require.NoError(t, err)
		got, err := a.Load(ctx)
		assert.NoError(t, err)
		assert.Empty(t, got)
	})
	t.Run("a store that is away is", func(t *testing.T) {
		s.KV.Range = func(context.Context, string, string) (store.RangeResult, error) {
			return store.RangeResult{}, store.ErrUnavailable
		}
		_, err := a.Load(ctx)
		assert.ErrorIs(t, err, store.ErrUnavailable)
		_, err = ReadVersions(ctx, s)
		assert.ErrorIs(t, err, store.ErrUnavailable)
	})
}

// TestVersionsAreWrittenWhenTheyChange guards against a write in each step, and against a copy of the store that lacks the last one.
func TestVersionsAreWrittenWhenTheyChange(t *testing.T) {
	ctx := context.Background()
	s, clock := newTestStore(t)
	h := newHolder(s.KV, clock, "a")
	token := h.acquire(t)
	writes := 0
	txn := h.KV.Txn
	h.KV.Txn = func(ctx context.Context, x store.Txn) (store.TxnResult, error) {
		writes++
		return txn(ctx, x)
	}
	var v Versions
	v.Write(ctx, h.Store, token, nil)
	assert.Zero(t, writes, "no upstream is listed")
	for range 3 {
		v.Write(ctx, h.Store, token, map[string][]string{"llm": {"v1"}})
	}
	assert.Equal(t, 1, writes)
	v.Write(ctx, h.Store, token, map[string][]string{"llm": {"v1", "v2"}})
	assert.Equal(t, 2, writes)
	got, err := ReadVersions(ctx, s)
	require.NoError(t, err)
	assert.Equal(t, map[string][]string{"llm": {"v1", "v2"}}, got)
	v.Write(ctx, h.Store, token+1, map[string][]string{"llm": {"v1", "v2"}})
	assert.Equal(t, 3, writes, "another term: the store may be a copy")
}
