package edge

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"spurhall.example/spurhall/internal/bootstrap"
	"spurhall.example/spurhall/internal/pair"
	"spurhall.example/spurhall/internal/quota"
	"spurhall.example/spurhall/internal/retry"
	"spurhall.example/spurhall/internal/roster"
	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/timer"
)

// newHallNode returns a node with the given number of peers, all in its hall, responsive and connected to the
// store.
func newHallNode(t *testing.T, others int) (*Node, *timer.Manual, *observer.ObservedLogs) {
	t.Helper()
	c := timer.NewManual(time.Unix(1000, 0))
	core, logs := observer.New(zap.InfoLevel)
	n := &Node{settings: &Settings{Node: "edge-0", Hall: "a"}, clock: c.Service(), log: zap.New(core), guard: store.NewGuard(c.Service(), store.GuardOptions{Reads: 1, Writes: 1})}
	n.peers = &peerTable{n: n, peers: make(map[string]*peer)}
	for i := 1; i <= others; i++ {
		name := fmt.Sprint("edge-", i)
		n.peers.peers[name] = &peer{Peer: roster.Peer{Name: name, Hall: "a", Signs: roster.Signs{LastSeen: n.clock.Now()}, StoreUp: true}}
	}
	return n, c, logs
}

// TestWatchersReachTheStore checks that a node whose calls the store rejects doesn't watch for its hall,
// unless the store rejects all nodes.
func TestWatchersReachTheStore(t *testing.T) {
	n, _, _ := newHallNode(t, 9)
	before := n.watchers()
	require.Len(t, before, roster.WatchersPerHall)
	n.peers.peers[before[0]].StoreUp = false
	after := n.watchers()
	assert.NotContains(t, after, before[0])
	assert.Contains(t, after, before[1], "the other watcher stays")
	for _, p := range n.peers.peers {
		p.StoreUp = false
	}
	assert.Len(t, n.watchers(), roster.WatchersPerHall, "if the store rejects all nodes, the watchers still retry")
}

// TestFailedRelaysAreNotCalled checks that a failed relay isn't called until it reports again or some time has
// passed.
func TestFailedRelaysAreNotCalled(t *testing.T) {
	n, c, _ := newHallNode(t, 20)
	first := n.view(n.clock.Now()).HallNodes("a").Relays()[0].Name()
	if first == n.settings.Node {
		first = n.view(n.clock.Now()).HallNodes("a").Relays()[1].Name()
	}
	p := n.peers.peers[first]
	assertAsked := func(t *testing.T, want bool) {
		t.Helper()
		for _, o := range n.peers.peers {
			if o != p {
				o.LastSeen = n.clock.Now()
			}
		}
		assert.Equal(t, want, n.view(n.clock.Now()).HallNodes("a").Has(first))
	}
	assertAsked(t, true)
	c.Advance(time.Second)
	p.RelayFailedAt = n.clock.Now()
	assertAsked(t, false)
	c.Advance(pair.Round)
	p.LastSeen = n.clock.Now()
	assertAsked(t, true)
}

// TestPeerLogIsAggregatedInLargeFleets checks that in a large fleet, a node that doesn't watch the store for
// its hall logs one line per round about its peers, whatever the number of events.
func TestPeerLogIsAggregatedInLargeFleets(t *testing.T) {
	n, _, logs := newHallNode(t, 94)
	for _, p := range n.peers.peers {
		n.logPeer("peer_heard", zap.String("peer", p.Name))
	}
	n.flushPeerLog()
	assert.Equal(t, 1, logs.Len())
	assert.Equal(t, int64(94), logs.FilterMessage("peers_changed").All()[0].ContextMap()["heard"])
	n.flushPeerLog()
	assert.Equal(t, 1, logs.Len(), "no new events")
	n.events.EndRound(true)
	n.logPeer("peer_heard", zap.String("peer", "edge-1"))
	assert.Equal(t, 1, logs.FilterMessage("peer_heard").Len(), "a watcher logs each event")
}

// TestSeedsBehindAPartitionAreForgotten: once one node was known, a process that couldn't read the registry called no seed again.
func TestSeedsBehindAPartitionAreForgotten(t *testing.T) {
	n, _ := newScaleNode(t, 3, 0)
	n.role.RegistryRead = false
	n.settings.Seeds = []string{n.settings.Peers, "10.200.0.1:9000", "10.201.0.1:9000"}
	seeds, pause := n.seedsToCall()
	assert.Equal(t, []string{"10.201.0.1:9000"}, seeds, "the one that no peer has")
	assert.Equal(t, seedRetryInterval, pause)
	t.Run("until a node that knows all has named them", func(t *testing.T) {
		n.applyNamed("edge-b-1", nil, true)
		seeds, _ := n.seedsToCall()
		assert.Empty(t, seeds)
	})
	t.Run("or the registry is read", func(t *testing.T) {
		n.lookup, n.role.RegistryRead = bootstrap.Lookup{}, true
		seeds, _ := n.seedsToCall()
		assert.Empty(t, seeds)
	})
}

