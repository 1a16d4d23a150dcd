package era

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestOrder: a later era's revisions are larger than all of an earlier one's, and within an era they
// are in the store's order; without an era a revision is the store's number.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func() (int64, int64) {
			return rapid.Int64Range(0, maxEra).Draw(t, "era"), rapid.Int64Range(0, 1<<numberBits-1).Draw(t, "number")
		}
		e, n := draw()
		f, m := draw()
		x, err := Revision(e, n)
		require.NoError(t, err)
		y, err := Revision(f, m)
		require.NoError(t, err)
		assert.Equal(t, e < f || e == f && n < m, x < y)
		assert.Equal(t, []int64{e, n}, []int64{Of(x), Number(x)})
	})
	x, err := Revision(0, 42)
	require.NoError(t, err)
	assert.Equal(t, int64(42), x)
	for _, v := range [][2]int64{{-1, 1}, {1, -1}, {maxEra + 1, 1}, {1, 1 << numberBits}, {0, 1 << numberBits}} {
		_, err := Revision(v[0], v[1])
		assert.ErrorIs(t, err, ErrRange)
	}
}

func TestWithin(t *testing.T) {
	x, err := Revision(3, 7)
	require.NoError(t, err)
	n, ok := NumberIn(3, x)
	assert.True(t, ok)
	assert.Equal(t, int64(7), n)
	_, ok = NumberIn(4, x)
	assert.False(t, ok, "another era's number may be another write's")
	_, ok = NumberIn(4, 0)
	assert.True(t, ok, "absence is no revision")
}

func TestClock(t *testing.T) {
	newClock := func() (*Tracker, *[]Rise) {
		c, rises := NewTracker(), &[]Rise{}
		c.OnRise(func(r Rise) { *rises = append(*rises, r) })
		return c, rises
	}
	t.Run("the first era is no rise", func(t *testing.T) {
		c, rises := newClock()
		assert.NoError(t, c.Observe(5))
		assert.Empty(t, *rises)
		assert.Equal(t, int64(5), c.Current())
	})
	t.Run("each rise is told once, with what was seen before", func(t *testing.T) {
		c, rises := newClock()
		assert.NoError(t, c.Observe(1))
		x, _ := Revision(1, 99)
		c.ObserveRevision(x)
		for range 3 {
			assert.NoError(t, c.Observe(2))
		}
		assert.NoError(t, c.Observe(4))
		assert.Equal(t, []Rise{{From: 1, To: 2, LastNumber: 99}, {From: 2, To: 4}}, *rises)
	})
	t.Run("an earlier era's answer that comes late changes nothing", func(t *testing.T) {
		c, rises := newClock()
		assert.NoError(t, c.Observe(2))
		assert.ErrorIs(t, c.Observe(1), ErrEarlierEra)
		assert.Equal(t, int64(2), c.Current())
		assert.Empty(t, *rises)
	})
	t.Run("an answer without an era is of the one that is known", func(t *testing.T) {
		c, _ := newClock()
		assert.NoError(t, c.Observe(2))
		assert.NoError(t, c.Observe(0))
		assert.Equal(t, int64(2), c.Current())
	})
	t.Run("a store that begins to say its era has come back", func(t *testing.T) {
		c, rises := newClock()
		assert.NoError(t, c.Observe(0))
		c.ObserveRevision(17)
		assert.NoError(t, c.Observe(3))
		assert.Equal(t, []Rise{{From: 0, To: 3, LastNumber: 17}}, *rises)
	})
	t.Run("what can't be ordered is refused", func(t *testing.T) {
		c, _ := newClock()
		assert.ErrorIs(t, c.Observe(-1), ErrRange)
		assert.ErrorIs(t, c.Observe(maxEra+1), ErrRange)
	})
}
