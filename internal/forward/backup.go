package forward

import (
	"context"
	"errors"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/fault"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/retry"
)

// This file decides what happens while an upstream is silent. A sound one may fall silent for a second and go on, and one
// that has crashed or is cut off looks the same. So an attempt isn't given up for its silence. Where the route allows a
// second run, and another upstream can take the request, a backup attempt runs beside the first one. Whichever goes on
// first is kept, and the other one is canceled at once. Where there is no successor, the attempt is waited for as long as
// the route and the caller allow, and a successor is looked for again and again.
//
// A backup runs in a goroutine of its own, on a copy of the request, so that the two attempts share nothing that changes.
// The request's goroutine takes over the copy's counts once the race is over.
//
// Alternatives considered: ending the silent attempt first. The answer is lost then if the successor is full, fails, or is
// silent, too.

// errOvertaken means that another attempt at the same request went on first.
var errOvertaken = errs.NewType("overtaken").New("the upstream was silent for too long, and another one went on first")

const (
	// attemptWaitShare is the share of the remaining time after which an upstream counts as silent if the request may run
	// elsewhere. attemptWaitTargets additionally bounds that wait in latency targets, except for an upstream whose response
	// times are in line with the others.
	attemptWaitShare   = 0.5
	attemptWaitTargets = 2
	// minSilence is the least time after which a successor is looked for, and successorInterval how long after that it is
	// looked for again.
	minSilence        = 10 * time.Millisecond
	successorInterval = 250 * time.Millisecond
)

// raceState is how far the race between an attempt and its backup is.
type raceState int

const (
	raceOpen  raceState = iota // neither attempt has gone on, or the watched one isn't silent for too long yet
	raceKept                   // the watched attempt is kept
	raceLeft                   // the watched attempt has failed: a backup in progress is kept, and no further one begins
	raceTaken                  // the backup has overtaken the watched attempt
)

// silenceWatch watches one attempt of a request for its next event, or for its response.
type silenceWatch struct {
	s         *Server
	parent    context.Context
	a         *attempt // that is watched
	starting  bool     // its response hasn't started
	lastEvent string   // after which a backup resumes the stream
	after     time.Duration
	began     time.Time // of the wait
	stopTimer func()

	mu      sync.Mutex
	state   raceState
	tried   map[string]bool
	q       *request        // from the beginning of the race on, the backup's copy
	base    counts          // of the copy before the backup
	ctx     context.Context // of the backup
	cancel  context.CancelCauseFunc
	running bool          // an attempt of the backup is in progress
	backup  *attempt      // that succeeded
	done    chan struct{} // closed when no backup is looked for any more; nil: the race hasn't begun
}

// counts are the counts of a request that an attempt changes.
type counts struct{ sends, arrivals, severed int }

func (q *request) counts() counts { return counts{q.sends, q.arrivals, len(q.severedBy)} }

// watchStart watches an attempt that is about to be sent until its response starts. It returns nil if no other attempt may
// follow.
func (s *Server) watchStart(ctx context.Context, a *attempt, q *request, lastEvent string, tried map[string]bool, left time.Duration) *silenceWatch {
	if !q.route.Repeatable() || q.sends+1 >= q.route.MaxAttempts() {
		return nil
	}
	d := time.Duration(attemptWaitShare * float64(left))
	if t := q.route.LatencyTarget(); t > 0 {
		d = min(d, max(attemptWaitTargets*t, a.use.WaitLimit()))
	}
	c := *q // the attempt changes the request while it is watched
	c.sends, c.arrivals = c.sends+1, c.arrivals+1
	w := &silenceWatch{s: s, parent: ctx, a: a, starting: true, q: &c, lastEvent: lastEvent, tried: tried, after: max(d, minSilence), began: s.o.Clock.Now()}
	w.arm(w.after)
	return w
}

// watchStall watches a stream until its next event. It returns nil if no other upstream may resume it.
func (t *stream) watchStall() *silenceWatch {
	p := t.q.route.MaxEventGap()
	if p == 0 || !t.resumable() {
		return nil
	}
	w := &silenceWatch{s: t.s, parent: t.ctx, a: t.a, q: t.q, lastEvent: t.lastEventID, after: max(stallPauses*p, minSilence), began: t.lastEventAt}
	w.arm(w.after)
	return w
}

// arm has the race begin after a time, unless the watch ends before.
func (w *silenceWatch) arm(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state == raceOpen {
		w.stopTimer = w.s.o.Clock.AfterFunc(d, w.race)
	}
}

