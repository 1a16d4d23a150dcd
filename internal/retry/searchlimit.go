package retry

import "time"

// SearchLimit bounds the number of upstreams that one request tries.
//
// An upstream that rejects a request costs it a round trip, and costs an overloaded upstream some work, so
// these are limited by number. An upstream whose process has ended refuses the connection at once. When
// many upstreams end together, the list contains them until their entries lapse, and counting them like
// the others would fail a request within milliseconds while other upstreams could take it. They are
// limited by the time lost on them instead. Beyond the first upstreams, a search skips those that this
// node recently found unreachable, so a pool that is down as a whole costs a node one connection per
// upstream and second, not per request.
//
// Alternatives considered: a larger number for all upstreams. In a partition each upstream of the other
// hall costs a connection time-out, and the caller would get late what is known after a few attempts.
type SearchLimit struct {
	reached     int // upstreams that were reached but did not accept the request
	unreachable int // upstreams that could not be reached
	timeLost    time.Duration
}

const (
	// maxUpstreams is the number of upstreams that are tried unconditionally.
	maxUpstreams = 5
	// maxTimeLost is the time that a request may lose on unreachable upstreams before attempts beyond
	// maxUpstreams end: a few round trips between halls, and less than one connection time-out.
	maxTimeLost = 100 * time.Millisecond
)

// SearchScope is the set of upstreams that the next attempt may go to.
type SearchScope int

// Scopes of a search.
const (
	ScopeAll       SearchScope = iota // any upstream
	ScopeReachable                    // upstreams that this node has not recently failed to reach
	ScopeNone                         // no upstream
)

// RecordReached records an upstream that was reached.
func (s *SearchLimit) RecordReached() { s.reached++ }

// RecordUnreachable records an upstream that could not be reached, and the time that it took to find out.
func (s *SearchLimit) RecordUnreachable(took time.Duration) {
	s.unreachable++
	s.timeLost += took
}

// Reached returns how many upstreams were reached.
func (s *SearchLimit) Reached() int { return s.reached }

// Next returns the scope of the next attempt.
func (s *SearchLimit) Next() SearchScope {
	switch {
	case s.reached+s.unreachable < maxUpstreams:
		return ScopeAll
	case s.reached < maxUpstreams && s.unreachable > 0 && s.timeLost < maxTimeLost:
		return ScopeReachable
	}
	return ScopeNone
}
