package pool

import (
	"math"
	"time"

	"spurhall.example/spurhall/internal/capacity"
)

// This file tracks the use of an upstream by one request, and derives the upstream's health from it.

// Result is how a request at an upstream ended, as far as it matters for the upstream.
type Result int

// Use is the use of an upstream by one request, from the choice to its end.
type Use struct {
	p            *Pools
	m            *member
	entry        Entry // as of the choice
	choice       Choice
	sentAt       time.Time
	engine       bool
	prompt       float64 // counted as queued until the first event
	reserved     float64
	expectedMs   float64       // expected milliseconds to the first event
	usualMs      float64       // the same if the upstream were a usual one
	speed        float64       // of the upstream relative to the service's usual, as of the choice
	reads        float64       // expected number of prompt tokens read before the first event
	output       float64       // maximum number of output tokens
	rank         int           // among the upstreams of a roll-out's target; notRanked: not one of them
	onTrial      bool          // of a version on trial: not representative of the service's upstreams
	alone        bool          // nothing else of any node was known to run there when it was sent
	fetchFrom    string        // address of the upstream that it fetches cached parts from
	work         capacity.Work // counted as sent
	firstEventAt time.Time
	started      bool
	ended        bool
	countedLimit bool // this node counted the request against the upstream's limit
	overtaken    bool // more urgent requests go before it, also later ones: its wait says little of the upstream
}

// Choice describes what the choice of an upstream was based on.
type Choice struct {
	Candidates   int           // number of upstreams considered
	Limited      int           // number of upstreams left out because their limits were used up
	Running      int           // requests in progress there, of all nodes
	Queued       float64       // prompt tokens there waiting for their first token
	Cached       float64       // prompt tokens believed to be cached there
	Fetched      float64       // prompt tokens to be fetched from another upstream
	Slowness     float64       // how many times as long as usual its responses are believed to take at the moment
	Speed        float64       // how many times as fast as usual it is believed to be lastingly
	Revision     int64         // of the list
	ByRelay      bool          // a relay chose it
	OldestReport time.Duration // age of the oldest report of another node that counted
}

// Choice returns what the choice of the upstream was based on.
func (u *Use) Choice() Choice { return u.choice }

// Rank returns the upstream's rank among those of a roll-out's target, or -1.
func (u *Use) Rank() int { return u.rank }

// Lag returns the time to the first event, or to the header of a plain response, as a multiple of the
// time expected of a usual upstream; 0 if it hasn't arrived, or if other requests overtook it. A roll-out judges
// upstreams by it, so that what was learned of an upstream's speed mustn't excuse it.
func (u *Use) Lag() float64 {
	u.p.mu.Lock()
	defer u.p.mu.Unlock()
	if u.firstEventAt.IsZero() || u.overtaken {
		return 0
	}
	return float64(u.firstEventAt.Sub(u.sentAt)) / float64(time.Millisecond) / u.usualMs
}

// Fetch returns the address of the upstream that has more of the prompt cached, if the chosen one should
// fetch it from there.
func (u *Use) Fetch() string { return u.fetchFrom }

// Leaving reports whether the upstream has announced that it leaves, or is no longer listed, so that its
// end is planned.
func (u *Use) Leaving() bool {
	u.p.mu.Lock()
	defer u.p.mu.Unlock()
	return u.m.entry.Leaving || u.p.members[u.entry.ID] != u.m
}

// Unavailable returns why the upstream gets no requests any more that it was chosen for, or "" if it still does.
func (u *Use) Unavailable() string {
	u.p.mu.Lock()
	defer u.p.mu.Unlock()
	switch m := u.m; {
	case u.p.members[u.entry.ID] != m:
		return "the upstream is no longer listed"
	case m.entry.Leaving:
		return "the upstream leaves"
	case m.misplaced:
		return "another upstream has the address"
	case u.p.cooldowns.Wait(u.p.clock.Now(), m.entry.Incarnation()) > 0:
		return "the upstream has asked for rest"
	case u.p.splits[m.entry.Service].Barred[m.entry.Version]:
		return "the upstream's version takes no requests"
	}
	return ""
}

// Entry returns the entry of the chosen upstream.
func (u *Use) Entry() Entry { return u.entry }

// Started records that the first event, or the header of a plain response, has arrived.
func (u *Use) Started() {
	u.p.mu.Lock()
	defer u.p.mu.Unlock()
	u.markStarted()
	u.firstEventAt = u.p.clock.Now()
	u.p.lastResponse[u.entry.Hall], u.m.respondedAt, u.m.silentAt = u.firstEventAt, u.firstEventAt, time.Time{}
	u.p.brittle.Accepted(u.firstEventAt, u.entry.Service, u.entry.ID)
	if !u.overtaken {
		u.observeStart(u.firstEventAt.Sub(u.sentAt))
	}
}

// observeStart records how long the first event took.
func (u *Use) observeStart(after time.Duration) {
	ms := float64(after) / float64(time.Millisecond)
	s := u.p.service(u.entry.Service)
	switch {
	case u.onTrial:
	case u.engine && u.fetchFrom == "":
		s.learner.ObserveFirst(u.firstEventAt, u.reads, u.atUsualSpeed(after))
	case !u.engine:
		s.responseMs += responseGain * (u.speed*ms - s.responseMs)
	}
	s.observeLag(ms - u.expectedMs)
	u.observeSpeed(u.firstEventAt, ms)
	u.m.pace.observe(u.firstEventAt, s.relativeToUsual(ms/u.expectedMs))
}

