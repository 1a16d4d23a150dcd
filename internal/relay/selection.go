package relay

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// This file determines which nodes of a hall are its relays, and which relay a node reports to. Every node
// computes the same result from the same names. While views differ, a node may report to one that does not
// consider itself a relay; receiving the report makes it one.
//
// Relays are a hall's nodes with the most cores, as many as it takes for them to bear the reports of the others, and each
// gets reports in proportion to what it bears. Where the large VMs of a hall are gone, each of the small ones that follow
// has a few nodes and not half of the hall: it has callers of its own.
//
// Alternatives considered: the same number of relays whatever they bear. Two VMs with 0.192 cores and a link of
// 10 Mbit/s, to which 28 nodes report, answer most of them too late, and their own callers, too.

const (
	// nodesPerCore is how many nodes a relay bears for each of its cores: at four reports a second each, which take up to 2 ms
	// and 10 kB with all that follows from them, a quarter of its processor time and, with 0.2 cores, a fifth of a link of
	// 10 Mbit/s.
	nodesPerCore = 30
	// mostNodes is the most nodes that report to one relay, and leastNodes the least that any relay counts as bearing.
	mostNodes  = 24
	leastNodes = 4
	// minRelays is the least number of relays in a hall, so that another one has the complete state if one is
	// lost.
	minRelays = 2
	// maxForSmall bounds the relays of a hall that has more of them only because they are small: each relay swaps with all
	// others of the fleet.
	maxForSmall = 8
	// roomShare is how many nodes a relay takes, as a multiple of its part of them: hashes spread them unevenly, and where all
	// relays are full to the last node, one that leaves moves many.
	roomShare = 1.25
	// coresForAll is the cores from which on a node may be a relay and have other duties as well.
	coresForAll = 0.4
)

// Ranked is a node of a hall with what its rank depends on.
type Ranked struct {
	name  string
	cores float64
	hash  uint64
}

// Name returns the node's name.
func (r Ranked) Name() string { return r.name }

// BearsAll reports whether the node may be a relay and have other duties as well. A node whose cores are unknown may.
func (r Ranked) BearsAll() bool { return r.cores == 0 || r.cores >= coresForAll }

// bears returns how many nodes may report to a relay.
func (r Ranked) bears() float64 {
	if r.cores == 0 {
		return mostNodes
	}
	return min(mostNodes, max(leastNodes, nodesPerCore*r.cores))
}

// Ranking is a hall's nodes in the order in which they take on special duties.
type Ranking []Ranked

// Rank returns a hall's nodes in order, given the cores of each. Nodes with more cores come first, as a relay with a
// small share of a core responds late when all nodes return at once; equal ones are ordered by a hash of their names.
func Rank(nodes map[string]float64) Ranking {
	list := make(Ranking, 0, len(nodes))
	for name, cores := range nodes {
		list = append(list, Ranked{name, cores, xxhash.Sum64String(name)})
	}
	slices.SortFunc(list, func(a, b Ranked) int {
		return cmp.Or(cmp.Compare(b.cores, a.cores), cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name))
	})
	return list
}

// Names returns the names of the nodes, in order.
func (r Ranking) Names() []string {
	names := make([]string, len(r))
	for i, v := range r {
		names[i] = v.name
	}
	return names
}

// Relays returns the relays of a hall.
func (r Ranking) Relays() Ranking { return r[:min(len(r), max(minRelays, r.activeCount()))] }

// Active returns the relays that a hall's nodes report to, which also place the nodes' requests.
func (r Ranking) Active() Ranking { return r[:r.activeCount()] }

// activeCount is the number of relays that nodes report to. The others only exchange groups.
func (r Ranking) activeCount() int {
	least := (len(r) + mostNodes - 1) / mostNodes
	most := max(least, min(len(r), maxForSmall))
	count, borne := 0, 0.0
	for count < most && (count < least || borne < float64(len(r))) {
		borne += r[count].bears()
		count++
	}
	return count
}

// Has reports whether a node is among the ranked ones.
func (r Ranking) Has(name string) bool {
	return slices.ContainsFunc(r, func(v Ranked) bool { return v.name == name })
}

// ReportTargets returns the relays of a node's hall in the order in which the node tries to report to them.
func (r Ranking) ReportTargets(self string) []string {
	relays := r.Relays()
	active := len(r.Active())
	targets := relays[:active].Spread(self)
	if home := r.home(self); home != "" {
		targets = slices.DeleteFunc(targets, func(n string) bool { return n == home })
		targets = slices.Insert(targets, 0, home)
	}
	return append(targets, relays[active:].Names()...)
}

// home returns the relay that a node is assigned to: the first one of its order that still has room after the nodes that
// rank before it; "" if the node isn't one of the hall's, or all relays are large: these bear an uneven spread.
func (r Ranking) home(self string) string {
	if !slices.ContainsFunc(r.Active(), func(v Ranked) bool { return !v.BearsAll() }) {
		return ""
	}
	room := r.room()
	for _, v := range r[len(r.Relays()):] {
		targets := r.Active().Spread(v.name)
		i := max(0, slices.IndexFunc(targets, func(n string) bool { return room[n] > 0 }))
		room[targets[i]]--
		if v.name == self {
			return targets[i]
		}
	}
	return ""
}

// room returns how many nodes may report to each relay.
func (r Ranking) room() map[string]int {
	active, borne := r.Active(), 0.0
	for _, v := range active {
		borne += v.bears()
	}
	room := make(map[string]int, len(active))
	for _, v := range active {
		room[v.name] = int(math.Ceil(roomShare * float64(len(r)) * v.bears() / borne))
	}
	return room
}

// Spread returns the names of some nodes that serve others, in the order in which one of these tries them: of all that
// choose, each gets about a share in proportion to what it bears.
func (r Ranking) Spread(self string) []string {
	type choice struct {
		name   string
		weight float64
	}
	list := make([]choice, len(r))
	for i, v := range r {
		u := float64(xxhash.Sum64String(self+v.name)>>11) / (1 << 53)
		list[i] = choice{v.name, -math.Log1p(-u) / v.bears()}
	}
	slices.SortFunc(list, func(a, b choice) int { return cmp.Compare(a.weight, b.weight) })
	names := make([]string, len(list))
	for i, c := range list {
		names[i] = c.name
	}
	return names
}
