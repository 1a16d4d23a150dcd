package relay

import (
	"cmp"
	"slices"
	"time"

	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/rollout"
)

// This file is what a relay tells: its own nodes to other relays, all nodes to its own.

// Group returns what is new of this relay's own nodes after a version of this book. An
// asker that doesn't know this process gives version 0.
func (b *Aggregator) Group(now time.Time, after uint64) Group {
	g := Group{Relay: b.self, Incarnation: b.lifetime, Share: b.own(now, ""), Trials: b.ownTrials("")}
	g.Changes, g.Version = b.changes(now, after, func(_ string, v *record) uint64 {
		if v.relay != b.self {
			return v.left
		}
		return max(v.version, v.counted)
	})
	for i := range g.Changes {
		c := &g.Changes[i]
		if v := b.records[c.Node]; v.relay == b.self {
			c.Started = v.started
		} else {
			*c = Change{Node: c.Node, Incarnation: c.Incarnation, Unresponsive: true}
		}
	}
	g.Placed = b.placements(after, g.Version, func(p placing) bool { return p.relay == b.self })
	return g
}

// Heard returns when a node was last heard.
func (b *Aggregator) LastSeen(node string) time.Time {
	if v := b.records[node]; v != nil {
		return v.heard
	}
	return time.Time{}
}

// Digest returns what is new to a node after a version of this book.
func (b *Aggregator) Digest(now time.Time, asker string, after uint64) Digest {
	d := Digest{Incarnation: b.lifetime, Relays: map[string]time.Duration{b.self: 0}, Shares: b.Shares(now, asker)}
	for name, g := range b.groups {
		if age := now.Sub(g.heard); age <= recordKeeps {
			d.Relays[name] = age
		}
	}
	d.Changes, d.Version = b.changes(now, after, func(name string, v *record) uint64 {
		if name == asker {
			return 0
		}
		return v.version
	})
	d.Placed = b.placements(after, d.Version, func(placing) bool { return true })
	d.Trials = b.ownTrials(asker)
	d.Trials = rollout.Merge(d.Trials, b.otherTrials(now))
	d.Reachability = b.reach(now, asker)
	return d
}

// reach is what this relay's nodes, which are of one hall, have found out but for one of them.
func (b *Aggregator) reach(now time.Time, but string) pool.Reachability {
	var sum pool.Reachability
	for name, v := range b.records {
		if name != but && v.relay == b.self && !v.silent {
			sum = sum.Merge(v.reach, now.Sub(v.heard))
		}
	}
	return sum
}

// otherTrials is what the other relays' nodes have seen of roll-outs. A relay that isn't heard
// doesn't count: its nodes tell the same through another one, or are cut off.
func (b *Aggregator) otherTrials(now time.Time) []rollout.Update {
	var sum []rollout.Update
	for _, g := range b.groups {
		if now.Sub(g.heard) <= silentAfter {
			sum = rollout.Merge(sum, g.trials)
		}
	}
	return sum
}

// ownTrials is what this relay's nodes have seen of roll-outs, but for one of them, those
// included that aren't heard any more: what they saw stays true.
func (b *Aggregator) ownTrials(but string) []rollout.Update {
	var sum []rollout.Update
	for name, v := range b.records {
		if v.relay != b.self {
			continue
		}
		sum = rollout.Merge(sum, v.ended)
		if name != but {
			sum = rollout.Merge(sum, v.trials)
		}
	}
	return sum
}

// Shares returns what all nodes but one have: first the nodes of this relay, then those of
// the others.
func (b *Aggregator) Shares(now time.Time, but string) []pool.PeerLoad {
	return []pool.PeerLoad{b.own(now, but), b.others(now)}
}

// own is what this relay's nodes have, but for one of them.
func (b *Aggregator) own(now time.Time, but string) pool.PeerLoad {
	var s sum
	for name, v := range b.records {
		if name != but && v.relay == b.self && !v.silent {
			s.add(now.Sub(v.heard), v.loads)
		}
	}
	return s.share()
}

// others is what the other relays' nodes have.
func (b *Aggregator) others(now time.Time) pool.PeerLoad {
	var s sum
	for _, g := range b.groups {
		if age := now.Sub(g.heard); age <= silentAfter {
			s.add(age+g.share.Age, g.share.Loads)
		}
	}
	return s.share()
}

// changes returns the records that changed after a version, the oldest changes first, and
// the version up to which they are told. newest is the version of a record's newest change,
// 0 if it isn't told.
func (b *Aggregator) changes(now time.Time, after uint64, newest func(name string, v *record) uint64) ([]Change, uint64) {
	type dated struct {
		node  string
		since uint64 // version of the oldest change that isn't told
	}
	var list []dated
	for name, v := range b.records {
		if n := newest(name, v); n > after {
			list = append(list, dated{name, v.since(after, n)})
		}
	}
	slices.SortFunc(list, func(x, y dated) int { return cmp.Compare(x.since, y.since) })
	upto := b.version
	if len(list) > changesLimit {
		upto = list[changesLimit].since - 1
		list = list[:changesLimit]
	}
	changes := make([]Change, len(list))
	for i, d := range list {
		changes[i] = b.records[d.node].change(now, d.node, after)
	}
	return changes, upto
}

// since is the version of the oldest change after one; the newest is known.
func (v *record) since(after, newest uint64) uint64 {
	oldest := newest
	if v.whole > after {
		oldest = min(oldest, v.whole)
	}
	for _, c := range v.spent {
		if c.version > after {
			oldest = min(oldest, c.version)
		}
	}
	return oldest
}

func (v *record) change(now time.Time, node string, after uint64) Change {
	c := Change{
		Node: node, Incarnation: v.lifetime, Sequence: v.sequence, Uptime: v.heard.Sub(v.began), Age: now.Sub(v.heard), Relay: v.relay, Unresponsive: v.silent,
		Spent: make(map[string]float64),
	}
	for w, x := range v.spent {
		if x.version > after || v.whole > after {
			c.Spent[w] = x.value
		}
	}
	return c
}

func (b *Aggregator) placements(after, upto uint64, counts func(placing) bool) []pool.Placement {
	var list []pool.Placement
	for _, p := range b.placed {
		if p.version > after && p.version <= upto && counts(p) {
			list = append(list, p.Placement)
		}
	}
	return list
}

// sum adds up loads by upstream.
type sum struct {
	loads map[string]pool.Load
	aged  time.Duration // ages, weighted by the requests running
	runs  int
}

func (s *sum) add(age time.Duration, loads []pool.Load) {
	if s.loads == nil {
		s.loads = make(map[string]pool.Load)
	}
	for _, l := range loads {
		v := s.loads[l.Upstream]
		v.Upstream = l.Upstream
		v.Running += l.Running
		v.Queued += l.Queued
		v.Reserved += l.Reserved
		s.loads[l.Upstream] = v
		s.aged += age * time.Duration(l.Running)
		s.runs += l.Running
	}
}

func (s *sum) share() pool.PeerLoad {
	v := pool.PeerLoad{Loads: make([]pool.Load, 0, len(s.loads))}
	for _, l := range s.loads {
		v.Loads = append(v.Loads, l)
	}
	slices.SortFunc(v.Loads, func(a, b pool.Load) int { return cmp.Compare(a.Upstream, b.Upstream) })
	if s.runs > 0 {
		v.Age = s.aged / time.Duration(s.runs)
	}
	return v
}
