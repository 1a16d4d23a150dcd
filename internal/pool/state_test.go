package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestStates: what operators are shown is what the choice goes by.
func TestStates(t *testing.T) {
	p, clock, entries := limited(t)
	state := func(id string) State {
		t.Helper()
		for _, v := range p.States("s") {
			if v.Entry.ID == id {
				return v
			}
		}
		require.Fail(t, "no state", id)
		return State{}
	}
	clock.Advance(700 * time.Millisecond)
	a := state("a")
	assert.True(t, a.Limited)
	assert.Equal(t, 1.0, a.Rate)
	assert.Equal(t, 1.0, a.Share)
	assert.Equal(t, 700*time.Millisecond, a.LimitAge)
	assert.Equal(t, State{Entry: entries["b"], Slowness: 1, UnreachableAge: -1}, state("b"))
	p.StartCooldown(entries["b"], time.Second)
	assert.Equal(t, time.Second, state("b").Cooldown)
	clock.Advance(time.Second)
	u := p.Pick(Request{ID: "r", Service: "s", Excluded: map[string]bool{"a": true}})
	assert.Equal(t, 1, state("b").Running)
	u.End(ResultUnreachable)
	assert.Zero(t, state("b").UnreachableAge)
	p.Pick(Request{ID: "r", Service: "s", Excluded: map[string]bool{"a": true}}).End(ResultMisplaced)
	assert.True(t, state("b").Misplaced)
	assert.Empty(t, p.States("another"))
	assert.Len(t, p.States(""), 2)
}
