package pool

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// This file applies changes of the list to the state that is kept of each upstream. The work is in proportion
// to the number of entries that changed, not to the length of the list: a node of a large fleet lists thousands
// of upstreams and applies several changes a second.

// Change is the effect of an update on one upstream.
type Change struct {
	Entry Entry
	Event string // listed, leaving or gone
}

// Updated is the effect of an update of the list.
type Updated struct {
	Changes []Change
	Touched []string // ids of all entries that may have changed, or are kept now or no longer, sorted
}

// Group is a set of upstreams that count alike as a service's capacity.
type Group struct {
	Service     string
	Hall        string
	Version     string
	Leaving     bool
	Reclaimable bool
}

func (e *Entry) group() Group {
	return Group{Service: e.Service, Hall: e.Hall, Version: e.Version, Leaving: e.Leaving, Reclaimable: e.Reclaimable}
}

// GroupCount is the number of upstreams of a group.
type GroupCount struct {
	Group
	Count int
	Lost  int // of these, upstreams that don't count as capacity (Pools.Lost)
	// Speed is the sum of the relative speeds of the others: how many usual upstreams they are like.
	Speed float64
}

// Update lets f change the list, and applies the changes.
func (p *Pools) Update(f func(l *List)) Updated {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.list)
	ended, touched := p.list.takeEnded(), p.list.takeTouched()
	u := update{p: p, now: p.clock.Now(), ended: ended, added: make(map[hallService][]*member), removed: make(map[hallService][]*member), resized: make(map[hallService]bool)}
	ids := make([]string, 0, len(touched))
	for id := range touched {
		ids = append(ids, id)
	}
	slices.Sort(ids) // a fixed order, so that simulations are reproducible from their seed
	for _, id := range ids {
		u.apply(id)
	}
	for id := range ended {
		p.forgetIncarnation(id)
	}
	p.recordSeen(u.now, p.list.takeSeen())
	u.updateServices()
	if drawn := u.resizeParts(); len(drawn) > 0 {
		ids = append(ids, drawn...)
		slices.Sort(ids)
		ids = slices.Compact(ids)
	}
	p.listRead = len(p.members) > 0
	return Updated{Changes: u.changes, Touched: ids}
}

// update is an update of the list that is being applied.
type update struct {
	p       *Pools
	now     time.Time
	ended   map[string]bool
	changes []Change
	added   map[hallService][]*member
	removed map[hallService][]*member
	resized map[hallService]bool // parts that may have become too large or too small
	rerank  bool                 // an upstream's part in a roll-out may have changed
}

// apply applies the current entry of an id.
func (u *update) apply(id string) {
	p := u.p
	v, listed := p.list.Listed(id)
	m, e := p.members[id], v.Entry
	if m != nil && (!listed || u.ended[id] || m.entry.isOtherIncarnation(e)) {
		u.drop(m)
		m = nil
	}
	if !listed {
		return
	}
	if m == nil {
		u.add(e)
		return
	}
	if e.Leaving && !m.entry.Leaving {
		u.changes = append(u.changes, Change{e, "leaving"})
	}
	if m.entry.group() != e.group() {
		p.count(m.entry, -1)
		p.count(e, 1)
		u.rerank = true
	}
	old := m.hallService()
	if m.entry.Service != e.Service {
		p.forgetSpeed(m)
	}
	u.countPart(m, -1)
	m.entry = e
	u.countPart(m, 1)
	if k := m.hallService(); k != old {
		u.removed[old] = append(u.removed[old], m)
		u.added[k] = append(u.added[k], m)
	}
}

func (u *update) add(e Entry) {
	p := u.p
	p.recordVersion(u.now, e)
	m := &member{entry: e, hash: xxhash.Sum64String(e.ID), keepHash: keepHash(p.hall, e.ID), rank: notRanked, coldUntil: u.now.Add(e.WarmUp)}
	p.members[e.ID] = m
	p.listHash ^= m.hash
	u.countPart(m, 1)
	p.count(e, 1)
	u.added[m.hallService()] = append(u.added[m.hallService()], m)
	u.changes = append(u.changes, Change{e, "listed"})
}

// drop drops what is known of one incarnation of an upstream. Requests in progress there end on their own.
func (u *update) drop(m *member) {
	p, id := u.p, m.entry.ID
	u.changes = append(u.changes, Change{m.entry, "gone"})
	p.recordVersionLost(u.now, m.entry)
	u.removed[m.hallService()] = append(u.removed[m.hallService()], m)
	p.count(m.entry, -1)
	delete(p.members, id)
	p.listHash ^= m.hash
	u.countPart(m, -1)
	delete(p.suspects, m)
	p.forgetSpeed(m)
	for h := range m.prefixes {
		p.removePrefix(m, h)
	}
	delete(p.caching, m)
	if o := p.outliers[m.entry.Service]; o != nil {
		o.Forget(id)
	}
	for _, v := range p.reports {
		delete(v.loads, id)
	}
}

