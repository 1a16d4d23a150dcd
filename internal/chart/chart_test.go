package chart

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

func ExampleChart_Next() {
	c := Load("request")
	to, _ := c.Next("sent", "lost")
	fmt.Println(to)
	_, err := c.Next("done", "send")
	fmt.Println(err)
	// Output:
	// doubtful
	// chart.not_allowed: event not allowed in this state: request: "send" in state "done"; allowed:
}

func TestBrokenChartsAreRefused(t *testing.T) {
	for _, b := range []string{"name: x\nstart: a\nstates: {b: {}}\n", "name: x\nstart: a\nstates: {a: {go: c}}\n", "["} {
		_, err := parse([]byte(b))
		assert.Error(t, err, b)
	}
}

// TestDoubtIsForGood: from the moment that an attempt is lost, no way leads to not-run.
func TestDoubtIsForGood(t *testing.T) {
	c := Load("request")
	seen := map[string]bool{}
	var walk func(s string)
	walk = func(s string) {
		if seen[s] {
			return
		}
		seen[s] = true
		for e := range c.states[s] {
			to, err := c.Next(s, e)
			assert.NoError(t, err)
			walk(to)
		}
	}
	walk("doubtful")
	assert.False(t, seen["not-run"])
	assert.True(t, seen["unknown"])
	assert.True(t, seen["done"])
}

func TestLifeStaysOnARefusedEvent(t *testing.T) {
	l := Load("node").Begin()
	assert.ErrorIs(t, l.Fire("drained"), ErrNotAllowed)
	assert.Equal(t, "starting", l.State())
	assert.NoError(t, l.Fire("ready"))
	assert.True(t, l.Is("ready"))
}
