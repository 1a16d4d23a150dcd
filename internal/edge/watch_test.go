package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/changelog"
	"spurhall.example/spurhall/internal/forward"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/timer"
)

// TestFollowingClearsStoreOutage: a node whose calls the store rejected has followed watchers meanwhile. When
// it watches again, it has to remove entries that are gone from the store at once: they haven't lapsed in an
// outage.
func TestFollowingClearsStoreOutage(t *testing.T) {
	for _, v := range []struct {
		name      string
		followed  bool
		remaining int
	}{{"it followed watchers", true, 0}, {"it got no updates meanwhile", false, 1}} {
		t.Run(v.name, func(t *testing.T) {
			c := timer.NewManual(time.Unix(1000, 0))
			n := &Node{settings: &Settings{Node: "a"}, clock: c.Service(), log: zap.NewNop(), pools: pool.New(c.Service(), "a", "h"), changes: changelog.New(), lines: forward.NewConnections(c.Service())}
			n.options.EntryPrefix = "up/"
			n.options.DecodeEntry = func(key string, _ []byte) (pool.Entry, error) {
				return pool.Entry{ID: key, Service: "s", Address: "x"}, nil
			}
			n.listFollower, n.catalogFollower = n.newListFollower(), n.newCatalogFollower()
			n.listFollower.applySnapshot(store.RangeResult{Revision: 1, Pairs: []store.Pair{{Key: "up/u", Modified: 1}}})
			n.listFollower.markLost(store.ErrUnavailable)
			c.Advance(8 * time.Second)
			if v.followed {
				n.markStoreAvailable()
			}
			n.listFollower.applySnapshot(store.RangeResult{Revision: 2})
			assert.Len(t, n.pools.Items(), v.remaining)
		})
	}
}
