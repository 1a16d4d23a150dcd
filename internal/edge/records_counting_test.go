package edge

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"spurhall.example/spurhall/internal/catalog"
	"spurhall.example/spurhall/internal/handover"
	"spurhall.example/spurhall/internal/quota"
	"spurhall.example/spurhall/internal/standin"
	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/timer"
	"spurhall.example/spurhall/internal/usage"
)

// TestCountsOfTheRunningWindowAreLostWithAllProcesses loses all processes within a window and shortly after its end.
func TestCountsOfTheRunningWindowAreLostWithAllProcesses(t *testing.T) {
	ctx := context.Background()
	clock := timer.NewManual(time.Unix(1001, 0))
	s := httptest.NewServer(standin.NewPlatform(clock.Service()).Handler())
	t.Cleanup(s.Close)
	kv := store.NewGateway(s.URL, 5*time.Second, timer.Real()).KV()
	writes := 0
	counted := kv
	counted.Txn = func(ctx context.Context, x store.Txn) (store.TxnResult, error) {
		writes++
		return kv.Txn(ctx, x)
	}
	c, err := catalog.New(catalog.Spec{Version: 1, Workspaces: []catalog.WorkspaceSpec{{Name: "w", Rate: 1000, Burst: 1000}}})
	require.NoError(t, err)
	start := func(name, incarnation string) *Node {
		n := newCounter(t, kv, clock.Service(), name, incarnation)
		n.quotas = quota.New(n.start, true)
		n.quotas.SetLimits(n.start, map[string]quota.Limit{"w": {Rate: 1000, Burst: 1000}})
		n.quotas.SetPeers(n.start, nil)
		n.catalog.Store(&activeCatalog{catalog: c})
		return n
	}
	restored := func(name string) *usage.Tracker {
		n := start(name, "2")
		n.restoreUsage(ctx)
		return n.usage
	}
	a := start("a", "1")
	token := acquireLease(t, a)
	a.kv = counted
	window := a.usage.Window(clock.Service().Wall())
	var u handover.Usage
	v := a.newLevels(&u)
	a.usage.Add(clock.Service().Wall(), "w")
	a.usage.Merge("b", "1", usage.Windows{window: {"w": 7}, window - 9: {"w": 1}})
	a.writeLevels(ctx, v, token)

	t.Run("they are stored with the levels, in one call", func(t *testing.T) {
		assert.Equal(t, 1, writes)
		assert.Equal(t, usage.Counts{"w": 8}, restored("c").Sum(window))
	})
	t.Run("processes that live on are counted once", func(t *testing.T) {
		r := restored("c")
		r.Merge("b", "1", usage.Windows{window: {"w": 9}})
		assert.Equal(t, usage.Counts{"w": 10}, r.Sum(window))
	})
	t.Run("so are those of a window that ended and isn't stored yet, and none that are older", func(t *testing.T) {
		clock.Advance(4*time.Second + handover.UsageWriteDelay/2)
		a.writeUsage(ctx, &u, token)
		assert.Zero(t, u.Window())
		a.usage.Merge("b", "1", usage.Windows{window: {"w": 12}, window + 1: {"w": 3}})
		a.lease.Resign()
		token = acquireLease(t, a)
		a.writeLevels(ctx, v, token)
		r := restored("c")
		assert.Equal(t, usage.Counts{"w": 13}, r.Sum(window))
		assert.Equal(t, usage.Counts{"w": 3}, r.Sum(window+1))
		assert.Empty(t, r.Sum(window-9))
	})
	t.Run("those of many processes are stored less often, so that they take 32 kB a second", func(t *testing.T) {
		for i := range 400 {
			a.usage.Merge(fmt.Sprint("node-", i), "1", usage.Windows{window + 1: {"one": 1, "two": 2, "three": 3}})
		}
		calls, bytes := 0, 0
		counted.Txn = func(ctx context.Context, x store.Txn) (store.TxnResult, error) {
			for _, o := range x.Then {
				if o.Key == handover.CountingRecord.Key {
					calls, bytes = calls+1, bytes+len(o.Value)
				}
			}
			return kv.Txn(ctx, x)
		}
		a.kv = counted
		for i := range 8 {
			clock.Advance(handover.LevelsCheckInterval)
			a.lease.Resign()
			token = acquireLease(t, a)
			a.quotas.Charge(clock.Service().Now(), "w", 300+float64(i))
			a.writeLevels(ctx, v, token)
		}
		assert.Positive(t, calls)
		assert.Less(t, bytes, (4+2)*32<<10, "in 4 s")
	})
	t.Run("and never so many that the store rejects the levels with them", func(t *testing.T) {
		for i := range 10_000 {
			a.usage.Merge(fmt.Sprint("node-", i), "2", usage.Windows{a.usage.Window(clock.Service().Wall()): {"w": 1}})
		}
		written := 0
		a.kv.Txn = func(ctx context.Context, x store.Txn) (store.TxnResult, error) {
			written++
			assert.Len(t, x.Then, 1)
			return kv.Txn(ctx, x)
		}
		clock.Advance(4 * time.Second)
		a.lease.Resign()
		a.writeLevels(ctx, v, acquireLease(t, a))
		assert.Equal(t, 1, written, "the levels alone")
	})
}
