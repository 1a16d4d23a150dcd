package edge

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// fleet is some nodes' tables, as far as pacing needs them.
func fleet(size int) []*Node {
	names := make([]string, size)
	for i := range names {
		names[i] = fmt.Sprint("edge-", i)
	}
	nodes := make([]*Node, size)
	for i := range nodes {
		n := &Node{s: &Settings{Node: names[i]}}
		n.peers = &table{n: n, peers: make(map[string]*peer)}
		for j, other := range names {
			if j != i {
				n.peers.peers[other] = &peer{name: other}
			}
		}
		nodes[i] = n
	}
	return nodes
}

// play lets the nodes swap reports for some rounds, and returns the most calls that a node
// made in a round and the longest time for which a pair swapped none.
func play(nodes []*Node, rounds int) (calls int, longest time.Duration) {
	by := make(map[string]*Node)
	for _, n := range nodes {
		by[n.s.Node] = n
	}
	start := time.Unix(1000, 0)
	for i := 0; i < rounds; i++ {
		now := start.Add(time.Duration(i) * reportEvery)
		for _, n := range nodes {
			due := n.peers.due(now)
			calls = max(calls, len(due))
			for _, p := range due {
				if !p.heard.IsZero() {
					longest = max(longest, now.Sub(p.heard))
				}
				p.called, p.heard = now, now
				by[p.name].peers.peers[n.s.Node].heard = now
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

func TestPace(t *testing.T) {
	t.Run("few nodes swap in each round", func(t *testing.T) {
		_, longest := play(fleet(8), 100)
		assert.Equal(t, reportEvery, longest)
	})
	for _, size := range []int{77, 200} {
		t.Run(fmt.Sprint(size, " nodes"), func(t *testing.T) {
			most, longest := play(fleet(size), 4*int(pairEvery(size)/reportEvery))
			assert.LessOrEqual(t, most, swapsARound, "a node's calls don't grow with the fleet")
			assert.Less(t, longest, 2*pairEvery(size))
			assert.Less(t, longest, silentAfter(size))
		})
	}
}

// TestUnheardNodeIsCalledFromBothSides: one side of a pair may not get through.
func TestUnheardNodeIsCalledFromBothSides(t *testing.T) {
	nodes := fleet(2)
	now := time.Unix(1000, 0)
	for _, n := range nodes {
		assert.Len(t, n.peers.due(now), 1, "nobody is heard yet")
	}
	for _, n := range nodes {
		for _, p := range n.peers.peers {
			p.heard, p.called = now, now
		}
	}
	now = now.Add(reportEvery)
	assert.Equal(t, 1, len(nodes[0].peers.due(now))+len(nodes[1].peers.due(now)))
	now = now.Add(silentAfter(2))
	assert.Equal(t, 2, len(nodes[0].peers.due(now))+len(nodes[1].peers.due(now)))
}
