package lineage

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func fleet(halls, perHall int) []Node {
	var list []Node
	for h := range halls {
		for i := range perHall {
			list = append(list, Node{Name: fmt.Sprintf("n%d-%d", h, i), Hall: fmt.Sprint("h", h)})
		}
	}
	return list
}

func TestBook(t *testing.T) {
	k := KeyOf("w", "r")
	t.Run("until a stream is over", func(t *testing.T) {
		b := NewBook()
		b.Add(at(0), Record{k, "v1", 15 * time.Second})
		v, known := b.Version(at(14*time.Second), k)
		assert.True(t, known)
		assert.Equal(t, "v1", v)
		_, known = b.Version(at(15*time.Second), k)
		assert.False(t, known)
	})
	t.Run("what began it never changes", func(t *testing.T) {
		b := NewBook()
		b.Add(at(0), Record{k, "v1", 5 * time.Second})
		b.Add(at(time.Second), Record{k, "v2", 9 * time.Second})
		v, known := b.Version(at(8*time.Second), k)
		assert.True(t, known)
		assert.Equal(t, "v1", v)
	})
	t.Run("another workspace's request", func(t *testing.T) {
		b := NewBook()
		b.Add(at(0), Record{k, "v1", 5 * time.Second})
		_, known := b.Version(at(0), KeyOf("x", "r"))
		assert.False(t, known)
		assert.NotEqual(t, KeyOf("ab", "c"), KeyOf("a", "bc"))
	})
	t.Run("bounded, the oldest goes first", func(t *testing.T) {
		b := NewBook()
		for i := range 2 * maxRecords {
			b.Add(at(0), Record{Key(i), "v1", time.Minute})
		}
		assert.LessOrEqual(t, b.Len(), maxRecords)
		_, known := b.Version(at(0), 0)
		assert.False(t, known)
		_, known = b.Version(at(0), 2*maxRecords-1)
		assert.True(t, known)
	})
	t.Run("streams that are over make room", func(t *testing.T) {
		b := NewBook()
		for i := range 100 {
			b.Add(at(time.Duration(i)*time.Second), Record{Key(i), "v1", 10 * time.Second})
		}
		assert.LessOrEqual(t, b.Len(), 11)
	})
}

func TestKeepers(t *testing.T) {
	t.Run("two halls", func(t *testing.T) {
		for i := range 100 {
			told, asked := Told(Key(i), fleet(3, 24)), Asked(Key(i), fleet(3, 24))
			assert.Len(t, told, 2)
			assert.Len(t, asked, 4)
			assert.Subset(t, asked, told)
			assert.NotEqual(t, told[0][:2], told[1][:2])
		}
	})
	t.Run("as many as there are", func(t *testing.T) {
		assert.Len(t, Asked(1, fleet(1, 1)), 1)
		assert.Len(t, Asked(1, fleet(1, 6)), 2)
		assert.Empty(t, Told(1, nil))
	})
	t.Run("a node that one has heard of and the other hasn't", func(t *testing.T) {
		all := fleet(3, 24)
		for i := range 1000 {
			k, without := Key(i), append(append([]Node{}, all[:i%len(all)]...), all[i%len(all)+1:]...)
			assert.Subset(t, Asked(k, all), Told(k, without), "it has started")
			assert.NotEmpty(t, common(Asked(k, without), Told(k, all)), "it has ended")
		}
	})
	t.Run("each node has its part", func(t *testing.T) {
		count := make(map[string]int)
		for i := range 7200 {
			for _, n := range Told(Key(i), fleet(3, 24)) {
				count[n]++
			}
		}
		for n, c := range count {
			assert.InDelta(t, 200, c, 80, n)
		}
	})
}

func TestCandidates(t *testing.T) {
	const streamsPerNode = 20
	count := func(nodes []Node) map[string]int {
		m := make(map[string]int)
		for _, n := range nodes {
			m[n.Hall]++
		}
		return m
	}
	t.Run("two nodes of a small hall, a tenth of a large one", func(t *testing.T) {
		assert.Len(t, Candidates(fleet(3, 1)), 3)
		assert.Len(t, Candidates(fleet(3, 20)), 6)
		assert.Len(t, Candidates(fleet(5, 197)), 5*20)
		for _, c := range count(Candidates(fleet(3, 20))) {
			assert.Equal(t, 2, c)
		}
		assert.Empty(t, Candidates(nil))
	})
	t.Run("a node that comes or goes changes one of them at most", func(t *testing.T) {
		all := fleet(3, 24)
		for i := range all {
			without := append(append([]Node{}, all[:i]...), all[i+1:]...)
			before, after := Candidates(all), Candidates(without)
			changed := 0
			for _, n := range before {
				if !slices.Contains(after, n) {
					changed++
				}
			}
			assert.LessOrEqual(t, changed, 1)
			assert.Subset(t, LateCandidates(all), Candidates(without), "those that were while another was away")
		}
	})
	t.Run("those that a build without candidates tells are asked, too", func(t *testing.T) {
		all := fleet(3, 24)
		for i := range 100 {
			assert.Subset(t, AskedWidely(Key(i), all), Told(Key(i), all))
		}
		assert.Len(t, AskedWidely(1, fleet(3, 2)), 6, "each once")
	})
	t.Run("what one keeps doesn't grow with the fleet", func(t *testing.T) {
		for _, nodes := range [][]Node{fleet(1, 16), fleet(1, 77), fleet(1, 197), fleet(1, 985), fleet(2, 16), fleet(2, 197), fleet(3, 77)} {
			candidates := Candidates(nodes)
			count := make(map[string]int)
			for i := range streamsPerNode * len(nodes) {
				for _, n := range Told(Key(i), candidates) {
					count[n]++
				}
			}
			for n, c := range count {
				assert.LessOrEqual(t, c, keeperHalls*streamsPerNode*nodesPerCandidate*4/3, "%s of %d", n, len(nodes))
			}
		}
	})
	t.Run("saves of all nodes together have a bound", func(t *testing.T) {
		for _, size := range []int{2, 26, 197} {
			nodes := fleet(5, size)
			each := SaveInterval(nodes, 400)
			assert.LessOrEqual(t, float64(len(Candidates(nodes)))/each.Seconds(), savesShare*400+1e-6)
			assert.GreaterOrEqual(t, each, MinSaveInterval)
		}
		assert.Equal(t, MinSaveInterval, SaveInterval(fleet(3, 2), 0))
	})
}

func common(a, b []string) []string {
	var list []string
	for _, n := range a {
		if slices.Contains(b, n) {
			list = append(list, n)
		}
	}
	return list
}
