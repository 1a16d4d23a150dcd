package follow

import (
	"sync"
	"time"

	"spurhall.example/spurhall/internal/wire"
)

// Confirmation tells up to when a node's list of upstreams is known to be complete: what changed in the store by then,
// the list has. An empty response of a watcher confirms the list as well as one with changes. Its zero value is a list
// that was never confirmed. It is safe for concurrent use.
type Confirmation struct {
	mu sync.Mutex
	at time.Time
}

// Confirm records that the list was complete at a time.
func (c *Confirmation) Confirm(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.at) {
		c.at = at
	}
}

// Age returns how long ago the list was last known to be complete; 0 if it never was.
func (c *Confirmation) Age(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.at.IsZero() {
		return 0
	}
	return now.Sub(c.at)
}

// ConfirmedAt returns the time up to which the list is complete by a response to a request that was sent at a time.
func ConfirmedAt(sent time.Time, a *wire.FollowResponse) time.Time {
	return sent.Add(time.Duration(a.HeldMs-a.LateMs) * time.Millisecond)
}
