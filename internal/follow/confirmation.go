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

// maxAgeShare is the part of the time for which a leaving upstream gets requests up to which a list may be behind. The
// rest is for the way of the news to the watchers, which wait for several changes at a time, and for the request's way to
// the upstream.
const maxAgeShare = 0.6

// MaxAge returns how old a list may be that is chosen from, where a leaving upstream gets requests for a time at most; 0:
// there is no bound.
func MaxAge(drain time.Duration) time.Duration {
	return time.Duration(maxAgeShare * float64(drain))
}

// Lack is a change that other nodes have and this one doesn't. Its zero value is none. It isn't safe for concurrent use.
type Lack struct {
	newest int64     // that a peer has reported: a revision or version
	since  time.Time // when this node first lacked it; zero: it didn't
}

// maxLack is how long a change that others have makes a node refuse requests. One that still doesn't arrive may not exist.
const maxLack = 5 * time.Second

// Hear records what a peer has, where this node has what have says.
func (l *Lack) Hear(now time.Time, newest, have int64) {
	l.newest = max(l.newest, newest)
	switch {
	case have >= l.newest:
		l.since = time.Time{}
	case l.since.IsZero():
		l.since = now
	}
}

// Newest returns the newest change that a peer has reported.
func (l *Lack) Newest() int64 { return l.newest }

// For returns for how long the node has lacked the change, as of the last report; false: it has it.
func (l *Lack) For(now time.Time) (time.Duration, bool) {
	if l.since.IsZero() {
		return 0, false
	}
	return now.Sub(l.since), true
}

// Lasts reports whether the node has lacked the change for longer than d, and not for too long to believe in it.
func (l *Lack) Lasts(now time.Time, have int64, d time.Duration) bool {
	t, lacks := l.For(now)
	return lacks && have < l.newest && t > d && t <= d+maxLack
}
