package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"google.golang.org/protobuf/proto"

	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/wire"
)

// newWatchingNode returns a node of the given name that watches the store and has read the first upstreams.
func newWatchingNode(t *testing.T, incarnation string, upstreams int) *Node {
	n, _ := newScaleNode(t, 3, upstreams)
	n.options.Incarnation = incarnation
	n.catalogFollower.connected.Store(true)
	n.listFollower.connected.Store(true)
	return n
}

// newFollowingNode returns a node that has no list yet.
func newFollowingNode(t *testing.T) *Node {
	n, _ := newScaleNode(t, 3, 0)
	n.listed.Store(false)
	return n
}

// poll lets a node ask a watcher once, and returns the response.
func poll(n *Node, from *listSource, watcher *Node) *wire.FollowResponse {
	revision := int64(0)
	if n.listed.Load() {
		revision = n.pools.Revision()
	}
	sequence, _ := watcher.changes.Subscribe()
	a := watcher.updatesFor(from.request(1, revision), sequence)
	n.applyFollowed("w", a, from)
	return a
}

// pollAll lets a node ask a watcher until it lacks nothing, and returns the size of the largest response.
func pollAll(t *testing.T, n *Node, from *listSource, watcher *Node) (calls, largest int) {
	t.Helper()
	for calls = 1; calls < 100; calls++ {
		a := poll(n, from, watcher)
		largest = max(largest, proto.Size(a))
		if !a.HasPart && !a.HasChanges && !a.HasList {
			break
		}
	}
	assert.Equal(t, watcher.pools.ListHash(), n.pools.ListHash())
	assert.Equal(t, watcher.pools.Len(), n.pools.Len())
	return calls, largest
}

func putItem(n *Node, v pool.Item) {
	n.updateList("store", func(_ time.Time, l *pool.List) { l.Put(v); l.Advance(v.Revision) })
}

// leavingItem returns the entry of a listed engine as it is written when it starts to leave.
func leavingItem(i int, revision int64) pool.Item {
	v := scaleItem(i)
	v.Entry.Leaving, v.Revision = true, revision
	return v
}

// TestChangesNotLists: a node that follows a watcher was sent the whole list for each change of one entry: a
// megabyte at 10,000 upstreams, to each of some 200 nodes of a hall.
func TestChangesNotLists(t *testing.T) {
	for _, upstreams := range []int{100, 10_000} {
		w, n := newWatchingNode(t, "w", upstreams), newFollowingNode(t)
		var from listSource
		pollAll(t, n, &from, w)
		putItem(w, leavingItem(7, int64(upstreams+1)))
		w.updateList("store", func(now time.Time, l *pool.List) {
			l.Remove(now, int64(upstreams+2), scaleItem(8).Entry.ID)
			l.Advance(int64(upstreams + 2))
		})
		a := poll(n, &from, w)
		assert.Less(t, proto.Size(a), 300, "%d upstreams", upstreams)
		assert.True(t, n.pools.Leaving(scaleItem(7).Entry))
		assert.Equal(t, upstreams-1, n.pools.Len())
		assert.Equal(t, int64(upstreams+2), n.pools.Revision())
	}
}

// TestWholeListComesInParts: a whole list of a large fleet takes longer than one call may take on a slow link.
// What changes meanwhile isn't lost.
func TestWholeListComesInParts(t *testing.T) {
	w, n := newWatchingNode(t, "w", 10_000), newFollowingNode(t)
	var from listSource
	for range 4 {
		assert.Less(t, proto.Size(poll(n, &from, w)), 150_000)
	}
	assert.False(t, n.listed.Load(), "a part isn't used by itself")
	putItem(w, leavingItem(0, 20_000)) // in a part that the node has
	added := scaleItem(30_000)
	putItem(w, added)
	pollAll(t, n, &from, w)
	assert.True(t, n.listed.Load())
	poll(n, &from, w)
	assert.True(t, n.pools.Leaving(scaleItem(0).Entry))
	assert.Equal(t, 10_001, n.pools.Len())
}

// TestOtherWatcherSendsChanges: when a watcher is lost, all nodes of its hall turn to the other one, which then
// sends each of them what it lacks and not the whole list.
func TestOtherWatcherSendsChanges(t *testing.T) {
	w, other, n := newWatchingNode(t, "w", 5000), newWatchingNode(t, "other", 5000), newFollowingNode(t)
	var from listSource
	pollAll(t, n, &from, w)
	for i := range 20 {
		putItem(w, leavingItem(i, int64(6000+i)))
	}
	pollAll(t, n, &from, w)
	for i := range 30 {
		putItem(other, leavingItem(i, int64(6000+i)))
	}
	a := poll(n, &from, other)
	assert.True(t, a.HasChanges)
	assert.Less(t, proto.Size(a), 4000)
	assert.True(t, n.pools.Leaving(scaleItem(29).Entry))
	t.Run("unless it lacks more than is kept", func(t *testing.T) {
		fresh := newWatchingNode(t, "fresh", 5000)
		putItem(fresh, leavingItem(1, 9000))
		putItem(fresh, scaleItem(40_000))
		_, largest := pollAll(t, n, &from, fresh)
		assert.Less(t, largest, 150_000)
	})
}

// TestListsThatDifferAreReadAnew checks that a node whose list differs from its watcher's although it has all
// changes requests the whole list, once.
func TestListsThatDifferAreReadAnew(t *testing.T) {
	w, n := newWatchingNode(t, "w", 50), newFollowingNode(t)
	var from listSource
	pollAll(t, n, &from, w)
	n.updateList("store", func(now time.Time, l *pool.List) { l.Delete(now, scaleItem(3).Entry.ID) })
	for i := range minDifferences {
		putItem(w, leavingItem(10+i, int64(100+i)))
		poll(n, &from, w)
	}
	assert.True(t, from.forgotten)
	pollAll(t, n, &from, w)
	assert.False(t, from.forgotten)
	assert.Equal(t, 50, n.pools.Len())
}

// TestFollowBesideThePreviousBuild: VMs are upgraded one after the other. A watcher of the previous build sends
// whole lists only, and a follower of that build takes nothing else.
func TestFollowBesideThePreviousBuild(t *testing.T) {
	t.Run("a follower of the previous build", func(t *testing.T) {
		w := newWatchingNode(t, "w", 3000)
		sequence, _ := w.changes.Subscribe()
		r := &wire.FollowRequest{CatalogVersion: 1}
		a := w.updatesFor(r, sequence)
		assert.True(t, a.HasList)
		assert.Len(t, a.List, 3000)
		r.Lifetime, r.ListSequence = a.Lifetime, a.ListSequence
		assert.False(t, w.updatesFor(r, sequence).HasList)
		putItem(w, leavingItem(7, 5000))
		sequence, _ = w.changes.Subscribe()
		assert.Len(t, w.updatesFor(r, sequence).List, 3000)
	})
	t.Run("a watcher of the previous build", func(t *testing.T) {
		w, n := newWatchingNode(t, "w", 30), newFollowingNode(t)
		var from listSource
		n.applyFollowed("w", &wire.FollowResponse{Watching: true, Lifetime: "old", ListSequence: 4, ListRevision: 30, HasList: true, List: w.listToWire()}, &from)
		assert.Equal(t, 30, n.pools.Len())
		assert.Equal(t, "old", from.incarnation)
		assert.Equal(t, int64(4), from.sequence)
	})
}