// count adds to the number of upstreams of an entry's group.
func (p *Pools) count(e Entry, n int) {
	g := e.group()
	if p.counts[g] += n; p.counts[g] == 0 {
		delete(p.counts, g)
	}
}

// updateServices updates the upstreams of each service and hall, and their ranks in roll-outs.
func (u *update) updateServices() {
	p := u.p
	for k, removed := range u.removed {
		p.services[k.service] = removeSorted(p.services[k.service], removed, byID)
		p.halls[k] = removeSorted(p.halls[k], removed, byHash)
	}
	for k, added := range u.added {
		p.services[k.service] = addSorted(p.services[k.service], added, byID)
		p.halls[k] = addSorted(p.halls[k], added, byHash)
	}
	for k := range u.removed {
		if len(p.services[k.service]) == 0 {
			delete(p.services, k.service)
		}
		if len(p.halls[k]) == 0 {
			delete(p.halls, k)
		}
	}
	if u.rerank || len(u.removed) > 0 || len(u.added) > 0 {
		for name := range p.splits {
			p.rank(name)
		}
	}
}

// maxSearched is the number of members up to which each is searched for by itself. For more, one pass over
// the whole list is faster.
const maxSearched = 16

// removeSorted removes members from a sorted list.
func removeSorted(list, removed []*member, order func(a, b *member) int) []*member {
	if len(removed) > maxSearched {
		gone := make(map[*member]bool, len(removed))
		for _, m := range removed {
			gone[m] = true
		}
		return slices.DeleteFunc(list, func(m *member) bool { return gone[m] })
	}
	for _, m := range removed {
		if i, found := slices.BinarySearchFunc(list, m, order); found {
			list = slices.Delete(list, i, i+1)
		}
	}
	return list
}

// addSorted adds members to a sorted list.
func addSorted(list, added []*member, order func(a, b *member) int) []*member {
	if len(added) > maxSearched {
		list = append(list, added...)
		slices.SortFunc(list, order)
		return list
	}
	for _, m := range added {
		i, _ := slices.BinarySearchFunc(list, m, order)
		list = slices.Insert(list, i, m)
	}
	return list
}

// Counts returns the number of upstreams by group. reporting is the set of halls whose nodes send reports.
func (p *Pools) Counts(reporting map[string]bool) []GroupCount {
	p.mu.Lock()
	defer p.mu.Unlock()
	lost, excess := make(map[Group]int), make(map[Group]float64)
	for m := range p.speeds.unusual {
		excess[m.entry.group()] += m.speed.excess
	}
	for id := range p.lost(p.clock.Now(), reporting) {
		m := p.members[id]
		lost[m.entry.group()]++
		excess[m.entry.group()] -= m.speed.excess
	}
	list := make([]GroupCount, 0, len(p.counts))
	for g, n := range p.counts {
		list = append(list, GroupCount{Group: g, Count: n, Lost: lost[g], Speed: float64(n-lost[g]) + excess[g]})
	}
	return list
}

// Len returns the number of upstreams.
func (p *Pools) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.members)
}

// Scope is which upstreams of the list are meant.
type Scope int

// The scopes.
const (
	ScopeAll  Scope = iota
	ScopeKept       // those that nodes of this hall are sent that don't watch the store (keep.go)
)

func (s Scope) has(m *member) bool { return s == ScopeAll || m != nil && m.kept }

// ListHash returns a hash of the ids of all upstreams of a scope. Two lists with the same ids have the same hash.
func (p *Pools) ListHash(s Scope) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == ScopeKept {
		return p.keptHash
	}
	return p.listHash
}

// ItemsOf returns the listed entries of the given ids, as far as they are in a scope, and the other ids.
func (p *Pools) ItemsOf(s Scope, ids []string) (items []Item, gone []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range ids {
		if v, listed := p.list.Listed(id); listed && s.has(p.members[id]) {
			items = append(items, v)
		} else {
			gone = append(gone, id)
		}
	}
	return items, gone
}

// ItemsAfter returns up to n entries of a scope in order of service and id, from the one after the given service
// and id on, and whether there are more.
func (p *Pools) ItemsAfter(s Scope, service, id string, n int) (items []Item, more bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(p.services)) {
		if name < service {
			continue
		}
		list := p.services[name]
		if name == service {
			i, found := slices.BinarySearchFunc(list, &member{entry: Entry{ID: id}}, byID)
			if found {
				i++
			}
			list = list[i:]
		}
		for _, m := range list {
			if !s.has(m) {
				continue
			}
			if len(items) == n {
				return items, true
			}
			items = append(items, p.list.items[m.entry.ID])
		}
	}
	return items, false
}
