package forward

import (
	"context"
	"net/http"

	"spurhall.example/spurhall/internal/accept"
	"spurhall.example/spurhall/internal/fault"
)

// This file ends requests whose context ended before they had their response. The context ends for several reasons, and only
// one of them is that the caller has left. Any other caller is told whether the request may have run.

// errInterrupted means that the request's context ended though its caller is there.
var errInterrupted = errs.NewType("interrupted").New("this node ended the request")

// Names of outcomes in logs and metrics, of responses that aren't complete.
const (
	outcomeCut        = "cut"         // after a part of the response, not by the caller
	outcomeCallerLeft = "caller_left" // the caller was seen to leave
	outcomeUnanswered = "unanswered"  // the connection had ended, not by the caller
)

// endedOutcome returns the outcome of a request without a response by its connection's end, or an empty string if the
// caller can get one.
func endedOutcome(q *request) string {
	e, known := accept.EndingOf(q.http.Context())
	switch {
	case !known: // nothing but the context tells
		if q.http.Context().Err() != nil {
			return outcomeCallerLeft
		}
		return ""
	case e.CallerLeft():
		return outcomeCallerLeft
	case e == accept.EndingNone, e == accept.EndingDeadline:
		return ""
	}
	return outcomeUnanswered
}

// brokenOutcome returns the outcome of a response that ends before it is complete; unwritten says that a part couldn't be
// written.
func brokenOutcome(q *request, unwritten bool) string {
	e, known := accept.EndingOf(q.http.Context())
	if e.CallerLeft() || !known && (unwritten || q.http.Context().Err() != nil) {
		return outcomeCallerLeft
	}
	return outcomeCut
}

// interrupted returns the final response to a request whose context has ended though its caller is there.
func (s *Server) interrupted(q *request) *rejection {
	cause := fault.Because(errInterrupted, "%v", context.Cause(q.http.Context()))
	switch {
	case q.route == nil:
		return &rejection{status: http.StatusServiceUnavailable, reason: fault.Reason(cause), retry: retryOtherNode}
	case !s.o.Clock.Now().Before(q.deadline):
		cause = errTimeout
	}
	return s.giveUp(q, cause, nil)
}
