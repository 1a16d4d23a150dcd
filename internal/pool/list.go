// Package pool keeps the upstreams of the services: who there is, how loaded each is,
// and which of them takes the next request.
//
// The list comes from the store and may be out of date in two ways. An upstream that
// leaves is known within a watch's delay, and gets nothing new from then on. An
// upstream that the store lost while the store itself was away is another matter: its
// entry lapsed because it couldn't be renewed, and an upstream that lives writes it
// again soon after. Dropping it at once would empty every pool after an outage, so an
// entry that goes missing right after one is kept for a grace time.
package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"spurhall.example/spurhall/internal/era"
)

var errs = errorx.NewNamespace("pool")

// ErrEntry says that an upstream's entry can't be read.
var ErrEntry = errs.NewType("entry").New("the upstream's entry can't be used")

// Entry is what an upstream's own entry says.
type Entry struct {
	ID          string // an upstream that comes back may have the one that it had
	Born        int64  // Unix milliseconds of its start, which tell one life from another; 0: unsaid
	Service     string
	Address     string
	Hall        string
	Version     string        // of its software
	Slots       int           // requests that it works on at once
	Leaving     bool          // takes nothing new
	Declared    bool          // its entry says so itself
	StartRevision       int64         // of one whose Born is unsaid: the store's revision from which it is known to be another life; 0: the first known
	WarmUp      time.Duration // it is slow for so long
	Reclaimable bool
	LeavesIn    time.Duration // 0: unsaid
}

// Item is an entry with the store's revision of its last change.
type Item struct {
	Entry    Entry
	Revision int64
}

// lapseGrace is how long an entry that went missing in an outage of the store is
// believed after the store's return. The platform says that entries of living
// upstreams are back within about two seconds.
const lapseGrace = 2200 * time.Millisecond

// List is the upstreams as the store tells them. It isn't safe for concurrent use.
type List struct {
	items    map[string]Item
	missing  map[string]time.Time  // by id: until when a missing entry is believed
	voids    map[string]int64      // by id: revision at which its entry couldn't be read any more
	past     map[string][]pastLife // by id: lives that others have followed, the newest last
	dropped  map[string]dropped    // by id: as it was when its entry was last held
	ended    map[string]bool       // ids of which a life has ended since endedLives was last called
	revision int64
	change   int64     // revision of the newest change taken in
	now      time.Time // when the list was last looked at
	trust    time.Time // entries that vanish before this are believed missing
}

// NewList returns an empty list.
func NewList() *List {
	return &List{items: make(map[string]Item), missing: make(map[string]time.Time), past: make(map[string][]pastLife), voids: make(map[string]int64), dropped: make(map[string]dropped), ended: make(map[string]bool)}
}

// Revision returns the store's revision up to which the list holds.
func (l *List) Revision() int64 { return l.revision }

// Change returns the store's revision of the newest change that was taken in.
func (l *List) LastChange() int64 { return l.change }

// Len returns the number of entries, missing ones included.
func (l *List) Len() int { return len(l.items) }

// Items calls f for each entry.
func (l *List) Items(f func(Item)) {
	for id, v := range l.items {
		if _, void := l.voids[id]; !void {
			f(v)
		}
	}
}

// StoreReturned says that the store answers again after an outage.
func (l *List) StoreReturned(now time.Time) { l.now, l.trust = now, now.Add(lapseGrace) }

// Replace takes in a whole list read at a revision. It does nothing if the list held
// is newer.
func (l *List) Replace(now time.Time, revision int64, all []Item) {
	l.now = now
	if revision < l.revision {
		return
	}
	if l.revision > 0 && era.Of(revision) > era.Of(l.revision) {
		l.StoreReturned(now) // what the copy lacks is written again by whoever lives
	}
	seen := make(map[string]bool, len(all))
	for _, v := range all {
		seen[v.Entry.ID] = true
		l.Put(v)
	}
	for id := range l.items {
		if !seen[id] {
			l.Delete(now, id)
		}
	}
	l.revision = max(l.revision, revision)
}

// Advance says that all changes up to a revision have been taken in.
func (l *List) Advance(revision int64) { l.revision = max(l.revision, revision) }

