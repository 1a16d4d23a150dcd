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

// TestYoungProcessesShareNoLimit: all processes of a fleet begin at once, while the store is away. Each took itself for
// the only one, and the whole rate that an upstream had named for all: 113 requests in 4 s came where 29 are
// allowed, from 70 nodes in the model.
func TestYoungProcessesShareNoLimit(t *testing.T) {
	e := pool.Entry{ID: "a", Service: "s", Address: "10.0.0.1:1", Hall: "h", Slots: 8}
	begin := func() (*Node, *timer.Manual) {
		c := timer.NewManual(time.Unix(1_700_000_000, 0))
		n := New(Options{Settings: &Settings{Node: "n", Hall: "h", Peers: "127.0.0.1:1", UsageWindow: time.Second}, Incarnation: "n", Clock: c.Service(), Log: zap.NewNop(), Era: era.NewTracker()})
		n.pools.Update(func(l *pool.List) { l.Put(pool.Item{Entry: e, Revision: 1}) })
		n.pools.ObserveLimit(e, call.Limit{Status: call.LimitNamed, Rate: 40}, n.start)
		return n, c
	}
	// sends tells whether the node sends anything there in some rounds.
	sends := func(n *Node, c *timer.Manual, rounds int) bool {
		for range rounds {
			n.shareLimits(c.Service().Now())
			if n.pools.AllowQuery(e) {
				return true
			}
			c.Advance(pair.Round)
		}
		return false
	}
	t.Run("that nobody has told of others", func(t *testing.T) {
		n, c := begin()
		assert.False(t, sends(n, c, int(lookedBy/pair.Round)))
		assert.True(t, sends(n, c, 5), "who is alone for longer is taken to be")
	})
	t.Run("before the first round, either", func(t *testing.T) {
		n, c := begin()
		assert.False(t, n.pools.AllowQuery(e))
		c.Advance(pair.Round - time.Millisecond)
		assert.False(t, n.pools.AllowQuery(e))
	})
	t.Run("but one that has read the registry", func(t *testing.T) {
		n, c := begin()
		n.looked = true
		assert.True(t, sends(n, c, 3))
	})
}
