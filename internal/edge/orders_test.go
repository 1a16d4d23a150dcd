package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/autoscale"
	"spurhall.example/spurhall/internal/catalog"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/rollout"
	"spurhall.example/spurhall/internal/timer"
)

// listing is a node that has listed two reclaimable upstreams in each of two halls.
func listing(clock *timer.Service) *orderer {
	n := &Node{peers: &table{}, clock: clock, log: zap.NewNop(), s: &Settings{Hall: "a", Halls: map[string]string{"a": "r", "b": "r"}}, pools: pool.New(clock, "a", "a"), rollouts: newRollouts()}
	n.pools.Update(func(l *pool.List) {
		for _, id := range []string{"a1", "a2", "b1", "b2"} {
			l.Put(pool.Item{Entry: pool.Entry{ID: id, Hall: id[:1], Service: "s", Address: "10.0.0.1:1", Slots: 8, Version: "v1", Reclaimable: true}})
		}
	})
	return newOrderer(n)
}

// hallOf is what a hall has as the orderer sees it.
func hallOf(o *orderer, hall string) autoscale.HallState {
	for _, h := range o.halls(&catalog.ServiceSpec{Name: "s", Scaling: &catalog.ScalingSpec{ZonePrices: map[string]float64{"a": 1, "b": 1}}}) {
		if h.Hall == hall {
			return h
		}
	}
	return autoscale.HallState{}
}

// unreached is what several other nodes of the hall couldn't reach.
func unreached(ids ...string) pool.Reachability {
	var r pool.Reachability
	for _, id := range ids {
		r.Unreachable = append(r.Unreachable, pool.UnreachableUpstream{Upstream: id, Nodes: 3, Age: 50 * time.Millisecond})
	}
	return r
}

// TestDeadUpstreamsAreNoCapacity: while the store is away, upstreams that are gone stay in the
// list. What several nodes can't reach counts as taken, so a wave is seen by the first hall
// that it takes; a hall that is cut off keeps what it has.
func TestDeadUpstreamsAreNoCapacity(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	o := listing(clock.Service())
	assert.Equal(t, 2, hallOf(o, "a").Reclaimable)
	r := unreached("a1", "a2")
	r.LastResponse = map[string]time.Duration{"a": 100 * time.Millisecond}
	o.n.pools.ApplyReachability(r)
	clock.Advance(2 * time.Second)
	assert.Equal(t, 0, hallOf(o, "a").Reclaimable)
	assert.Equal(t, 2, hallOf(o, "a").Leaving)
	assert.Equal(t, 2, hallOf(o, "b").Reclaimable)
	t.Run("but in a hall that is cut off", func(t *testing.T) {
		o := listing(clock.Service())
		o.n.pools.ApplyReachability(unreached("b1", "b2"))
		clock.Advance(2 * time.Second)
		assert.Equal(t, 2, hallOf(o, "b").Reclaimable)
	})
}

// TestUntriedVersionsAreNoCapacity: an upstream of a roll-out's target counts from the end on,
// when those of the version before are gone.
func TestUntriedVersionsAreNoCapacity(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	o := listing(clock.Service())
	o.n.pools.Update(func(l *pool.List) {
		l.Put(pool.Item{Entry: pool.Entry{ID: "a3", Hall: "a", Service: "s", Address: "10.0.0.1:1", Slots: 8, Version: "v2", Reclaimable: true}})
	})
	o.n.beginTrial(rollout.Order{Service: "s", Target: "v2", Duration: time.Minute, Revision: 7}, "test")
	assert.Equal(t, 2, hallOf(o, "a").Reclaimable)
	assert.True(t, o.n.rollingOut("s"), "none is let go before the end")
	o.n.rollouts.trials["s"].AdvanceTo(clock.Service().Now(), rollout.StageCompleted)
	assert.Equal(t, 1, hallOf(o, "a").Reclaimable)
	assert.False(t, o.n.rollingOut("s"))
}
