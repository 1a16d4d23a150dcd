package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/rollout"
)

// This file implements a request's part in a roll-out (package rollout): whether it goes to the version on
// trial, and what is recorded about its response.
//
// Only a request's first attempt is sent to a version on trial. If it fails, the request is retried at the
// version in service, so a bad version costs most callers a second.

// pickTrial chooses an upstream of a version on trial, if the request is selected for it.
func (s *Server) pickTrial(q *request, n pool.Request) *pool.Use {
	if !s.o.Trials.Offer(q.service, q.route.Name()) {
		return nil
	}
	n.Trial = true
	u := s.o.Pools.Pick(n)
	if u == nil {
		s.o.Trials.Return(q.service, q.route.Name())
	}
	return u
}

// recordTrialStart records an attempt whose response has started.
func (s *Server) recordTrialStart(q *request, a *attempt) {
	v := rollout.Response{Started: true, HeardFrom: a.use.Entry().ID, First: a.use.Lag(), Since: a.sentAt, Failed: a.head.StatusCode >= http.StatusInternalServerError}
	s.o.Trials.Record(q.service, q.route.Name(), a.use.Rank(), v)
}

// recordTrialFailure records an attempt that has failed, or that a backup has overtaken since the given time without a word
// of its upstream.
func (s *Server) recordTrialFailure(q *request, a *attempt, silentSince time.Time, afterStart bool) {
	if errors.Is(context.Cause(a.ctx), errOvertaken) {
		s.o.Trials.Overtaken(q.service, rollout.Silence{Upstream: a.use.Entry().ID, Route: q.route.Name(), Rank: a.use.Rank(), Since: silentSince, AfterStart: afterStart})
		return
	}
	s.o.Trials.Record(q.service, q.route.Name(), a.use.Rank(), rollout.Response{Failed: true, AfterStart: afterStart})
}

// recordTrialHeard records that an attempt's upstream goes on after it was silent.
func (s *Server) recordTrialHeard(q *request, a *attempt) {
	s.o.Trials.Record(q.service, q.route.Name(), a.use.Rank(), rollout.Response{HeardFrom: a.use.Entry().ID})
}

// recordTrial records a result of the stream's response.
func (t *stream) recordTrial(a rollout.Response) {
	t.s.o.Trials.Record(t.q.service, t.q.route.Name(), t.a.use.Rank(), a)
}

// paceEvents is the number of events over which a stream's pace is averaged: enough to smooth out one late
// packet, and few enough that a slow version is detected within a second.
const paceEvents = 8

// recordPace records the mean interval between an attempt's first events.
func (t *stream) recordPace() {
	switch t.a.eventsPassed++; t.a.eventsPassed {
	case 1:
		t.a.firstEventAt = t.lastEventAt
		return
	case paceEvents:
	default:
		return
	}
	d := t.lastEventAt.Sub(t.a.firstEventAt) / (paceEvents - 1)
	t.recordTrial(rollout.Response{Pace: float64(d) / float64(time.Millisecond), HeardFrom: t.a.use.Entry().ID, Since: t.a.firstEventAt})
}
