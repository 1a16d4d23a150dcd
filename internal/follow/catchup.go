package follow

import (
	"sync"
	"time"

	"spurhall.example/spurhall/internal/pair"
)

// This file decides when a node requests from another one what that one has of the configuration or the upstream list, and
// this one lacks. It follows both anyhow, and each of the dozen nodes that report in a round would send them whole.

const (
	// catchUpPatience is for how long a node lacks a configuration that others have before it requests it.
	catchUpPatience = pair.Round
	// maxCatchUps is how many nodes are asked at the same time: with two, one that doesn't answer holds nothing up.
	maxCatchUps = 2
)

// CatchUps are a node's requests for what others have. The zero value has none. It is safe for concurrent use.
type CatchUps struct {
	mu      sync.Mutex
	catalog Lack
	open    int
}

// Hear records the version of the configuration that a peer has, where this node has one (-1: none). It reports whether to
// request what that peer has, be it for its upstream list, and counts the request as open if so.
func (c *CatchUps) Hear(now time.Time, newest, have int64, listStale bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.catalog.Hear(now, newest, have)
	lacked, _ := c.catalog.For(now)
	behind := newest > have && (have < 0 || lacked >= catchUpPatience)
	if !behind && !listStale || c.open >= maxCatchUps {
		return false
	}
	c.open++
	return true
}

// End records that a request has ended.
func (c *CatchUps) End() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
}

// Lasts is Lack.Lasts of the configuration.
func (c *CatchUps) Lasts(now time.Time, have int64, d time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.catalog.Lasts(now, have, d)
}
