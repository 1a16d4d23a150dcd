package lineage

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// setNodes sets the nodes that are present and don't leave, as all see them.
func (f *keeperFleet) setNodes(nodes []Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes = nodes
}

// leave stops a node: the others no longer ask it, it hands on, and its process ends.
func (f *keeperFleet) leave(t *testing.T, name string) {
	f.setNodes(slices.DeleteFunc(f.present(), func(n Node) bool { return n.Name == name }))
	f.keeper(name).HandOn(t.Context())
	f.setSilent(name)
}

// comeBack starts a node again, which remembers nothing.
func (f *keeperFleet) comeBack(t *testing.T, n Node) {
	f.start(t, n.Name)
	f.mu.Lock()
	delete(f.silent, n.Name)
	f.mu.Unlock()
	f.setNodes(append(f.present(), n))
}

// TestStreamsAreLostInARollingRestart guards against records that end with their keepers, when all nodes stop and start in turn.
func TestStreamsAreLostInARollingRestart(t *testing.T) {
	const streams = 60
	play := func(t *testing.T, restart func(f *keeperFleet, all []Node)) {
		f := newKeeperFleet(t, 3, 2)
		all := f.present()
		for i := range streams {
			f.begin(t, all[i%len(all)].Name, KeyOf("w", fmt.Sprint(i)))
		}
		restart(f, all)
		for i := range streams {
			f.assertFound(t, true, all[i%len(all)].Name, KeyOf("w", fmt.Sprint(i)))
		}
	}
	t.Run("one after the other", func(t *testing.T) {
		play(t, func(f *keeperFleet, all []Node) {
			for _, n := range all {
				f.leave(t, n.Name)
				f.comeBack(t, n)
			}
		})
	})
	t.Run("twice in a row", func(t *testing.T) {
		play(t, func(f *keeperFleet, all []Node) {
			for _, n := range slices.Concat(all, all) {
				f.leave(t, n.Name)
				f.comeBack(t, n)
			}
		})
	})
	t.Run("overlapping, as each takes longer than the time to the next", func(t *testing.T) {
		play(t, func(f *keeperFleet, all []Node) {
			for i, n := range all {
				f.leave(t, n.Name)
				if i >= 3 {
					f.comeBack(t, all[i-3])
				}
			}
			for _, n := range all[len(all)-3:] {
				f.comeBack(t, n)
			}
		})
	})
	t.Run("hall after hall, all nodes of each at once", func(t *testing.T) {
		play(t, func(f *keeperFleet, all []Node) {
			for h := range 3 {
				for _, n := range all[2*h : 2*h+2] {
					f.leave(t, n.Name)
				}
				for _, n := range all[2*h : 2*h+2] {
					f.comeBack(t, n)
				}
			}
		})
	})
	t.Run("two stops and a kill between", func(t *testing.T) {
		f := newKeeperFleet(t, 3, 2)
		all := f.present()
		for i := range streams {
			f.begin(t, all[0].Name, KeyOf("w", fmt.Sprint(i)))
		}
		f.leave(t, all[0].Name)
		f.start(t, all[2].Name) // killed: it remembers nothing
		f.leave(t, all[4].Name)
		found := 0
		for i := range streams {
			if f.keeper(all[1].Name).Find(t.Context(), KeyOf("w", fmt.Sprint(i)), "s").Known {
				found++
			}
		}
		assert.Equal(t, streams, found, "each was known in two halls, and a kill costs one of these")
	})
}

// TestHandingOnHasABound guards against a message to one node that grows with what the leaving one remembers.
func TestHandingOnHasABound(t *testing.T) {
	f := newKeeperFleet(t, 2, 1)
	for i := range 3 * maxUntold {
		f.keeper("n0-0").Hear([]Record{{KeyOf("w", fmt.Sprint(i)), "v1.1", time.Minute}})
	}
	f.leave(t, "n0-0")
	assert.Equal(t, 3*maxUntold, f.keeper("n1-0").book.Len())
	f.mu.Lock()
	defer f.mu.Unlock()
	assert.LessOrEqual(t, f.longest, maxUntold, "streams in one message")
}

// TestStreamsOfOneHallHaveOneKeeper guards against streams that nobody knows once one node of a single hall doesn't answer.
func TestStreamsOfOneHallHaveOneKeeper(t *testing.T) {
	nodes := fleet(1, 5)
	for i := range 100 {
		told := Told(KeyOf("w", fmt.Sprint(i)), nodes)
		assert.Len(t, told, keeperHalls)
		assert.Subset(t, Asked(KeyOf("w", fmt.Sprint(i)), nodes), told)
	}
	assert.Len(t, Told(KeyOf("w", "x"), fleet(1, 1)), 1)
	assert.Empty(t, Told(KeyOf("w", "x"), nil))
}
