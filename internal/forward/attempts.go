package forward

import (
	"context"
	"errors"
	"net/http"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/fault"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/retry"
)

// This file tries upstreams for a request, one after the other.

// send tries upstreams until one responds or no further attempt is useful. An upstream's own error
// response is passed on unchanged if no later attempt succeeded.
func (s *Server) send(ctx context.Context, v any) (any, error) {
	q := v.(*request)
	if err := s.bindVersion(ctx, q); err != nil {
		return nil, err
	}
	a, err := s.attemptAll(ctx, q)
	if err != nil && ctx.Err() == nil && q.upstreamFailure != nil {
		return q.upstreamFailure, nil
	}
	return a, err
}

func (s *Server) attemptAll(ctx context.Context, q *request) (*response, error) {
	tried := make(map[string]bool)
	var last error
	q.search = retry.SearchLimit{}
	for attempts := 0; q.search.Next() != retry.ScopeNone; attempts++ {
		if err := s.checkRetry(ctx, q, attempts, last); err != nil {
			return nil, err
		}
		use := s.pick(ctx, q, tried)
		if use == nil {
			return nil, s.giveUp(q, noUpstream(q), last)
		}
		tried[use.Entry().ID] = true
		a, err := s.runAttempt(ctx, q, use, "", tried)
		if err == nil {
			return s.newResponse(ctx, q, a), nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		last = err
	}
	return nil, s.giveUp(q, last, last)
}

func noUpstream(q *request) error {
	return fault.Because(errNotRun, "no upstream of service %s takes it", q.service)
}

// pick chooses an upstream. A stream that is taken up stays at its version. Else the first attempt may go to a version on
// trial. A first attempt at an engine goes where Options.Place says.
func (s *Server) pick(ctx context.Context, q *request, tried map[string]bool) *pool.Use {
	n := s.need(q, tried)
	n.ReachableOnly = q.search.Next() == retry.ScopeReachable
	q.onTrial = false
	if n.Version != "" && !q.onlyVersion {
		return s.o.Pools.Pick(n)
	}
	if n.Version == "" && len(tried) == 0 {
		if u := s.pickTrial(q, n); u != nil {
			q.onTrial = true
			return u
		}
	}
	if n.Engine && len(tried) == 0 {
		if id := s.o.Place(ctx, n); id != "" {
			return s.o.Pools.PickAt(n, id)
		}
	}
	return s.o.Pools.Pick(n)
}

// checkRetry returns nil if another attempt is allowed, else the final error. The first attempt always is.
func (s *Server) checkRetry(ctx context.Context, q *request, attempts int, last error) error {
	if attempts == 0 {
		s.o.RecordFirstAttempt(q.service)
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err := errors.Join(s.checkConfiguration(q), s.checkList()); err != nil {
		return s.giveUp(q, err, last)
	}
	if attempts == 0 {
		return s.checkTimeLeft(q)
	}
	if err := s.quarantineError(q); err != nil {
		return err
	}
	if !s.allowsRepeat(q) {
		return s.giveUp(q, errQuarantined, last)
	}
	v, why := s.decideRetry(q)
	switch {
	case v == retry.VerdictRetry:
		count("retries", 1)
		return nil
	case why == retry.ReasonDeadline:
		return s.giveUp(q, errTimeout, last)
	case why == retry.ReasonBudget:
		s.o.Log.Info("retry_denied", zap.String("request", q.meta.ID), zap.String("service", q.service), zap.String("cause", "the retry budget is spent"))
	}
	return s.giveUp(q, last, last)
}

// checkTimeLeft returns the final error of a request whose time was over before anything was done for it.
func (s *Server) checkTimeLeft(q *request) error {
	if s.o.Clock.Now().Before(q.deadline) {
		return nil
	}
	return s.giveUp(q, errTimeout, nil)
}

// decideRetry decides whether a request may be sent again. Requests that have reached no upstream so far
// are not charged to the retry budget.
func (s *Server) decideRetry(q *request) (retry.Verdict, retry.Reason) {
	a := retry.Attempt{Repeatable: q.route.Repeatable(), MayHaveRun: q.mayHaveRun, Sent: q.sends, MaxSent: q.route.MaxAttempts(), TimeLeft: q.deadline.Sub(s.o.Clock.Now())}
	return retry.Decide(a, func() bool { return q.arrivals == 0 || s.o.AllowRetry(q.service) })
}

// giveUp returns the final response to a request that no upstream has completed.
func (s *Server) giveUp(q *request, cause, last error) *rejection {
	reason := fault.Reason(cause)
	if last != nil && !errors.Is(cause, last) {
		reason += "; before that: " + fault.Reason(last)
	}
	if !q.mayHaveRun {
		cooldown := s.o.Pools.RetryAfter(q.service)
		if cooldown > 0 {
			reason += "; all upstreams rest, have had what they take, or are brittle and full"
		}
		return &rejection{status: http.StatusServiceUnavailable, reason: reason, retry: max(retryAfterFailure, cooldown)}
	}
	if errors.Is(cause, errTimeout) {
		return &rejection{status: http.StatusGatewayTimeout, reason: reason}
	}
	return &rejection{status: http.StatusBadGateway, reason: reason}
}

func (s *Server) need(q *request, tried map[string]bool) pool.Request {
	n := pool.Request{ID: q.meta.ID, Service: q.service, Excluded: tried, Parts: q.meta.Parts, Prompt: float64(q.meta.PromptTokens), Output: float64(q.meta.MaxOutput), Version: q.version}
	n.Engine = q.engine()
	return n
}
