package lease

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
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

// TestTwoNeverBelieveAtOnce: clocks run, holders pause at any step, answers get lost.
// At no moment do two processes believe that they hold the lease, and a later holder
// always has a higher token.
func TestTwoNeverBelieveAtOnce(t *testing.T) {
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
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				clock.Advance(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			default:
				_ = list[rapid.IntRange(0, 2).Draw(t, "who")].Step(context.Background())
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

// TestPausedHolderIsHarmless: a holder looks at its clock, is paused past its lease,
// and gives its order. An upstream that checks refuses it.
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
	assert.False(t, ok, "its own clock tells it")
	require.NoError(t, b.Step(context.Background()))
	now, ok := b.Token()
	require.True(t, ok)
	assert.Equal(t, http.StatusNoContent, order(now))
	assert.Equal(t, http.StatusConflict, order(old), "the late order is refused")
}
