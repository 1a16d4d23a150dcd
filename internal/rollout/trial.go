package rollout

import "time"

// This file is one node's side of a roll-out: which of its requests go to the target, what it has observed, and
// when it stops by itself.
//
// A request may go to the target when its route's credit has reached one; each request of the route adds the
// stage's share. So a node that has had few requests sends few, and the fleet's sum is the share of all
// requests, without communication between nodes. A route starts with a part of a credit that is drawn
// uniformly: on average exactly the share of the first n requests is sent then, whatever n is, also at a
// process that is killed again and again. If routes started without credit, none of 70 nodes would send a
// request until each has had a dozen.

const (
	// trialExposureShare is the part of the allowed exposure that the first stage uses. The rest is for a
	// version that turns bad when its share rises: the steps, and what is sent while the responses that show
	// the fault are on their way.
	trialExposureShare = 0.7
	// defaultExposure is the allowed exposure where the operators set none.
	defaultExposure = 0.1
	// keepAliveTimeout is how long a keep-alive of the duties' holder counts. The holder issues one every
	// 250 ms, it takes less than a second through the relays, and one or two may be lost.
	keepAliveTimeout = 2 * time.Second
)

// Response is what is new of an upstream's response. One that starts and breaks off later is observed twice.
type Response struct {
	Started    bool      // its first event or head has arrived
	Failed     bool      // it failed
	AfterStart bool      // it failed after it had started
	First      float64   // time to the first event or the head, as a part of the expected time; 0 if unknown
	Pace       float64   // pause between the first events, in milliseconds; 0 if unknown
	HeardFrom  string    // upstream that has sent something; empty: none has
	Since      time.Time // when what First or Pace measures began
}

// Trial is one node's side of one order. It isn't safe for concurrent use.
type Trial struct {
	order         Order
	share         float64 // of the first stage
	initialCredit func(route string) float64
	stage         Stage
	since         time.Time // when this node learned of the stage
	keepAlive     KeepAlive
	keepAliveAt   time.Time // when the newest keep-alive arrived; zero if none has
	stopped       bool
	verdict       Verdict
	credits       map[string]float64
	ownTally      Tally
	peerTally     Tally
	judge         Judge
	spells        map[string]*spell // by upstream: the last one
}

// NewTrial returns a node's side of an order. exposure is the part of a service's requests that an untried
// version may get; 0 selects the default. initialCredit draws the credit that a route starts with, from 0 to 1.
func NewTrial(o Order, exposure float64, initialCredit func(route string) float64) *Trial {
	if exposure <= 0 {
		exposure = defaultExposure
	}
	return &Trial{order: o, share: trialExposureShare * exposure, initialCredit: initialCredit, credits: make(map[string]float64), ownTally: make(Tally), peerTally: make(Tally), spells: make(map[string]*spell)}
}

// Order returns the order.
func (t *Trial) Order() Order { return t.order }

// Renumber continues the trial under the revision that the order has now.
func (t *Trial) Renumber(revision int64) { t.order.Revision = revision }

// Stage returns how far the roll-out has advanced, as this node knows.
func (t *Trial) Stage() Stage { return t.stage }

// Since returns when this node learned of the stage.
func (t *Trial) Since() time.Time { return t.since }

// Stopped returns whether this node, or one whose update it has received, has found the target to be bad.
func (t *Trial) Stopped() bool { return t.stopped }

// Verdict returns this node's finding.
func (t *Trial) Verdict() Verdict { return t.verdict }

// Suspicion returns the current evidence against the target, from 0 to 1 and beyond.
func (t *Trial) Suspicion() float64 { return t.judge.Suspicion() }

// Clear returns whether the target's newest responses are evidence for it.
func (t *Trial) Clear() bool { return t.judge.Clear() }

// Total returns the counts of all responses that this node knows of.
func (t *Trial) Total() Tally { return t.ownTally.Plus(t.peerTally) }

// Update returns what this node reports: its own counts, and the state that all nodes share.
func (t *Trial) Update() Update {
	return Update{Service: t.order.Service, Target: t.order.Target, Order: t.order.Revision, Stage: t.stage, KeepAlive: t.keepAlive, Stopped: t.stopped, Tally: t.ownTally}
}

