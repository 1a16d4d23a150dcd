// Package pool keeps the upstreams of all services: which are listed, how loaded each is, and which of
// them gets the next request.
//
// The list comes from the store and may be out of date in two ways. An upstream that leaves is known after
// the delay of a watch, and gets no new requests from then on. An entry that the store lost during an
// outage of the store itself is different: it lapsed because it could not be renewed, and a running
// upstream writes it again soon after the outage. Dropping it at once would empty every pool after an
// outage, so an entry that disappears right after one is kept for a grace period.
package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"spurhall.example/spurhall/internal/era"
)

var errs = errorx.NewNamespace("pool")

// ErrEntry is the error of an upstream's entry that can't be read.
var ErrEntry = errs.NewType("entry").New("the upstream's entry can't be used")

// Entry is what an upstream's entry in the store states.
type Entry struct {
	ID            string // a restarted upstream may have the same one
	Born          int64  // start time in Unix milliseconds, distinguishes incarnations; 0: unknown
	Service       string
	Address       string
	Hall          string
	Version       string        // of its software
	Slots         int           // maximum number of concurrent requests
	Leaving       bool          // accepts no new requests
	Declared      bool          // the entry itself says that it is leaving
	StartRevision int64         // store revision of the start if Born is 0; 0: the first known incarnation
	WarmUp        time.Duration // time after the start in which it is slow
	Reclaimable   bool
	LeavesIn      time.Duration // 0: unknown
}

// Item is an entry with the store's revision of its last change.
type Item struct {
	Entry    Entry
	Revision int64
}

// lapseGrace is how long an entry that disappeared in an outage of the store is kept after the store's
// return. The platform states that running upstreams write their entries again within about two seconds.
const lapseGrace = 2200 * time.Millisecond

// List is the list of upstreams as read from the store. It isn't safe for concurrent use.
type List struct {
	items      map[string]Item
	missing    map[string]time.Time         // by id: until when a missing entry is kept
	unreadable map[string]int64             // by id: revision since which its entry can't be read
	past       map[string][]pastIncarnation // by id: incarnations that were followed by others, the newest last
	dropped    map[string]dropped           // by id: dropped entries as last listed
	ended      map[string]bool              // ids of which an incarnation has ended since the last takeEnded
	touched    map[string]bool              // ids whose entry may have changed since the last takeTouched
	seen       map[serviceVersion]bool      // versions that entries had since the last takeSeen and may have no longer
	revision   int64
	lastChange int64     // revision of the newest change applied
	now        time.Time // time of the latest update or expiry
	graceUntil time.Time // entries that disappear before this time are kept as missing
}

// serviceVersion is a version of a service's software.
type serviceVersion struct {
	service, version string
}

// NewList returns an empty list.
func NewList() *List {
	return &List{items: make(map[string]Item), missing: make(map[string]time.Time), past: make(map[string][]pastIncarnation), unreadable: make(map[string]int64), dropped: make(map[string]dropped), ended: make(map[string]bool), touched: make(map[string]bool), seen: make(map[serviceVersion]bool)}
}

// Revision returns the store's revision up to which the list is complete.
func (l *List) Revision() int64 { return l.revision }

// LastChange returns the store's revision of the newest change that was applied.
func (l *List) LastChange() int64 { return l.lastChange }

// Len returns the number of entries, missing ones included.
func (l *List) Len() int { return len(l.items) }

// Items calls f for each entry.
func (l *List) Items(f func(Item)) {
	for id, v := range l.items {
		if _, void := l.unreadable[id]; !void {
			f(v)
		}
	}
}

// StoreReturned records that the store responds again after an outage.
func (l *List) StoreReturned(now time.Time) { l.now, l.graceUntil = now, now.Add(lapseGrace) }

// Replace applies a complete list that was read at a revision. It does nothing if the current list is
// newer.
func (l *List) Replace(now time.Time, revision int64, all []Item) {
	l.now = now
	if revision < l.revision {
		return
	}
	if l.revision > 0 && era.Of(revision) > era.Of(l.revision) {
		l.StoreReturned(now) // running upstreams write again what the copy lacks
	}
	seen := make(map[string]bool, len(all))
	for _, v := range all {
		seen[v.Entry.ID] = true
		if old, ok := l.items[v.Entry.ID]; ok && old == v && !l.isMissingOrUnreadable(v.Entry.ID) {
			l.lastChange = max(l.lastChange, v.Revision)
			continue
		}
		l.Put(v)
	}
	for id := range l.items {
		if !seen[id] {
			l.Delete(now, id)
		}
	}
	l.revision = max(l.revision, revision)
}

// isMissingOrUnreadable reports whether a listed entry is kept though the store doesn't have it, or can't be
// read.
func (l *List) isMissingOrUnreadable(id string) bool {
	_, missing := l.missing[id]
	_, unreadable := l.unreadable[id]
	return missing || unreadable
}

// Listed returns the entry of an id, if it lists an upstream.
func (l *List) Listed(id string) (Item, bool) {
	v, ok := l.items[id]
	if _, void := l.unreadable[id]; void {
		return Item{}, false
	}
	return v, ok
}

// Advance records that all changes up to a revision have been applied.
func (l *List) Advance(revision int64) { l.revision = max(l.revision, revision) }

const (
	// maxPastIncarnations is how many past incarnations are remembered per id, and maxIDs for how many
	// ids. A late write of an earlier incarnation arrives after a few seconds at most.
	maxPastIncarnations = 4
	maxIDs              = 1024
	// maxLateWrites is how many writes of an earlier incarnation may arrive after the first one of the
	// next: writes that were in progress when it ended. An incarnation that writes more than these is
	// running, and was recorded as the earlier one because the list saw the two in the wrong order.
	maxLateWrites = 2
)

