package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"spurhall.example/spurhall/internal/pair"
)

func TestHome(t *testing.T) {
	now := time.Unix(1000, 0)
	var h Home
	assert.False(t, h.IsFresh(now), "no digest yet")
	assert.True(t, h.Set("r"))
	assert.False(t, h.Set("r"), "the same one")
	h.Receive(now, map[string]bool{"a": true})
	assert.True(t, h.Hears(now, "a", time.Time{}))
	assert.False(t, h.Hears(now, "b", time.Time{}))
	assert.True(t, h.Hears(now, "b", now), "by itself")
	old := now.Add(digestLifetime + time.Millisecond)
	assert.False(t, h.Hears(old, "a", now))
	h.Fail("other")
	assert.Equal(t, "r", h.Name())
	h.Fail("r")
	assert.Empty(t, h.Name())
	assert.False(t, h.IsIdle(now.Add(pair.Round), "self", time.Time{}), "it has no relay")
}
