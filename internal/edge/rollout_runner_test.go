package edge

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"spurhall.example/spurhall/internal/era"
	"spurhall.example/spurhall/internal/peer"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/rollout"
	"spurhall.example/spurhall/internal/standin"
	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/timer"
)

// rolloutTest is a store with an order, for nodes that may hold the duties.
type rolloutTest struct {
	t     *testing.T
	clock *timer.Manual
	kv    store.KV
	order rollout.Order
}

const (
	testOrderPrefix = "orders/"
	testStatusKey   = "status/s"
)

func newRolloutTest(t *testing.T) *rolloutTest {
	clock := timer.NewManual(time.Unix(1000, 0))
	s := httptest.NewServer(standin.NewPlatform(clock.Service()).Handler())
	t.Cleanup(s.Close)
	r := &rolloutTest{t: t, clock: clock, kv: store.NewGateway(s.URL, 5*time.Second, timer.Real()).KV()}
	r.order = rollout.Order{Service: "s", Target: "v2", Duration: 20 * time.Second}
	a, err := r.kv.Txn(t.Context(), store.Put(testOrderPrefix+"s", []byte("20")))
	require.NoError(t, err)
	r.order.Revision = a.Revision
	return r
}

// node returns a node that knows the order, and two upstreams of each version.
func (r *rolloutTest) node(name string) *Node {
	n := newHolder(r.t, r.kv, r.clock.Service(), name)
	n.settings, n.peers, n.rollouts = &Settings{Node: name, Hall: "a"}, peer.NewTable(peer.Options{Clock: n.clock, Log: n.log}), newRollouts()
	n.pools = pool.New(r.clock.Service(), "a", "a")
	n.pools.Update(func(l *pool.List) {
		for _, id := range []string{"v1-a", "v1-b", "v2-a", "v2-b"} {
			l.Put(pool.Item{Entry: pool.Entry{ID: id, Hall: "a", Service: "s", Address: "10.0.0.1:1", Slots: 8, Version: id[:2]}})
		}
	})
	n.listed.Store(true)
	n.options.OrderPrefix = testOrderPrefix
	n.options.DecodeOrder = func(string, []byte) (rollout.Order, error) { return r.order, nil }
	n.options.EncodeStatus = func(_ rollout.Order, s rollout.Stage) (string, []byte, error) {
		return testStatusKey, []byte(s.String()), nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.startTrial(rollout.Order{Service: "s", Target: "v2", Revision: r.order.Revision}, "test")
	return n
}

// assertStage checks the stored status and the node's own stage.
func (r *rolloutTest) assertStage(n *Node, want rollout.Stage) {
	r.t.Helper()
	a, err := r.kv.Range(context.Background(), testStatusKey, "")
	require.NoError(r.t, err)
	require.Len(r.t, a.Pairs, 1)
	assert.Equal(r.t, want.String(), string(a.Pairs[0].Value))
	assert.Equal(r.t, want, n.rollouts.trials["s"].Stage())
}

// recordResponses records the given number of responses of the target at a node.
func recordResponses(n *Node, count int) {
	for i := 0; i < count; i++ {
		n.recordResponse("s", "r", i%2, rollout.Response{Started: true, First: 1})
		for k := 0; k < 3; k++ {
			n.recordResponse("s", "r", -1, rollout.Response{Started: true, First: 1})
		}
	}
}

func TestHolderAdvancesRollout(t *testing.T) {
	r := newRolloutTest(t)
	a := r.node("a")
	roll := newRunner(a)
	step := func() {
		require.NoError(t, a.lease.Step(t.Context()))
		token, held := a.lease.Token()
		require.True(t, held)
		roll.step(t.Context(), token)
	}
	step()
	r.assertStage(a, rollout.StageTrial)
	recordResponses(a, 60)
	for i := 0; i < 26; i++ {
		r.clock.Advance(500 * time.Millisecond)
		step()
	}
	r.assertStage(a, rollout.StageFifth)
	for i := 0; i < 60; i++ {
		recordResponses(a, 5)
		r.clock.Advance(100 * time.Millisecond)
		step()
	}
	r.assertStage(a, rollout.StageCompleted)
}

// TestSuccessorResumesRollout checks that a successor continues with the stored stage and start time of the
// order.
func TestSuccessorResumesRollout(t *testing.T) {
	r := newRolloutTest(t)
	a := r.node("a")
	newRunner(a).step(t.Context(), acquireLease(t, a))
	r.clock.Advance(16 * time.Second) // a's lease has expired, and the first stage is close to its time limit
	b := r.node("b")
	roll := newRunner(b)
	token := acquireLease(t, b)
	roll.step(t.Context(), token)
	r.assertStage(b, rollout.StageTrial)
	assert.True(t, b.rollouts.trials["s"].HasKeepAlive(r.clock.Service().Now()))
	r.clock.Advance(time.Second)
	roll.step(t.Context(), token)
	r.assertStage(b, rollout.StageRolledBack)
}

// TestDeposedHolderWritesNothing checks that a holder that lost the lease without noticing writes nothing and
// advances to no stage.
func TestDeposedHolderWritesNothing(t *testing.T) {
	r := newRolloutTest(t)
	a := r.node("a")
	old := acquireLease(t, a)
	r.clock.Advance(4 * time.Second)
	b := r.node("b")
	acquireLease(t, b)
	newRunner(a).step(t.Context(), old)
	v, err := r.kv.Range(t.Context(), testStatusKey, "")
	require.NoError(t, err)
	assert.Empty(t, v.Pairs)
	assert.Equal(t, rollout.StageWaiting, a.rollouts.trials["s"].Stage())
}

// TestStageIsAnnouncedAfterWrite checks that a stage isn't announced before the store has accepted it.
func TestStageIsAnnouncedAfterWrite(t *testing.T) {
	r := newRolloutTest(t)
	a := r.node("a")
	token := acquireLease(t, a)
	down := a.kv
	down.Txn = func(context.Context, store.Txn) (store.TxnResult, error) { return store.TxnResult{}, store.ErrUnknown }
	up := a.kv
	a.kv = down
	roll := newRunner(a)
	roll.step(t.Context(), token)
	assert.Equal(t, rollout.StageWaiting, a.rollouts.trials["s"].Stage())
	a.kv = up
	roll.step(t.Context(), token)
	r.assertStage(a, rollout.StageTrial)
}

// TestWithdrawnOrder checks that a target whose order was withdrawn gets no more requests.
func TestWithdrawnOrder(t *testing.T) {
	r := newRolloutTest(t)
	a := r.node("a")
	roll, token := newRunner(a), acquireLease(t, a)
	roll.step(t.Context(), token)
	a.withdrawOrder(testOrderPrefix+"s", r.order.Revision+5)
	roll.step(t.Context(), token)
	r.assertStage(a, rollout.StageRolledBack)
	for i := 0; i < 20; i++ {
		assert.Equal(t, "v1", a.pools.Pick(pool.Request{ID: string(rune('a' + i)), Service: "s"}).Entry().Version)
	}
}

// TestNewerOrderReplacesOlder checks that the target of a superseded order gets no more requests.
func TestNewerOrderReplacesOlder(t *testing.T) {
	r := newRolloutTest(t)
	a := r.node("a")
	a.mu.Lock()
	a.startTrial(rollout.Order{Service: "s", Target: "v3", Revision: r.order.Revision + 1}, "test")
	a.startTrial(r.order, "an old update")
	a.mu.Unlock()
	assert.Equal(t, "v3", a.rollouts.trials["s"].Order().Target)
	assert.False(t, a.countsAsCapacity("s", "v2"))
	assert.True(t, a.countsAsCapacity("s", "v1"))
	for i := 0; i < 20; i++ {
		assert.Equal(t, "v1", a.pools.Pick(pool.Request{ID: string(rune('a' + i)), Service: "s"}).Entry().Version)
	}
}

// TestStageOfPreviousEra: the stored stage of an order was written before the store returned from a copy; the
// order has been written again since, with a revision of the new era. Both readers, a starting process and a
// new holder, apply the stage to the order, but not a stage of another order or of another target.
func TestStageOfPreviousEra(t *testing.T) {
	revision := func(e, n int64) int64 {
		v, err := era.Revision(e, n)
		require.NoError(t, err)
		return v
	}
	for _, v := range []struct {
		name    string
		stored  rolloutStageValue
		applied bool
	}{
		{"of the previous era", rolloutStageValue{Order: revision(1, 9), Target: "v2"}, true},
		{"of this order", rolloutStageValue{Order: revision(2, 5), Target: "v2"}, true},
		{"of another order in this era", rolloutStageValue{Order: revision(2, 4), Target: "v2"}, false},
		{"of another target", rolloutStageValue{Order: revision(1, 9), Target: "v3"}, false},
	} {
		v.stored.Stage = rollout.StageCompleted
		newNode := func(t *testing.T) *Node {
			r := newRolloutTest(t)
			r.order.Revision = revision(2, 5)
			b, err := json.Marshal(v.stored)
			require.NoError(t, err)
			_, err = r.kv.Txn(t.Context(), store.Put(rolloutStagePrefix+"s", b))
			require.NoError(t, err)
			return r.node("a")
		}
		t.Run(v.name+", starting process", func(t *testing.T) {
			n := newNode(t)
			n.initialized = make(chan struct{})
			close(n.initialized)
			n.restoreRollouts(t.Context())
			assert.Equal(t, v.applied, n.rollouts.trials["s"].Stage() == rollout.StageCompleted)
		})
		t.Run(v.name+", new holder", func(t *testing.T) {
			n := newNode(t)
			state, err := newRunner(n).read(t.Context(), n.rollouts.trials["s"].Order())
			require.NoError(t, err)
			assert.Equal(t, v.applied, state.state.Stage == rollout.StageCompleted)
			assert.Equal(t, v.applied, n.rollouts.trials["s"].Stage() == rollout.StageCompleted, "and announces it")
		})
	}
}

// TestStoredStageValue checks the stored value that a successor reads.
func TestStoredStageValue(t *testing.T) {
	r := newRolloutTest(t)
	a := r.node("a")
	newRunner(a).step(t.Context(), acquireLease(t, a))
	v, err := r.kv.Range(t.Context(), rolloutStagePrefix+"s", "")
	require.NoError(t, err)
	var b rolloutStageValue
	require.NoError(t, json.Unmarshal(v.Pairs[0].Value, &b))
	assert.Equal(t, rolloutStageValue{Order: r.order.Revision, Target: "v2", StartedMs: 1_000_000, SinceMs: 1_000_000, Stage: rollout.StageTrial}, b)
}
