// Package retry decides whether a failed attempt may be retried, and which upstreams to avoid for a while.
// It has no clock of its own: times are passed in, most of them as durations since an arbitrary fixed
// start. Decide serves every kind of request. The budgets differ: Budget is filled by successes, Window
// keeps a bound that operators set over all nodes.
//
// Retries can turn a short fault into a long one: if every failed request is repeated, the pool stays
// overloaded after the cause is gone. Retries are therefore paid from a budget that only successes fill.
package retry

import "time"

// Budget allows retries up to a share of recent successes.
type Budget struct {
	share   float64
	limit   float64
	tokens  float64
	floor   float64 // tokens added a second, independent of successes
	updated time.Duration
}

// NewBudget returns a budget. share is the number of retries per success; floor is the number of retries a
// second that are always allowed, so that an idle service can retry at all.
func NewBudget(share, floor float64) *Budget {
	limit := 10 + 10*floor
	return &Budget{share: share, floor: floor, limit: limit, tokens: limit / 2}
}

// Success records a successful request.
func (b *Budget) Success() { b.tokens = min(b.limit, b.tokens+b.share) }

// Take spends one retry. It returns false if none is left.
func (b *Budget) Take(now time.Duration) bool {
	if now > b.updated {
		b.tokens = min(b.limit, b.tokens+b.floor*(now-b.updated).Seconds())
		b.updated = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Attempt describes a request whose latest attempt failed.
type Attempt struct {
	Repeatable  bool // may be executed a second time
	MayHaveRun  bool // an earlier attempt may have been executed
	Sent        int  // attempts so far that count towards MaxSent
	MaxSent     int  // maximum of Sent
	TimeLeft    time.Duration
	MinTimeLeft time.Duration // minimum TimeLeft for which another attempt is worth its cost
}

// Verdict is what to do after a failed attempt.
type Verdict int

// Verdicts of Decide.
const (
	VerdictRetry   Verdict = iota
	VerdictNotRun          // give up; the request was not executed
	VerdictUnknown         // give up; the request may have been executed
)

// Reason is why a request is not retried.
type Reason int

// Reasons of Decide.
const (
	ReasonNone          Reason = iota
	ReasonDeadline             // too little time is left for a response
	ReasonNotRepeatable        // it may have been executed and is not repeatable
	ReasonAttempts             // the maximum number of attempts was made
	ReasonBudget               // the retry budget is spent
)

// Decide returns what to do after a failed attempt. take spends one retry of the budget in use; it is
// called only if everything else allows a retry.
func Decide(a Attempt, take func() bool) (Verdict, Reason) {
	why := ReasonNone
	switch {
	case a.TimeLeft <= a.MinTimeLeft:
		why = ReasonDeadline
	case a.MayHaveRun && !a.Repeatable:
		why = ReasonNotRepeatable
	case a.Sent >= a.MaxSent:
		why = ReasonAttempts
	case !take():
		why = ReasonBudget
	default:
		return VerdictRetry, ReasonNone
	}
	if a.MayHaveRun {
		return VerdictUnknown, why
	}
	return VerdictNotRun, why
}
