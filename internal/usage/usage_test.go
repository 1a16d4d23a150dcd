package usage

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

const length = 5 * time.Second

var start = time.Unix(1_700_000_000, 0)

func TestWindows(t *testing.T) {
	b := New("a", "1", length)
	k := b.Window(start)
	assert.Equal(t, int64(1_700_000_000/5), k)
	assert.Equal(t, k, b.Window(start.Add(length-1)))
	assert.Equal(t, k+1, b.Window(start.Add(length)))
	assert.Equal(t, start.Add(length), b.WindowEnd(k).In(start.Location()))
}

// TestSumOfLateAndRepeatedReports merges reports late, repeatedly and out of order; the sum must still
// be what was counted.
func TestSumOfLateAndRepeatedReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New("a", "1", length), New("b", "1", length)
		want := map[int64]int64{}
		var sent []Windows
		for i := 0; i < 50; i++ {
			at := start.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms")) * time.Millisecond)
			n := a
			if rapid.Bool().Draw(t, "node") {
				n = b
			}
			n.Add(at, "w")
			want[a.Window(at)]++
			sent = append(sent, copied(b.Own()))
		}
		sent = append(sent, copied(b.Own()))
		for range sent {
			a.Merge("b", "1", sent[rapid.IntRange(0, len(sent)-1).Draw(t, "report")])
		}
		a.Merge("b", "1", sent[len(sent)-1])
		for k, v := range want {
			assert.Equal(t, v, a.Sum(k)["w"])
		}
	})
}

func copied(w Windows) Windows {
	r := Windows{}
	for k, c := range w {
		r[k] = Counts{}
		for n, v := range c {
			r[k][n] = v
		}
	}
	return r
}

func TestTracker(t *testing.T) {
	t.Run("incarnations of a node add up", func(t *testing.T) {
		b := New("a", "1", length)
		k := b.Window(start)
		b.Merge("b", "1", Windows{k: {"w": 2}})
		b.Merge("b", "2", Windows{k: {"w": 3}})
		b.Merge("a", "0", Windows{k: {"w": 4}})
		assert.Equal(t, Counts{"w": 9}, b.Sum(k))
	})
	t.Run("its own counts aren't merged from other nodes", func(t *testing.T) {
		b := New("a", "1", length)
		b.Add(start, "w")
		b.Merge("a", "1", Windows{b.Window(start): {"w": 7}})
		assert.Equal(t, Counts{"w": 1}, b.Sum(b.Window(start)))
	})
	t.Run("old windows are dropped", func(t *testing.T) {
		b := New("a", "1", length)
		b.Add(start, "w")
		b.Merge("b", "1", Windows{b.Window(start): {"w": 1}})
		b.Forget(start.Add((keptWindows + 1) * length))
		assert.Empty(t, b.Sum(b.Window(start)))
		n := 0
		b.EachOther(func(string, string, Windows) { n++ })
		assert.Zero(t, n)
	})
}

func TestNewestWindows(t *testing.T) {
	w := Windows{1: {"w": 1}, 2: {"w": 2}, 4: {"w": 4}, 5: {"w": 5}}
	assert.Equal(t, Windows{2: {"w": 2}, 4: {"w": 4}}, w.Newest(4, 3), "none that is later, or older")
}
