package forward

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/quarantine"
	"spurhall.example/spurhall/internal/upstream"
)

// This file is about attempts whose upstream broke the connection, and how far these had come.

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

// lost is what a failure to read an answer is: errSevered or errLost.
func lost(err error) error {
	if errors.Is(err, errSevered) || errors.Is(err, upstream.ErrSevered) || upstream.Severed(err) {
		return errSevered
	}
	return errLost
}

// printOf returns the request's print, which costs a look at the whole body.
func (q *request) printOf() quarantine.Print {
	if q.print == nil {
		p := quarantine.PrintOf(q.identity())
		q.print = &p
	}
	return *q.print
}

func (q *request) identity() quarantine.Request {
	return quarantine.Request{Method: q.http.Method, Host: q.http.Host, Target: q.http.RequestURI, Workspace: q.workspaceName(), Body: q.body}
}

// brokenFields tells what was sent where when the connection broke: lines of one print at
// several upstreams tell a request that ends them from one that was there by chance.
func (s *Server) brokenFields(q *request, a *attempt) []zap.Field {
	count("broken_"+a.shown().String(), 1)
	after := s.o.Clock.Since(a.sent)
	observe("broken_after_ms", after)
	return []zap.Field{zap.Stringer("print", q.printOf()), zap.Stringer("shown", a.shown()), zap.Duration("since_sent", after)}
}
