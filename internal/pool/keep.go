package pool

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// This file decides which upstreams a node that doesn't watch the store is sent: all of its own hall, and of each
// other hall a part of a large service. Callers are served by upstreams of the hall where they arrive, as long as
// it has any; the part is for the time when it has none, and its size bounds what a node keeps and is sent, whatever
// the size of the other halls.
//
// The part is drawn by a hash, alike for all nodes of a hall, so that a relay and its nodes know the same
// upstreams, and differently for each hall, so that the load of one that has lost its upstreams spreads. It is
// halved, or doubled, when it has become too large or too small, and is then between half of usualKept and
// usualKept.
//
// Alternatives considered: the whole list at every node (8 MB of heap at 10,000 upstreams, and each change to every
// node); only the own hall (a hall that loses its upstreams would first have to be sent others, when its watchers
// are busiest).

const (
	maxKept   = 256
	usualKept = 192
	minKept   = 64
)

// part is the part of a service's upstreams in one hall that is kept: those whose hash ends with so many zero bits.
type part struct {
	count int // of all upstreams
	kept  int
	bits  uint
}

func (v *part) has(m *member) bool { return m.keepHash&(1<<v.bits-1) == 0 }

// keepHash returns the hash by which a hall's nodes keep an upstream.
func keepHash(hall, id string) uint64 { return xxhash.Sum64String(hall + "\x00" + id) }

// countPart counts an upstream that is added, or with -1 removed.
func (u *update) countPart(m *member, n int) {
	p, k := u.p, m.hallService()
	v := p.parts[k]
	if v == nil {
		v = &part{}
		p.parts[k] = v
	}
	if m.kept = m.entry.Hall == p.hall || v.has(m); m.kept {
		v.kept += n
		p.keptHash ^= m.hash
	}
	if v.count += n; v.count == 0 {
		delete(p.parts, k)
		delete(u.resized, k)
		return
	}
	if m.entry.Hall != p.hall && (v.kept > maxKept || v.bits > 0 && v.kept < minKept) {
		u.resized[k] = true
	}
}

// resizeParts adapts the parts that have become too large or too small, and returns the ids of all upstreams that
// are in another part than before.
func (u *update) resizeParts() []string {
	var ids []string
	for k := range u.resized {
		v := u.p.parts[k]
		before := v.bits
		if v.bits = bitsFor(v.count); v.bits != before {
			ids = append(ids, u.redraw(k, v)...)
		}
	}
	return ids
}

// bitsFor returns the number of bits for a part of so many upstreams.
func bitsFor(count int) (bits uint) {
	for count>>bits > usualKept {
		bits++
	}
	return bits
}

// redraw draws a part anew, and returns the ids that were or are in it but not both.
func (u *update) redraw(k hallService, v *part) []string {
	var ids []string
	v.kept = 0
	for _, m := range u.p.halls[k] {
		old := m.kept
		if m.kept = v.has(m); m.kept {
			v.kept++
		}
		if m.kept != old {
			u.p.keptHash ^= m.hash
			ids = append(ids, m.entry.ID)
		}
	}
	return ids
}

// IsPartial reports whether nodes that don't watch the store are sent only a part of the list.
func (p *Pools) IsPartial() bool { return len(p.partialServices()) > 0 }

// partialServices returns the services of which other halls have more upstreams than are kept, in order.
func (p *Pools) partialServices() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []string
	for k, v := range p.parts {
		if v.bits > 0 {
			list = append(list, k.service)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}
