package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/forward"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/timer"
)

// TestFollowedStoreWasNotAway: a node that the store turned away and that followed others
// meanwhile believes what the store says as soon as it watches again. What goes from the list
// then hasn't lapsed in an outage.
func TestFollowedStoreWasNotAway(t *testing.T) {
	for _, v := range []struct {
		name     string
		followed bool
		left     int
	}{{"it followed others", true, 0}, {"it had no news meanwhile", false, 1}} {
		t.Run(v.name, func(t *testing.T) {
			c := timer.NewManual(time.Unix(1000, 0))
			n := &Node{s: &Settings{Node: "a"}, clock: c.Service(), log: zap.NewNop(), pools: pool.New(c.Service(), "a", "h"), news: newNews(), lines: forward.NewConnections(c.Service())}
			n.o.EntryPrefix = "up/"
			n.o.DecodeEntry = func(key string, _ []byte) (pool.Entry, error) {
				return pool.Entry{ID: key, Service: "s", Address: "x"}, nil
			}
			n.listReader, n.catalogReader = n.listFollower(), n.catalogFollower()
			n.listReader.whole(store.RangeResult{Revision: 1, Pairs: []store.Pair{{Key: "up/u", Modified: 1}}})
			n.listReader.lost(store.ErrUnavailable)
			c.Advance(8 * time.Second)
			if v.followed {
				n.followed()
			}
			n.listReader.whole(store.RangeResult{Revision: 2})
			assert.Len(t, n.pools.Items(), v.left)
		})
	}
}
