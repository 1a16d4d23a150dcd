package relay

import (
	"cmp"
	"slices"
	"time"

	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/rollout"
)

// This file builds the messages of a relay: groups for other relays, digests for the nodes that report to it.

// Group returns the state of this relay's own nodes that changed after a version. A relay that does not know
// this incarnation passes version 0.
func (a *Aggregator) Group(now time.Time, after uint64) Group {
	g := Group{Relay: a.self, Incarnation: a.incarnation, Share: a.ownShare(now, ""), Trials: a.ownTrials("")}
	g.Changes, g.Version = a.changesSince(now, after, func(_ string, v *record) uint64 {
		if v.relay != a.self {
			return v.leftVersion
		}
		return max(v.version, v.countsVersion)
	})
	for i := range g.Changes {
		c := &g.Changes[i]
		if v := a.records[c.Node]; v.relay == a.self {
			c.Started, c.Work = v.started, v.work
		} else {
			*c = Change{Node: c.Node, Incarnation: c.Incarnation, Unresponsive: true}
		}
	}
	g.Placed = a.placements(after, g.Version, func(p loggedPlacement) bool { return p.relay == a.self })
	return g
}

// LastSeen returns when a node's report was last received.
func (a *Aggregator) LastSeen(node string) time.Time {
	if v := a.records[node]; v != nil {
		return v.lastSeen
	}
	return time.Time{}
}

// Digest returns the state of all other nodes that changed after a version.
func (a *Aggregator) Digest(now time.Time, receiver string, after uint64) Digest {
	d := Digest{Incarnation: a.incarnation, Relays: map[string]time.Duration{a.self: 0}, Shares: a.Shares(now, receiver)}
	for name, g := range a.groups {
		if age := now.Sub(g.receivedAt); age <= recordRetention {
			d.Relays[name] = age
		}
	}
	d.Changes, d.Version = a.changesSince(now, after, func(name string, v *record) uint64 {
		if name == receiver {
			return 0
		}
		return v.version
	})
	d.Placed = a.placements(after, d.Version, a.records[receiver].mayLack)
	d.Trials = a.ownTrials(receiver)
	d.Trials = rollout.Merge(d.Trials, a.peerTrials(now))
	d.Reachability = a.reachability(now, receiver)
	return d
}

// reachability merges the findings of this relay's nodes, all of one hall, except one.
func (a *Aggregator) reachability(now time.Time, except string) pool.Reachability {
	var sum pool.Reachability
	for name, v := range a.records {
		if name != except && v.relay == a.self && !v.unresponsive {
			sum = sum.Merge(v.reachability, now.Sub(v.lastSeen))
		}
	}
	return sum
}

// peerTrials merges what the other relays' nodes have observed of roll-outs. An unresponsive relay does not
// count: its nodes report through another one, or are partitioned.
func (a *Aggregator) peerTrials(now time.Time) []rollout.Update {
	var sum []rollout.Update
	for _, g := range a.groups {
		if now.Sub(g.receivedAt) <= unresponsiveAfter {
			sum = rollout.Merge(sum, g.trials)
		}
	}
	return sum
}

// ownTrials merges what this relay's nodes, except one, have observed of roll-outs, including unresponsive
// nodes: their observations remain valid.
func (a *Aggregator) ownTrials(except string) []rollout.Update {
	var sum []rollout.Update
	for name, v := range a.records {
		if v.relay != a.self {
			continue
		}
		sum = rollout.Merge(sum, v.pastTrials)
		if name != except {
			sum = rollout.Merge(sum, v.trials)
		}
	}
	return sum
}

// Shares returns the load of all nodes except one: first that of this relay's nodes, then that of the others.
func (a *Aggregator) Shares(now time.Time, except string) []pool.PeerLoad {
	return []pool.PeerLoad{a.ownShare(now, except), a.peerShare(now)}
}

