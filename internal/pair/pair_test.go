package pair

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// node is one node and its state of the others.
type node struct {
	name   string
	others []Peer
}

func (n *node) other(name string) *Peer {
	return &n.others[slices.IndexFunc(n.others, func(o Peer) bool { return o.Name == name })]
}

func fleet(size int) []*node {
	nodes := make([]*node, size)
	for i := range nodes {
		nodes[i] = &node{name: fmt.Sprint("edge-", i)}
		for j := range size {
			if j != i {
				nodes[i].others = append(nodes[i].others, Peer{Name: fmt.Sprint("edge-", j)})
			}
		}
	}
	return nodes
}

// simulate runs the exchanges of the nodes for some rounds, and returns the maximum number of calls
// that a node made in a round and the longest time for which a pair did not exchange.
func simulate(nodes []*node, rounds int) (calls int, longest time.Duration) {
	by := make(map[string]*node)
	for _, n := range nodes {
		by[n.name] = n
	}
	start := time.Unix(1000, 0)
	for i := 0; i < rounds; i++ {
		now := start.Add(time.Duration(i) * Round)
		for _, n := range nodes {
			due := Due(now, n.name, len(n.others)+1, n.others)
			calls = max(calls, len(due))
			for _, name := range due {
				o := n.other(name)
				if !o.LastSeen.IsZero() {
					longest = max(longest, now.Sub(o.LastSeen))
				}
				o.LastCalled, o.LastSeen = now, now
				by[name].other(n.name).LastSeen = now
			}
		}
	}
	return calls, longest
}

func TestEachPairHasOneCaller(t *testing.T) {
	for i := 0; i < 60; i++ {
		own := 0
		for j := 0; j < 60; j++ {
			a, b := fmt.Sprint("edge-", i), fmt.Sprint("edge-", j)
			if i == j {
				continue
			}
			assert.NotEqual(t, calls(a, b), calls(b, a))
			if calls(a, b) {
				own++
			}
		}
		assert.Greater(t, own, 10, "node %d calls too few", i)
		assert.Less(t, own, 50, "node %d calls too many", i)
	}
}

func TestInterval(t *testing.T) {
	t.Run("few nodes exchange in each round", func(t *testing.T) {
		_, longest := simulate(fleet(8), 100)
		assert.Equal(t, Round, longest)
	})
	for _, size := range []int{77, 200} {
		t.Run(fmt.Sprint(size, " nodes"), func(t *testing.T) {
			most, longest := simulate(fleet(size), 4*int(Interval(size)/Round))
			assert.LessOrEqual(t, most, pairsPerRound, "a node's calls don't grow with the fleet")
			assert.Less(t, longest, 2*Interval(size))
			assert.Less(t, longest, unresponsiveAfter(size))
		})
	}
}

// TestUnresponsiveNodeIsCalledFromBothSides: calls in one direction of a pair may fail, so both sides
// have to call.
func TestUnresponsiveNodeIsCalledFromBothSides(t *testing.T) {
	nodes := fleet(2)
	now := time.Unix(1000, 0)
	for _, n := range nodes {
		assert.Len(t, Due(now, n.name, len(n.others)+1, n.others), 1, "no node has exchanged yet")
	}
	for _, n := range nodes {
		n.others[0].LastSeen, n.others[0].LastCalled = now, now
	}
	due := func() int {
		return len(Due(now, nodes[0].name, 2, nodes[0].others)) + len(Due(now, nodes[1].name, 2, nodes[1].others))
	}
	now = now.Add(Round)
	assert.Equal(t, 1, due())
	now = now.Add(unresponsiveAfter(2))
	assert.Equal(t, 2, due())
}

// TestBusyNodesArentCalled: no second call starts while one is in progress, however long it takes.
func TestBusyNodesArentCalled(t *testing.T) {
	n := fleet(3)[0]
	for i := range n.others {
		n.others[i].Busy = true
	}
	assert.Empty(t, Due(time.Unix(1000, 0), n.name, 3, n.others))
}

// TestSilenceIsBounded: the time after which a node counts as silent must not grow with the fleet. It was 123 s
// at 985 nodes, so a lost watcher or relay stayed in use for two minutes.
func TestSilenceIsBounded(t *testing.T) {
	assert.Equal(t, unresponsiveAfter(13), Silence(13))
	assert.True(t, Suffice(97))
	assert.Equal(t, unresponsiveAfter(97), Silence(97))
	for _, nodes := range []int{98, 985, 2000} {
		assert.False(t, Suffice(nodes))
		assert.Equal(t, Silence(97), Silence(nodes))
	}
}

func TestFallbackIsPaced(t *testing.T) {
	var f Fallback
	now := time.Unix(1000, 0)
	assert.True(t, f.Take(now))
	assert.False(t, f.Take(now.Add(FallbackInterval-time.Millisecond)))
	assert.True(t, f.Take(now.Add(FallbackInterval)))
}
