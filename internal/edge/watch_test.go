package edge

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"spurhall.example/spurhall/internal/changelog"
	"spurhall.example/spurhall/internal/forward"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/timer"
)

// newListReader returns a node that watches the upstream list in a large fleet, and its clock.
func newListReader(t *testing.T) (*Node, *timer.Manual) {
	n, c := newScaleNode(t, 300, 0)
	n.options.EntryPrefix = "up/"
	n.options.DecodeEntry = func(key string, _ []byte) (pool.Entry, error) {
		return pool.Entry{ID: key, Service: "s", Address: "x"}, nil
	}
	n.listFollower, n.catalogFollower = n.newListFollower(), n.newCatalogFollower()
	return n, c
}

// changesOf returns the changes of a number of entries from a revision on.
func changesOf(revision int64, count int) store.WatchBatch {
	b := store.WatchBatch{Revision: revision + int64(count) - 1}
	for i := range count {
		at := revision + int64(i)
		b.Events = append(b.Events, store.Event{Pair: store.Pair{Key: fmt.Sprint("up/", at), Modified: at}})
	}
	return b
}

// TestWatchKeepsUpWithTheStore: each response of the store was followed by a pause of half a second, also those that
// the store cuts off at some 500 changes. While 9,700 upstreams were exchanged, all nodes were seconds behind, sent
// requests to upstreams that had left and answered by an old configuration, and read the store themselves.
func TestWatchKeepsUpWithTheStore(t *testing.T) {
	const cut, responses = 500, 40
	n, clock := newListReader(t)
	paused := make(chan struct{})
	n.kv.Range = func(context.Context, string, string) (store.RangeResult, error) {
		return store.RangeResult{Revision: 1}, nil
	}
	n.kv.Watch = func(ctx context.Context, _ store.Span, f func(store.WatchBatch) error) error {
		for i := range int64(responses) {
			if err := f(changesOf(2+i*cut, cut)); err != nil {
				return err
			}
		}
		assert.Equal(t, responses*cut, n.pools.Len(), "without a pause")
		close(paused)
		return f(changesOf(2+responses*cut, 3))
	}
	ended := make(chan error)
	go func() { ended <- n.listFollower.ReadAndWatch(t.Context()) }()
	select {
	case <-paused:
	case <-time.After(time.Minute):
		require.Fail(t, "it pauses after a response that was cut off")
	}
	select {
	case <-ended:
		assert.Fail(t, "a few changes are followed by a pause, which saves calls")
	case <-time.After(50 * time.Millisecond):
	}
	for range 100 {
		clock.Advance(maxBatchDelay)
		select {
		case err := <-ended:
			assert.NoError(t, err)
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
	assert.Fail(t, "the pause doesn't end")
}

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
			n := &Node{streamVersions: make(map[string][]string), settings: &Settings{Node: "a"}, clock: c.Service(), log: zap.NewNop(), pools: pool.New(c.Service(), "a", "h"), changes: changelog.New(), lines: forward.NewConnections(c.Service(), nil)}
			n.options.EntryPrefix = "up/"
			n.options.DecodeEntry = func(key string, _ []byte) (pool.Entry, error) {
				return pool.Entry{ID: key, Service: "s", Address: "x"}, nil
			}
			n.listFollower, n.catalogFollower = n.newListFollower(), n.newCatalogFollower()
			n.applyListSnapshot(store.RangeResult{Revision: 1, Pairs: []store.Pair{{Key: "up/u", Modified: 1}}})
			n.listFollower.MarkLost(store.ErrUnavailable)
			c.Advance(8 * time.Second)
			if v.followed {
				n.markStoreAvailable()
			}
			n.applyListSnapshot(store.RangeResult{Revision: 2})
			assert.Len(t, n.pools.Items(), v.remaining)
		})
	}
}

// TestNodeThatStartsIsCalledBehind: the log said that a watch was behind where the node's first read of the list took long.
func TestNodeThatStartsIsCalledBehind(t *testing.T) {
	for listed, lines := range map[bool]int{false: 0, true: 1} {
		n, clock := newScaleNode(t, 3, 0)
		core, logs := observer.New(zap.InfoLevel)
		n.log = zap.New(core)
		n.listed.Store(listed)
		n.recordListChange("edge-b-1", 97)
		clock.Advance(maxListLag + time.Millisecond)
		n.recordListChange("edge-b-1", 97)
		assert.Equal(t, lines, logs.FilterMessage("watch_behind").Len(), "listed: %v", listed)
		assert.True(t, n.mustWatch(), "it reads by itself")
	}
}
