package handover

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"spurhall.example/spurhall/internal/autoscale"
	"spurhall.example/spurhall/internal/standin"
	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/timer"
)

// TestNextHolderRestoresRoom writes what a holder knows of a wave, and restores it after the loss of all processes.
func TestNextHolderRestoresRoom(t *testing.T) {
	ctx := context.Background()
	clock := timer.NewManual(time.Unix(1000, 0))
	counting, calls := countedPlatform(t, clock)
	a := newHolder(counting, clock.Service(), "a")
	token := a.acquire(t)
	first := NewRoom(clock.Service())
	first.Restore(ctx, a.Store, func(string, autoscale.Known) { t.Error("nothing was written") })
	known := autoscale.Known{Need: 40, Notice: 2 * time.Second, Hold: 20 * time.Second}
	write := func(k autoscale.Known) {
		first.Write(ctx, a.Store, token, map[string]autoscale.Known{"llm": k})
	}
	write(known)

	assert.Positive(t, *calls)
	t.Run("a small change causes no call", func(t *testing.T) {
		*calls = 0
		clock.Advance(time.Second)
		write(autoscale.Known{Need: 44, Notice: 3 * time.Second, Hold: known.Hold})
		write(autoscale.Known{Need: 44, Notice: time.Second, Hold: known.Hold})
		assert.Zero(t, *calls)
	})
	t.Run("after the loss of all processes", func(t *testing.T) {
		clock.Advance(4 * time.Second) // a's lease has expired
		b := newHolder(counting, clock.Service(), "b")
		b.acquire(t)
		found := make(map[string]autoscale.Known)
		NewRoom(clock.Service()).Restore(ctx, b.Store, func(service string, k autoscale.Known) { found[service] = k })
		known.Notice += 5 * time.Second
		assert.Equal(t, map[string]autoscale.Known{"llm": known}, found)
	})
	t.Run("no notice was seen", func(t *testing.T) {
		clock.Advance(4 * time.Second)
		c := newHolder(counting, clock.Service(), "c")
		token := c.acquire(t)
		v := NewRoom(clock.Service())
		v.Restore(ctx, c.Store, func(string, autoscale.Known) {})
		v.Write(ctx, c.Store, token, map[string]autoscale.Known{"llm": {Need: 10, Notice: -1}})
		NewRoom(clock.Service()).Restore(ctx, c.Store, func(_ string, k autoscale.Known) {
			assert.Equal(t, autoscale.Known{Need: 10, Notice: -1}, k)
		})
	})
}

// newRoomHolder returns a holder whose calls can be counted and fail, its writer's clock, and its token.
func newRoomHolder(t *testing.T, f *roomFaults) (*holder, *timer.Manual, int64) {
	clock := timer.NewManual(time.Unix(1000, 0))
	s := httptest.NewServer(standin.NewPlatform(clock.Service()).Handler())
	t.Cleanup(s.Close)
	kv := store.NewGateway(s.URL, 5*time.Second, timer.Real()).KV()
	faulty := kv
	faulty.Txn = func(c context.Context, x store.Txn) (store.TxnResult, error) {
		f.writes++
		if f.isAway {
			return store.TxnResult{}, errors.New("away")
		}
		return kv.Txn(c, x)
	}
	h := newHolder(faulty, clock.Service(), "a")
	return h, clock, h.acquire(t)
}

type roomFaults struct {
	writes int
	isAway bool
}

