package edge

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/bootstrap"
	"spurhall.example/spurhall/internal/pair"
	"spurhall.example/spurhall/internal/peer"
	"spurhall.example/spurhall/internal/quota"
	"spurhall.example/spurhall/internal/retry"
	"spurhall.example/spurhall/internal/roster"
	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/timer"
)

// newHallNode returns a node with the given number of peers, all in its hall, responsive and connected to the
// store.
func newHallNode(t *testing.T, others int) (*Node, *timer.Manual) {
	t.Helper()
	c := timer.NewManual(time.Unix(1000, 0))
	n := &Node{settings: &Settings{Node: "edge-0", Hall: "a"}, clock: c.Service(), log: zap.NewNop(), guard: store.NewGuard(c.Service(), store.GuardOptions{Reads: 1, Writes: 1})}
	n.peers = peer.NewTable(peer.Options{Self: "edge-0", Hall: "a", Clock: n.clock, Log: zap.NewNop()})
	for i := 1; i <= others; i++ {
		p := n.peers.GetOrAdd(fmt.Sprint("edge-", i), "")
		p.Signs, p.Hall, p.StoreUp = roster.Signs{LastSeen: n.clock.Now()}, "a", true
	}
	return n, c
}

// TestWatchersReachTheStore checks that a node whose calls the store rejects doesn't watch for its hall,
// unless the store rejects all nodes.
func TestWatchersReachTheStore(t *testing.T) {
	n, _ := newHallNode(t, 9)
	before := n.watchers()
	require.Len(t, before, roster.WatchersPerHall)
	n.peers.Get(before[0]).StoreUp = false
	after := n.watchers()
	assert.NotContains(t, after, before[0])
	assert.Contains(t, after, before[1], "the other watcher stays")
	for p := range n.peers.All() {
		p.StoreUp = false
	}
	assert.Len(t, n.watchers(), roster.WatchersPerHall, "if the store rejects all nodes, the watchers still retry")
}

// TestFailedRelaysAreNotCalled checks that a failed relay isn't called until it reports again or some time has
// passed.
func TestFailedRelaysAreNotCalled(t *testing.T) {
	n, c := newHallNode(t, 20)
	first := n.view(n.clock.Now()).HallNodes("a").Relays()[0].Name()
	if first == n.settings.Node {
		first = n.view(n.clock.Now()).HallNodes("a").Relays()[1].Name()
	}
	p := n.peers.Get(first)
	assertAsked := func(t *testing.T, want bool) {
		t.Helper()
		for o := range n.peers.All() {
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

// TestSeedsBehindAPartitionAreForgotten: once one node was known, a process that couldn't read the registry called no seed again.
func TestSeedsBehindAPartitionAreForgotten(t *testing.T) {
	n, _ := newScaleNode(t, 3, 0)
	n.role.RegistryRead = false
	n.settings.Seeds = []string{n.settings.Peers, "10.200.0.1:9000", "10.201.0.1:9000"}
	seeds, pause := bootstrap.SeedsToCall(n.knownSeeds())
	assert.Equal(t, []string{"10.201.0.1:9000"}, seeds, "the one that no peer has")
	assert.Equal(t, time.Second, pause)
	t.Run("until a node that knows all has named them", func(t *testing.T) {
		n.applyNamed("edge-b-1", nil, true)
		seeds, _ := bootstrap.SeedsToCall(n.knownSeeds())
		assert.Empty(t, seeds)
	})
	t.Run("or the registry is read", func(t *testing.T) {
		n.lookup, n.role.RegistryRead = bootstrap.Lookup{}, true
		seeds, _ := bootstrap.SeedsToCall(n.knownSeeds())
		assert.Empty(t, seeds)
	})
}

// TestNamedNodesCountAsNodes: what another node names is known like what the registry lists.
func TestNamedNodesCountAsNodes(t *testing.T) {
	n, _ := newScaleNode(t, 3, 0)
	n.role.RegistryRead = false
	n.applyNamed("edge-b-1", []roster.Member{{Name: n.settings.Node, Address: "10.0.0.1:1"}, {Name: "other", Address: "10.0.0.2:1", Hall: "b"}, {Name: "unaddressed"}}, false)
	assert.Equal(t, 4, n.peers.Size())
	assert.Equal(t, "b", n.peers.Get("other").Hall)
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
		p := n.peers.GetOrAdd(fmt.Sprint("edge-a-", i), fmt.Sprint("10.200.0.", i, ":9000"))
		p.Hall, p.Incarnation, p.LastSeen = "a", "p", n.clock.Now()
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
	assert.Equal(t, 1, n.peers.Size(), "the others are gone")
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
