package pool

import (
	"time"

	"spurhall.example/spurhall/internal/era"
)

// This file distinguishes incarnations of an upstream that have the same id.
//
// Entries usually state the upstream's start time, and two start times mean two incarnations. Without a
// start time, a process that is restarted in place looks like the one before, and what that one declared
// as final, such as leaving, would apply to the new one: a pool of such processes would become empty after
// all of them restarted. Other evidence therefore ends an incarnation without a start time:
//
//   - its entry states a start time and did not before: the software was replaced, and with it the
//     process
//   - its address or its version has changed
//   - its entry had declared that it leaves, and now says ready: a declaration is never withdrawn
//   - its entry was absent for longer than that of a running upstream may be
//
// Each is wrong only if an upstream does what the platform rules out: returns from leaving to ready,
// changes its address, or is silent for long and leaves without declaring it. It is then sent one more
// request, and its response says again that it leaves. These are not evidence: an entry that says ready
// after a response said leaving, as the two may arrive out of order; an entry that was lost with the store
// or restored from an older copy of it; and time alone.
//
// The node that reads the store decides which incarnation an entry belongs to, and forwards it as a
// revision (Entry.StartRevision), because other nodes have not seen all of the evidence.
//
// Alternatives considered: a generated start time for each such incarnation. Nodes that first saw
// different entries would name one incarnation differently, and would not apply each other's reports on
// it.

// dropped is an entry that was dropped from the list, and when.
type dropped struct {
	Item
	at time.Time
}

// isOtherIncarnation reports whether two entries of an id are of different incarnations, where neither is
// known to be later.
func (e Entry) isOtherIncarnation(o Entry) bool {
	if e.Version != o.Version {
		return true // a process keeps its software
	}
	if e.Born == 0 && o.Born == 0 {
		return e.Address != o.Address || e.StartRevision != o.StartRevision
	}
	return e.Born != o.Born
}

// startsIncarnation reports whether an entry that was written after another one of its id belongs to a
// later incarnation.
func (v *Item) startsIncarnation(old Item) bool {
	e, o := v.Entry, old.Entry
	switch {
	case e.Born != 0:
		return e.Born != o.Born
	case o.Born != 0:
		return false // of the listed incarnation
	case e.StartRevision != 0:
		return e.StartRevision > o.StartRevision
	case e.Address != o.Address || e.Version != o.Version:
		return true
	}
	return o.Declared && !e.Declared && v.Revision > old.Revision && era.Of(v.Revision) == era.Of(old.Revision)
}

// setStart makes the entry the first one of a later incarnation than old's.
func (v *Item) setStart(old Item) {
	if v.Entry.Born == 0 && v.Entry.StartRevision <= old.Entry.StartRevision {
		v.Entry.StartRevision = v.Revision
	}
}

// inheritFrom makes the entry one of old's incarnation: what that one declared as final still applies.
func (v *Item) inheritFrom(old Item) {
	e, o := &v.Entry, old.Entry
	e.Leaving = e.Leaving || o.Leaving
	e.Declared = e.Declared || o.Declared
	e.StartRevision = max(e.StartRevision, o.StartRevision)
	if e.Born == 0 {
		e.Born = o.Born
	}
}

// reappear applies an entry of an id that is not listed.
func (l *List) reappear(v *Item) {
	old, ok := l.dropped[v.Entry.ID]
	switch {
	case !ok:
	case v.startsIncarnation(old.Item), v.Entry.Born == 0 && old.Entry.Born == 0 && l.wasAbsent(old):
		v.setStart(old.Item)
		l.ended[v.Entry.ID] = true
	default:
		v.inheritFrom(old.Item)
	}
}

// wasAbsent reports whether an entry was absent for longer than that of a running upstream may be. During
// an outage of the store no upstream can write; running ones write again soon after it.
func (l *List) wasAbsent(v dropped) bool {
	return l.now.Sub(v.at) >= lapseGrace && !l.now.Before(l.graceUntil)
}
