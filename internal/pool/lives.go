package pool

import (
	"time"

	"spurhall.example/spurhall/internal/era"
)

// This file tells one life of an upstream from another under the same id.
//
// Entries name the upstream's birth, as a rule, and two births are two lives. Where none is named, a process
// that is restarted in place looks like the one before, and what that one said for good would hold for it,
// too: a pool of such processes empties with each restart. So other evidence ends a life that names no birth:
//
//   - a birth is named where none was: the software was replaced, and with it the process
//   - its address is another one
//   - its entry has declared that it leaves, and says later that it is ready: that is never taken back
//   - its entry was gone for longer than that of a living upstream may be
//
// Each is wrong where an upstream does what the platform rules out: goes back from leaving to ready, moves, or is
// silent for long and leaves without declaring it. It is then asked once more, and its answer says again
// that it leaves. No evidence is an entry that says ready after an answer said otherwise (they may overtake each other),
// one that went with the store or came with an older copy of it, and time alone.
//
// Which life an entry is of is concluded by who reads the store, and told on as a revision (Entry.Begun), since
// who is told hasn't seen all that led to it.
//
// Weighed: a birth of our own for each such life. Nodes that saw different entries first would name one life
// differently, and none would believe another's word of it.

// dropped is an entry that isn't held any more, and since when.
type dropped struct {
	Item
	at time.Time
}

// another tells whether two entries of an id, of which neither is known to be the later, are of different lives.
func (e Entry) another(o Entry) bool {
	if e.Born == 0 && o.Born == 0 {
		return e.Address != o.Address || e.StartRevision != o.StartRevision
	}
	return e.Born != o.Born
}

// begins tells whether an entry, that was written after another one of its id, is of a later life.
func (v *Item) begins(old Item) bool {
	e, o := v.Entry, old.Entry
	switch {
	case e.Born != 0:
		return e.Born != o.Born
	case o.Born != 0:
		return false // it is of the life that is held
	case e.StartRevision != 0:
		return e.StartRevision > o.StartRevision
	case e.Address != o.Address:
		return true
	}
	return o.Declared && !e.Declared && v.Revision > old.Revision && era.Of(v.Revision) == era.Of(old.Revision)
}

// begin makes the entry the first one of a later life than that of old.
func (v *Item) begin(old Item) {
	if v.Entry.Born == 0 && v.Entry.StartRevision <= old.Entry.StartRevision {
		v.Entry.StartRevision = v.Revision
	}
}

// goOn makes the entry one of old's life: what that one said for good holds on.
func (v *Item) goOn(old Item) {
	e, o := &v.Entry, old.Entry
	e.Leaving = e.Leaving || o.Leaving
	e.Declared = e.Declared || o.Declared
	e.StartRevision = max(e.StartRevision, o.StartRevision)
	if e.Born == 0 {
		e.Born = o.Born
	}
}

// comeBack takes in an entry of an id of which none is held.
func (l *List) comeBack(v *Item) {
	old, ok := l.dropped[v.Entry.ID]
	switch {
	case !ok:
	case v.begins(old.Item), v.Entry.Born == 0 && old.Entry.Born == 0 && l.wasAway(old):
		v.begin(old.Item)
		l.ended[v.Entry.ID] = true
	default:
		v.goOn(old.Item)
	}
}

// wasAway tells whether an entry was gone for longer than that of a living upstream may be. While the
// store is away nobody can write; whoever lives is back soon after it.
func (l *List) wasAway(v dropped) bool {
	return l.now.Sub(v.at) >= lapseGrace && !l.now.Before(l.trust)
}
