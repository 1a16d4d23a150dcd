package rollout

import "time"

// This file is the side of the duties' holder: when a roll-out advances to its next stage, and when it ends.
// All periods are parts of the duration that the operators set.
//
// The first stage lasts for two thirds of it, since versions may turn bad late and a small share is the
// cheapest way to detect that. Then each step is observed before the next. The upstreams of the version in
// service are stopped when the roll-out is reported as completed, so before that report they get no new
// requests, and running ones have ended or moved.
//
// No step is taken while the target is suspected, has too few responses, or has too few upstreams for the load
// of the next stage. If it is too late to take all steps, or the duration is over, the target is rolled back:
// a version that was not shown to be good does not get callers because time ran out, and the version in
// service carries them meanwhile.

const (
	trialEnd   = 0.62  // end of the first stage, as a part of the duration
	stepLength = 0.075 // length of each later step
	// latestStepStart is when the first step has to have started: what is left is for the steps, each at
	// least minStepLength long, and for the streams that still run. A holder that is lost right before the
	// steps is replaced in two to three seconds, which shortens them.
	latestStepStart = 0.84
	minStepLength   = 0.025
	// moveDelay is how long into the last stage streams that can resume elsewhere are moved, and
	// minFullLength the shortest observation of that stage.
	moveDelay     = 0.06
	minFullLength = 0.06
	// latestEnd is when the completion is reported at the latest, whatever still runs, so that it reaches the
	// store in time, and latestFullStart when the last stage has to have started.
	latestEnd       = 0.965
	latestFullStart = 0.93
	// maxSuspicion is the suspicion, as a part of the stop bound, from which the target gets no larger share,
	// and maxSuspicionFull that from which it does not get all: in the last stage there is no baseline.
	maxSuspicion     = 0.6
	maxSuspicionFull = 0.35
	// minResponses is how many responses of the target running processes have to see in a stage before it
	// gets a larger share. Responses seen before a loss of all nodes say nothing of a version that has turned
	// bad since, and a version that is several times slower has few responses by then.
	minResponses = 20
	// minResponsesAfterLoss is the same where the nodes that had observed the target are lost: their
	// responses were judged and the result is gone. With minResponses, versions that are slow on one route
	// exceed the exposure if all nodes are lost during the roll-out.
	minResponsesAfterLoss = 80
	// minUpstreamShare is the number of upstreams that the target needs before it gets a larger share,
	// relative to that of the version in service.
	minUpstreamShare = 0.5
)

// Cause says why a roll-out advances, ends or waits.
type Cause int

// The causes.
const (
	CauseNone Cause = iota
	CauseOrdered
	CauseObserved     // the stage was observed without a finding
	CauseDrained      // no request runs at the previous version any more
	CauseNoOldVersion // all upstreams are of the target from the start
	CauseBad          // the target is worse than the version in service
	CauseNoVerdict    // the duration is over, or too short for the remaining steps
	CauseInvalid      // the order cannot be carried out
	CauseWithdrawn    // the order was removed, or replaced by another one
	CauseSuspected    // waits: there is evidence against the target
	CauseFewResponses // waits: the target has had too few responses
	CauseFewUpstreams // waits: the target has too few upstreams
)

// String returns the cause's name for logs.
func (c Cause) String() string {
	return [...]string{
		"none", "ordered", "observed", "empty", "nothing_old", "bad", "no_verdict", "invalid", "withdrawn", "suspected", "few_answers", "few_upstreams",
	}[c]
}

// State is the stored state of a roll-out.
type State struct {
	Order     Order
	OrderedAt time.Time // when the order was given, as far as is known
	Stage     Stage
	Since     time.Time // when the stage started
	// Responses is how many responses of the target had been seen when the stage started.
	// PriorResponses is how many had been seen when the previous holder last stored their number; 0 if the
	// stage started under this holder.
	Responses      int64
	PriorResponses int64
	FoundAt        time.Time // when this holder read the stage from the store; zero if it started under this holder
	observersLost  bool      // the nodes that had observed the target before are gone
}

// Facts are what the holder knows when it decides.
type Facts struct {
	Invalid       bool
	Withdrawn     bool
	Target        int   // upstreams of the target that take requests
	OtherVersions int   // upstreams of other versions
	Running       int   // requests at upstreams of other versions
	Responses     int64 // of the target, seen by running processes
	Stopped       bool
	Suspicion     float64 // evidence against the target; 1 stops it
	Clear         bool    // the target's newest responses are evidence for it
}

