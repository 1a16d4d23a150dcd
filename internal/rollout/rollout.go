// Package rollout moves a service's traffic to upstreams of another version, step by step, and back if that
// version is bad.
//
//	rollout.go   orders, stages, updates between nodes
//	tally.go     counts of responses by route, which add up over nodes
//	judge.go     whether the target is worse than the version in service
//	trial.go     one node's side: which requests go to the target
//	plan.go      the side of the duties' holder: when the next stage starts
//
// Nodes agree only on the stage, which is stored and only rises. Each node holds its own part of the target's
// share by its own counts, so the sum holds whichever nodes are killed or partitioned. Each judges by all
// responses that it knows of, its own at once, and the first to find the target bad stops all: its counts and
// the stop spread with the reports.
//
// The holder of the duties raises the stage after the store has accepted it, and sends keep-alives. A node that
// has not received one for a while sends nothing to the target: a node that is out of touch, or partitioned
// together with a holder that cannot reach the store, stops by itself.
//
// Alternatives considered: a share drawn by the request's id, the same at each node. It is as exact on average
// and needs no counts, but one route's requests come in bursts, and a burst is sent as a whole. One node that
// sends for the whole fleet: it has to be found, replaced and trusted, and all evidence on the target is lost
// with it.
//
// The package is pure: the time is passed in.
package rollout

import (
	"time"

	"github.com/joomcode/errorx"

	"spurhall.example/spurhall/internal/era"
	"spurhall.example/spurhall/internal/fault"
)

var errs = errorx.NewNamespace("rollout")

// ErrOrder says that an order cannot be carried out.
var ErrOrder = errs.NewType("order").New("the roll-out can't be carried out")

// Order asks for a service's traffic to be moved to a version.
type Order struct {
	Service  string
	Target   string        // version
	Duration time.Duration // from the order on
	Revision int64         // of the store, at which the order was given
}

// Continues returns whether the order was known by another revision before: either the store was restored
// from an older copy, or the order was written there again. The two differ in their era; within one era, an
// order of the same target that is written again is a new one.
func (o Order) Continues(revision int64, target string) bool {
	return era.Of(o.Revision) > era.Of(revision) && o.Target == target
}

// Check returns an ErrOrder that says what is wrong with the order, or nil.
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

// Stage is how far a roll-out has advanced. A later stage supersedes an earlier one.
type Stage int

// The stages.
const (
	StageWaiting    Stage = iota // the target gets no requests yet
	StageTrial                   // a few upstreams of the target get a small share
	StageFifth                   // the target gets a fifth
	StageTwoFifths               // the target gets two fifths
	StageFull                    // the target gets all new requests
	StageCompleted               // no upstreams of the previous version are left
	StageRolledBack              // the target gets no requests any more
)

// String returns the stage's name for logs.
func (s Stage) String() string {
	if !s.Known() {
		return "unknown"
	}
	return [...]string{"waiting", "trial", "fifth", "two_fifths", "full", "completed", "rolled_back"}[s]
}

// Known returns whether this build knows the stage: a node of another build may report one that it does not.
func (s Stage) Known() bool { return s >= StageWaiting && s <= StageRolledBack }

// Ended returns whether the roll-out has ended.
func (s Stage) Ended() bool { return s >= StageCompleted }

// share returns the target's part of a service's requests while it is on trial; trial is that of the first
// stage.
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

// KeepAlive is a keep-alive of the duties' holder. A later term supersedes an earlier one.
type KeepAlive struct {
	Term     int64 // the holder's fencing token
	Sequence int64 // rises within a term
}

// newer returns whether s was issued after o.
func (s KeepAlive) newer(o KeepAlive) bool {
	return s.Term > o.Term || s.Term == o.Term && s.Sequence > o.Sequence
}

// Update is the known state of a roll-out, of one node or of several together.
type Update struct {
	Service   string
	Target    string
	Order     int64 // revision of the order
	Stage     Stage
	KeepAlive KeepAlive
	Stopped   bool // a node has found the target to be bad
	Tally     Tally
}

// Merge merges more into list, which has to be nil or a result of Merge, and returns it. A newer order of a
// service replaces an older one.
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
