package member

import (
	"sort"
	"sync"
	"time"
)

// Table is one node's view. Each change gets the next number of this table's own
// change log, so that a peer is sent only what it hasn't been sent yet.
//
// Most changes are of loads and heartbeats, and those matter in the subject's own
// hall only. So each entry stands in the log at three places: where anything of it
// changed, where something changed that other halls need (its status, its
// configuration, or its load as of a slow interval), and where its fixed part did.
// A peer in another hall is sent the second kind, and a peer that has the fixed part
// gets the short form without it.
type Table struct {
	mu        sync.RWMutex
	entries   map[string]*entry
	change    uint64
	nodes     uint64 // see Nodes
	upstreams uint64 // see Upstreams
	slowInterval      time.Duration
	onChange  func(old, now Fact)
}

type entry struct {
	fact   Fact
	change uint64    // position of the last change
	slowChange   uint64    // position of the last change that other halls need
	staticChange   uint64    // position of the last change of the fixed part
	slowAt   time.Time // when slow last moved
	receivedAt   time.Time // when the newest report came in, by this node's clock
	source string    // the peer that the last change came from
}

// slowEvery is how often a mere change of load or heartbeat goes to other halls, unless
// SetSlow says otherwise.
const defaultSlowInterval = 20 * time.Second

// SetSlow sets how often a mere change of load or heartbeat goes to other halls.
func (t *Table) SetSlowInterval(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.slowInterval = d
}

// Seen is a fact with the time of this node at which its newest report came.
type Record struct {
	Fact
	ReceivedAt time.Time
}

// NewTable returns an empty table. onChange is called, outside the lock, for
// each fact whose status, incarnation or time of leaving changed; it may be nil.
func NewTable(onChange func(old, now Fact)) *Table {
	return &Table{entries: make(map[string]*entry), slowInterval: defaultSlowInterval, onChange: onChange}
}

// Observe merges facts that this node found out itself, and returns how many told
// something new.
func (t *Table) Observe(now time.Time, facts ...Fact) int {
	n, _ := t.Receive(now, "", facts...)
	return n
}

// Receive merges facts that came from a peer. missing says that a short fact was of a VM
// whose fixed part isn't known here (any more): the peer has to be asked for everything.
func (t *Table) Receive(now time.Time, source string, facts ...Fact) (fresh int, missing bool) {
	type pair struct{ old, now Fact }
	var changed []pair
	n := 0
	t.mu.Lock()
	for _, f := range facts {
		missing = missing || f.short() && t.entries[f.ID] == nil
		old, news := t.merge(now, source, f)
		if !news {
			continue
		}
		n++
		if f.Kind == KindUpstream {
			t.upstreams++
		}
		m := t.entries[f.ID].fact
		if m.Status != old.Status || m.Incarnation != old.Incarnation || m.LeavesAt != old.LeavesAt {
			changed = append(changed, pair{old, m})
			if m.Kind == KindNode {
				t.nodes++
			}
		}
	}
	t.mu.Unlock()
	if t.onChange != nil {
		for _, p := range changed {
			t.onChange(p.old, p.now)
		}
	}
	return n, missing
}

func (t *Table) merge(now time.Time, source string, f Fact) (old Fact, fresh bool) {
	e := t.entries[f.ID]
	if e == nil && f.short() {
		return Fact{}, false // the fixed part is still to come
	}
	if e == nil {
		t.change++
		t.entries[f.ID] = &entry{fact: f, change: t.change, slowChange: t.change, staticChange: t.change, slowAt: now, receivedAt: now, source: source}
		return Fact{}, true
	}
	old = e.fact
	if f.short() {
		f = f.fill(&old)
	}
	m := Merge(old, f)
	if m == old {
		return old, false
	}
	if m.Sequence != old.Sequence || m.Incarnation != old.Incarnation {
		e.receivedAt = now
	}
	t.change++
	e.fact, e.change, e.source = m, t.change, source
	if m != f {
		e.source = "" // merged with what was known here: the peer lacks that part
	}
	if !sameStatic(&m, &old) {
		e.staticChange = t.change
	}
	if m.Status != old.Status || m.LeavesAt != old.LeavesAt || m.ConfigRevision != old.ConfigRevision || e.staticChange == t.change || now.Sub(e.slowAt) >= t.slowInterval {
		e.slowChange, e.slowAt = t.change, now
	}
	return old, true
}

// Mark raises the status of a VM in the incarnation that is known. leavesAt is
// when it goes, or the zero time.
func (t *Table) Mark(now time.Time, id string, s Status, leavesAt time.Time) bool {
	f, ok := t.Get(id)
	if !ok {
		return false
	}
	f.Status = s
	if !leavesAt.IsZero() {
		f.LeavesAt = leavesAt.UnixMilli()
	}
	return t.Observe(now, f.Fact) > 0
}

// Get returns what is known about one VM.
func (t *Table) Get(id string) (Record, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e := t.entries[id]
	if e == nil {
		return Record{}, false
	}
	return Record{Fact: e.fact, ReceivedAt: e.receivedAt}, true
}

// Select returns the facts that keep accepts, ordered by id.
func (t *Table) Select(keep func(f *Fact) bool) []Record {
	return t.SelectRecords(func(f *Fact, _ time.Time) bool { return keep(f) })
}

// Peer is who facts are sent to.
type Peer struct {
	ID   string
	OtherHall  bool   // in another hall
	Sent uint64 // position up to which it has everything
}

// Since returns the facts that a peer doesn't have yet, and the position to ask from
// next. What came from that very peer is left out. At most limit facts are returned,
// oldest change first, so a long list is sent in parts.
func (t *Table) Since(p Peer, limit int) ([]Fact, uint64) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var list []*entry
	for _, e := range t.entries {
		if e.position(&p) > p.Sent {
			list = append(list, e)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].position(&p) < list[j].position(&p) })
	next := t.change
	if len(list) > limit {
		list = list[:limit]
		next = list[limit-1].position(&p)
	}
	r := make([]Fact, 0, len(list))
	for _, e := range list {
		if e.source == p.ID && p.ID != "" {
			continue
		}
		f := e.fact
		if e.staticChange <= p.Sent {
			f = f.Short()
		}
		r = append(r, f)
	}
	return r, next
}

func (e *entry) position(p *Peer) uint64 {
	if p.OtherHall {
		return e.slowChange
	}
	return e.change
}

// Upstreams returns a number that changes whenever anything of an upstream does.
func (t *Table) UpstreamsVersion() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.upstreams
}

// Forget drops gone VMs, and nodes of which nothing was heard, since the given time. A VM
// is kept long enough that no message about its old incarnation is still under way; a
// node that is back after so long tells of itself anew.
func (t *Table) Forget(before time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for id, e := range t.entries {
		if (e.fact.Status == StatusGone || e.fact.Kind == KindNode) && e.receivedAt.Before(before) {
			delete(t.entries, id)
			n++
		}
	}
	return n
}

// SelectSeen is Select for conditions that need the time of the newest report, too.
func (t *Table) SelectRecords(keep func(f *Fact, at time.Time) bool) []Record {
	t.mu.RLock()
	var r []Record
	for _, e := range t.entries {
		if keep(&e.fact, e.receivedAt) {
			r = append(r, Record{Fact: e.fact, ReceivedAt: e.receivedAt})
		}
	}
	t.mu.RUnlock()
	sort.Slice(r, func(i, j int) bool { return r[i].ID < r[j].ID })
	return r
}

// Nodes returns a number that changes whenever a node comes or changes its status.
func (t *Table) NodesVersion() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.nodes
}