// unseen returns how much longer the upstream may be silent before it is for too long: what has arrived may be unread for as
// long as this process runs late.
func (w *silenceWatch) unseen() time.Duration {
	return w.after + w.s.o.Late() - w.s.o.Clock.Since(w.began)
}

// race is called when the watched attempt has been silent for too long.
func (w *silenceWatch) race() {
	if d := w.unseen(); d > 0 {
		count("silences_unseen", 1)
		w.arm(max(d, minSilence))
		return
	}
	if !w.begin() {
		return
	}
	defer close(w.done)
	if w.starting {
		w.a.use.TimedOut(w.after)
	}
	w.a.use.Silent()
	defer w.recoverRace()
	for reason := ""; ; {
		over, why := w.runBackup()
		switch {
		case over:
			return
		case why == "":
			continue // it failed: the next one is looked for at once
		case why != reason:
			w.log("silence_borne", zap.String("cause", why))
		}
		reason = why
		if w.s.o.Clock.Sleep(w.ctx, successorInterval) != nil {
			return
		}
	}
}

// runBackup makes a backup attempt if there is a successor, and reports whether the race is over. why tells why there was
// none.
func (w *silenceWatch) runBackup() (over bool, why string) {
	use, why := w.successor()
	if use == nil {
		return false, why
	}
	if w.withdraw(use) {
		return true, ""
	}
	if v, _ := w.s.decideRetry(w.q); v != retry.VerdictRetry {
		use.End(pool.ResultWithheld)
		return false, "the retry budget is spent, or no time is left"
	}
	arrivals := w.q.arrivals
	over = w.try(use)
	if w.q.arrivals == arrivals {
		w.s.o.ReturnRetry(w.q.service) // nothing was sent
	}
	return over, ""
}

// begin begins the race, unless the watch has ended.
func (w *silenceWatch) begin() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state != raceOpen {
		return false
	}
	w.done = make(chan struct{})
	w.ctx, w.cancel = context.WithCancelCause(w.parent)
	c := *w.q
	c.isCopy, c.mayHaveRun, c.search = true, false, retry.SearchLimit{}
	c.severedBy = slices.Clone(c.severedBy)
	w.q, w.base = &c, c.counts()
	if w.tried == nil {
		w.tried = map[string]bool{w.a.use.Entry().ID: true}
	}
	return true
}

// successor chooses another upstream for the request, or returns why it may not go there.
func (w *silenceWatch) successor() (use *pool.Use, why string) {
	s, q := w.s, w.q
	if q.sends >= q.route.MaxAttempts() || q.search.Next() == retry.ScopeNone {
		return nil, "no attempt is left"
	}
	if err := errors.Join(s.checkConfiguration(q), s.checkList(), s.quarantineError(q)); err != nil {
		return nil, fault.Reason(err)
	}
	if !s.allowsRepeat(q) {
		return nil, errQuarantined.Error()
	}
	n := s.need(q, w.tried)
	n.Successor = true
	if use = s.o.Pools.Pick(n); use == nil {
		return nil, "no other upstream can take it"
	}
	return use, ""
}

// withdraw ends the watched attempt if nothing of it was sent, and reports whether it did. Nothing is lost then: the request
// goes elsewhere.
func (w *silenceWatch) withdraw(successor *pool.Use) bool {
	if !w.a.withdraw() {
		return false
	}
	w.log("attempt_withdrawn", zap.String("successor", successor.Entry().ID))
	successor.End(pool.ResultWithheld)
	w.a.cancel(errUnresponsive)
	return true
}

// try makes an attempt at a successor, and reports whether the race is over.
func (w *silenceWatch) try(use *pool.Use) bool {
	if !w.setRunning() {
		use.End(pool.ResultWithheld)
		return true
	}
	count("backups", 1)
	use.RecordPlacement(w.q.meta.Parts)
	w.log("backup_sent", zap.String("successor", use.Entry().ID))
	w.tried[use.Entry().ID] = true
	b, err := w.s.runAttempt(w.ctx, w.q, use, w.lastEvent, w.tried)
	if err == nil && !w.goesOn(b) {
		b.finish(pool.ResultFailed)
		b = nil
	}
	return w.record(b)
}

// recoverRace keeps a fault of this node's own code from ending the process: the race has a goroutine of its own, and the
// watched attempt is waited for.
func (w *silenceWatch) recoverRace() {
	if v := recover(); v != nil {
		w.s.o.Log.Error("handler_failed", zap.String("request", w.q.meta.ID), zap.Any("cause", v), zap.ByteString("stack", debug.Stack()))
	}
}

