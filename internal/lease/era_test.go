package lease

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"spurhall.example/spurhall/internal/era"
	"spurhall.example/spurhall/internal/standin"
	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/timer"
)

// world is a store that may come back from older copies, a cloud that refuses tokens that fall, and
// holders of which each has its own way to the store.
type cluster struct {
	t      *rapid.T
	clock  *timer.Manual
	keys   *standin.Keys
	era    int64
	copies []*standin.Copy
	restoreBeforeReply   bool // answers come after the next return
	loseNextReply   bool // the next transaction's answer is lost
	holders   []*holder
	fence  int64            // highest that the cloud has seen
	senders     map[int64]string // who sent a token
	accepted  []string         // holders of the calls that were taken, by order
}

type holder struct {
	name  string
	lease *Lease
	clock *era.Tracker
}

// kv is a holder's way to the store: each answer says the era of the moment in which it was made.
func (w *cluster) kv(c *era.Tracker) store.KV {
	answer := func(e int64, err error) error {
		if h := c.Observe(e); h != nil {
			return store.ErrUnknown
		}
		return err
	}
	return store.WithEra(store.KV{
		Range: func(_ context.Context, key, end string) (store.RangeResult, error) {
			r, e := w.keys.Range(key, end), w.era
			w.maybeRestore()
			return r, answer(e, nil)
		},
		Txn: func(_ context.Context, x store.Txn) (store.TxnResult, error) {
			r, err := w.keys.Txn(x)
			e, lost := w.era, w.loseNextReply
			w.loseNextReply = false
			w.maybeRestore()
			if lost {
				return store.TxnResult{}, store.ErrUnknown
			}
			return r, answer(e, err)
		},
		Grant: func(_ context.Context, d time.Duration) (int64, error) {
			id, e := w.keys.Grant(d), w.era
			w.maybeRestore()
			return id, answer(e, nil)
		},
		KeepAlive: func(_ context.Context, id int64) (time.Duration, error) {
			d, e := w.keys.KeepAlive(id), w.era
			if d == 0 {
				return 0, answer(e, store.ErrLeaseGone)
			}
			return d, answer(e, nil)
		},
		Revoke: func(_ context.Context, id int64) error { w.keys.Revoke(id); return answer(w.era, nil) },
	}, c)
}

// between lets the store come back between a call's effect and its answer, and another holder take the
// lease meanwhile.
func (w *cluster) maybeRestore() {
	if !w.restoreBeforeReply {
		return
	}
	w.restoreBeforeReply = false
	w.restoreCopy()
	if rapid.Bool().Draw(w.t, "another") {
		_ = w.holders[rapid.IntRange(0, len(w.holders)-1).Draw(w.t, "which")].lease.Step(context.Background())
	}
}

func (w *cluster) restoreCopy() {
	if len(w.copies) > 0 {
		w.keys.Return(w.copies[rapid.IntRange(0, len(w.copies)-1).Draw(w.t, "copy")])
		w.era++
	}
}

// act sends an order if the holder believes that it may, and checks what the cloud sees.
func (w *cluster) sendOrder(h *holder) {
	token, held := h.lease.Token()
	if !held {
		return
	}
	if other, ok := w.senders[token]; ok {
		assert.Equal(w.t, h.name, other, "token %d", token)
	}
	w.senders[token] = h.name
	if token < w.fence {
		return // refused
	}
	w.fence = token
	if n := len(w.accepted); n == 0 || w.accepted[n-1] != h.name+fmt.Sprint(token) {
		w.accepted = append(w.accepted, h.name+fmt.Sprint(token))
	}
}

