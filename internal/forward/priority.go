package forward

import (
	"sync"
	"time"
)

// This file derives a request's priority in an engine's queue.
//
// A caller whose first attempt failed retries with the rest of its wait limit. After the loss of all nodes
// nearly all callers retry at once, some of them already past their latency target, while new requests could
// still be served in time. So requests past their target queue behind the others at an engine. They are not
// dropped: their callers still wait for seconds.
//
// Alternatives considered: the urgency of the routes. With it, engines serve no class better.

const (
	// priorityUnset keeps the engine's own order.
	priorityUnset = -1
	// priorityOverdue is behind unset priorities, which engines treat as 5 of 9.
	priorityOverdue = 7
	// minWaitSamples is how many requests of a route are needed to estimate how long its callers wait. Until
	// then callers are assumed to wait for the route's time-out.
	minWaitSamples = 8
)

// waitTracker tracks how long the callers of each route wait in total, from their first attempt on. It is
// safe for concurrent use.
type waitTracker struct {
	mu      sync.Mutex
	byRoute map[string]*routeWait
}

type routeWait struct {
	longest time.Duration
	samples int
}

// elapsed records how long a caller is still willing to wait, and returns the estimated time since its
// first attempt.
func (w *waitTracker) elapsed(route string, wait, timeout time.Duration) time.Duration {
	if wait <= 0 {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.byRoute == nil {
		w.byRoute = make(map[string]*routeWait)
	}
	v := w.byRoute[route]
	if v == nil {
		v = &routeWait{}
		w.byRoute[route] = v
	}
	v.samples++
	v.longest = max(v.longest, wait)
	longest := v.longest
	if v.samples < minWaitSamples {
		longest = max(longest, timeout)
	}
	return longest - wait
}

// priority returns a request's priority in an engine's queue.
func (s *Server) priority(q *request) int {
	if t := q.route.LatencyTarget(); t > 0 && q.waitedBefore+s.o.Clock.Since(q.arrived) > t {
		return priorityOverdue
	}
	return priorityUnset
}