// TestNoticeFromAClockAhead: a writer's clock was an hour ahead.
func TestNoticeFromAClockAhead(t *testing.T) {
	ctx, f := t.Context(), &roomFaults{}
	h, clock, token := newRoomHolder(t, f)
	at := clock.Service().WallOf(clock.Service().Now()).Add(time.Hour)
	h.Write(ctx, RoomRecord, token, map[string]roomValue{"llm": {Need: 40, Notice: at.UnixMilli()}})
	v := NewRoom(clock.Service())
	restored := func() (got autoscale.Known) {
		v.Restore(ctx, h.Store, func(_ string, k autoscale.Known) { got = k })
		return got
	}
	assert.Equal(t, autoscale.Known{Need: 40, Notice: -1}, restored(), "no notice")
	v.Write(ctx, h.Store, token, map[string]autoscale.Known{"llm": {Need: 40, Notice: time.Second}})
	assert.Equal(t, autoscale.Known{Need: 40, Notice: time.Second}, restored(), "the real one is written")
	t.Run("a little ahead is now", func(t *testing.T) {
		at := clock.Service().WallOf(clock.Service().Now()).Add(time.Second)
		h.Write(ctx, RoomRecord, token, map[string]roomValue{"llm": {Need: 40, Notice: at.UnixMilli()}})
		assert.Equal(t, autoscale.Known{Need: 40}, restored())
	})
}

func TestRoomWritesSeldom(t *testing.T) {
	const tick = 250 * time.Millisecond
	ctx, f := t.Context(), &roomFaults{}
	h, clock, token := newRoomHolder(t, f)
	v := NewRoom(clock.Service())
	v.Restore(ctx, h.Store, func(string, autoscale.Known) {})
	writes := func(need func(i int) float64) int {
		f.writes = 0
		for i := range 20 {
			v.Write(ctx, h.Store, token, map[string]autoscale.Known{"llm": {Need: need(i), Notice: -1}})
			clock.Advance(tick)
		}
		return f.writes
	}
	assert.Equal(t, 1, writes(func(int) float64 { return 10 }))
	assert.Zero(t, writes(func(i int) float64 { return 10 + float64(i%2) }), "less than a quarter")
	assert.Equal(t, 1, writes(func(int) float64 { return 1.5 }))
	assert.Zero(t, writes(func(i int) float64 { return 1 + 0.9*float64(i%2) }), "less than one upstream")
	f.isAway = true
	assert.Equal(t, 5, writes(func(int) float64 { return 10 }), "one attempt a second while the store is away")
	f.isAway = false
	assert.Equal(t, 1, writes(func(int) float64 { return 10 }))
}

// TestRoomIsReadBeforeItIsWritten: the store can't be read at the start of a term.
func TestRoomIsReadBeforeItIsWritten(t *testing.T) {
	ctx, f := t.Context(), &roomFaults{}
	h, clock, token := newRoomHolder(t, f)
	h.Write(ctx, RoomRecord, token, map[string]roomValue{"llm": {Need: 40}})
	kv, reads, isAway := h.KV, 0, true
	h.KV.Range = func(c context.Context, key, end string) (store.RangeResult, error) {
		reads++
		if isAway {
			return store.RangeResult{}, errors.New("away")
		}
		return kv.Range(c, key, end)
	}
	f.writes = 0
	v, found := NewRoom(clock.Service()), autoscale.Known{}
	v.Restore(ctx, h.Store, func(_ string, k autoscale.Known) { found = k })
	write := func() {
		for range 8 {
			clock.Advance(250 * time.Millisecond)
			v.Write(ctx, h.Store, token, map[string]autoscale.Known{"llm": {Need: 3, Notice: -1}})
		}
	}
	write()
	assert.Zero(t, f.writes, "the predecessor's value stays")
	assert.Equal(t, 3, reads, "one attempt a second")
	isAway = false
	write()
	assert.Equal(t, autoscale.Known{Need: 40, Notice: -1}, found)
	assert.Equal(t, 1, f.writes)
	t.Run("a value that can't be decoded is replaced", func(t *testing.T) {
		h, clock, token := newRoomHolder(t, f)
		h.Write(ctx, RoomRecord, token, "x")
		f.writes = 0
		v := NewRoom(clock.Service())
		v.Restore(ctx, h.Store, func(string, autoscale.Known) { t.Error("nothing is known") })
		clock.Advance(minRoomInterval)
		v.Write(ctx, h.Store, token, map[string]autoscale.Known{"llm": {Need: 3, Notice: -1}})
		assert.Equal(t, 1, f.writes)
	})
}