// setRunning records that an attempt of the backup begins, unless the watch has ended.
func (w *silenceWatch) setRunning() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running = w.state == raceOpen
	return w.running
}

// goesOn reports whether the response to a backup is one to go on with. An upstream's error response is kept for the case
// that the silent upstream fails, too.
func (w *silenceWatch) goesOn(b *attempt) bool {
	if b.head.StatusCode >= http.StatusInternalServerError && w.lastEvent == "" {
		w.q.upstreamFailure = &response{status: b.head.StatusCode, header: endToEndHeader(b.head.Header), body: b.body}
		return false
	}
	return w.lastEvent == "" || b.events != nil
}

// record records how an attempt of the backup ended; nil: it failed. It reports whether the race is over.
func (w *silenceWatch) record(b *attempt) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running, w.backup = false, b
	if w.state != raceOpen {
		return true
	}
	if b != nil {
		w.state = raceTaken
		w.a.cancel(errOvertaken)
	}
	return b != nil
}

// log logs how the request goes on while its upstream is silent.
func (w *silenceWatch) log(event string, more zap.Field) {
	w.s.o.Log.Info(event, zap.String("request", w.q.meta.ID), zap.String("upstream", w.a.use.Entry().ID), zap.Duration("silent", w.s.o.Clock.Since(w.began)),
		zap.String("last_event", w.lastEvent), zap.Int("sends", w.q.sends), zap.Duration("left", w.q.deadline.Sub(w.s.o.Clock.Now())), more)
}

// attemptEnd is how the wait for an attempt ended.
type attemptEnd int

const (
	attemptFailed attemptEnd = iota
	attemptWentOn
	attemptComplete // nothing more is to come: it is kept even if it was overtaken in that moment
)

// settle ends the wait, and reports whether the watched attempt is kept. One that was overtaken while it went on is kept
// only if it is complete.
func (w *silenceWatch) settle(e attemptEnd) bool {
	if w == nil {
		return e != attemptFailed
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopTimer()
	switch {
	case e == attemptComplete, e == attemptWentOn && w.state == raceOpen:
		w.state = raceKept
	case w.state == raceOpen:
		w.state = raceLeft
	}
	if w.cancel != nil && (w.state == raceKept || w.state == raceLeft && !w.running) {
		w.cancel(errOvertaken)
	}
	return w.state == raceKept
}

// join waits until no backup is in progress after the wait has been settled, has the request take over what the backup has
// changed, and returns the attempt to go on with in place of the watched one, if there is one.
func (w *silenceWatch) join(q *request) *attempt {
	if w == nil || w.done == nil {
		return nil
	}
	<-w.done
	q.takeOver(w.q, w.base)
	if w.q.counted {
		w.s.countUsage(q)
	}
	switch {
	case w.state == raceKept:
		w.a.use.Heard()
		w.s.recordTrialHeard(q, w.a)
		if w.backup != nil {
			w.backup.drop(pool.ResultInconclusive)
		}
		return nil
	case w.backup == nil:
		w.cancel(errOvertaken)
		return nil
	}
	q.use, q.observed, q.order, q.expectedWait = w.q.use, w.q.observed, w.q.order, w.q.expectedWait
	w.s.countStarted(q)
	return w.backup
}

// abandon ends the wait and the backup.
func (w *silenceWatch) abandon() {
	w.settle(attemptFailed)
	if w == nil || w.done == nil {
		return
	}
	w.cancel(errOvertaken)
	<-w.done
	if w.backup != nil {
		w.backup.drop(pool.ResultInconclusive)
	}
}

// triedOr returns the upstreams that were tried while an attempt was watched, its own among them.
func (w *silenceWatch) triedOr(a *attempt) map[string]bool {
	if w != nil && w.done != nil {
		return w.tried
	}
	return map[string]bool{a.use.Entry().ID: true}
}

// takeOver adds what a backup has changed in its copy of the request.
func (q *request) takeOver(c *request, base counts) {
	q.sends += c.sends - base.sends
	q.arrivals += c.arrivals - base.arrivals
	q.severedBy = append(q.severedBy, c.severedBy[base.severed:]...)
	q.mayHaveRun = q.mayHaveRun || c.mayHaveRun
	if c.upstreamFailure != nil {
		q.upstreamFailure = c.upstreamFailure
	}
}
