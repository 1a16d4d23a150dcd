package seat

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"spurhall.example/spurhall/internal/standin"
	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/timer"
)

// newKV returns a stand-in for the store, and counts the calls that it takes.
func newKV(calls *int) store.KV {
	k := standin.NewKeys(timer.NewManual(time.Unix(1000, 0)).Service())
	return store.KV{
		Range: func(_ context.Context, key, end string) (store.RangeResult, error) {
			*calls++
			return k.Range(key, end), nil
		},
		Txn: func(_ context.Context, t store.Txn) (store.TxnResult, error) { *calls++; return k.Txn(t) },
	}
}

// TestFewNodesHoldSeats checks that of all nodes of a hall that start at once as many take a seat as there are, and
// that every hall has its own.
func TestFewNodesHoldSeats(t *testing.T) {
	calls := 0
	kv := newKV(&calls)
	for _, hall := range []string{"a", "b"} {
		s, held := New(kv, hall, 2), 0
		for i := range 200 {
			taken, err := s.Take(t.Context(), Holder{Node: fmt.Sprint(hall, i), Address: "10.0.0.1:1"})
			require.NoError(t, err)
			if taken {
				held++
			}
		}
		assert.Equal(t, 2, held)
		holders, err := s.Holders(t.Context())
		require.NoError(t, err)
		assert.Equal(t, []Holder{{hall + "0", "10.0.0.1:1"}, {hall + "1", "10.0.0.1:1"}}, holders)
	}
}

func TestUnreadableSeatIsNobodys(t *testing.T) {
	calls := 0
	kv := newKV(&calls)
	_, err := kv.Txn(t.Context(), store.Txn{Then: []store.Op{{Kind: store.OpPut, Key: prefix + "a/0", Value: []byte("{")}}})
	require.NoError(t, err)
	s := New(kv, "a", 2)
	holders, err := s.Holders(t.Context())
	require.NoError(t, err)
	assert.Empty(t, holders)
	taken, err := s.Take(t.Context(), Holder{Node: "n"})
	require.NoError(t, err)
	assert.True(t, taken, "the other one is free")
}

func TestErrorsAreReturned(t *testing.T) {
	kv := store.KV{
		Range: func(context.Context, string, string) (store.RangeResult, error) {
			return store.RangeResult{}, store.ErrUnavailable
		},
		Txn: func(context.Context, store.Txn) (store.TxnResult, error) { return store.TxnResult{}, store.ErrUnknown },
	}
	s := New(kv, "a", 2)
	_, err := s.Holders(t.Context())
	assert.ErrorIs(t, err, store.ErrUnavailable)
	taken, err := s.Take(t.Context(), Holder{Node: "n"})
	assert.ErrorIs(t, err, store.ErrUnknown)
	assert.False(t, taken)
}

func TestLargerNodesTryFirst(t *testing.T) {
	assert.Less(t, Delay(0.8)+250*time.Millisecond, Delay(0.192))
	assert.Equal(t, maxDelay, Delay(0.01))
	assert.Equal(t, maxDelay, Delay(0))
}
