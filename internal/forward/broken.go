package forward

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/quarantine"
	"spurhall.example/spurhall/internal/upstream"
)

// This file is about attempts whose upstream broke the connection: how far these had come, and
// what that says of the request (package quarantine).

// shown is what an attempt had shown of its answer.
type shown int

const (
	shownNothing shown = iota // it may still have waited at the upstream
	shownHead                 // of a stream: it had begun to run
	shownEvents
)

// String returns the name in logs and metrics.
func (v shown) String() string { return [...]string{"nothing", "head", "events"}[v] }

func (a *attempt) shown() shown {
	switch {
	case a.passed > 0:
		return shownEvents
	case a.head != nil:
		return shownHead
	}
	return shownNothing
}

// broken tells whether an attempt failed because its upstream closed or reset the connection:
// nobody here ended it.
func (a *attempt) broken(ctx context.Context, err error) bool {
	return ctx.Err() == nil && context.Cause(a.ctx) == nil && errors.Is(err, errSevered)
}

// withdrawn tells whether an attempt was ended since its request is held back.
func (a *attempt) withdrawn() bool { return errors.Is(context.Cause(a.ctx), errEnds) }

// lost is what a failure to read an answer is: errSevered or errLost.
func lost(err error) error {
	if errors.Is(err, errSevered) || errors.Is(err, upstream.ErrSevered) || upstream.Severed(err) {
		return errSevered
	}
	return errLost
}

// printOf returns the request's print, which costs a look at the whole body.
func (q *request) printOf() quarantine.Fingerprint {
	if q.print == nil {
		p := quarantine.FingerprintOf(q.identity())
		q.print = &p
	}
	return *q.print
}

func (q *request) identity() quarantine.Request {
	return quarantine.Request{Method: q.http.Method, Host: q.http.Host, Target: q.http.RequestURI, Workspace: q.workspaceName(), Body: q.body}
}

// noteBroken takes in that an upstream broke the connection under a request, and returns what
// a line tells of it: lines of one print at several upstreams tell a request that ends them
// from one that was there by chance.
func (s *Server) noteBroken(ctx context.Context, q *request, a *attempt) []zap.Field {
	now, v := s.o.Clock.Now(), a.shown()
	q.brokenAt = append(q.brokenAt, a.use.Entry().ID)
	count("broken_"+v.String(), 1)
	observe("broken_after_ms", now.Sub(a.sent))
	if p := q.printOf(); !a.use.Leaving() { // one that has announced that it leaves ends as planned
		e := quarantine.Crash{Fingerprint: p, Upstream: a.use.Entry().ID, At: now}
		if s.o.Quarantine.CrashCount(p) == 0 {
			go s.noteEnd(context.WithoutCancel(ctx), e, a.use.Entry()) // ends within the two looks' time-outs
		} else {
			s.noteEnd(ctx, e, a.use.Entry())
		}
	}
	return []zap.Field{zap.Stringer("print", q.printOf()), zap.Stringer("shown", v), zap.Duration("since_sent", now.Sub(a.sent))}
}

// noteEnd takes in that an upstream ended under a request, unless it still listens: then it has
// lost the answer, and lives: repeats that are reset by upstreams that live would hold a harmless
// request back. Nor has it ended where the way to its hall is cut: a cut that resets connections
// ends idle ones to several upstreams in a row. The looks take a round trip each, and a time-out where the
// way is cut: only a request that has an end behind it is worth that before its next attempt.
func (s *Server) noteEnd(ctx context.Context, e quarantine.Crash, u pool.Entry) {
	if !s.o.Connections.get(u).RefusesConnections(ctx, u.Address) || !s.o.HallReachable(ctx, u.Hall) {
		return
	}
	s.o.Log.Info("upstream_ended", zap.String("upstream", e.Upstream), zap.Stringer("print", e.Fingerprint))
	s.ApplyQuarantine(s.o.Quarantine.ObserveCrash(s.o.Clock.Now(), e), "")
}

// noteAnswered takes in that a request was answered whole.
func (s *Server) noteAnswered(q *request) {
	if s.suspected(q) {
		s.ApplyQuarantine(s.o.Quarantine.ObserveResponse(s.o.Clock.Now(), q.printOf()), "")
	}
}
