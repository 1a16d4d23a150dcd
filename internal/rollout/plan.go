package rollout

import "time"

// This file is the holder's side: when a roll-out goes on to its next stage, and when it ends.
// Everything is a part of the time that the operators gave.
//
// The first stage lasts for two thirds of it, since versions turn bad late and a small share
// is the cheapest way to see it. Then each step is observed before the next. The version in
// service ends with the word that the roll-out is completed, so before that word nothing new
// goes there and what ran has ended or moved.
//
// A step isn't begun while the target is suspected, hasn't shown enough, or hasn't the
// upstreams to carry what it would get. If it is too late then to take all steps, or the time
// is over, the target is rolled back: a version that was not seen to be good isn't given
// callers because a clock ran out, and the one in service carries them meanwhile.

const (
	trialUntil = 0.62 // part of the time
	stepFor    = 0.075
	// lastStart is when the first step has to have begun: what is left is for the steps, each
	// at least leastStep long, and for the streams that still run. A holder that is lost right
	// before the steps is replaced in two to three seconds, and they are the shorter for it.
	lastStart = 0.84
	leastStep = 0.025
	// movedFrom is how long into the last stage streams that may go on elsewhere are moved;
	// leastFull is how long that stage is observed at least.
	movedFrom = 0.06
	leastFull = 0.06
	// endBy is when the word is given, so that it reaches the store in time, whatever runs, and
	// lastFull when the last stage has to have begun.
	endBy    = 0.965
	lastFull = 0.93
	// suspicion is the part of what stops the target from which it isn't given more, and
	// suspicionFull that from which it isn't given all: there is nothing to compare with then.
	suspicion     = 0.6
	suspicionFull = 0.35
	// leastAnswers is how many answers of the target are seen in a stage before it is given
	// more, by processes that live: what was seen before a loss of all nodes tells nothing of a
	// version that has turned bad since, and one that is several times slower has few answers
	// by then.
	leastAnswers = 20
	// leastAfterLoss is the same where those that had seen the target are gone: what they had
	// seen was judged and isn't known any more. With leastAnswers, versions that are slow on one
	// route go beyond the exposure where all nodes are lost on the way.
	leastAfterLoss = 80
	// leastUpstreams is the part of the version in service's upstreams that the target needs
	// before it is given all.
	leastUpstreams = 0.5
)

// Cause is why a roll-out goes on, ends or waits.
type Cause int

// The causes.
const (
	CauseNone Cause = iota
	CauseOrdered
	CauseObserved    // the stage was observed, and nothing was found
	CauseEmpty       // nothing runs at the version before any more
	CauseNothingOld  // all upstreams are of the target from the start
	CauseBad         // the target is worse than the version in service
	CauseNoVerdict   // the time is over, or too short for what is left to do
	CauseInvalid     // the order can't be carried out
	CauseWithdrawn   // the order is gone, or another one has come
	CauseSuspected   // waits: something is wrong with the target
	CauseFewAnswers  // waits: the target has had too few requests
	CauseFewUpstream // waits: the target has too few upstreams
)

// String returns the cause's name for logs.
func (c Cause) String() string {
	return [...]string{
		"none", "ordered", "observed", "empty", "nothing_old", "bad", "no_verdict", "invalid", "withdrawn", "suspected", "few_answers", "few_upstreams",
	}[c]
}

// State is what stands in the store of a roll-out.
type State struct {
	Order Order
	OrderedAt time.Time // when the order was given, as far as is known
	Stage Stage
	Since time.Time // when the stage began
	// Answers is how many answers of the target had been seen when the stage began, and Seen
	// how many when the holder before last said so in the store; 0: it began under this one.
	Responses int64
	PriorResponses    int64
	FoundAt   time.Time // when this holder found the stage; zero: it began under this one
	lost    bool      // those that had seen the target before are gone
}

// Facts are what the holder knows when it decides.
type Facts struct {
	Invalid   bool
	Withdrawn bool
	Target    int   // upstreams of the target that take requests
	OtherVersions    int   // of other versions
	Running   int   // requests at upstreams of other versions
	Responses   int64 // of the target, seen by the processes that live
	Stopped   bool
	Suspicion float64 // that the target is bad; 1 stops it
	Clear     bool    // the target's newest answers speak for it
}

