package edge

import (
	"math"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"google.golang.org/protobuf/proto"

	"spurhall.example/spurhall/internal/catalog"
	"spurhall.example/spurhall/internal/follow"
	"spurhall.example/spurhall/internal/message"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/wire"
)

// newWatchingNode returns a node of the given name that watches the store and has read the first upstreams.
func newWatchingNode(t *testing.T, incarnation string, upstreams int) *Node {
	n, _ := newScaleNode(t, 3, upstreams)
	n.source.Incarnation = incarnation
	n.catalogFollower.MarkConnected()
	n.listFollower.MarkConnected()
	return n
}

// newFollowingNode returns a node that has no list yet.
func newFollowingNode(t *testing.T) *Node {
	n, _ := newScaleNode(t, 3, 0)
	n.listed.Store(false)
	return n
}

// poll lets a node ask a watcher once, and returns the response.
func poll(n *Node, at *follow.Position, watcher *Node) *wire.FollowResponse {
	revision := int64(0)
	if n.listed.Load() {
		revision = n.pools.Revision()
	}
	a := watcher.source.Answer(at.Request(1, revision))
	n.follower.Apply("w", a, at)
	return a
}

// pollAll lets a node ask a watcher until it lacks nothing, and returns the size of the largest response.
func pollAll(t *testing.T, n *Node, at *follow.Position, watcher *Node) (calls, largest int) {
	t.Helper()
	for calls = 1; calls < 100; calls++ {
		a := poll(n, at, watcher)
		largest = max(largest, proto.Size(a))
		if !a.HasPart && !a.HasChanges && !a.HasList {
			break
		}
	}
	assert.Equal(t, watcher.pools.ListHash(pool.ScopeKept), n.pools.ListHash(pool.ScopeAll))
	kept, _ := watcher.pools.ItemsAfter(pool.ScopeKept, "", "", math.MaxInt)
	assert.Len(t, kept, n.pools.Len())
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
		at := follow.NewPosition(false)
		pollAll(t, n, at, w)
		before := n.pools.Len()
		putItem(w, leavingItem(35, int64(upstreams+1)))
		w.updateList("store", func(now time.Time, l *pool.List) {
			l.Remove(now, int64(upstreams+2), scaleItem(40).Entry.ID)
			l.Advance(int64(upstreams + 2))
		})
		a := poll(n, at, w)
		assert.Less(t, proto.Size(a), 300, "%d upstreams", upstreams)
		assert.True(t, n.pools.Leaving(scaleItem(35).Entry))
		assert.Equal(t, before-1, n.pools.Len())
		assert.Equal(t, int64(upstreams+2), n.pools.Revision())
	}
}

// TestWholeListComesInParts: a whole list of a large fleet takes longer than one call may take on a slow link.
// What changes meanwhile isn't lost.
func TestWholeListComesInParts(t *testing.T) {
	w, n := newWatchingNode(t, "w", 10_000), newFollowingNode(t)
	at := follow.NewPosition(false)
	for range 2 {
		assert.Less(t, proto.Size(poll(n, at, w)), 150_000)
	}
	assert.False(t, n.listed.Load(), "a part isn't used by itself")
	putItem(w, leavingItem(0, 20_000)) // in a part that the node has
	added := scaleItem(30_000)
	putItem(w, added)
	pollAll(t, n, at, w)
	assert.True(t, n.listed.Load())
	poll(n, at, w)
	assert.True(t, n.pools.Leaving(scaleItem(0).Entry))
	assert.False(t, n.pools.Leaving(added.Entry), "an upstream that was listed meanwhile")
}