// TestTokensOverEras: the store comes back from copies of any age, in series, in the middle of calls
// and between them, while holders take, renew, pause, die and begin again. No token is sent by two
// holders, none that is taken falls, so holders never act A, B, A; and when the store stays, somebody
// holds the lease within its time and two seconds.
func TestTokensOverEras(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &cluster{t: t, clock: timer.NewManual(time.Unix(1000, 0)), era: 1, senders: make(map[int64]string)}
		w.keys = standin.NewKeys(w.clock.Service())
		begin := func(name string) *holder {
			c := era.NewTracker()
			h := &holder{name: name, clock: c}
			h.lease = New(w.kv(c), w.clock.Service(), "duty", name, ttl)
			c.OnRise(func(era.Rise) { h.lease.Forget() })
			return h
		}
		for i := range rapid.IntRange(2, 4).Draw(t, "holders") {
			w.holders = append(w.holders, begin(fmt.Sprint("h", i)))
		}
		ctx := context.Background()
		for range 60 {
			i := rapid.IntRange(0, len(w.holders)-1).Draw(t, "who")
			h := w.holders[i]
			switch rapid.IntRange(0, 10).Draw(t, "step") {
			case 0, 1, 2:
				_ = h.lease.Step(ctx)
			case 3, 4:
				w.sendOrder(h)
			case 5:
				w.clock.Advance(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			case 6:
				w.copies = append(w.copies, w.keys.Copy())
			case 7:
				w.restoreCopy()
			case 8:
				w.restoreBeforeReply = true
			case 9:
				w.loseNextReply = true
			case 10:
				w.holders[i] = begin(h.name) // it died without a word
			}
		}
		w.restoreBeforeReply, w.loseNextReply = false, false
		deadline := w.clock.Service().Now().Add(ttl + 2*time.Second)
		for held := false; !held && w.clock.Service().Now().Before(deadline); {
			for _, h := range w.holders {
				_ = h.lease.Step(ctx)
				_, ok := h.lease.Token()
				held = held || ok
				w.sendOrder(h)
			}
			if !held {
				w.clock.Advance(ttl / renewalsPerTTL)
			}
		}
		held := 0
		for _, h := range w.holders {
			if _, ok := h.lease.Token(); ok {
				held++
			}
		}
		assert.Equal(t, 1, held, "the duties go on, at one holder")
	})
}

// TestForget: who hears that the store has lost the lease stops at once, and may take it again.
func TestForget(t *testing.T) {
	c := timer.NewManual(time.Unix(1000, 0))
	l := New(testPlatform(t, c.Service()), c.Service(), "forgotten", "h", ttl)
	assert.NoError(t, l.Step(t.Context()))
	first, held := l.Token()
	assert.True(t, held)
	l.Forget()
	_, held = l.Token()
	assert.False(t, held)
	assert.NoError(t, l.Step(t.Context()))
	second, held := l.Token()
	assert.True(t, held)
	assert.Greater(t, second, first)
}

// TestReadBackOfAnothersKey: the answer to a take is lost, and so is the take; the lease's id is given to
// another holder, who takes the key under it.
func TestReadBackOfAnothersKey(t *testing.T) {
	c := timer.NewManual(time.Unix(1000, 0))
	w := &cluster{clock: c, keys: standin.NewKeys(c.Service()), era: 1}
	copied := w.keys.Copy()
	other := New(w.kv(era.NewTracker()), c.Service(), "duty", "other", ttl)
	known := era.NewTracker()
	kv := w.kv(known)
	take := kv.Txn
	kv.Txn = func(ctx context.Context, x store.Txn) (store.TxnResult, error) {
		_, err := take(ctx, x)
		assert.NoError(t, err)
		w.keys.Return(copied)
		w.era++
		assert.NoError(t, other.Step(ctx))
		assert.NoError(t, known.Observe(w.era)) // from another node
		return store.TxnResult{}, store.ErrUnknown
	}
	l := New(kv, c.Service(), "duty", "h", ttl)
	assert.ErrorIs(t, l.Step(t.Context()), ErrTaken)
	_, held := l.Token()
	assert.False(t, held)
	_, held = other.Token()
	assert.True(t, held)
}
