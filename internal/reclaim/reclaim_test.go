package reclaim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// TestPlanFitsTheNotice: each stream gets exactly one step, the exports together fit into
// the notice, and no live stream is computed again while a batch stream is exported that
// takes as long.
func TestPlanFitsTheNotice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 20).Draw(t, "n")
		list := make([]Stream, n)
		for i := range list {
			list[i] = Stream{
				Live: rapid.Bool().Draw(t, "live"), Tokens: rapid.IntRange(0, 20000).Draw(t, "tokens"),
				MaxRemaining: rapid.IntRange(0, 2000).Draw(t, "left"), TokenTime: time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond, Weight: 1,
			}
		}
		o := Options{Notice: time.Duration(rapid.IntRange(0, 3000).Draw(t, "notice")) * time.Millisecond, Transfer: defaultTransfer, Overhead: defaultOverhead}
		seen := make(map[int]Action)
		var total time.Duration
		for _, s := range Plan(list, o) {
			_, twice := seen[s.Index]
			assert.False(t, twice)
			seen[s.Index] = s.Action
			if s.Action == ActionExport {
				total += o.transfer(&list[s.Index])
			}
		}
		assert.Len(t, seen, n)
		assert.LessOrEqual(t, total, o.Notice)
		for i, a := range seen {
			for j, b := range seen {
				if a == ActionResume && list[i].Live && list[i].Tokens >= minExportTokens && b == ActionExport && !list[j].Live {
					assert.Less(t, o.transfer(&list[j]), o.transfer(&list[i]))
				}
			}
		}
	})
}
