package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/fault"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/retry"
)

// stream is a response whose events are still arriving. Its head and first event come from one upstream;
// if that upstream fails and the route allows it, another one resumes after the last complete event.
type stream struct {
	s           *Server
	q           *request
	ctx         context.Context
	a           *attempt
	lastEventID string    // of the last event forwarded
	lastEventAt time.Time // when that event was forwarded
	lastCameAt  time.Time // when it had come, and was about to be forwarded
}

// close ends the current attempt. It is also called after a stream has completed.
func (t *stream) close() {
	t.s.streams.remove(t.q)
	t.a.finish(pool.ResultInconclusive)
}

// errUnwritten means that the caller's connection takes no more of the response.
var errUnwritten = errs.NewType("write").New("the response couldn't be written")

const (
	// stallPauses is the silence after which another upstream may resume a stream, as a multiple of the route's limit for
	// pauses. Callers disconnect after eight.
	stallPauses = 3
	// writeSlack is how long after the deadline a caller may take to read the response.
	writeSlack = 500 * time.Millisecond
)

// copyEvents forwards events until the stream ends.
func (s *Server) copyEvents(w http.ResponseWriter, q *request, a *response) {
	t := a.stream
	c := http.NewResponseController(w)
	_ = c.SetWriteDeadline(s.o.Clock.WallOf(q.deadline.Add(writeSlack))) // unsupported only by test recorders
	q.responding = true
	w.WriteHeader(a.status)
	v, err := t.a.begin()
	for err == nil {
		if err = t.passEvent(w, c, v); err == nil {
			v, err = t.next()
		}
	}
	observe("longest_pause_ms", q.longestPause)
	if errors.Is(err, io.EOF) {
		s.recordComplete(q)
		t.recordEnd()
		t.a.finish(pool.ResultGood)
		s.logDone(q, a.status, "streamed", nil)
		return
	}
	s.logDone(q, a.status, brokenOutcome(q, errors.Is(err, errUnwritten)), err)
	panic(http.ErrAbortHandler) // without the closing chunk, the response cannot look complete
}

func (t *stream) passEvent(w http.ResponseWriter, c *http.ResponseController, v event) error {
	came := t.s.o.Clock.Now()
	if !t.lastCameAt.IsZero() {
		t.q.longestPause = max(t.q.longestPause, came.Sub(t.lastCameAt))
	}
	t.lastCameAt = came
	if _, err := w.Write(v.raw); err != nil {
		return fault.Because(errUnwritten, "%s", fault.Reason(err))
	}
	if err := c.Flush(); err != nil {
		return fault.Because(errUnwritten, "%s", fault.Reason(err))
	}
	if v.id != "" {
		t.lastEventID = v.id
	}
	t.lastEventAt = t.s.o.Clock.Now()
	t.recordPace()
	t.recordProgress()
	return nil
}

// next returns the next event, from another upstream if necessary.
func (t *stream) next() (event, error) {
	w := t.watchStall()
	v, err := t.a.events.next()
	if w.settle(endOfWait(err)) {
		w.join(t.q)
		return v, err
	}
	if t.ctx.Err() == nil {
		err = t.recordBroken(err)
	}
	b := w.join(t.q)
	if t.ctx.Err() != nil {
		if b != nil {
			b.drop(pool.ResultInconclusive)
		}
		return event{}, t.ctx.Err()
	}
	if b != nil {
		return t.continueAt(b)
	}
	return t.resume(err, w.triedOr(t.a))
}

// endOfWait returns how the wait for an event ended.
func endOfWait(err error) attemptEnd {
	switch {
	case err == nil:
		return attemptWentOn
	case errors.Is(err, io.EOF):
		return attemptComplete
	}
	return attemptFailed
}

// recordBroken records that the stream's upstream has broken it off, or was overtaken, and returns the cause.
func (t *stream) recordBroken(err error) error {
	if err == nil {
		err = errIncompleteResponse // it went on too late
	}
	severed := t.a.severed(t.ctx, err)
	if c := context.Cause(t.a.ctx); c != nil {
		err = withCause(err, c)
	}
	if errors.Is(err, errNoRoom) {
		t.a.drop(pool.ResultInconclusive)
	} else {
		t.a.drop(failedResult(err))
		t.s.recordTrialFailure(t.q, t.a, t.lastEventAt, true)
	}
	f := []zap.Field{
		zap.String("request", t.q.meta.ID), zap.String("upstream", t.a.use.Entry().ID), zap.String("last_event", t.lastEventID), zap.String("cause", fault.Reason(err)),
	}
	if severed {
		f = append(f, zap.Duration("holds_off", t.a.use.HoldOff()))
		f = append(f, t.s.recordSevered(t.ctx, t.q, t.a)...)
	}
	t.s.o.Log.Info("stream_broke", f...)
	return err
}

// continueAt goes on with another attempt, and returns its first event; io.EOF: nothing was left.
func (t *stream) continueAt(a *attempt) (event, error) {
	t.a = a
	count("resumes", 1)
	t.s.o.Log.Info("stream_resumed", zap.String("request", t.q.meta.ID), zap.String("upstream", a.use.Entry().ID), zap.String("last_event", t.lastEventID), zap.Bool("nothing_left", a.ended))
	return a.begin()
}

func (t *stream) resumable() bool {
	return t.q.route.Resumable() && t.lastEventID != "" && t.q.sends < t.q.route.MaxAttempts()
}

// resume continues the stream at another upstream of the version that began it, after the last event forwarded.
func (t *stream) resume(cause error, tried map[string]bool) (event, error) {
	t.q.search = retry.SearchLimit{}
	for t.q.search.Next() != retry.ScopeNone {
		if !t.resumable() {
			return event{}, cause
		}
		if err := t.s.quarantineError(t.q); err != nil {
			return event{}, err
		}
		if v, _ := t.s.decideRetry(t.q); v != retry.VerdictRetry || !t.s.allowsRepeat(t.q) {
			return event{}, cause
		}
		n := t.s.need(t.q, tried)
		n.ReachableOnly = t.q.search.Next() == retry.ScopeReachable
		use := t.s.o.Pools.Pick(n)
		if use == nil {
			return event{}, cause
		}
		tried[use.Entry().ID] = true
		a, err := t.s.runAttempt(t.ctx, t.q, use, t.lastEventID, tried)
		if t.ctx.Err() != nil {
			if a != nil {
				a.drop(pool.ResultInconclusive)
			}
			return event{}, t.ctx.Err()
		}
		if err != nil {
			cause = err
			continue
		}
		if a.events == nil {
			a.drop(pool.ResultFailed)
			t.q.search.RecordReached()
			cause = fault.Because(errIncompleteResponse, "the resumed stream was answered %d", a.head.StatusCode)
			continue
		}
		return t.continueAt(a)
	}
	return event{}, cause
}
