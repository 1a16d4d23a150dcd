package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/autoscale"
	"spurhall.example/spurhall/internal/catalog"
	"spurhall.example/spurhall/internal/peer"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/rollout"
	"spurhall.example/spurhall/internal/timer"
)

// newListedOrderer returns an orderer that has listed two reclaimable upstreams in each of two halls.
func newListedOrderer(clock *timer.Service) *orderer {
	n := &Node{peers: peer.NewTable(peer.Options{Clock: clock, Log: zap.NewNop()}), clock: clock, log: zap.NewNop(), settings: &Settings{Hall: "a", Halls: map[string]string{"a": "r", "b": "r"}}, pools: pool.New(clock, "a", "a"), rollouts: newRollouts()}
	n.pools.Update(func(l *pool.List) {
		for _, id := range []string{"a1", "a2", "b1", "b2"} {
			l.Put(pool.Item{Entry: pool.Entry{ID: id, Hall: id[:1], Service: "s", Address: "10.0.0.1:1", Slots: 8, Version: "v1", Reclaimable: true}})
		}
	})
	return newOrderer(n)
}

// hallStateOf returns the orderer's state of a hall.
func hallStateOf(o *orderer, hall string) autoscale.HallState {
	for _, h := range o.hallStates(&catalog.ServiceSpec{Name: "s", Scaling: &catalog.ScalingSpec{ZonePrices: map[string]float64{"a": 1, "b": 1}}}) {
		if h.Hall == hall {
			return h
		}
	}
	return autoscale.HallState{}
}

// unreachedUpstreams returns reports of several other nodes of the hall that couldn't reach the upstreams.
func unreachedUpstreams(ids ...string) pool.Reachability {
	var r pool.Reachability
	for _, id := range ids {
		r.Unreachable = append(r.Unreachable, pool.UnreachableUpstream{Upstream: id, Nodes: 3, Age: 50 * time.Millisecond})
	}
	return r
}

// TestUnreachedUpstreamsAreNoCapacity: while the store is unavailable, terminated upstreams stay in the list.
// Upstreams that several nodes can't reach count as reclaimed, so that a wave is noticed in the first hall
// that it affects; a partitioned hall keeps its upstreams.
func TestUnreachedUpstreamsAreNoCapacity(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	o := newListedOrderer(clock.Service())
	assert.Equal(t, 2, hallStateOf(o, "a").Reclaimable)
	r := unreachedUpstreams("a1", "a2")
	r.LastResponse = map[string]time.Duration{"a": 100 * time.Millisecond}
	o.n.pools.ApplyReachability(r)
	clock.Advance(2 * time.Second)
	assert.Equal(t, 0, hallStateOf(o, "a").Reclaimable)
	assert.Equal(t, 2, hallStateOf(o, "a").Leaving)
	assert.Equal(t, 2, hallStateOf(o, "b").Reclaimable)
	t.Run("upstreams of a partitioned hall still count", func(t *testing.T) {
		o := newListedOrderer(clock.Service())
		o.n.pools.ApplyReachability(unreachedUpstreams("b1", "b2"))
		clock.Advance(2 * time.Second)
		assert.Equal(t, 2, hallStateOf(o, "b").Reclaimable)
	})
}

// TestNothingIsOrderedInAHallThatDoesNotExist guards against orders for a hall that an entry of another writer names, and
// against such an upstream that counts as capacity.
func TestNothingIsOrderedInAHallThatDoesNotExist(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	o := newListedOrderer(clock.Service())
	o.n.settings.Halls["c"] = "r"
	o.n.pools.Update(func(l *pool.List) {
		for id, hall := range map[string]string{"c1": "c", "odd": "nowhere"} {
			l.Put(pool.Item{Entry: pool.Entry{ID: id, Hall: hall, Service: "s", Address: "10.0.0.1:1", Slots: 8, Version: "v1"}})
		}
	})
	s := &catalog.ServiceSpec{Name: "s", Scaling: &catalog.ScalingSpec{Min: 2, Max: 4, ZonePrices: map[string]float64{"a": 1, "b": 1}}}
	states := o.hallStates(s)
	var halls []string
	for _, c := range autoscale.NewMixPlanner(autoscale.DefaultMixOptions(time.Second)).Plan(0, autoscale.MixSpec{Min: 2, Max: 4}, states) {
		halls = append(halls, c.Hall)
	}
	assert.ElementsMatch(t, []string{"a", "b", "c"}, halls)
}

// TestUntriedVersionsAreNoCapacity checks that upstreams of a roll-out's target count only from its end on,
// when those of the previous version are gone.
func TestUntriedVersionsAreNoCapacity(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	o := newListedOrderer(clock.Service())
	o.n.pools.Update(func(l *pool.List) {
		l.Put(pool.Item{Entry: pool.Entry{ID: "a3", Hall: "a", Service: "s", Address: "10.0.0.1:1", Slots: 8, Version: "v2", Reclaimable: true}})
	})
	o.n.startTrial(rollout.Order{Service: "s", Target: "v2", Duration: time.Minute, Revision: 7}, "test")
	assert.Equal(t, 2, hallStateOf(o, "a").Reclaimable)
	assert.True(t, o.n.isRollingOut("s"), "no upstream is removed before the end")
	o.n.rollouts.trials["s"].AdvanceTo(clock.Service().Now(), rollout.StageCompleted)
	assert.Equal(t, 1, hallStateOf(o, "a").Reclaimable)
	assert.False(t, o.n.isRollingOut("s"))
}
