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
	"spurhall.example/spurhall/internal/rollout"
)

// stream is an answer whose events are still coming. Its head and first event come from
// one upstream; if that one fails and the route allows it, another goes on after the
// last whole event.
type stream struct {
	s    *Server
	q    *request
	ctx  context.Context
	a    *attempt
	last string    // id of the last event passed on
	at   time.Time // when it was
	kept bool      // it stays where it is, though a roll-out moves what it can
}

// close ends the attempt under way. The caller of a finished stream calls it, too.
func (t *stream) close() { t.a.end(pool.ResultInconclusive) }

// errWrite says that the caller doesn't take the answer any more.
var errWrite = errs.NewType("write").New("the caller left")

const (
	// stallPauses is the silence, in the route's own bound for pauses, after which an
	// upstream that can be replaced is given up. Callers leave at eight.
	stallPauses = 3
	// writeSlack is how long after the answer was due a caller may take to read it.
	writeSlack = 500 * time.Millisecond
)

// pump passes events on until the stream ends.
func (s *Server) pump(w http.ResponseWriter, q *request, a *answer) {
	t := a.stream
	c := http.NewResponseController(w)
	_ = c.SetWriteDeadline(s.o.Clock.WallOf(q.until.Add(writeSlack))) // unsupported only by recorders in tests
	w.WriteHeader(a.status)
	err := t.pass(w, c, t.a.first)
	for err == nil {
		var v event
		v, err = t.next()
		if err == nil {
			err = t.pass(w, c, v)
		}
	}
	observe("longest_pause_ms", q.pause)
	if errors.Is(err, io.EOF) {
		s.noteAnswered(q)
		t.a.end(pool.ResultGood)
		s.done(q, a.status, "streamed", nil)
		return
	}
	outcome := "cut"
	if errors.Is(err, errWrite) || t.ctx.Err() != nil {
		outcome = "caller_left"
	}
	s.done(q, a.status, outcome, err)
	panic(http.ErrAbortHandler) // an end without the closing chunk can't look complete
}

func (t *stream) pass(w http.ResponseWriter, c *http.ResponseController, v event) error {
	if _, err := w.Write(v.raw); err != nil {
		return fault.Because(errWrite, "%s", fault.Reason(err))
	}
	if err := c.Flush(); err != nil {
		return fault.Because(errWrite, "%s", fault.Reason(err))
	}
	if v.id != "" {
		t.last = v.id
	}
	now := t.s.o.Clock.Now()
	if !t.at.IsZero() {
		t.q.pause = max(t.q.pause, now.Sub(t.at))
	}
	t.at = now
	t.pace()
	return nil
}

// next returns the next event, if need be from another upstream.
func (t *stream) next() (event, error) {
	if v, moved := t.move(); moved {
		return v, nil
	}
	stop := t.guard()
	v, err := t.a.events.next()
	stop()
	if err == nil || errors.Is(err, io.EOF) {
		return v, err
	}
	if t.ctx.Err() != nil {
		return event{}, t.ctx.Err()
	}
	broken := t.a.broken(t.ctx, err)
	if c := context.Cause(t.a.ctx); c != nil {
		err = because(err, c)
	}
	t.a.end(pool.ResultFailed)
	t.note(rollout.Response{Failed: true, AfterStart: true})
	f := []zap.Field{
		zap.String("request", t.q.meta.ID), zap.String("upstream", t.a.use.Entry().ID), zap.String("last_event", t.last), zap.String("cause", fault.Reason(err)),
	}
	if broken {
		f = append(f, t.s.noteBroken(t.ctx, t.q, t.a)...)
	}
	t.s.o.Log.Info("stream_broke", f...)
	return t.resume(err)
}

// guard gives up an upstream that stalls, where another can go on.
func (t *stream) guard() func() {
	p := t.q.route.MaxEventGap()
	if p == 0 || !t.resumable() {
		return func() {}
	}
	a := t.a
	return t.s.o.Clock.AfterFunc(stallPauses*p, func() { a.stop(errPatience) })
}

func (t *stream) resumable() bool {
	return t.q.route.Resumable() && t.last != "" && t.q.sends < t.q.route.MaxAttempts()
}

// resume goes on at another upstream after the last event passed on.
func (t *stream) resume(cause error) (event, error) {
	tried := map[string]bool{t.a.use.Entry().ID: true}
	t.q.tries = retry.SearchLimit{}
	for t.q.tries.Next() != retry.ScopeNone {
		if !t.resumable() {
			return event{}, cause
		}
		if err := t.s.ends(t.q); err != nil {
			return event{}, err
		}
		if v, _ := t.s.decide(t.q); v != retry.VerdictRetry || !t.s.repeats(t.q) {
			return event{}, cause
		}
		n := t.s.need(t.q, tried)
		n.ReachableOnly = t.q.tries.Next() == retry.ScopeReachable
		use := t.s.o.Pools.Pick(n)
		if use == nil {
			return event{}, cause
		}
		tried[use.Entry().ID] = true
		a, err := t.s.try(t.ctx, t.q, use, t.last)
		if t.ctx.Err() != nil {
			if a != nil {
				a.end(pool.ResultInconclusive)
			}
			return event{}, t.ctx.Err()
		}
		if err != nil {
			cause = err
			continue
		}
		if a.events == nil {
			a.end(pool.ResultFailed)
			t.q.tries.RecordReached()
			cause = fault.Because(errLost, "the resumed stream was answered %d", a.head.StatusCode)
			continue
		}
		t.a = a
		count("resumes", 1)
		t.s.o.Log.Info("stream_resumed", zap.String("request", t.q.meta.ID), zap.String("upstream", use.Entry().ID), zap.String("last_event", t.last))
		return a.first, nil
	}
	return event{}, cause
}