// pastIncarnation is an incarnation that was followed by another one.
type pastIncarnation struct {
	born           int64
	newestRevision int64 // revision of its newest write
	lateWrites     int   // number of writes since the next incarnation's first
}

// Put applies one entry, unless a newer one is listed. Of two incarnations, the one that was written later
// is the newer: start times are by the time of day, which may be set back. An incarnation that was
// followed by another has ended, though one of its writes may arrive late.
func (l *List) Put(v Item) {
	l.lastChange = max(l.lastChange, v.Revision)
	e := &v.Entry
	old, ok := l.items[e.ID]
	if ok && old.Revision > v.Revision || l.unreadable[e.ID] > v.Revision || l.isLate(v) || !ok && l.isFromOlderCopy(v) {
		return
	}
	delete(l.unreadable, e.ID)
	l.touched[e.ID] = true
	l.seen[serviceVersion{e.Service, e.Version}] = true
	if ok {
		l.seen[serviceVersion{old.Entry.Service, old.Entry.Version}] = true
	}
	switch {
	case ok && v.startsIncarnation(old):
		l.recordPast(old)
		v.setStart(old)
	case ok:
		// Leaving is final within an incarnation, even if a later write of its entry says otherwise.
		v.inheritFrom(old)
	default:
		l.reappear(&v)
	}
	l.items[e.ID] = v
	delete(l.dropped, e.ID)
	delete(l.missing, e.ID)
}

// isLate reports whether a write is a late one of an incarnation that has ended.
func (l *List) isLate(v Item) bool {
	list := l.past[v.Entry.ID]
	i := slices.IndexFunc(list, func(p pastIncarnation) bool { return p.born == v.Entry.Born })
	if v.Entry.Born == 0 || i < 0 {
		return false
	}
	p := &list[i]
	if v.Revision > p.newestRevision {
		p.newestRevision = v.Revision
		p.lateWrites++
	}
	if p.lateWrites <= maxLateWrites {
		return true
	}
	l.past[v.Entry.ID] = slices.Delete(list, i, i+1)
	return false
}

// recordPast records that an incarnation has ended.
func (l *List) recordPast(old Item) {
	id := old.Entry.ID
	l.ended[id] = true
	if l.past[id] == nil && len(l.past) >= maxIDs {
		clear(l.past)
	}
	p := l.past[id]
	l.past[id] = append(p[max(0, len(p)-maxPastIncarnations+1):], pastIncarnation{born: old.Entry.Born, newestRevision: old.Revision})
}

// takeEnded returns the ids of which an incarnation has ended since the last call. The entries alone do
// not show it to a caller that keeps state per incarnation: the entry it knows may have no start time, and
// both its start time and the next incarnation's may have arrived since the caller last looked.
func (l *List) takeEnded() map[string]bool {
	m := l.ended
	l.ended = make(map[string]bool)
	return m
}

// takeTouched returns the ids whose entry may have changed since the last call.
func (l *List) takeTouched() map[string]bool {
	if len(l.touched) == 0 {
		return nil
	}
	m := l.touched
	l.touched = make(map[string]bool)
	return m
}

// takeSeen returns the versions that entries had since the last call: an entry may be written and removed, or written over,
// within one batch of changes, and upstreams of its version may have had requests from nodes that read these one by one.
func (l *List) takeSeen() map[serviceVersion]bool {
	if len(l.seen) == 0 {
		return nil
	}
	m := l.seen
	l.seen = make(map[serviceVersion]bool)
	return m
}

// Remove applies the deletion of an entry at a revision.
func (l *List) Remove(now time.Time, revision int64, id string) {
	l.lastChange = max(l.lastChange, revision)
	l.Delete(now, id)
}

// MarkUnreadable records that an entry can't be read from a revision on: regardless of its writer, its key
// lists no upstream until a valid entry is written. What was known of the upstream is kept.
func (l *List) MarkUnreadable(revision int64, id string) {
	l.lastChange = max(l.lastChange, revision)
	if old, ok := l.items[id]; ok && old.Revision <= revision {
		l.unreadable[id] = revision
		l.touched[id] = true
	}
}

// Delete applies the deletion of an entry.
func (l *List) Delete(now time.Time, id string) {
	l.now = now
	if _, ok := l.items[id]; !ok {
		return
	}
	if now.Before(l.graceUntil) {
		if _, ok := l.missing[id]; !ok {
			l.missing[id] = l.graceUntil
		}
		return
	}
	l.drop(id)
}

func (l *List) drop(id string) {
	if v, ok := l.items[id]; ok {
		l.recordDropped(v)
	}
	l.touched[id] = true
	delete(l.items, id)
	delete(l.missing, id)
	delete(l.unreadable, id)
}

// Missing is an entry that disappeared and is kept until the given time.
type Missing struct {
	Upstream string
	Until    time.Time
}

// Missing returns the entries that are kept though the store doesn't have them, by id.
func (l *List) Missing() []Missing {
	r := make([]Missing, 0, len(l.missing))
	for id, until := range l.missing {
		r = append(r, Missing{id, until})
	}
	slices.SortFunc(r, func(a, b Missing) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return r
}

// Expire drops the entries that were not written again in time, and returns their ids.
func (l *List) Expire(now time.Time) []string {
	l.now = now
	var gone []string
	for id, until := range l.missing {
		if now.Before(until) {
			continue
		}
		l.drop(id)
		gone = append(gone, id)
	}
	return gone
}