// TestNamedNodesCountAsNodes: what another node names is known like what the registry lists.
func TestNamedNodesCountAsNodes(t *testing.T) {
	n, _ := newScaleNode(t, 3, 0)
	n.role.RegistryRead = false
	n.applyNamed("edge-b-1", []roster.Member{{Name: n.settings.Node, Address: "10.0.0.1:1"}, {Name: "other", Address: "10.0.0.2:1", Hall: "b"}, {Name: "unaddressed"}}, false)
	assert.Equal(t, 4, n.peers.size())
	assert.Equal(t, "b", n.peers.peers["other"].Hall)
	a := n.nameMembers(false)
	assert.Len(t, a.Members, 4, "itself included")
	assert.False(t, a.MembersComplete)
	n.applyNamed("edge-b-1", nil, true)
	assert.True(t, n.nameMembers(false).MembersComplete)
}

// newIsolatedNode returns a node that has started without the store and has heard from two nodes of its hall alone.
func newIsolatedNode(t *testing.T) (*Node, *timer.Manual) {
	t.Helper()
	n, c := newScaleNode(t, 1, 0)
	n.role.RegistryRead = false
	c.Advance(2 * peersWait)
	for i := 1; i < 3; i++ {
		p := n.peers.getOrAdd(fmt.Sprint("edge-a-", i), fmt.Sprint("10.200.0.", i, ":9000"))
		p.Hall, p.incarnation, p.LastSeen = "a", "p", n.clock.Now()
	}
	return n, c
}

// TestNodesThatStartBehindACutTakeThemselvesForAll: after a second, a process without the registry counted those it had heard from
// as all that share quotas, and each side of a cut spent all of them.
func TestNodesThatStartBehindACutTakeThemselvesForAll(t *testing.T) {
	n, _ := newIsolatedNode(t)
	n.startQuotaSpan(n.clock.Now())
	s := n.quotas.Sharing()
	assert.Equal(t, 3*len(scaleHalls), s.Nodes, "as many in each hall of which none is known as in its own")
	t.Run("once the registry is read, those that it lists", func(t *testing.T) {
		n.registry.Replace(n.clock.Now(), []roster.Member{{Name: "edge-b-1", Address: "10.200.1.1:9000", Hall: "b"}})
		n.applyRegistry(n.clock.Now())
		assert.Equal(t, 4, n.quotas.Sharing().Nodes)
	})
	t.Run("or those that a node names which has read it", func(t *testing.T) {
		n, _ := newIsolatedNode(t)
		n.applyNamed("edge-a-1", []roster.Member{{Name: "edge-b-1", Address: "10.200.1.1:9000", Hall: "b"}}, true)
		n.startQuotaSpan(n.clock.Now())
		assert.Equal(t, 4, n.quotas.Sharing().Nodes)
	})
}

// TestNodesBehindACutLoseTheirPartOfTheRetryBudget: once their registration had lapsed, the others spent that part as well.
func TestNodesBehindACutLoseTheirPartOfTheRetryBudget(t *testing.T) {
	n, c := newScaleNode(t, 4, 0)
	n.settings.RetryExtra = 120
	n.settings.FirstStart = true
	retries := func() int {
		n.retryWindows = make(map[string]*retry.Window)
		return countWhile(func() bool { return n.allowRetry("llm") })
	}
	n.setQuotaPeers(c.Service().Now())
	before := retries()
	assert.Positive(t, before)
	c.Advance(time.Minute)
	n.applyRegistry(c.Service().Now())
	assert.Equal(t, 1, n.peers.size(), "the others are gone")
	assert.Equal(t, before, retries())
}

// countWhile returns how often f holds in a row.
func countWhile(f func() bool) int {
	for i := 0; ; i++ {
		if !f() {
			return i
		}
	}
}

// TestLevelsOfANodeThatHearsFewAreTakenOver: they rest on what silent nodes were assumed to charge, so that callers below their
// quotas were refused once nearly all processes had been killed.
func TestLevelsOfANodeThatHearsFewAreTakenOver(t *testing.T) {
	n, c := newScaleNode(t, 6, 0)
	n.quotas.SetLimits(n.clock.Now(), map[string]quota.Limit{"w": {Rate: 1, Burst: 1}})
	tells := func(heard int) bool {
		for i := range heard {
			name := fmt.Sprintf("edge-%s-%d", scaleHalls[(i+1)%len(scaleHalls)], i+1)
			n.quotas.ApplyUpdate(n.clock.Now(), quota.Update{Node: name, Incarnation: "p", Sequence: uint64(c.Service().Now().UnixNano())})
		}
		n.startQuotaSpan(n.clock.Now())
		return len(n.nameMembers(true).Levels) > 0
	}
	assert.True(t, tells(5))
	c.Advance(10 * time.Second)
	assert.False(t, tells(1), "the others were killed")
	c.Advance(10 * time.Second)
	assert.True(t, tells(4), "they are back")
}