// TestOtherWatcherSendsChanges: when a watcher is lost, all nodes of its hall turn to the other one, which then
// sends each of them what it lacks and not the whole list.
func TestOtherWatcherSendsChanges(t *testing.T) {
	w, other, n := newWatchingNode(t, "w", 5000), newWatchingNode(t, "other", 5000), newFollowingNode(t)
	at := follow.NewPosition(false)
	pollAll(t, n, at, w)
	for i := range 20 {
		putItem(w, leavingItem(5*i, int64(6000+i)))
	}
	pollAll(t, n, at, w)
	for i := range 30 {
		putItem(other, leavingItem(5*i, int64(6000+i)))
	}
	a := poll(n, at, other)
	assert.True(t, a.HasChanges)
	assert.Less(t, proto.Size(a), 4000)
	assert.True(t, n.pools.Leaving(scaleItem(145).Entry))
	t.Run("unless it lacks more than is kept", func(t *testing.T) {
		fresh := newWatchingNode(t, "fresh", 5000)
		putItem(fresh, leavingItem(1, 9000))
		putItem(fresh, scaleItem(40_000))
		_, largest := pollAll(t, n, at, fresh)
		assert.Less(t, largest, 150_000)
	})
}

// TestOtherHallsArePartsOnly: a node that doesn't watch was sent, and kept, the upstreams of all halls: 8 MB of heap at
// 10,000 upstreams, and every change. It needs those of its own hall, and some of the others in case its own are lost.
func TestOtherHallsArePartsOnly(t *testing.T) {
	for _, upstreams := range []int{10_000, 20_000} {
		w, n := newWatchingNode(t, "w", upstreams), newFollowingNode(t)
		at := follow.NewPosition(false)
		pollAll(t, n, at, w)
		assert.True(t, n.partial.Load())
		halls := make(map[string]int)
		for _, v := range n.pools.Items() {
			halls[v.Entry.Hall]++
		}
		assert.Equal(t, upstreams/5, halls["a"])
		for _, h := range []string{"b", "c", "d", "e"} {
			assert.Greater(t, halls[h], 60)
			assert.Less(t, halls[h], 270)
		}
		t.Run("a change of one that it doesn't keep takes no entry", func(t *testing.T) {
			for i := range 400 {
				if v := scaleItem(5*i + 1); n.pools.Leaving(v.Entry) || !listed(n, v.Entry.ID) {
					putItem(w, leavingItem(5*i+1, int64(upstreams+i+1)))
				}
			}
			a := poll(n, at, w)
			assert.Empty(t, a.List)
		})
		t.Run("when a hall shrinks, more of it are kept", func(t *testing.T) {
			w.updateList("store", func(now time.Time, l *pool.List) {
				for i := range upstreams / 5 {
					if i%10 != 0 {
						l.Remove(now, int64(upstreams+1000), scaleItem(5*i+1).Entry.ID)
					}
				}
				l.Advance(int64(upstreams + 1000))
			})
			pollAll(t, n, at, w)
			count := 0
			for _, v := range n.pools.Items() {
				if v.Entry.Hall == "b" {
					count++
				}
			}
			assert.Greater(t, count, 60)
		})
	}
	t.Run("when a hall grows, followers know that they have a part", func(t *testing.T) {
		w, n := newWatchingNode(t, "w", 900), newFollowingNode(t)
		at := follow.NewPosition(false)
		pollAll(t, n, at, w)
		assert.False(t, n.partial.Load())
		for i := range 500 {
			putItem(w, scaleItem(20_001+5*i))
		}
		pollAll(t, n, at, w)
		assert.True(t, n.partial.Load())
	})
	t.Run("a small fleet is sent all", func(t *testing.T) {
		w, n := newWatchingNode(t, "w", 600), newFollowingNode(t)
		at := follow.NewPosition(false)
		pollAll(t, n, at, w)
		assert.False(t, n.partial.Load())
		assert.Equal(t, 600, n.pools.Len())
	})
}

func listed(n *Node, id string) bool {
	items, _ := n.pools.ItemsOf(pool.ScopeAll, []string{id})
	return len(items) > 0
}

// TestPartialListsOfOtherHalls: while the store is unavailable, a node takes the list of a peer that has a newer one. If
// that is a part, it is of the peer's hall and has few upstreams of the node's own.
func TestPartialListsOfOtherHalls(t *testing.T) {
	n, _ := newScaleNode(t, 10, 100)
	m := &wire.CatchUpResponse{ListRevision: 1000, Partial: true, List: message.ItemsToWire(scaleItems(3))}
	n.applyList("edge-b-1", m)
	assert.Equal(t, 100, n.pools.Len())
	n.applyList("edge-a-5", m)
	assert.Equal(t, 3, n.pools.Len(), "one of the own hall's is taken")
}