// Next returns the stage that a roll-out should be in, and why.
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
		return s.leaveFull(now, f)
	case past >= part(latestStepStart) && s.Stage <= StageTrial, past >= part(latestFullStart):
		return StageRolledBack, CauseNoVerdict
	case s.Stage == StageWaiting:
		return s.leaveWaiting(f)
	case s.Stage == StageTrial && past < part(trialEnd), s.Stage > StageTrial && now.Sub(s.Since) < s.stepDuration():
		return s.Stage, CauseNone
	}
	return s.nextStep(f)
}

// stepDuration returns how long a step is observed: less if it started late.
func (s State) stepDuration() time.Duration {
	late := float64(s.Since.Sub(s.OrderedAt))/float64(s.Order.Duration) - trialEnd - float64(s.Stage-StageFifth)*stepLength
	return time.Duration(max(minStepLength, stepLength-max(0, late)) * float64(s.Order.Duration))
}

// leaveWaiting returns the stage that follows the waiting stage, if it can be left.
func (s State) leaveWaiting(f Facts) (Stage, Cause) {
	switch {
	case f.Target > 0 && f.OtherVersions == 0:
		return StageCompleted, CauseNoOldVersion
	case f.Target == 0:
		return StageWaiting, CauseFewUpstreams
	}
	return StageTrial, CauseOrdered
}

// nextStep advances the roll-out unless there is a reason against it.
func (s State) nextStep(f Facts) (Stage, Cause) {
	switch {
	case f.Suspicion >= maxSuspicion, s.Stage == StageTwoFifths && f.Suspicion >= maxSuspicionFull:
		return s.Stage, CauseSuspected
	case s.Stage >= StageFifth && !f.Clear:
		return s.Stage, CauseSuspected
	case !s.enoughResponses(f.Responses):
		return s.Stage, CauseFewResponses
	case float64(f.Target) < minUpstreamShare*float64(f.OtherVersions):
		return s.Stage, CauseFewUpstreams
	}
	return s.Stage + 1, CauseObserved
}

// takeoverWait is how long a new holder waits for the running nodes to report what they have seen: two rounds
// of the relays.
const takeoverWait = time.Second

// ResolveTakeover returns the state once it is known whether the nodes that had observed the target before
// this holder's term still run. It is called before each decision.
func (s State) ResolveTakeover(now time.Time, responses int64) State {
	if !s.FoundAt.IsZero() && now.Sub(s.FoundAt) >= takeoverWait {
		s.observersLost = responses < s.PriorResponses
		s.FoundAt = time.Time{}
	}
	return s
}

// enoughResponses returns whether so many responses of the target are enough to leave this stage.
func (s State) enoughResponses(responses int64) bool {
	switch {
	case !s.FoundAt.IsZero():
		return false
	case s.observersLost:
		return responses >= minResponsesAfterLoss
	}
	return responses-s.Responses >= minResponses
}

// Advance returns the state at the start of another stage, with the number of responses seen so far.
func (s State) Advance(now time.Time, next Stage, responses int64) State {
	return State{Order: s.Order, OrderedAt: s.OrderedAt, Stage: next, Since: now, Responses: responses}
}

// ResponsesWriteInterval is how often the holder stores the number of responses seen.
const ResponsesWriteInterval = 2 * time.Second

// leaveFull returns the stage that follows the full stage, if it can be left.
func (s State) leaveFull(now time.Time, f Facts) (Stage, Cause) {
	part := func(x float64) time.Duration { return time.Duration(x * float64(s.Order.Duration)) }
	late := now.Sub(s.OrderedAt) >= part(latestEnd)
	switch {
	case f.Target == 0:
		return StageRolledBack, CauseFewUpstreams
	case f.Suspicion >= maxSuspicion && late:
		return StageRolledBack, CauseNoVerdict
	case f.Suspicion >= maxSuspicion:
		return StageFull, CauseSuspected
	case f.Running == 0 && now.Sub(s.Since) >= part(minFullLength):
		return StageCompleted, CauseDrained
	case late && now.Sub(s.Since) >= part(minStepLength):
		return StageCompleted, CauseObserved
	}
	return StageFull, CauseNone
}

// MovesAfter returns how long after a node has learned of the last stage it moves the streams that can resume
// elsewhere.
func (o Order) MovesAfter() time.Duration { return time.Duration(moveDelay * float64(o.Duration)) }
