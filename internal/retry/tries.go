package retry

import "time"

// Tries bounds the upstreams that one request looks at.
//
// One that turns the request away has cost it a way there and back, and work at an upstream that has none
// to spare, so these are bounded by number. One that has ended refuses the connection at once. Where many
// have ended together the list names them until their entries lapse; a request that counted them like the
// others is refused within milliseconds while there are upstreams that would take it. They are
// bounded by the time that was lost on them, and a node that has found one dead goes there no more in such
// a search, so that a pool that is dead as a whole costs a node a connection for each upstream and second, and not for
// each request.
//
// Weighed: a larger number for all. A hall that is cut off costs the time-out of a connection at each
// of its upstreams, and the caller would be told late what is known after a few.
type SearchLimit struct {
	turned int // upstreams that were reached and didn't take it, in vain either way
	missed int // upstreams that couldn't be reached
	lost   time.Duration
}

const (
	// triesMost is the upstreams that are looked at whatever is known of them.
	triesMost = 5
	// lostMost is the time that a request spends, beyond these tries, on finding upstreams that are
	// dead: some round trips between halls, and less than the time-out of one connection.
	lostMost = 100 * time.Millisecond
)

// Search is where the next try may go.
type SearchScope int

// The searches.
const (
	ScopeAll   SearchScope = iota // to any upstream
	ScopeReachable               // to one that this node hasn't failed to reach lately
	ScopeNone                // to none
)

// Turned notes an upstream that was reached.
func (t *SearchLimit) RecordReached() { t.turned++ }

// Missed notes an upstream that couldn't be reached, which took that long to find out.
func (t *SearchLimit) RecordUnreachable(took time.Duration) {
	t.missed++
	t.lost += took
}

// Reached returns how many upstreams were reached.
func (t *SearchLimit) Reached() int { return t.turned }

// Next returns where the next try may go.
func (t *SearchLimit) Next() SearchScope {
	switch {
	case t.turned+t.missed < triesMost:
		return ScopeAll
	case t.turned < triesMost && t.missed > 0 && t.lost < lostMost:
		return ScopeReachable
	}
	return ScopeNone
}
