package rollout

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// cells returns the cells of a tally that are not empty, by route and group.
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

// TestTallySet guards against empty cells that add a row: a node does not send such a row, so the tally built
// from its updates would differ from the original.
func TestTallySet(t *testing.T) {
	some := Cell{Responses: 3, Failed: 1}
	t.Run("an empty cell adds no row", func(t *testing.T) {
		v := make(Tally)
		v.Set("r", 0, Cell{})
		assert.Empty(t, v)
	})
	t.Run("a cell is emptied where its row has other cells", func(t *testing.T) {
		v := make(Tally)
		v.Set("r", 0, some)
		v.Set("r", 1, some)
		v.Set("r", 0, Cell{})
		assert.Equal(t, map[string]map[int]Cell{"r": {1: some}}, cells(v))
	})
	t.Run("an unknown group is ignored", func(t *testing.T) {
		v := make(Tally)
		v.Set("r", -1, some)
		v.Set("r", groups, some)
		assert.Empty(t, v)
	})
}