// Next returns the stage that a roll-out is to be in, and why.
func (s State) Next(now time.Time, f Facts) (Stage, Cause) {
	past := now.Sub(s.OrderedAt)
	part := func(x float64) time.Duration { return time.Duration(x * float64(s.Order.Duration)) }
	switch {
	case s.Stage.Ended():
		return s.Stage, CauseNone
	case f.Invalid:
		return StageRolledBack, CauseInvalid
	case f.Withdrawn:
		return StageRolledBack, CauseWithdrawn
	case f.Stopped:
		return StageRolledBack, CauseBad
	case s.Stage == StageFull:
		return s.full(now, f)
	case past >= part(lastStart) && s.Stage <= StageTrial, past >= part(lastFull):
		return StageRolledBack, CauseNoVerdict
	case s.Stage == StageWaiting:
		return s.begin(f)
	case s.Stage == StageTrial && past < part(trialUntil), s.Stage > StageTrial && now.Sub(s.Since) < s.lasts():
		return s.Stage, CauseNone
	}
	return s.step(f)
}

// lasts is how long a step is observed: less if it began late.
func (s State) lasts() time.Duration {
	late := float64(s.Since.Sub(s.OrderedAt))/float64(s.Order.Duration) - trialUntil - float64(s.Stage-StageFifth)*stepFor
	return time.Duration(max(leastStep, stepFor-max(0, late)) * float64(s.Order.Duration))
}

// begin leaves the waiting stage.
func (s State) begin(f Facts) (Stage, Cause) {
	switch {
	case f.Target > 0 && f.OtherVersions == 0:
		return StageCompleted, CauseNothingOld
	case f.Target == 0:
		return StageWaiting, CauseFewUpstream
	}
	return StageTrial, CauseOrdered
}

// step goes on if nothing speaks against it.
func (s State) step(f Facts) (Stage, Cause) {
	switch {
	case f.Suspicion >= suspicion, s.Stage == StageTwoFifths && f.Suspicion >= suspicionFull:
		return s.Stage, CauseSuspected
	case s.Stage >= StageFifth && !f.Clear:
		return s.Stage, CauseSuspected
	case !s.shown(f.Responses):
		return s.Stage, CauseFewAnswers
	case float64(f.Target) < leastUpstreams*float64(f.OtherVersions):
		return s.Stage, CauseFewUpstream
	}
	return s.Stage + 1, CauseObserved
}

// foundWithin is how long a new holder waits until the nodes that live have told it what they
// have seen: two rounds of the relays.
const foundWithin = time.Second

// Settle returns the state once it is known whether those that had seen the target before this
// holder's term live: it is asked with each decision.
func (s State) ResolveTakeover(now time.Time, answers int64) State {
	if !s.FoundAt.IsZero() && now.Sub(s.FoundAt) >= foundWithin {
		s.lost = answers < s.PriorResponses
		s.FoundAt = time.Time{}
	}
	return s
}

// shown tells whether the target has shown enough in this stage, by so many answers seen.
func (s State) shown(answers int64) bool {
	switch {
	case !s.FoundAt.IsZero():
		return false
	case s.lost:
		return answers >= leastAfterLoss
	}
	return answers-s.Responses >= leastAnswers
}

// Go returns the state at the start of another stage, with so many answers seen.
func (s State) Advance(now time.Time, next Stage, answers int64) State {
	return State{Order: s.Order, OrderedAt: s.OrderedAt, Stage: next, Since: now, Responses: answers}
}

// SeenEvery is how often the holder writes how many answers have been seen.
const ResponsesWriteInterval = 2 * time.Second

// full ends the last stage.
func (s State) full(now time.Time, f Facts) (Stage, Cause) {
	part := func(x float64) time.Duration { return time.Duration(x * float64(s.Order.Duration)) }
	late := now.Sub(s.OrderedAt) >= part(endBy)
	switch {
	case f.Target == 0:
		return StageRolledBack, CauseFewUpstream
	case f.Suspicion >= suspicion && late:
		return StageRolledBack, CauseNoVerdict
	case f.Suspicion >= suspicion:
		return StageFull, CauseSuspected
	case f.Running == 0 && now.Sub(s.Since) >= part(leastFull):
		return StageCompleted, CauseEmpty
	case late && now.Sub(s.Since) >= part(leastStep):
		return StageCompleted, CauseObserved
	}
	return StageFull, CauseNone
}

// MovesAfter is how long after a node has learned of the last stage it moves the streams that
// may go on elsewhere.
func (o Order) MovesAfter() time.Duration { return time.Duration(movedFrom * float64(o.Duration)) }