const (
	// livesKept is how many lives of an id are remembered, idsKept of how many ids: a write of a
	// life before comes some seconds late at most.
	livesKept = 4
	idsKept   = 1024
	// lateWrites is how many writes of a life before may be done after the next one's: those
	// that it had under way when it ended. Who goes on writing lives, and was taken for the
	// one before by a list that saw the two in another order.
	lateWrites = 2
)

// pastLife is a life that another one has followed.
type pastLife struct {
	born   int64
	newest int64 // revision of its newest write
	late   int   // writes after it was followed
}

// Put takes in one entry, unless a newer one is held. Of two lives the one that was written
// later is the newer one: births are by the time of day, which may step back. A life that was
// followed by another is over, though a write of its own may be done late.
func (l *List) Put(v Item) {
	l.change = max(l.change, v.Revision)
	e := &v.Entry
	old, ok := l.items[e.ID]
	if ok && old.Revision > v.Revision || l.voids[e.ID] > v.Revision || l.late(v) || !ok && l.isOfACopy(v) {
		return
	}
	delete(l.voids, e.ID)
	switch {
	case ok && v.begins(old):
		l.follow(old)
		v.begin(old)
	case ok:
		// Leaving is for good in one life, whatever an entry from before may say.
		v.goOn(old)
	default:
		l.comeBack(&v)
	}
	l.items[e.ID] = v
	delete(l.dropped, e.ID)
	delete(l.missing, e.ID)
}

// late tells whether a write is one of a life that is over, done late.
func (l *List) late(v Item) bool {
	list := l.past[v.Entry.ID]
	i := slices.IndexFunc(list, func(p pastLife) bool { return p.born == v.Entry.Born })
	if v.Entry.Born == 0 || i < 0 {
		return false
	}
	p := &list[i]
	if v.Revision > p.newest {
		p.newest = v.Revision
		p.late++
	}
	if p.late <= lateWrites {
		return true
	}
	l.past[v.Entry.ID] = slices.Delete(list, i, i+1)
	return false
}

// follow notes that a life is over.
func (l *List) follow(old Item) {
	id := old.Entry.ID
	l.ended[id] = true
	if l.past[id] == nil && len(l.past) >= idsKept {
		clear(l.past)
	}
	p := l.past[id]
	l.past[id] = append(p[max(0, len(p)-livesKept+1):], pastLife{born: old.Entry.Born, newest: old.Revision})
}

// endedLives returns the ids of which a life has ended since the last call. Who keeps something of a
// life can't tell by the entry that it knows: that one may have had no birth, and a birth and the next
// life's may have come between two looks.
func (l *List) endedLives() map[string]bool {
	m := l.ended
	l.ended = make(map[string]bool)
	return m
}

// Remove takes in that an entry went at a revision.
func (l *List) Remove(now time.Time, revision int64, id string) {
	l.change = max(l.change, revision)
	l.Delete(now, id)
}

// Void takes in that an entry can't be read from a revision on: whoever wrote it, its key names
// no upstream until a sound one stands there. What was known of it isn't forgotten.
func (l *List) MarkUnreadable(revision int64, id string) {
	l.change = max(l.change, revision)
	if old, ok := l.items[id]; ok && old.Revision <= revision {
		l.voids[id] = revision
	}
}

// Delete takes in that an entry is gone.
func (l *List) Delete(now time.Time, id string) {
	l.now = now
	if _, ok := l.items[id]; !ok {
		return
	}
	if now.Before(l.trust) {
		if _, ok := l.missing[id]; !ok {
			l.missing[id] = l.trust
		}
		return
	}
	l.drop(id)
}

func (l *List) drop(id string) {
	if v, ok := l.items[id]; ok {
		l.noteDropped(v)
	}
	delete(l.items, id)
	delete(l.missing, id)
	delete(l.voids, id)
}

// Missing is an entry that went missing and is still believed, and until when.
type Missing struct {
	Upstream string
	Until    time.Time
}

// Missing returns the entries that are believed though the store doesn't have them, by id.
func (l *List) Missing() []Missing {
	r := make([]Missing, 0, len(l.missing))
	for id, until := range l.missing {
		r = append(r, Missing{id, until})
	}
	slices.SortFunc(r, func(a, b Missing) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return r
}

// Expire drops the entries that stayed missing, and returns their ids.
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
