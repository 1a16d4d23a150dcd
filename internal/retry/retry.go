// Package retry decides whether a failed attempt may be tried again, and which
// upstreams to leave alone for a while. It is pure: time comes in as a duration
// since any fixed start. Decide is asked for every kind of request; what differs is the
// budget: Budget where successes pay, Window where operators state a bound over all nodes.
//
// Retries are what turns a short fault into a long one: when every failed request
// comes back, the pool stays overloaded after the cause is gone. So retries are
// paid from a budget that only successes fill.
package retry

import "time"

// Budget allows a share of recent successes to be spent on retries.
type Budget struct {
	share   float64
	limit   float64
	tokens  float64
	floor   float64 // tokens a second that come without successes
	updated time.Duration
}

// NewBudget returns a budget: share is retries per success, floor is the retries a
// second that are always allowed, so that an idle service can retry at all.
func NewBudget(share, floor float64) *Budget {
	limit := 10 + 10*floor
	return &Budget{share: share, floor: floor, limit: limit, tokens: limit / 2}
}

// Success tells of a request that succeeded.
func (b *Budget) Success() { b.tokens = min(b.limit, b.tokens+b.share) }

// Take spends one retry, or says that there is none left.
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

// Attempt is what is known of a request whose last attempt has failed.
type Attempt struct {
	Repeatable bool // it may run again after it may have run
	MayHaveRun bool // some attempt of it may have
	Sent       int  // attempts that count
	MaxSent       int  // of these, at most
	TimeLeft       time.Duration
	MinTimeLeft      time.Duration // time left that makes another attempt worth its cost
}

// Verdict is what to do after a failed attempt.
type Verdict int

// The verdicts.
const (
	VerdictRetry   Verdict = iota
	VerdictNotRun          // give up; nothing ran
	VerdictUnknown         // give up; it may have run
)

// Reason is why a request isn't tried again.
type Reason int

// The reasons.
const (
	ReasonNone     Reason = iota
	ReasonDeadline            // the time for an answer is over, or nearly so
	ReasonNotRepeatable            // it may have run and may not run twice
	ReasonAttempts        // it has had as many as it may
	ReasonBudget          // the budget is spent
)

// Decide says what follows a failed attempt. take spends one retry of whatever budget there
// is, if everything else allows it.
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
