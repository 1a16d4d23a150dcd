package lease

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"spurhall.example/spurhall/internal/standin"
	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/timer"
)

const ttl = 6 * time.Second

func testPlatform(t *testing.T, clock *timer.Service) store.KV {
	s := httptest.NewServer(standin.NewPlatform(clock).Handler())
	t.Cleanup(s.Close)
	return store.NewGateway(s.URL, 5*time.Second, timer.Real()).KV()
}

// TestAtMostOneHolder advances the clock, loses responses and restarts processes at any step. At no
// moment may two processes believe that they hold the lease, and a later holder always has a higher
// token.
func TestAtMostOneHolder(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	kv := testPlatform(t, clock.Service())
	round := 0
	rapid.Check(t, func(t *rapid.T) {
		round++
		var list []*Lease
		lost := false
		lossy := kv
		lossy.Txn = func(ctx context.Context, x store.Txn) (store.TxnResult, error) {
			r, err := kv.Txn(ctx, x)
			if lost {
				return store.TxnResult{}, store.ErrUnknown
			}
			return r, err
		}
		for i := 0; i < 3; i++ {
			list = append(list, New(lossy, clock.Service(), fmt.Sprintf("leader%d", round), fmt.Sprint(i), ttl))
		}
		highest := int64(0)
		for i := 0; i < 40; i++ {
			lost = rapid.IntRange(0, 3).Draw(t, "lost") == 0
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				clock.Advance(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			case 2:
				i := rapid.IntRange(0, 2).Draw(t, "crashes")
				list[i] = New(lossy, clock.Service(), fmt.Sprintf("leader%d", round), fmt.Sprint(i), ttl)
			default:
				_ = list[rapid.IntRange(0, 2).Draw(t, "holder")].Step(context.Background())
			}
			held := 0
			for _, l := range list {
				if v, ok := l.Token(); ok {
					held++
					assert.GreaterOrEqual(t, v, highest)
					highest = max(highest, v)
				}
			}
			assert.LessOrEqual(t, held, 1)
		}
	})
}

// TestPausedHolderIsHarmless: a holder reads its clock, is paused past its lease, and gives its order.
// An upstream that checks the token rejects it.
func TestPausedHolderIsHarmless(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	kv := testPlatform(t, clock.Service())
	e := httptest.NewServer(standin.NewEngine(timer.Real(), standin.EngineOptions{}).Handler())
	t.Cleanup(e.Close)
	order := func(token int64) int {
		a, err := http.Post(e.URL+"/v1/orders", "application/json", bytes.NewBufferString(fmt.Sprintf(`{"fence":%d,"model":"m"}`, token)))
		require.NoError(t, err)
		_ = a.Body.Close()
		return a.StatusCode
	}
	a, b := New(kv, clock.Service(), "leader", "a", ttl), New(kv, clock.Service(), "leader", "b", ttl)
	require.NoError(t, a.Step(context.Background()))
	assert.ErrorIs(t, b.Step(context.Background()), ErrTaken)
	old, ok := a.Token()
	require.True(t, ok)
	clock.Advance(ttl + time.Second) // a is paused here, with the token in hand
	_, ok = a.Token()
	assert.False(t, ok, "its own clock shows the expiry")
	require.NoError(t, b.Step(context.Background()))
	now, ok := b.Token()
	require.True(t, ok)
	assert.Equal(t, http.StatusNoContent, order(now))
	assert.Equal(t, http.StatusConflict, order(old), "the late order must be rejected")
}

// TestRestartedHolderTakesOver: the process that held the lease is down, and the next process of the
// same VM must not wait for the lease to expire.
func TestRestartedHolderTakesOver(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	kv := testPlatform(t, clock.Service())
	a, b := New(kv, clock.Service(), "leader", "a", ttl), New(kv, clock.Service(), "leader", "b", ttl)
	require.NoError(t, a.Step(context.Background()))
	old, _ := a.Token()
	again := New(kv, clock.Service(), "leader", "a", ttl)
	require.NoError(t, again.Step(context.Background()))
	now, held := again.Token()
	assert.True(t, held)
	assert.Greater(t, now, old)
	t.Run("the key still keeps other VMs out", func(t *testing.T) {
		assert.ErrorIs(t, b.Step(context.Background()), ErrTaken)
	})
	t.Run("the earlier process's lease is gone", func(t *testing.T) {
		assert.ErrorIs(t, a.Step(context.Background()), store.ErrLeaseGone)
		clock.Advance(ttl / 2)
		require.NoError(t, again.Step(context.Background()))
		clock.Advance(ttl * 3 / 4)
		require.NoError(t, again.Step(context.Background()), "the key must not be deleted with the old lease")
		assert.ErrorIs(t, b.Step(context.Background()), ErrTaken)
	})
}

// TestWaitersSeeDeletedKey: a waiting process takes the lease when its holder gives it up, and makes no
// calls until then.
func TestWaitersSeeDeletedKey(t *testing.T) {
	kv := testPlatform(t, timer.Real())
	var reads atomic.Int32
	read := kv.Range
	kv.Range = func(ctx context.Context, key, end string) (store.RangeResult, error) {
		defer reads.Add(1) // after the key was read
		return read(ctx, key, end)
	}
	const long = time.Hour // no process polls within the test
	a, b := New(kv, timer.Real(), "leader", "a", long), New(kv, timer.Real(), "leader", "b", long)
	require.NoError(t, a.Step(context.Background()))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); b.Run(ctx, func() bool { return true }) }()
	require.Eventually(t, func() bool { return reads.Load() == 2 }, 30*time.Second, time.Millisecond, "both must have read the key")
	a.Resign()
	require.Eventually(t, func() bool { _, held := b.Token(); return held }, 30*time.Second, time.Millisecond)
	assert.Equal(t, int32(3), reads.Load())
	cancel()
	<-done
}

// TestLeaseIsTakenOnceWanted: a process that starts to want the lease must not wait for its next check
// of the key.
func TestLeaseIsTakenOnceWanted(t *testing.T) {
	l := New(testPlatform(t, timer.Real()), timer.Real(), "leader", "a", time.Hour)
	var wanted atomic.Bool
	var asked atomic.Int32
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.Run(ctx, func() bool { asked.Add(1); return wanted.Load() })
	}()
	require.Eventually(t, func() bool { return asked.Load() > 0 }, 30*time.Second, time.Millisecond)
	wanted.Store(true)
	require.Eventually(t, func() bool { _, held := l.Token(); return held }, 30*time.Second, time.Millisecond)
	cancel()
	<-done
}

// TestSuspendedHolder: the holder's VM is suspended for longer than the lease. No time passes on the
// monotonic clock meanwhile, so without a check for suspension the holder would believe that it still
// has the lease.
func TestSuspendedHolder(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	l := New(testPlatform(t, clock.Service()), clock.Service(), "suspended", "a", ttl)
	require.NoError(t, l.Step(t.Context()))
	_, held := l.Token()
	require.True(t, held)
	clock.Suspend(ttl)
	_, held = l.Token()
	assert.False(t, held)
}
