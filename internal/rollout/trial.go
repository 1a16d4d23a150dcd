package rollout

import "time"

// This file is one node's side of a roll-out: which of its requests go to the target, what it
// has seen, and when it stops by itself.
//
// A request may go to the target when its route's credit has come to a whole one; each
// request of the route adds the stage's share. So a node that has had few requests sends few,
// and the fleet's sum is the share of what came, without a word between nodes. A route begins
// with a part of a credit that is drawn evenly: on average exactly the share of the first n
// requests is offered then, whatever n is, also at a process that is killed again and again.
// Beginning with none, all of 70 nodes would be silent until each has had a dozen requests.

const (
	// trialPart is the part of the allowed exposure that the first stage uses. The rest is
	// for a version that turns bad when it is given more: the steps, and what is sent while
	// the answers that show it are on their way.
	trialPart = 0.7
	// defaultExposure is the exposure allowed where the operators don't say.
	defaultExposure = 0.1
	// signKeeps is how long a sign of life of the duties' holder counts: it gives one each
	// quarter of a second, which is under a second on its way through the relays, and one or
	// two may be lost.
	signKeeps = 2 * time.Second
)

// Answer is what is new of an answer of an upstream. One that begins and breaks off later is
// noted twice.
type Response struct {
	Started  bool    // its first event or head has come
	Failed bool    // it failed
	AfterStart  bool    // after it had begun
	First  float64 // time to the first event or the head, as a part of what was expected; 0: not known
	Pace   float64 // pause between the first events, in milliseconds; 0: not known
}

// Trial is one node's side of one order. It isn't safe for concurrent use.
type Trial struct {
	order   Order
	share   float64 // of the first stage
	seed    func(route string) float64
	stage   Stage
	since   time.Time // when this node learned of the stage
	sign    KeepAlive
	signed  time.Time // when the newest sign came; zero: none has
	stopped bool
	verdict Verdict
	credits map[string]float64
	own     Tally
	others  Tally
	judge   Judge
}

// NewTrial returns a node's side of an order. exposure is the part of a service's requests
// that an untried version may get; 0 leaves it to this package. seed draws the credit that a
// route begins with, from 0 to 1.
func NewTrial(o Order, exposure float64, seed func(route string) float64) *Trial {
	if exposure <= 0 {
		exposure = defaultExposure
	}
	return &Trial{order: o, share: trialPart * exposure, seed: seed, credits: make(map[string]float64), own: make(Tally), others: make(Tally)}
}

// Order returns what was ordered.
func (t *Trial) Order() Order { return t.order }

// Renumber goes on under the revision that the order has now.
func (t *Trial) Renumber(revision int64) { t.order.Revision = revision }

// Stage returns how far the roll-out has come, as this node knows.
func (t *Trial) Stage() Stage { return t.stage }

// Since returns when this node learned of the stage.
func (t *Trial) Since() time.Time { return t.since }

// Stopped tells whether this node, or one that it has heard of, has seen enough.
func (t *Trial) Stopped() bool { return t.stopped }

// Verdict returns what this node finds.
func (t *Trial) Verdict() Verdict { return t.verdict }

// Suspicion returns how much speaks against the target now, from 0 to 1 and beyond.
func (t *Trial) Suspicion() float64 { return t.judge.Suspicion() }

// Clear tells whether the target's newest answers speak for it.
func (t *Trial) Clear() bool { return t.judge.Clear() }

// Total is all that this node knows of the answers.
func (t *Trial) Total() Tally { return t.own.Plus(t.others) }

// Word is what this node tells: what it has seen itself, and what is known to all.
func (t *Trial) Update() Update {
	return Update{Service: t.order.Service, Target: t.order.Target, Order: t.order.Revision, Stage: t.stage, KeepAlive: t.sign, Stopped: t.stopped, Tally: t.own}
}

// SignNow gives a sign of life, as the holder of the duties.
func (t *Trial) IssueKeepAlive(now time.Time, term int64) {
	s := KeepAlive{Term: term, Sequence: 1}
	if t.sign.Term == term {
		s.Sequence = t.sign.Sequence + 1
	}
	t.take(now, s)
}

// Raise takes in a stage that stands in the store.
func (t *Trial) AdvanceTo(now time.Time, s Stage) {
	if s > t.stage {
		t.stage, t.since = s, now
	}
}

// Hear takes in what is known of this order elsewhere, and tells whether the node stops by it.
// What the word tells of answers is that of all other nodes that it covers.
func (t *Trial) ApplyUpdate(now time.Time, w Update) {
	if w.Order != t.order.Revision {
		return
	}
	t.AdvanceTo(now, w.Stage)
	t.stopped = t.stopped || w.Stopped
	t.take(now, w.KeepAlive)
}

// Others sets what all other nodes have seen, and judges anew. It tells whether this made the
// node stop.
func (t *Trial) SetPeerTally(sum Tally) bool {
	t.others = sum
	return t.judgeNow()
}

func (t *Trial) judgeNow() bool {
	t.verdict = t.judge.Take(t.Total())
	if !t.verdict.Bad || t.stopped || t.stage.Ended() {
		return false
	}
	t.stopped = true
	return true
}

func (t *Trial) take(now time.Time, s KeepAlive) {
	if s.newer(t.sign) {
		t.sign, t.signed = s, now
	}
}

// Signed tells whether the holder of the duties was heard of lately.
func (t *Trial) HasKeepAlive(now time.Time) bool {
	return !t.signed.IsZero() && now.Sub(t.signed) <= signKeeps
}

// Offer counts a request that comes to the service, and tells whether it goes to the target
// on trial.
func (t *Trial) TakeCredit(now time.Time, route string) bool {
	s := t.stage.share(t.share)
	if s == 0 || t.stopped || !t.HasKeepAlive(now) {
		return false
	}
	c, ok := t.credits[route]
	if !ok {
		c = t.seed(route)
	}
	c += s
	if c < 1 {
		t.credits[route] = c
		return false
	}
	t.credits[route] = min(c-1, 1)
	return true
}

// Return gives back what was offered and not sent.
func (t *Trial) ReturnCredit(route string) { t.credits[route] = min(t.credits[route]+1, 1) }

// Side is which upstreams of a service take what isn't offered to the target.
type Side int

// The sides.
const (
	SideInService Side = iota // the version in service only
	SideTarget                // the target, if any of it is there
)

// Side returns which upstreams take requests.
func (t *Trial) Side(now time.Time) Side {
	switch {
	case t.stage == StageCompleted:
		return SideTarget
	case t.stage == StageFull && !t.stopped && t.HasKeepAlive(now):
		return SideTarget
	}
	return SideInService
}

// Trials is how many upstreams of the target take requests on trial, where so many of the
// version in service do: each is as full as one of these.
func (t *Trial) TrialUpstreams(inService int) int {
	return max(1, int(t.stage.share(t.share)*float64(inService)+0.5))
}

// Note takes in an answer: of the target's upstream of that rank, or, with rank -1, of the
// version in service. It tells whether this made the node stop.
func (t *Trial) Observe(route string, rank int, a Response) bool {
	g := groupInService
	if rank >= 0 {
		g = groupOf(rank)
	}
	c := &t.own.row(route)[g]
	if a.Started || a.Failed && !a.AfterStart {
		c.Responses++
	}
	if a.Failed {
		c.Failed++
	}
	c.First.add(a.First)
	c.Pace.add(a.Pace / paceUnit)
	return rank >= 0 && t.judgeNow()
}

// paceUnit is the middle of the scale of pauses, in milliseconds: an engine makes an event of
// three tokens in 20 to 100.
const paceUnit = 40.0
