// Package changelog records which entries of a list changed, in order, so that a process that follows the
// list is sent what it lacks and not the whole list.
//
// A follower states how far it has come in one of two ways. To the process that sent it its list, it states
// the sequence of that list. To any other process that follows the same store, it states the store's revision
// up to which its list is complete. A change that a process made by itself belongs to no revision, and is sent
// to every follower that states one.
//
// Only ids are recorded: the follower is sent the current entries, so that a change is sent once however
// often an entry changed. The log keeps about as many changes as the list has entries. A follower that lacks
// more than that is no better off with changes.
//
// Alternatives considered: sending the revision of each entry and comparing all of them. It needs no log, but
// each answer takes a pass over the whole list, and deleted entries have to be remembered all the same.
package changelog

import (
	"slices"
	"sync"
)

// minKept is the least number of changes that are kept.
const minKept = 1024

// change is one changed entry.
type change struct {
	sequence int64
	revision int64 // of the list after the change
	local    bool
	id       string
}

// Log is a log of changes. It is safe for concurrent use.
type Log struct {
	mu       sync.Mutex
	notify   chan struct{} // closed by the next change
	sequence int64
	changes  []change
	dropped  change // sequence and revision up to which changes are no longer kept
}

// New returns an empty log.
func New() *Log { return &Log{notify: make(chan struct{})} }

// Update is a number of changes that were made at once.
type Update struct {
	Revision int64    // of the store, up to which the list is complete afterwards
	Local    bool     // the process made the changes by itself
	Length   int      // of the list
	IDs      []string // of the entries that changed; none: only the revision did
}

// Append records an update.
func (l *Log) Append(u Update) {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.announce()
	l.sequence++
	if l.sequence == 1 {
		// Entries that were deleted before the first list are unknown, so no older list can be brought up to date.
		l.dropped = change{sequence: 1, revision: u.Revision - 1}
		return
	}
	for _, id := range u.IDs {
		l.changes = append(l.changes, change{sequence: l.sequence, revision: u.Revision, local: u.Local, id: id})
	}
	if over := len(l.changes) - max(minKept, u.Length); over > 0 {
		l.drop(over)
	}
}

// drop drops the oldest changes.
func (l *Log) drop(n int) {
	for _, c := range l.changes[:n] {
		l.dropped = change{sequence: c.sequence, revision: max(l.dropped.revision, c.revision)}
	}
	l.changes = slices.Delete(l.changes, 0, n)
}

// Announce wakes the followers without a change of the list.
func (l *Log) Announce() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.announce()
}

func (l *Log) announce() {
	close(l.notify)
	l.notify = make(chan struct{})
}

// Subscribe returns the list's sequence and a channel that the next change closes.
func (l *Log) Subscribe() (sequence int64, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sequence, l.notify
}

// Since returns the ids of the entries that changed after a sequence. It returns false if the log doesn't
// reach back that far.
func (l *Log) Since(sequence int64) ([]string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if sequence < l.dropped.sequence || sequence > l.sequence {
		return nil, false
	}
	i, _ := slices.BinarySearchFunc(l.changes, sequence+1, func(c change, s int64) int { return int(c.sequence - s) })
	return uniqueIDs(l.changes[i:]), true
}

// SinceRevision returns the ids of the entries that a list may lack that is complete up to a revision and comes
// from another process. It returns false if the log doesn't reach back that far.
func (l *Log) SinceRevision(revision int64) ([]string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sequence == 0 || revision <= l.dropped.revision {
		return nil, false
	}
	var list []change
	for _, c := range l.changes {
		if c.local || c.revision >= revision {
			list = append(list, c)
		}
	}
	return uniqueIDs(list), true
}

func uniqueIDs(changes []change) []string {
	ids := make([]string, len(changes))
	for i, c := range changes {
		ids[i] = c.id
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}
