package pool

import (
	"time"

	"spurhall.example/spurhall/internal/capacity"
)

// This file is one request's use of an upstream, and what the upstream is judged by.

// Result is how a request at an upstream ended, as far as it tells of the upstream.
type Result int

// Use is one request's use of an upstream, from the choice to its end.
type Use struct {
	p       *Pools
	m       *member
	entry   Entry // as it was chosen
	choice  Choice
	begun   time.Time
	engine  bool
	prompt  float64 // counted as queued until the first event
	held    float64
	expect  float64       // milliseconds to the first event, as guessed
	reads   float64       // prompt tokens read before the first event, as guessed
	output  float64       // tokens that go out at most
	rank    int           // among the target's upstreams of a roll-out; notRanked: none of these
	untried bool          // of a version that is on trial: it tells nothing of the service's upstreams
	fetch   string        // address of the upstream that it takes cached parts from
	work    capacity.Work // counted as sent
	first   time.Time
	started bool
	ended   bool
	turn    bool // it was counted against its upstream's limit by this node
}

// Choice is what an upstream was chosen by.
type Choice struct {
	Candidates int           // upstreams looked at
	Limited    int           // others, whose limits were used up
	Running    int           // requests there, of all nodes
	Queued     float64       // prompt tokens there without a first token
	Cached     float64       // tokens of the prompt taken to be cached there
	Fetched    float64       // tokens of the prompt to be taken from another upstream
	Slowness   float64       // times as long as usual that its answers are taken to last
	Revision   int64         // of the list
	ByRelay    bool          // a relay chose it
	OldestReport     time.Duration // age of the oldest report of another node that counted
}

// Choice returns what the upstream was chosen by.
func (u *Use) Choice() Choice { return u.choice }

// Rank returns the upstream's rank among those of a roll-out's target, or -1.
func (u *Use) Rank() int { return u.rank }

// Lag returns the time to the first event, or to a plain answer's head, as a part of what was
// expected; 0: it hasn't come.
func (u *Use) Lag() float64 {
	u.p.mu.Lock()
	defer u.p.mu.Unlock()
	if u.first.IsZero() {
		return 0
	}
	return float64(u.first.Sub(u.begun)) / float64(time.Millisecond) / u.expect
}

// Fetch returns the address of the upstream that has more of the prompt cached, if the one
// chosen should take it from there.
func (u *Use) Fetch() string { return u.fetch }

// Leaving tells whether the upstream has announced that it leaves, or isn't listed any more: its
// end is planned.
func (u *Use) Leaving() bool {
	u.p.mu.Lock()
	defer u.p.mu.Unlock()
	return u.m.entry.Leaving || u.p.members[u.entry.ID] != u.m
}

// Entry returns the upstream chosen.
func (u *Use) Entry() Entry { return u.entry }

// Started says that the first event, or the head of a plain answer, has arrived.
func (u *Use) Started() {
	u.p.mu.Lock()
	defer u.p.mu.Unlock()
	u.start()
	u.first = u.p.clock.Now()
	u.p.reached[u.entry.Hall], u.m.answered = u.first, u.first
	after := u.first.Sub(u.begun)
	ms := float64(after) / float64(time.Millisecond)
	s := u.p.service(u.entry.Service)
	switch {
	case u.untried:
	case u.engine && u.fetch == "":
		s.learner.ObserveFirst(u.first, u.reads, after)
	case !u.engine:
		s.answer += answerGain * (ms - s.answer)
	}
	s.lags(ms - u.expect)
	u.m.pace.take(u.first, s.relative(ms/u.expect))
}

// lags takes in by how many milliseconds a first event comes later than expected.
func (s *service) lags(ms float64) { s.lag += lagGain * (max(0, ms) - s.lag) }

// outOfLine is how many times as late as the service's upstreams are lately one may be before
// it is out of line with them.
const outOfLine = 3.0

// Patience is the silence after which the upstream is out of line with the service's others.
// While all of them lag, a request that is begun anew waits elsewhere as long, and its prompt
// is read twice when there is least to spare.
func (u *Use) WaitLimit() time.Duration {
	u.p.mu.Lock()
	defer u.p.mu.Unlock()
	return time.Duration((u.expect + outOfLine*u.p.service(u.entry.Service).lag) * float64(time.Millisecond))
}

// GivenUp says that the use is given up after that silence: its upstream is that late at least.
func (u *Use) TimedOut(after time.Duration) {
	u.p.mu.Lock()
	defer u.p.mu.Unlock()
	u.p.service(u.entry.Service).lags(float64(after)/float64(time.Millisecond) - u.expect)
}

func (u *Use) start() {
	if u.started {
		return
	}
	u.started = true
	if u.engine {
		u.m.load.Queued -= u.prompt
	}
}

// End ends the use. Only its first call counts.
func (u *Use) End(r Result) {
	u.p.mu.Lock()
	defer u.p.mu.Unlock()
	if u.ended {
		return
	}
	u.ended = true
	u.start()
	if r == ResultGood {
		u.learn()
	}
	u.m.load.Running--
	u.m.load.Reserved -= u.held
	u.judge(r)
}

// learn takes in how long a request took that ended well.
func (u *Use) learn() {
	s, now := u.p.service(u.entry.Service), u.p.clock.Now()
	s.lasts += answerGain * (float64(now.Sub(u.begun))/float64(time.Millisecond) - s.lasts)
	if u.engine && !u.first.IsZero() && !u.untried {
		s.learner.ObserveRest(u.output, now.Sub(u.first))
	}
}

// take counts work that is sent, less what was counted before and not taken: the sum only
// grows, since one that falls is taken for a new process's.
func (s *service) take(w capacity.Work) {
	less := func(work, untaken *float64, x float64) {
		d := min(x, *untaken)
		*untaken -= d
		*work += x - d
	}
	less(&s.work.Prefill, &s.untaken.Prefill, w.Prefill)
	less(&s.work.Slots, &s.untaken.Slots, w.Slots)
	less(&s.work.Memory, &s.untaken.Memory, w.Memory)
}

func (u *Use) judge(r Result) {
	if u.turn && (r == ResultUnreachable || r == ResultMisplaced) {
		u.p.limits.Return(u.entry.Incarnation())
	}
	if r == ResultUnreachable || r == ResultRejected || r == ResultMisplaced {
		s := u.p.service(u.entry.Service)
		s.untaken = s.untaken.Add(u.work)
	}
	o := u.p.outlier(u.m.entry.Service)
	now, id := u.p.clock.Now(), u.m.entry.ID
	switch r {
	case ResultGood:
		o.Success(id)
		u.m.failures -= failureGain * u.m.failures
	case ResultFailed:
		o.Failure(now.Sub(u.p.start), id, len(u.p.services[u.m.entry.Service]))
		u.m.failures += failureGain * (1 - u.m.failures)
	case ResultRejected:
		o.Inconclusive(now.Sub(u.p.start), id)
		u.m.refused = now
	case ResultUnreachable:
		o.Failure(now.Sub(u.p.start), id, len(u.p.services[u.m.entry.Service]))
		u.m.failures += failureGain * (1 - u.m.failures)
		u.m.silent, u.m.failed = now, now
	case ResultMisplaced:
		o.Inconclusive(now.Sub(u.p.start), id)
		u.m.gone = true
	case ResultInconclusive:
		o.Inconclusive(now.Sub(u.p.start), id)
	}
}