// atUsualSpeed returns the time that something would have taken at a usual upstream.
func (u *Use) atUsualSpeed(d time.Duration) time.Duration { return time.Duration(u.speed * float64(d)) }

// observeLag records by how many milliseconds a first event came later than expected.
func (s *service) observeLag(ms float64) { s.lagMs += lagGain * (max(0, ms) - s.lagMs) }

// lagTolerance is how many times as late as the service's recent average an upstream may respond before it
// counts as slower than the others.
const lagTolerance = 3.0

// WaitLimit returns the silence after which the upstream counts as slower than the service's others. It
// grows while all of them lag: a request that is started again would then wait as long elsewhere, and its
// prompt would be read twice when there is the least capacity to spare. There is none for a request that
// others overtake: it would be overtaken elsewhere as well.
func (u *Use) WaitLimit() time.Duration {
	u.p.mu.Lock()
	defer u.p.mu.Unlock()
	if u.overtaken {
		return math.MaxInt64
	}
	return time.Duration((u.expectedMs + lagTolerance*u.p.service(u.entry.Service).lagMs) * float64(time.Millisecond))
}

// silentTTL is how long an upstream that was silent for too long is no successor, unless it is heard before: a sound one
// is silent for a second or so.
const silentTTL = 2 * time.Second

// Silent records that the upstream has been silent for too long under the request.
func (u *Use) Silent() {
	u.p.mu.Lock()
	defer u.p.mu.Unlock()
	u.m.silentAt = u.p.clock.Now()
}

// Heard records that the upstream goes on after it was silent.
func (u *Use) Heard() {
	u.p.mu.Lock()
	defer u.p.mu.Unlock()
	u.m.silentAt = time.Time{}
}

// TimedOut records that nothing has come after the given time: the upstream lags by at least that.
func (u *Use) TimedOut(after time.Duration) {
	u.p.mu.Lock()
	defer u.p.mu.Unlock()
	if u.overtaken {
		return
	}
	ms := float64(after) / float64(time.Millisecond)
	u.p.service(u.entry.Service).observeLag(ms - u.expectedMs)
	if u.firstEventAt.IsZero() {
		u.observeSpeed(u.p.clock.Now(), ms) // the least that it would have taken
	}
}

func (u *Use) markStarted() {
	if u.started {
		return
	}
	u.started = true
	if u.engine {
		u.m.load.Queued -= u.prompt
	}
}

// End ends the use. Only the first call has an effect.
func (u *Use) End(r Result) {
	u.p.mu.Lock()
	defer u.p.mu.Unlock()
	if u.ended {
		return
	}
	u.ended = true
	u.markStarted()
	if r == ResultGood {
		u.observeDuration()
	}
	u.m.load.Running--
	if u.m.load.Running == 0 {
		delete(u.p.busy, u.m)
	}
	u.m.load.Reserved -= u.reserved
	u.recordResult(r)
}

// observeDuration records how long a successful request took. One that others overtake may be preempted after its first
// event, too, so that the time of its rest isn't that of its tokens.
func (u *Use) observeDuration() {
	s, now := u.p.service(u.entry.Service), u.p.clock.Now()
	s.durationMs += responseGain * (float64(now.Sub(u.sentAt))/float64(time.Millisecond) - s.durationMs)
	if u.engine && !u.firstEventAt.IsZero() && !u.onTrial && !u.overtaken {
		s.learner.ObserveRest(u.output, u.atUsualSpeed(now.Sub(u.firstEventAt)))
	}
}

// addWork adds work that is sent, less earlier work that was counted but not executed. The sum never
// decreases, since a decrease would be taken for the start of a new process.
func (s *service) addWork(w capacity.Work) {
	less := func(work, notExecuted *float64, x float64) {
		d := min(x, *notExecuted)
		*notExecuted -= d
		*work += x - d
	}
	less(&s.work.Prefill, &s.notExecuted.Prefill, w.Prefill)
	less(&s.work.Slots, &s.notExecuted.Slots, w.Slots)
	less(&s.work.Memory, &s.notExecuted.Memory, w.Memory)
}

func (u *Use) recordResult(r Result) {
	if u.countedLimit && (r == ResultUnreachable || r == ResultMisplaced || r == ResultWithheld) {
		u.p.limits.Return(u.entry.Incarnation())
	}
	if r == ResultUnreachable || r == ResultRejected || r == ResultMisplaced || r == ResultWithheld {
		s := u.p.service(u.entry.Service)
		s.notExecuted = s.notExecuted.Add(u.work)
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
	case ResultEndless:
		o.Eject(now.Sub(u.p.start), id, len(u.p.services[u.m.entry.Service]))
		u.m.failures += failureGain * (1 - u.m.failures)
	case ResultRejected:
		o.Inconclusive(now.Sub(u.p.start), id)
		u.m.fullAt = now
	case ResultUnreachable:
		o.Failure(now.Sub(u.p.start), id, len(u.p.services[u.m.entry.Service]))
		u.m.failures += failureGain * (1 - u.m.failures)
		u.m.unreachableAt, u.m.failedAt = now, now
		u.p.suspect(u.m)
	case ResultMisplaced:
		o.Inconclusive(now.Sub(u.p.start), id)
		u.m.misplaced = true
		u.p.suspect(u.m)
	case ResultInconclusive, ResultWithheld:
		o.Inconclusive(now.Sub(u.p.start), id)
	}
}
