// Package rollout moves a service's traffic to upstreams of another version, step by step,
// and back if that version is bad.
//
//	rollout.go   orders, stages, what is known of a roll-out at one place
//	tally.go     what answers were like, by route, as counts that add up
//	judge.go     whether the target is worse than the version in service
//	trial.go     one node's side: which requests go to the target
//	plan.go      the side of the duties' holder: when the next stage begins
//
// Nodes agree on nothing but the stage, which stands in the store and only rises. Each holds
// its own part of the target's share by its own counts, so the sum holds whoever is killed or
// cut off. Each judges by all answers that it hears of, its own at once, and the first to see
// enough stops all: what it has seen and that it has stopped spread with the reports.
//
// The holder of the duties raises the stage after the store has taken it, and sends a sign of
// life on. A node that hasn't got one for a while sends nothing to the target: whoever is out
// of touch, or cut off with a holder that can't reach the store, stops by itself.
//
// Weighed: a share drawn by the request's id, the same at each node. It is as exact on
// average and needs no counts, but one route's requests come in clumps, and a clump is sent
// whole. One node that sends for the whole fleet: it has to be found, replaced and believed,
// and all the target's evidence goes with it.
//
// The package is pure: time comes in.
package rollout

import (
	"time"

	"github.com/joomcode/errorx"

	"spurhall.example/spurhall/internal/era"
	"spurhall.example/spurhall/internal/fault"
)

var errs = errorx.NewNamespace("rollout")

// ErrOrder says that an order can't be carried out.
var ErrOrder = errs.NewType("order").New("the roll-out can't be carried out")

// Order asks that a service's traffic be moved to a version.
type Order struct {
	Service  string
	Target   string        // version
	Duration time.Duration // from the order on
	Revision int64         // of the store, at which it was given
}

// Continues tells whether an order is one that was known by another revision before: as a store that came
// back from an older copy has it, or as it was written there again. The two differ in their era; within
// one era, an order of the same target that is written again is a new one.
func (o Order) Continues(revision int64, target string) bool {
	return era.Of(o.Revision) > era.Of(revision) && o.Target == target
}

// Check says with ErrOrder what is wrong with an order.
func (o Order) Check() error {
	switch {
	case o.Service == "":
		return fault.Because(ErrOrder, "it names no service")
	case o.Target == "":
		return fault.Because(ErrOrder, "it names no version")
	case o.Duration <= 0:
		return fault.Because(ErrOrder, "it lasts %v: it has to last longer than 0", o.Duration)
	}
	return nil
}

// Stage is how far a roll-out has come. A later one counts over an earlier one.
type Stage int

// The stages.
const (
	StageWaiting    Stage = iota // the target gets nothing yet
	StageTrial                   // a few upstreams of the target get a small share
	StageFifth                   // the target gets a fifth
	StageTwoFifths               // the target gets two fifths
	StageFull                    // the target gets all that is new
	StageCompleted               // the version before is gone
	StageRolledBack              // the target gets nothing any more
)

// String returns the stage's name for logs.
func (s Stage) String() string {
	if !s.Known() {
		return "unknown"
	}
	return [...]string{"waiting", "trial", "fifth", "two_fifths", "full", "completed", "rolled_back"}[s]
}

// Known tells whether this is a stage: a node of another version may tell of one that isn't known here.
func (s Stage) Known() bool { return s >= StageWaiting && s <= StageRolledBack }

// Ended tells whether the stage is the last one.
func (s Stage) Ended() bool { return s >= StageCompleted }

// share is the target's part of a service's requests while it is on trial; trial is that of
// the first stage.
func (s Stage) share(trial float64) float64 {
	switch s {
	case StageTrial:
		return trial
	case StageFifth:
		return 0.2
	case StageTwoFifths:
		return 0.4
	}
	return 0
}

// Sign is a sign of life of the duties' holder. A later term counts over an earlier one.
type KeepAlive struct {
	Term int64 // the holder's fencing token
	Sequence int64 // rises within a term
}

// newer tells whether s was given after o.
func (s KeepAlive) newer(o KeepAlive) bool {
	return s.Term > o.Term || s.Term == o.Term && s.Sequence > o.Sequence
}

// Word is what is known of a roll-out at one place: by a node, or by several together.
type Update struct {
	Service string
	Target  string
	Order   int64 // revision of the order
	Stage   Stage
	KeepAlive    KeepAlive
	Stopped bool // somebody has seen enough of the target
	Tally   Tally
}

// Merge adds to a list of words, which only this function has made, what another list tells,
// and returns it. A newer order of a service takes an older one's place.
func Merge(list []Update, more []Update) []Update {
	for _, w := range more {
		list = merge(list, w)
	}
	return list
}

func merge(list []Update, w Update) []Update {
	for i := range list {
		v := &list[i]
		if v.Service != w.Service {
			continue
		}
		switch {
		case w.Order > v.Order:
			*v = w
			v.Tally = w.Tally.Plus(nil)
		case w.Order == v.Order:
			v.Stage = max(v.Stage, w.Stage)
			v.Stopped = v.Stopped || w.Stopped
			v.Tally.add(w.Tally)
			if w.KeepAlive.newer(v.KeepAlive) {
				v.KeepAlive = w.KeepAlive
			}
		}
		return list
	}
	w.Tally = w.Tally.Plus(nil)
	return append(list, w)
}
