package forward

import (
	"sync"
	"time"
)

// This file says how urgent a request is to an engine.
//
// A caller whose first try failed comes back with what is left of its wait. After a loss of
// all nodes nearly all come at once, and a part of them is past its latency target already,
// while those that just come could still be answered in time. So what is past its target
// waits behind the others at an engine. It isn't given up: it has seconds left.
//
// Weighed: the urgency of the routes. Engines that get it serve no class better.

const (
	// urgencyUnsaid leaves an engine's own order.
	urgencyUnsaid = -1
	// urgencyLate is behind what is unsaid, which engines take for 5 of 9.
	urgencyLate = 7
	// waitsKnown is how many requests of a route show how long its callers wait. Until then
	// they are taken to wait as long as the route lets them.
	waitsKnown = 8
)

// waits is how long the callers of each route wait, from their first try on. It is safe for
// concurrent use.
type waits struct {
	mu sync.Mutex
	by map[string]*routeWait
}

type routeWait struct {
	longest time.Duration
	seen    int
}

// elapsed takes in how long a caller still waits, and returns how long it has waited since
// its first try.
func (w *waits) elapsed(route string, wait, timeout time.Duration) time.Duration {
	if wait <= 0 {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.by == nil {
		w.by = make(map[string]*routeWait)
	}
	v := w.by[route]
	if v == nil {
		v = &routeWait{}
		w.by[route] = v
	}
	v.seen++
	v.longest = max(v.longest, wait)
	longest := v.longest
	if v.seen < waitsKnown {
		longest = max(longest, timeout)
	}
	return longest - wait
}

// urgency is a request's place in an engine's queue.
func (s *Server) urgency(q *request) int {
	if t := q.route.LatencyTarget(); t > 0 && q.before+s.o.Clock.Since(q.arrived) > t {
		return urgencyLate
	}
	return urgencyUnsaid
}
