package forward

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/order"
	"spurhall.example/spurhall/internal/pool"
)

// This file gathers the inputs of package order, which decides a request's priority at an engine.
//
// A caller whose first attempt failed retries with the rest of its wait limit. After the loss of all nodes
// nearly all callers retry at once, some of them already past their latency target, while new requests could
// still be served in time. So the time since the first attempt is estimated from what is left of the wait limit.

// minWaitSamples is how many requests of a route are needed to estimate how long its callers wait. Until
// then callers are assumed to wait for the route's time-out.
const minWaitSamples = 8

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

// placeInOrder decides a request's place in the order at the upstream that was chosen for it, before it is sent. lastEvent
// is the event after which this node resumes it, if it does; what callers name themselves doesn't count.
func (s *Server) placeInOrder(q *request, u *pool.Use, lastEvent string) {
	now := s.o.Clock.Now()
	v, x := q.catalog.Urgency(q.service), u.Expected()
	if !q.engine() {
		v.Ranks = nil
	}
	d, news := s.orders.Decide(now, q.service, order.Request{
		ID: q.meta.ID, Rank: q.workspace.Priority(q.route), Ranks: v.Ranks, Target: q.route.LatencyTarget(), Tightest: v.Target,
		Elapsed: q.waitedBefore + now.Sub(q.arrived), Wait: x.Wait, Reading: x.Reading, Resumed: lastEvent != "",
		Engine: u.Entry().ID, Candidates: u.Choice().Candidates,
	})
	q.order, q.expectedWait = d, x.Wait
	if news.Began || news.Ended {
		s.logRoom(q, u, news, v.Target)
	}
	orders.Add(string(d.Reason), 1)
	if d.Differs() {
		u.SetOutOfTurn(d.Overtakes())
	}
}

// logRoom logs that a service became short of room, or isn't any more, which its next request shows. There are at most
// two lines of a service for each time that the order holds after a long wait.
func (s *Server) logRoom(q *request, u *pool.Use, n order.News, tightest time.Duration) {
	f := []zap.Field{
		zap.String("service", q.service), zap.String("request", q.meta.ID), zap.String("upstream", u.Entry().ID),
		zap.Duration("expected_wait", q.expectedWait), zap.Duration("tightest_target", tightest),
	}
	if n.Ended {
		s.o.Log.Info("room_again", append(f, zap.Duration("lasted", n.Lasted))...)
	}
	if n.Began {
		s.o.Log.Info("room_short", append(f, zap.Int("queued_tokens", int(u.Choice().Queued)), zap.Int("candidates", u.Choice().Candidates))...)
	}
}

// orderFields returns the log fields for a request's place in the order at its last upstream, if that differs
// from the one in calm times.
func orderFields(q *request) []zap.Field {
	if !q.order.Differs() {
		return nil
	}
	f := []zap.Field{
		zap.String("order", string(q.order.Reason)), zap.Int("priority", q.order.Priority), zap.Int("rank", q.workspace.Priority(q.route)),
		zap.Duration("expected_wait", q.expectedWait),
	}
	if q.route.LatencyTarget() > 0 {
		f = append(f, zap.Duration("slack", q.order.Slack))
	}
	return f
}
