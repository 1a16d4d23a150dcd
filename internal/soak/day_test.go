package soak

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestDraw(t *testing.T) {
	t.Run("a seed draws one day", func(t *testing.T) {
		for seed := range uint64(50) {
			a, b := Draw(seed, Options{}), Draw(seed, Options{})
			assert.Equal(t, a, b)
			assert.Equal(t, a.Calls(), b.Calls())
		}
	})
	t.Run("each kind of fault comes, and all are over in time", func(t *testing.T) {
		seen := make(map[Kind]bool)
		for seed := range uint64(200) {
			d := Draw(seed, Options{})
			for _, f := range d.Faults {
				seen[f.Kind] = true
				assert.GreaterOrEqual(t, f.At, quietBefore)
				assert.LessOrEqual(t, f.End(), d.Traffic-quietAfter)
				for _, i := range f.Who {
					assert.Less(t, i, max(d.Daemons, d.Upstreams()))
				}
			}
		}
		assert.Len(t, seen, len(kinds)+14)
	})
	t.Run("odd entries of each kind come, and change nothing else", func(t *testing.T) {
		seen := make(map[string]bool)
		for seed := range uint64(200) {
			d := Draw(seed, Options{})
			for _, f := range d.Faults {
				if f.Kind == FaultOdd {
					seen[f.How] = true
				}
			}
		}
		assert.Len(t, seen, 8)
	})
	t.Run("faults overlap", func(t *testing.T) {
		n := 0
		for seed := range uint64(50) {
			l := Draw(seed, Options{}).Faults
			for i := range l[1:] {
				if l[i].End() > l[i+1].At {
					n++
				}
			}
		}
		assert.Greater(t, n, 50)
	})
}

func TestShrink(t *testing.T) {
	d := Day{Faults: []Fault{{Kind: FaultKill}, {Kind: FaultLost}, {Kind: FaultConfig}, {Kind: FaultTerm}}}
	less := Shrink(d, func(d Day) bool {
		has := func(k Kind) bool { return slices.ContainsFunc(d.Faults, func(f Fault) bool { return f.Kind == k }) }
		return has(FaultLost) && has(FaultTerm)
	})
	assert.Equal(t, []Fault{{Kind: FaultLost}, {Kind: FaultTerm}}, less.Faults)
	assert.Len(t, d.Faults, 4, "the day itself stays")
}
