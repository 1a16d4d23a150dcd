// Package pair decides which of two nodes calls the other, and when. Nodes exchange reports in pairs,
// and so do relays with their groups.
//
// Each pair has one caller, chosen by a hash of both names, so that a node calls about half of the
// others. Up to some dozen nodes, all pairs exchange in each round. In a larger fleet a node still
// makes the same number of calls a round and serves the pairs in turn: the traffic of a node stays the
// same, the fleet's calls grow with its size and not with its square, and the exchanged figures get
// older instead.
//
// Alternatives considered: forwarding reports from node to node. A forwarded report has to contain the
// load of every node at every upstream, and its size grows with the fleet; relays, of which there are
// few, do this.
//
// The package is pure: time is passed in.
package pair

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Round is the length of a round. Quotas overshoot by what is charged within a round.
	Round = 250 * time.Millisecond
	// pairsPerRound is how many pairs of a node exchange in a round; on average the node itself calls
	// half of them.
	pairsPerRound = 12
	// missedExchanges is the number of exchanges that a node may miss before it counts as unresponsive.
	missedExchanges = 6
)

// Interval is how often a pair exchanges in a fleet of so many nodes.
func Interval(nodes int) time.Duration { return max(Round, Round*time.Duration(nodes-1)/pairsPerRound) }

// unresponsiveAfter is the time without an exchange after which a pair's other node counts as unresponsive:
// several missed exchanges.
func unresponsiveAfter(nodes int) time.Duration { return missedExchanges * Interval(nodes) }

// maxTellingInterval is the longest interval of exchanges whose absence shows within some seconds that a node is
// silent.
const maxTellingInterval = 2 * time.Second

// Suffice reports whether the pairs of a fleet exchange often enough to show which nodes are silent. Beyond
// some hundred nodes they don't.
func Suffice(nodes int) bool { return Interval(nodes) <= maxTellingInterval }

// Silence returns the time without an exchange after which a node counts as silent, in a fleet whose pairs
// suffice to show it.
func Silence(nodes int) time.Duration {
	return missedExchanges * min(Interval(nodes), maxTellingInterval)
}

// calls reports whether self, of two nodes, is the one that calls the other.
func calls(self, other string) bool {
	first, second := min(self, other), max(self, other)
	lower := xxhash.Sum64String(first+"\x00"+second)%2 == 0
	return lower == (self == first)
}

// Peer is the state of another node as a possible caller sees it.
type Peer struct {
	Name       string
	LastSeen   time.Time // when it last exchanged, whichever side called
	LastCalled time.Time // when this node last called it
	Busy       bool      // a call is in progress
}

// Due returns the names of the peers to call in this round in a fleet of so many nodes, those with the longest
// wait first. others lists the nodes that this one exchanges with, which may be a part of the fleet: the interval
// of a pair depends on the fleet, so that the few nodes that all others call aren't called the more often. An
// unresponsive node is called from both sides.
func Due(now time.Time, self string, nodes int, others []Peer) []string {
	interval, timeout := Interval(nodes), unresponsiveAfter(nodes)
	list := slices.DeleteFunc(slices.Clone(others), func(o Peer) bool {
		mine := calls(self, o.Name) || now.Sub(o.LastSeen) > timeout
		return !mine || o.Busy || now.Sub(o.LastCalled) < interval-Round/2 // rounds start a little late: half a round early counts as on time
	})
	slices.SortFunc(list, func(a, b Peer) int { return a.LastCalled.Compare(b.LastCalled) })
	names := make([]string, 0, pairsPerRound)
	for _, o := range list[:min(len(list), pairsPerRound)] {
		names = append(names, o.Name)
	}
	return names
}

// FallbackInterval is how often a node of a large fleet calls a peer, one of those that no relay names. While all nodes
// start, or relays are slow, these are most of the fleet, and each call opens a connection: one in each round was as much
// as the reports to the relays, and made these slower still.
const FallbackInterval = 2 * time.Second

// Fallback paces the calls of a node of a large fleet to peers that no relay names. Its zero value has made none.
type Fallback struct{ at time.Time }

// Take reports whether a call is due, and counts it if so.
func (f *Fallback) Take(now time.Time) bool {
	if now.Sub(f.at) < FallbackInterval {
		return false
	}
	f.at = now
	return true
}