// TestPartialListsGiveNoOrders: a node whose list leaves out upstreams of other halls would order as many again.
func TestPartialListsGiveNoOrders(t *testing.T) {
	n, c := newScaleNode(t, 3, 600)
	o := newOrderer(n)
	n.partial.Store(true)
	o.step(t.Context())
	assert.Zero(t, o.maxListed)
	n.partial.Store(false)
	c.Advance(time.Minute)
	o.step(t.Context())
	assert.Equal(t, 600, o.maxListed)
	assert.False(t, o.isListComplete(n.clock.Now()), "it has just begun to observe")
}

// TestListsThatDifferAreReadAnew checks that a node whose list differs from its watcher's although it has all
// changes requests the whole list, once.
func TestListsThatDifferAreReadAnew(t *testing.T) {
	w, n := newWatchingNode(t, "w", 50), newFollowingNode(t)
	at := follow.NewPosition(false)
	pollAll(t, n, at, w)
	n.updateList("store", func(now time.Time, l *pool.List) { l.Delete(now, scaleItem(3).Entry.ID) })
	for i := range 2 {
		putItem(w, leavingItem(10+i, int64(100+i)))
		poll(n, at, w)
	}
	r := at.Request(1, n.pools.Revision())
	assert.Zero(t, r.ListRevision, "it asks as if it had no list")
	assert.Empty(t, r.Lifetime)
	pollAll(t, n, at, w)
	assert.Equal(t, "w", at.Request(1, n.pools.Revision()).Lifetime)
	assert.Equal(t, w.pools.Len(), n.pools.Len())
}

// TestFollowBesideThePreviousBuild: VMs are upgraded one after the other. A watcher of the previous build sends
// whole lists only, and a follower of that build takes nothing else.
func TestFollowBesideThePreviousBuild(t *testing.T) {
	t.Run("a follower of the previous build", func(t *testing.T) {
		w := newWatchingNode(t, "w", 3000)
		r := &wire.FollowRequest{CatalogVersion: 1}
		a := w.source.Answer(r)
		assert.True(t, a.HasList)
		assert.Len(t, a.List, 3000)
		r.Lifetime, r.ListSequence = a.Lifetime, a.ListSequence
		assert.False(t, w.source.Answer(r).HasList)
		putItem(w, leavingItem(7, 5000))
		assert.Len(t, w.source.Answer(r).List, 3000)
	})
	t.Run("a watcher of the previous build", func(t *testing.T) {
		w, n := newWatchingNode(t, "w", 30), newFollowingNode(t)
		at := follow.NewPosition(false)
		n.follower.Apply("w", &wire.FollowResponse{Watching: true, Lifetime: "old", ListSequence: 4, ListRevision: 30, HasList: true, List: message.ItemsToWire(w.pools.Items())}, at)
		assert.Equal(t, 30, n.pools.Len())
		r := at.Request(1, 30)
		assert.Equal(t, "old", r.Lifetime)
		assert.Equal(t, int64(4), r.ListSequence)
	})
}

