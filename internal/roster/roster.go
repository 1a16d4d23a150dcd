// Package roster decides from the signs of life of the nodes which of them count as present, and which have
// duties towards the nodes of their hall.
//
// A node learns of another one in three ways. Its own reports arrive in pairs, at a rate that falls with the size
// of the fleet. A relay's digest names, in each round, every node that still reports to some relay. The registry
// in the store lists each node under a lease. Up to some hundred nodes, pairs swap often enough to show that a
// node is silent. Beyond, that would take minutes, and the digest counts as well: the time after which a node
// counts as silent then doesn't depend on the size of the fleet.
//
// Alternatives considered: digests in fleets of any size. A digest proves that a node reaches its relay, and a
// report that it reaches this node, which matters where each node watches the store for its peers.
//
// The package is pure: times are passed in.
package roster

import (
	"cmp"
	"slices"
	"time"

	"spurhall.example/spurhall/internal/pair"
	"spurhall.example/spurhall/internal/relay"
)

const (
	// relayedSilence is the time without a sign after which a node of a larger fleet counts as silent: its relay
	// notices after a second, and its report and the digest take up to three rounds.
	relayedSilence = 3 * time.Second
	// listedFor is how long after it was last listed a node counts as registered: two reads of the registry.
	listedFor = 4 * time.Second
	// retention is how long a node is kept that is neither responsive nor registered.
	retention = 3 * time.Second
	// WatchersPerHall is how many nodes of a hall watch the store: with two, the loss of one costs the others a
	// time-out.
	WatchersPerHall = 2
)

// Signs are the signs of life of another node, as the times of the latest ones; zero: none yet.
type Signs struct {
	FoundAt     time.Time // when the node was first known, which is no sign of life
	LastSeen    time.Time // a report of its own
	LastRelayed time.Time // a digest that names it
	LastListed  time.Time // the registry
}

// Silence returns the time without a sign after which a node of a fleet counts as silent.
func Silence(nodes int) time.Duration {
	if pair.Suffice(nodes) {
		return pair.Silence(nodes)
	}
	return relayedSilence
}

// LastSign returns when a node of a fleet last gave a sign that it is responsive.
func (s *Signs) LastSign(nodes int) time.Time {
	if !pair.Suffice(nodes) && s.LastRelayed.After(s.LastSeen) {
		return s.LastRelayed
	}
	return s.LastSeen
}

// IsResponsive reports whether a node of a fleet isn't silent.
func (s *Signs) IsResponsive(now time.Time, nodes int) bool {
	return now.Sub(s.LastSign(nodes)) <= Silence(nodes)
}

// IsPresent reports whether a node is responsive or registered.
func (s *Signs) IsPresent(now time.Time, nodes int) bool {
	return s.IsResponsive(now, nodes) || now.Sub(s.LastListed) <= listedFor
}

// IsGone reports whether a node of a fleet is neither responsive nor registered any more, right after a read of the
// registry.
func (s *Signs) IsGone(now time.Time, nodes int) bool {
	return !s.IsResponsive(now, nodes) && now.Sub(s.LastSeen) > retention && now.Sub(s.LastListed) > retention
}

// NeedsReport reports whether a node's own reports are needed: pairs suffice, or no digest has named it for longer
// than it takes a node that has just been found to reach its relay.
func (s *Signs) NeedsReport(now time.Time, nodes int) bool {
	return pair.Suffice(nodes) || now.Sub(s.LastRelayed) > relayedSilence && now.Sub(s.FoundAt) > relayedSilence
}

// spareRelays is how many nodes rank behind a hall's relays as the next ones: each that some node avoids is followed by one.
const spareRelays = 2

// Node is a node of a hall, as a candidate for watching the store.
type Node struct {
	Name    string
	Cores   float64
	StoreUp bool // the store is available to it
}

// Watchers returns the nodes of a hall that watch the store: the first ones in the hall's order of those that
// reach the store, or of all nodes if none reaches it. A small node that is a relay doesn't watch as well, if there is
// another one, and pairs suffice in a fleet of that size: beyond, only relays have the counts of all nodes, which a watcher
// needs that performs the duties. While views differ, a node may poll one that doesn't watch; the response says so.
func Watchers(nodes []Node, fleet int) relay.Ranking {
	all, connected := make(map[string]float64, len(nodes)), make(map[string]float64, len(nodes))
	for _, n := range nodes {
		all[n.Name] = n.Cores
		if n.StoreUp {
			connected[n.Name] = n.Cores
		}
	}
	ranked := relay.Rank(all)
	relays := ranked[:min(len(ranked), len(ranked.Active())+spareRelays)]
	if len(connected) == 0 {
		connected = all
	}
	order := relay.Rank(connected)
	if !pair.Suffice(fleet) {
		return order[:min(len(order), WatchersPerHall)]
	}
	// Stable: the hall's order holds among those that only watch, and among the rest.
	slices.SortStableFunc(order, func(a, b relay.Ranked) int { return cmp.Compare(burden(a, relays), burden(b, relays)) })
	return order[:min(len(order), WatchersPerHall)]
}

// burden is 1 for a small node that is a relay, or the next to be one.
func burden(n relay.Ranked, relays relay.Ranking) int {
	if !n.BearsAll() && relays.Has(n.Name()) {
		return 1
	}
	return 0
}