// ownShare is the load of this relay's nodes, except one.
func (a *Aggregator) ownShare(now time.Time, except string) pool.PeerLoad {
	var s loadSum
	for name, v := range a.records {
		if name != except && v.relay == a.self && !v.unresponsive {
			s.add(now.Sub(v.lastSeen), v.loads)
		}
	}
	return s.share()
}

// peerShare is the load of the other relays' nodes.
func (a *Aggregator) peerShare(now time.Time) pool.PeerLoad {
	var s loadSum
	for _, g := range a.groups {
		if age := now.Sub(g.receivedAt); age <= unresponsiveAfter {
			s.add(age+g.share.Age, g.share.Loads)
		}
	}
	return s.share()
}

// changesSince returns the records that changed after a version, oldest changes first, and the version up to
// which they are complete. newest returns the version of a record's newest change, or 0 to leave it out.
func (a *Aggregator) changesSince(now time.Time, after uint64, newest func(name string, v *record) uint64) ([]Change, uint64) {
	type dated struct {
		node  string
		since uint64 // version of the oldest change not sent yet
	}
	var list []dated
	for name, v := range a.records {
		if n := newest(name, v); n > after {
			list = append(list, dated{name, v.oldestChange(after, n)})
		}
	}
	slices.SortFunc(list, func(x, y dated) int { return cmp.Compare(x.since, y.since) })
	upTo := a.version
	if len(list) > maxChanges {
		upTo = list[maxChanges].since - 1
		list = list[:maxChanges]
	}
	changes := make([]Change, len(list))
	for i, d := range list {
		changes[i] = a.records[d.node].changeSince(now, d.node, after)
	}
	return changes, upTo
}

// oldestChange returns the version of the oldest change after a version, given the newest one.
func (v *record) oldestChange(after, newest uint64) uint64 {
	oldest := newest
	if v.resetVersion > after {
		oldest = min(oldest, v.resetVersion)
	}
	for _, c := range v.spent {
		if c.version > after {
			oldest = min(oldest, c.version)
		}
	}
	return oldest
}

func (v *record) changeSince(now time.Time, node string, after uint64) Change {
	c := Change{
		Node: node, Incarnation: v.incarnation, Sequence: v.sequence, Uptime: v.lastSeen.Sub(v.startedAt), Age: now.Sub(v.lastSeen), Relay: v.relay, Unresponsive: v.unresponsive, Status: v.status,
		Spent: make(map[string]float64),
	}
	for w, x := range v.spent {
		if x.version > after || v.resetVersion > after {
			c.Spent[w] = x.value
		}
	}
	return c
}

// mayLack reports whether a process may lack a placement of those after its last digest. The first digests of a relay take
// several rounds in a large fleet: what counts is when it came to this relay.
func (v *record) mayLack(p loggedPlacement) bool {
	return v == nil || v.informedAt.IsZero() || !p.backlog && v.informedAt.Sub(p.at) <= handoverSpan
}

func (a *Aggregator) placements(after, upTo uint64, counts func(loggedPlacement) bool) []pool.Placement {
	var list []pool.Placement
	for _, p := range a.placementLog {
		if p.version > after && p.version <= upTo && counts(p) {
			list = append(list, p.Placement)
		}
	}
	return list
}

// loadSum adds up loads by upstream.
type loadSum struct {
	loads       map[string]pool.Load
	weightedAge time.Duration // sum of ages, weighted by running requests
	running     int
}

func (s *loadSum) add(age time.Duration, loads []pool.Load) {
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
		s.weightedAge += age * time.Duration(l.Running)
		s.running += l.Running
	}
}

func (s *loadSum) share() pool.PeerLoad {
	v := pool.PeerLoad{Loads: make([]pool.Load, 0, len(s.loads))}
	for _, l := range s.loads {
		v.Loads = append(v.Loads, l)
	}
	slices.SortFunc(v.Loads, func(a, b pool.Load) int { return cmp.Compare(a.Upstream, b.Upstream) })
	if s.running > 0 {
		v.Age = s.weightedAge / time.Duration(s.running)
	}
	return v
}
