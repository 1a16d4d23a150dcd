package forward

import (
	"math"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/accept"
	"spurhall.example/spurhall/internal/call"
	"spurhall.example/spurhall/internal/fault"
	"spurhall.example/spurhall/internal/pool"
)

// This file logs how a request ended, and what its decisions rested on.

// logDone logs the outcome of a request in one line.
func (s *Server) logDone(q *request, status int, outcome string, err error) {
	d := s.o.Clock.Since(q.arrived)
	observe("request_ms", d)
	countOutcome(outcome, status)
	f := []zap.Field{
		zap.String("request", q.meta.ID), zap.String("outcome", outcome), zap.Int("status", status),
		zap.Duration("took", d), zap.Duration("waited", q.waited), zap.Int("sends", q.sends), zap.Bool("may_have_run", q.mayHaveRun), zap.String("workspace", q.workspaceName()),
	}
	if q.route != nil {
		f = append(f, zap.String("route", q.route.Name()), zap.String("service", q.service), zap.Int64("catalog", q.catalog.Version()))
	}
	if q.meta.LastEvent != "" {
		f = append(f, zap.String("resumes", q.meta.Resumes), zap.String("version", q.version))
	}
	if q.firstResponse > 0 {
		f = append(f, zap.Duration("first", q.firstResponse), zap.Duration("longest_pause", q.longestPause))
	}
	e, known := accept.EndingOf(q.http.Context())
	if outcome == outcomeCut || outcome == outcomeCallerLeft || outcome == outcomeUnanswered || e != accept.EndingNone {
		f = append(f, zap.String("caller", q.http.RemoteAddr))
		if known {
			f = append(f, zap.Stringer("ended_by", e))
		}
	}
	if q.use != nil {
		f = append(f, choiceFields(q.use)...)
		f = append(f, zap.Bool("says_leaving", q.observed.Leaving))
		f = append(f, limitFields(q.observed.Limit)...)
		f = append(f, orderFields(q)...)
	}
	if err != nil {
		f = append(f, zap.String("cause", fault.Reason(err)))
	}
	s.o.Log.Info("request_done", f...)
}

// limitFields returns the log fields for the rate limit that a response stated, if any.
func limitFields(l call.Limit) []zap.Field {
	switch l.Status {
	case call.LimitNamed:
		return []zap.Field{zap.Float64("names_limit", l.Rate)}
	case call.LimitUnclear:
		return []zap.Field{zap.String("names_limit", "unclear")}
	case call.LimitNone, call.LimitNoResponse:
	}
	return nil
}

// choiceFields returns the log fields for the inputs of an upstream's selection, and their age.
func choiceFields(u *pool.Use) []zap.Field {
	c := u.Choice()
	return []zap.Field{
		zap.String("upstream", u.Entry().ID), zap.String("hall", u.Entry().Hall), zap.Int("candidates", c.Candidates), zap.Int("limited", c.Limited), zap.Bool("by_relay", c.ByRelay), zap.Int("running", c.Running),
		zap.Int("queued_tokens", int(c.Queued)), zap.Int("cached_tokens", int(c.Cached)), zap.Int("fetched_tokens", int(c.Fetched)), zap.Float64("slowness", math.Round(10*c.Slowness)/10), zap.Float64("speed", math.Round(100*c.Speed)/100), zap.Int64("list_revision", c.Revision), zap.Duration("oldest_report", c.OldestReport),
	}
}
