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
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/rollout"
	"spurhall.example/spurhall/internal/standin"
	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/timer"
)

// rollingTest is a store with an order, and nodes that may hold the duties.
type rollingTest struct {
	t     *testing.T
	clock *timer.Manual
	kv    store.KV
	order rollout.Order
}

const (
	testOrders = "orders/"
	testStatus = "status/s"
)

func newRollingTest(t *testing.T) *rollingTest {
	clock := timer.NewManual(time.Unix(1000, 0))
	s := httptest.NewServer(standin.NewPlatform(clock.Service()).Handler())
	t.Cleanup(s.Close)
	r := &rollingTest{t: t, clock: clock, kv: store.NewGateway(s.URL, 5*time.Second, timer.Real()).KV()}
	r.order = rollout.Order{Service: "s", Target: "v2", Duration: 20 * time.Second}
	a, err := r.kv.Txn(t.Context(), store.Put(testOrders+"s", []byte("20")))
	require.NoError(t, err)
	r.order.Revision = a.Revision
	return r
}

// node is one that knows of the order, and of two upstreams of each version.
func (r *rollingTest) node(name string) *Node {
	n := holder(r.t, r.kv, r.clock.Service(), name)
	n.s, n.peers, n.rollouts = &Settings{Node: name, Hall: "a"}, &table{}, newRollouts()
	n.pools = pool.New(r.clock.Service(), "a", "a")
	n.pools.Update(func(l *pool.List) {
		for _, id := range []string{"v1-a", "v1-b", "v2-a", "v2-b"} {
			l.Put(pool.Item{Entry: pool.Entry{ID: id, Hall: "a", Service: "s", Address: "10.0.0.1:1", Slots: 8, Version: id[:2]}})
		}
	})
	n.listed.Store(true)
	n.o.OrderPrefix = testOrders
	n.o.DecodeOrder = func(string, []byte) (rollout.Order, error) { return r.order, nil }
	n.o.EncodeStatus = func(_ rollout.Order, s rollout.Stage) (string, []byte, error) {
		return testStatus, []byte(s.String()), nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.beginTrial(rollout.Order{Service: "s", Target: "v2", Revision: r.order.Revision}, "test")
	return n
}

// assertStage checks what stands in the store, and what a node goes by.
func (r *rollingTest) assertStage(n *Node, want rollout.Stage) {
	r.t.Helper()
	a, err := r.kv.Range(context.Background(), testStatus, "")
	require.NoError(r.t, err)
	require.Len(r.t, a.Pairs, 1)
	assert.Equal(r.t, want.String(), string(a.Pairs[0].Value))
	assert.Equal(r.t, want, n.rollouts.trials["s"].Stage())
}

// answers lets so many answers of the target be noted at a node.
func answers(n *Node, count int) {
	for i := 0; i < count; i++ {
		n.noteAnswer("s", "r", i%2, rollout.Response{Started: true, First: 1})
		for k := 0; k < 3; k++ {
			n.noteAnswer("s", "r", -1, rollout.Response{Started: true, First: 1})
		}
	}
}

func TestHolderCarriesOutAnOrder(t *testing.T) {
	r := newRollingTest(t)
	a := r.node("a")
	roll := newRoller(a)
	step := func() {
		require.NoError(t, a.lease.Step(t.Context()))
		token, held := a.lease.Token()
		require.True(t, held)
		roll.step(t.Context(), token)
	}
	step()
	r.assertStage(a, rollout.StageTrial)
	answers(a, 60)
	for i := 0; i < 26; i++ {
		r.clock.Advance(500 * time.Millisecond)
		step()
	}
	r.assertStage(a, rollout.StageFifth)
	for i := 0; i < 60; i++ {
		answers(a, 5)
		r.clock.Advance(100 * time.Millisecond)
		step()
	}
	r.assertStage(a, rollout.StageCompleted)
}

// TestSuccessorGoesOn: the stage and the time since the order stand in the store.
func TestSuccessorGoesOn(t *testing.T) {
	r := newRollingTest(t)
	a := r.node("a")
	newRoller(a).step(t.Context(), takeOver(t, a))
	r.clock.Advance(16 * time.Second) // a's lease is over, and the first step's last moment nearly
	b := r.node("b")
	roll := newRoller(b)
	token := takeOver(t, b)
	roll.step(t.Context(), token)
	r.assertStage(b, rollout.StageTrial)
	assert.True(t, b.rollouts.trials["s"].HasKeepAlive(r.clock.Service().Now()))
	r.clock.Advance(time.Second)
	roll.step(t.Context(), token)
	r.assertStage(b, rollout.StageRolledBack)
}

// TestDeposedHolderRaisesNothing: whoever has lost the lease without noticing writes nothing,
// and goes to no stage.
func TestDeposedHolderRaisesNothing(t *testing.T) {
	r := newRollingTest(t)
	a := r.node("a")
	old := takeOver(t, a)
	r.clock.Advance(4 * time.Second)
	b := r.node("b")
	takeOver(t, b)
	newRoller(a).step(t.Context(), old)
	v, err := r.kv.Range(t.Context(), testStatus, "")
	require.NoError(t, err)
	assert.Empty(t, v.Pairs)
	assert.Equal(t, rollout.StageWaiting, a.rollouts.trials["s"].Stage())
}

// TestStageNeedsTheStore: what the store hasn't taken isn't told to anybody.
func TestStageNeedsTheStore(t *testing.T) {
	r := newRollingTest(t)
	a := r.node("a")
	token := takeOver(t, a)
	down := a.kv
	down.Txn = func(context.Context, store.Txn) (store.TxnResult, error) { return store.TxnResult{}, store.ErrUnknown }
	up := a.kv
	a.kv = down
	roll := newRoller(a)
	roll.step(t.Context(), token)
	assert.Equal(t, rollout.StageWaiting, a.rollouts.trials["s"].Stage())
	a.kv = up
	roll.step(t.Context(), token)
	r.assertStage(a, rollout.StageTrial)
}

// TestOrderTakenBack: nothing more goes to a target whose order is gone.
func TestOrderTakenBack(t *testing.T) {
	r := newRollingTest(t)
	a := r.node("a")
	roll, token := newRoller(a), takeOver(t, a)
	roll.step(t.Context(), token)
	a.takeBack(testOrders+"s", r.order.Revision+5)
	roll.step(t.Context(), token)
	r.assertStage(a, rollout.StageRolledBack)
	for i := 0; i < 20; i++ {
		assert.Equal(t, "v1", a.pools.Pick(pool.Request{ID: string(rune('a' + i)), Service: "s"}).Entry().Version)
	}
}

// TestNewerOrderTakesThePlace: the version of an order that another one follows takes nothing
// more.
func TestNewerOrderTakesThePlace(t *testing.T) {
	r := newRollingTest(t)
	a := r.node("a")
	a.mu.Lock()
	a.beginTrial(rollout.Order{Service: "s", Target: "v3", Revision: r.order.Revision + 1}, "test")
	a.beginTrial(r.order, "an old word")
	a.mu.Unlock()
	assert.Equal(t, "v3", a.rollouts.trials["s"].Order().Target)
	assert.False(t, a.inService(pool.Entry{Service: "s", Version: "v2"}))
	assert.True(t, a.inService(pool.Entry{Service: "s", Version: "v1"}))
	for i := 0; i < 20; i++ {
		assert.Equal(t, "v1", a.pools.Pick(pool.Request{ID: string(rune('a' + i)), Service: "s"}).Entry().Version)
	}
}

// TestWhatStandsInTheStore is what operators and successors read.
// TestStageOfAnEraBefore: what stands in the store of an order was written before the store came back from a
// copy; the order has come again since, by a revision of the next era. Each reader takes the stage for the
// order's: a process that begins, and a holder that takes over. A stage of another order, or of another target,
// isn't.
func TestStageOfAnEraBefore(t *testing.T) {
	revision := func(e, n int64) int64 {
		v, err := era.Revision(e, n)
		require.NoError(t, err)
		return v
	}
	for _, v := range []struct {
		name   string
		stands rollingValue
		taken  bool
	}{
		{"of the era before", rollingValue{Order: revision(1, 9), Target: "v2"}, true},
		{"of this order", rollingValue{Order: revision(2, 5), Target: "v2"}, true},
		{"of another order in this era", rollingValue{Order: revision(2, 4), Target: "v2"}, false},
		{"of another target", rollingValue{Order: revision(1, 9), Target: "v3"}, false},
	} {
		v.stands.Stage = rollout.StageCompleted
		newNode := func(t *testing.T) *Node {
			r := newRollingTest(t)
			r.order.Revision = revision(2, 5)
			b, err := json.Marshal(v.stands)
			require.NoError(t, err)
			_, err = r.kv.Txn(t.Context(), store.Put(rollingPrefix+"s", b))
			require.NoError(t, err)
			return r.node("a")
		}
		t.Run(v.name+", a process that begins", func(t *testing.T) {
			n := newNode(t)
			n.known = make(chan struct{})
			close(n.known)
			n.recallRollouts(t.Context())
			assert.Equal(t, v.taken, n.rollouts.trials["s"].Stage() == rollout.StageCompleted)
		})
		t.Run(v.name+", a holder", func(t *testing.T) {
			n := newNode(t)
			state, err := newRoller(n).read(t.Context(), n.rollouts.trials["s"].Order())
			require.NoError(t, err)
			assert.Equal(t, v.taken, state.state.Stage == rollout.StageCompleted)
			assert.Equal(t, v.taken, n.rollouts.trials["s"].Stage() == rollout.StageCompleted, "and lets others know")
		})
	}
}

func TestWhatStandsInTheStore(t *testing.T) {
	r := newRollingTest(t)
	a := r.node("a")
	newRoller(a).step(t.Context(), takeOver(t, a))
	v, err := r.kv.Range(t.Context(), rollingPrefix+"s", "")
	require.NoError(t, err)
	var b rollingValue
	require.NoError(t, json.Unmarshal(v.Pairs[0].Value, &b))
	assert.Equal(t, rollingValue{Order: r.order.Revision, Target: "v2", BeganMs: 1_000_000, SinceMs: 1_000_000, Stage: rollout.StageTrial}, b)
}
