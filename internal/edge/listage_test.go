package edge

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"spurhall.example/spurhall/internal/follow"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/timer"
	"spurhall.example/spurhall/internal/wire"
)

// newAgingNode returns a node that follows, where leaving upstreams get requests for 3 s, just after an answer of its
// watcher.
func newAgingNode(t *testing.T) (*Node, *timer.Manual) {
	t.Helper()
	n, clock := newScaleNode(t, 3, 20)
	n.settings.DrainTime = 3 * time.Second
	hear(t, n, &wire.FollowResponse{Watching: true})
	return n, clock
}

// hear lets a node apply an answer to a question that it asks at this moment.
func hear(t *testing.T, n *Node, m *wire.FollowResponse) {
	t.Helper()
	err := n.applyFollowed("w", n.clock.Now(), m, follow.NewPosition(false))
	assert.Equal(t, m.Watching, err == nil)
}

func assertCurrent(t *testing.T, want bool, n *Node) {
	t.Helper()
	_, current := n.listAge()
	assert.Equal(t, want, current)
}

func TestListAge(t *testing.T) {
	t.Run("without news for too long", func(t *testing.T) {
		n, clock := newAgingNode(t)
		clock.Advance(1700 * time.Millisecond)
		assertCurrent(t, true, n)
		clock.Advance(200 * time.Millisecond)
		assertCurrent(t, false, n)
		hear(t, n, &wire.FollowResponse{Watching: true, HeldMs: 800})
		assertCurrent(t, true, n)
	})
	t.Run("an answer confirms up to the end of the time for which it was held", func(t *testing.T) {
		n, clock := newAgingNode(t)
		asked := n.clock.Now()
		clock.Advance(2500 * time.Millisecond)
		assert.NoError(t, n.applyFollowed("w", asked, &wire.FollowResponse{Watching: true, HeldMs: 800}, follow.NewPosition(false)))
		age, current := n.listAge()
		assert.Equal(t, 1700*time.Millisecond, age)
		assert.True(t, current)
	})
	t.Run("a watcher that runs late", func(t *testing.T) {
		n, clock := newAgingNode(t)
		clock.Advance(time.Second)
		hear(t, n, &wire.FollowResponse{Watching: true, LateMs: 900})
		age, _ := n.listAge()
		assert.Equal(t, 900*time.Millisecond, age)
	})
	t.Run("a part of a list confirms nothing", func(t *testing.T) {
		n, clock := newAgingNode(t)
		clock.Advance(2 * time.Second)
		hear(t, n, &wire.FollowResponse{Watching: true, HasPart: true, More: true, ListRevision: n.pools.Revision()})
		assertCurrent(t, false, n)
	})
	t.Run("the watchers have lost the store", func(t *testing.T) {
		n, clock := newAgingNode(t)
		for range 20 {
			clock.Advance(time.Second)
			hear(t, n, &wire.FollowResponse{})
			assertCurrent(t, true, n)
		}
		clock.Advance(noNewsTTL)
		assertCurrent(t, false, n)
	})
	t.Run("this node has lost the store", func(t *testing.T) {
		n, clock := newAgingNode(t)
		clock.Advance(time.Minute)
		n.listFollower.MarkLost(errors.New("no answer"))
		assertCurrent(t, true, n)
	})
	t.Run("a watcher's own list", func(t *testing.T) {
		n, clock := newAgingNode(t)
		n.listFollower.MarkConnected()
		clock.Advance(time.Minute)
		assertCurrent(t, true, n)
	})
	t.Run("a list that was never confirmed", func(t *testing.T) {
		n, _ := newScaleNode(t, 3, 20)
		n.settings.DrainTime = 3 * time.Second
		assertCurrent(t, true, n)
	})
	t.Run("no such time is stated", func(t *testing.T) {
		n, clock := newAgingNode(t)
		n.settings.DrainTime = 0
		clock.Advance(time.Minute)
		assertCurrent(t, true, n)
	})
}

func TestNodeServesByLessThanOtherNodesHave(t *testing.T) {
	away := func(t *testing.T) (*Node, *timer.Manual) {
		n, clock := newAgingNode(t)
		n.listFollower.MarkLost(errors.New("no answer"))
		return n, clock
	}
	later := func(n *Node) *wire.NodeReport {
		return &wire.NodeReport{Node: "edge-b-1", CatalogVersion: n.currentCatalog().Version() + 1}
	}
	t.Run("a later configuration", func(t *testing.T) {
		n, clock := away(t)
		n.catchUp(t.Context(), later(n))
		assertCurrent(t, true, n)
		clock.Advance(1900 * time.Millisecond)
		assertCurrent(t, false, n)
	})
	t.Run("a later list", func(t *testing.T) {
		n, clock := away(t)
		n.recordListChange("edge-b-1", n.pools.Revision()+1)
		clock.Advance(1900 * time.Millisecond)
		assertCurrent(t, false, n)
		n.updateList("store", func(_ time.Time, l *pool.List) { l.Advance(l.Revision() + 1) })
		assertCurrent(t, true, n)
	})
	t.Run("one that never comes", func(t *testing.T) {
		n, clock := away(t)
		n.catchUp(t.Context(), later(n))
		clock.Advance(7 * time.Second)
		assertCurrent(t, true, n)
	})
}
