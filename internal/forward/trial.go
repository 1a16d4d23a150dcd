package forward

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/rollout"
)

// This file is a request's part in a roll-out (package rollout): whether it goes to the
// version on trial, what its answer tells, and the stream that goes on at the target because
// the upstream that it came from is about to be stopped.
//
// Only a request's first attempt is sent to a version on trial. Whatever fails there is tried
// again at the version in service, so a bad version costs most callers a second.

// pickTrial chooses an upstream of a version on trial, if the request goes there.
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

// noteBegun tells of an attempt that has brought an answer's beginning.
func (s *Server) noteBegun(q *request, a *attempt) {
	v := rollout.Response{Started: true, First: a.use.Lag(), Failed: a.head.StatusCode >= http.StatusInternalServerError}
	s.o.Trials.Record(q.service, q.route.Name(), a.use.Rank(), v)
}

// note tells what is new of the stream's answer.
func (t *stream) note(a rollout.Response) {
	t.s.o.Trials.Record(t.q.service, t.q.route.Name(), t.a.use.Rank(), a)
}

// pacedEvents is how many events a stream's pace is taken over: enough for one late packet
// not to matter, and few enough that a slow version shows within a second.
const pacedEvents = 8

// pace tells how far apart the first events of an attempt came.
func (t *stream) pace() {
	switch t.a.passed++; t.a.passed {
	case 1:
		t.a.began = t.at
		return
	case pacedEvents:
	default:
		return
	}
	d := t.at.Sub(t.a.began) / (pacedEvents - 1)
	t.note(rollout.Response{Pace: float64(d) / float64(time.Millisecond)})
}

// errMoved says that a stream is to go on elsewhere though its upstream is well.
var errMoved = errs.NewType("moved").New("the upstream's version is about to be stopped")

// move lets a stream go on at the target of a roll-out, if its upstream is about to be
// stopped and the stream may go on elsewhere. It returns the next event. Where the target
// doesn't take it, the stream has broken off, and is resumed as any other.
func (t *stream) move() (event, bool) {
	if t.a.use.Rank() >= 0 || t.kept || !t.s.o.Trials.ShouldMove(t.q.service) || !t.resumable() {
		return event{}, false
	}
	if !t.s.o.AllowRetry(t.q.service) {
		return event{}, false // it is asked again after the next event
	}
	use := t.s.o.Pools.Pick(t.s.need(t.q, map[string]bool{t.a.use.Entry().ID: true}))
	if use == nil || use.Rank() < 0 {
		if use != nil {
			use.End(pool.ResultInconclusive)
		}
		t.kept = true // there is nowhere to go: it ends with its upstream, or before
		return event{}, false
	}
	t.s.o.Log.Info("stream_moved", zap.String("request", t.q.meta.ID), zap.String("upstream", t.a.use.Entry().ID),
		zap.String("to", use.Entry().ID), zap.String("last_event", t.last))
	t.a.stop(errMoved)
	t.a.end(pool.ResultInconclusive)
	a, err := t.s.try(t.ctx, t.q, use, t.last)
	if err == nil && a.events != nil {
		t.a = a
		return a.first, true
	}
	if a != nil {
		a.end(pool.ResultFailed)
	}
	return event{}, false
}