// TestChangesComeTogetherInLargeFleets: while thousands of upstreams are listed, each follower was sent each change by
// itself as soon as it had asked again. In calm a change is sent at once.
func TestChangesComeTogetherInLargeFleets(t *testing.T) {
	const answerTime = 2 * time.Millisecond
	play := func(large bool) (answers int, worst time.Duration) {
		w, n := newWatchingNode(t, "w", 100), newFollowingNode(t)
		at := follow.NewPosition(false)
		pollAll(t, n, at, w)
		next, revision := time.Duration(0), int64(1000)
		for now := time.Duration(0); now < time.Second; now += time.Millisecond {
			revision++
			putItem(w, leavingItem(int(revision%90), revision))
			if now < next {
				continue
			}
			r := at.Request(1, n.pools.Revision())
			r.TakesLongWait = large
			a := w.source.Answer(r)
			n.follower.Apply("w", a, at)
			next = now + answerTime + follow.Pause(r, a, answerTime)
			worst = max(worst, next-now)
			answers++
		}
		return answers, worst
	}
	answers, worst := play(true)
	assert.LessOrEqual(t, answers, 10)
	assert.LessOrEqual(t, worst, 100*time.Millisecond)
	t.Run("not in small ones", func(t *testing.T) {
		answers, _ := play(false)
		assert.Equal(t, 500, answers)
	})
	t.Run("not in calm, and not between the parts of a list", func(t *testing.T) {
		r := &wire.FollowRequest{TakesLongWait: true}
		assert.Zero(t, follow.Pause(r, &wire.FollowResponse{MembersRead: true}, 0))
		assert.Zero(t, follow.Pause(r, &wire.FollowResponse{HasPart: true, More: true}, 0))
		assert.Zero(t, follow.Pause(r, &wire.FollowResponse{HasChanges: true}, 300*time.Millisecond))
	})
}

// TestConfigurationOfAWatcherThatIsBehind: a node that has read a later upstream list than its watchers refused all that
// they sent, and answered by an old configuration until they had caught up.
func TestConfigurationOfAWatcherThatIsBehind(t *testing.T) {
	n := newFollowingNode(t)
	n.updateList("store", func(now time.Time, l *pool.List) { l.Replace(now, 500, scaleItems(50)) })
	n.listed.Store(true)
	putItem(n, leavingItem(3, 500))
	n.options.DecodeCatalog = func(raw []byte) (*catalog.Catalog, error) {
		version, err := strconv.ParseInt(string(raw), 10, 64)
		if err != nil {
			return nil, err
		}
		return catalog.New(catalog.Spec{Version: version})
	}
	behind := &wire.FollowResponse{Watching: true, Lifetime: "w", Catalog: []byte("11"), ListRevision: 400, HasChanges: true}
	assert.ErrorIs(t, n.applyFollowed("w", n.clock.Now(), behind, follow.NewPosition(false)), errNoUpdates)
	assert.Equal(t, int64(11), n.currentCatalog().Version())
	assert.Equal(t, int64(500), n.pools.Revision())
	t.Run("not of a node that doesn't watch", func(t *testing.T) {
		behind.Watching, behind.Catalog = false, []byte("12")
		assert.ErrorIs(t, n.applyFollowed("w", n.clock.Now(), behind, follow.NewPosition(false)), errNoUpdates)
		assert.Equal(t, int64(11), n.currentCatalog().Version())
	})
	t.Run("an older one isn't put in force", func(t *testing.T) {
		behind.Watching, behind.Catalog = true, []byte("10")
		assert.ErrorIs(t, n.applyFollowed("w", n.clock.Now(), behind, follow.NewPosition(false)), errNoUpdates)
		assert.Equal(t, int64(11), n.currentCatalog().Version())
	})
}

// TestFollowersWaitForAStartingWatcher: a node that has just taken a seat hasn't read the store yet. A follower that asks
// it is answered once it has, and not told again and again that there is no news.
func TestFollowersWaitForAStartingWatcher(t *testing.T) {
	w := newWatchingNode(t, "w", 10)
	w.listFollower.Disconnect()
	w.listed.Store(false)
	w.holdsSeat.Store(true)
	answers := make(chan *wire.FollowResponse, 1)
	go func() {
		a, err := w.source.Await(t.Context(), follow.NewPosition(false).Request(1, 0))
		assert.NoError(t, err)
		answers <- a
	}()
	select {
	case <-answers:
		assert.Fail(t, "answered before the store was read")
	case <-time.After(50 * time.Millisecond):
	}
	w.listed.Store(true)
	w.listFollower.MarkConnected()
	a := <-answers
	assert.True(t, a.Watching)
	assert.Len(t, a.List, 10)
	t.Run("one that watches no longer says so at once", func(t *testing.T) {
		w.listFollower.Disconnect()
		a, err := w.source.Await(t.Context(), follow.NewPosition(false).Request(1, 0))
		assert.NoError(t, err)
		assert.False(t, a.Watching)
	})
}
