package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/call"
	"spurhall.example/spurhall/internal/era"
	"spurhall.example/spurhall/internal/pair"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/timer"
)

// TestStartingProcessesHaveNoLimitShare: all processes of a fleet start at once while the store is
// unavailable. Each considered itself the only one and used the whole rate that an upstream had set for all:
// in the model, 70 nodes sent 113 requests in 4 s where 29 are allowed.
func TestStartingProcessesHaveNoLimitShare(t *testing.T) {
	e := pool.Entry{ID: "a", Service: "s", Address: "10.0.0.1:1", Hall: "h", Slots: 8}
	start := func() (*Node, *timer.Manual) {
		c := timer.NewManual(time.Unix(1_700_000_000, 0))
		n := New(Options{Settings: &Settings{Node: "n", Hall: "h", Peers: "127.0.0.1:1", UsageWindow: time.Second}, Incarnation: "n", Clock: c.Service(), Log: zap.NewNop(), Era: era.NewTracker()})
		n.pools.Update(func(l *pool.List) { l.Put(pool.Item{Entry: e, Revision: 1}) })
		n.pools.ObserveLimit(e, call.Limit{Status: call.LimitNamed, Rate: 40}, n.start)
		return n, c
	}
	// sends reports whether the node sends a request to the upstream within some rounds.
	sends := func(n *Node, c *timer.Manual, rounds int) bool {
		for range rounds {
			n.updateLimitSenders(c.Service().Now())
			if n.pools.AllowQuery(e) {
				return true
			}
			c.Advance(pair.Round)
		}
		return false
	}
	t.Run("no peer has reported", func(t *testing.T) {
		n, c := start()
		assert.False(t, sends(n, c, int(peersWait/pair.Round)))
		assert.True(t, sends(n, c, 5), "a process without peers counts as the only one after the wait limit")
	})
	t.Run("before the first round", func(t *testing.T) {
		n, c := start()
		assert.False(t, n.pools.AllowQuery(e))
		c.Advance(pair.Round - time.Millisecond)
		assert.False(t, n.pools.AllowQuery(e))
	})
	t.Run("the registry has been read", func(t *testing.T) {
		n, c := start()
		n.role.RegistryRead = true
		assert.True(t, sends(n, c, 3))
	})
}
