package rollout

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// cells returns what a tally tells, by route and group.
func cells(t Tally) map[string]map[int]Cell {
	r := make(map[string]map[int]Cell)
	t.Cells(func(route string, group int, c *Cell) {
		if r[route] == nil {
			r[route] = make(map[int]Cell)
		}
		r[route][group] = *c
	})
	return r
}

// TestTallySet: one node told another of a route whose cells had nothing; the route wasn't told, and
// the tally that was built from the words differed from the one meant. Two draws of the test of
// messages showed it.
func TestTallySet(t *testing.T) {
	some := Cell{Responses: 3, Failed: 1}
	t.Run("a cell that has nothing makes no row", func(t *testing.T) {
		v := make(Tally)
		v.Set("r", 0, Cell{})
		assert.Empty(t, v)
	})
	t.Run("a cell is emptied where its row has others", func(t *testing.T) {
		v := make(Tally)
		v.Set("r", 0, some)
		v.Set("r", 1, some)
		v.Set("r", 0, Cell{})
		assert.Equal(t, map[string]map[int]Cell{"r": {1: some}}, cells(v))
	})
	t.Run("a group that there isn't is passed over", func(t *testing.T) {
		v := make(Tally)
		v.Set("r", -1, some)
		v.Set("r", groups, some)
		assert.Empty(t, v)
	})
}