// IssueKeepAlive issues a keep-alive; only the holder of the duties calls it.
func (t *Trial) IssueKeepAlive(now time.Time, term int64) {
	s := KeepAlive{Term: term, Sequence: 1}
	if t.keepAlive.Term == term {
		s.Sequence = t.keepAlive.Sequence + 1
	}
	t.applyKeepAlive(now, s)
}

// AdvanceTo sets a stage that the store holds. An earlier stage than the current one changes nothing.
func (t *Trial) AdvanceTo(now time.Time, s Stage) {
	if s > t.stage {
		t.stage, t.since = s, now
	}
}

// ApplyUpdate merges the state of this order as other nodes report it. It does not use the tally of w, which
// counts the responses of the other nodes: see SetPeerTally.
func (t *Trial) ApplyUpdate(now time.Time, w Update) {
	if w.Order != t.order.Revision {
		return
	}
	t.AdvanceTo(now, w.Stage)
	t.stopped = t.stopped || w.Stopped
	t.applyKeepAlive(now, w.KeepAlive)
}

// SetPeerTally sets what all other nodes have counted, and evaluates the target again. It returns whether this
// made the node stop.
func (t *Trial) SetPeerTally(sum Tally) bool {
	t.peerTally = sum
	return t.evaluate()
}

func (t *Trial) evaluate() bool {
	t.verdict = t.judge.Add(t.Total())
	if !t.verdict.Bad || t.stopped || t.stage.Ended() {
		return false
	}
	t.stopped = true
	return true
}

func (t *Trial) applyKeepAlive(now time.Time, s KeepAlive) {
	if s.newer(t.keepAlive) {
		t.keepAlive, t.keepAliveAt = s, now
	}
}

// HasKeepAlive returns whether a keep-alive of the duties' holder arrived recently.
func (t *Trial) HasKeepAlive(now time.Time) bool {
	return !t.keepAliveAt.IsZero() && now.Sub(t.keepAliveAt) <= keepAliveTimeout
}

// TakeCredit adds a request of the service to its route's credit, and returns whether the request goes to the
// target on trial.
func (t *Trial) TakeCredit(now time.Time, route string) bool {
	s := t.stage.share(t.share)
	if s == 0 || t.stopped || !t.HasKeepAlive(now) {
		return false
	}
	c, ok := t.credits[route]
	if !ok {
		c = t.initialCredit(route)
	}
	c += s
	if c < 1 {
		t.credits[route] = c
		return false
	}
	t.credits[route] = min(c-1, 1)
	return true
}

// ReturnCredit returns the credit of a request that was not sent to the target after all.
func (t *Trial) ReturnCredit(route string) { t.credits[route] = min(t.credits[route]+1, 1) }

// Side says which upstreams of a service take the requests that do not go to the target on trial.
type Side int

// The sides.
const (
	SideInService Side = iota // the version in service only
	SideTarget                // the target, if it has any upstreams
)

// Side returns which upstreams take these requests.
func (t *Trial) Side(now time.Time) Side {
	switch {
	case t.stage == StageCompleted:
		return SideTarget
	case t.stage == StageFull && !t.stopped && t.HasKeepAlive(now):
		return SideTarget
	}
	return SideInService
}

// TrialUpstreams returns how many upstreams of the target take requests on trial, given the number of those of
// the version in service: each is then as loaded as one of these.
func (t *Trial) TrialUpstreams(inService int) int {
	return max(1, int(t.stage.share(t.share)*float64(inService)+0.5))
}

// Observe counts a response of the target's upstream of a rank or, with rank -1, of the version in service. It
// returns whether this made the node stop.
func (t *Trial) Observe(route string, rank int, a Response) bool {
	c := &t.ownTally.row(route)[cellOf(rank)]
	if a.Started || a.Failed && !a.AfterStart {
		c.Responses++
	}
	if a.Failed {
		c.Failed++
	}
	if s := t.spells[a.HeardFrom]; s == nil || !s.excuses(a.Since) {
		c.First.add(a.First)
		c.Pace.add(a.Pace / paceUnitMs)
	}
	return rank >= 0 && t.evaluate()
}

// paceUnitMs is the middle of the scale of pauses: an engine produces an event of three tokens in 20 to 100 ms.
const paceUnitMs = 40.0
