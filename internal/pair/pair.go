// Package pair says which of two nodes calls the other, and when. Nodes swap reports in pairs, and so do
// relays their groups.
//
// Each pair has one caller, by a hash of both names, so that a node calls about half of the others. Up to some
// dozen nodes all pairs swap in each round. Beyond that a node makes as many calls a round as before and takes the
// pairs in turn: what a node sends stays the same, the fleet's calls grow with its size and not with its
// square, and figures get older instead.
//
// Weighed: passing reports on from node to node. A report that is passed on has to bear what every node has at
// every upstream, and its bytes grow with the fleet; that is what relays are for, of which there are few.
//
// The package is pure: time comes in.
package pair

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Round is the length of a round. Quotas overshoot by what is charged in it.
	Round = 250 * time.Millisecond
	// aRound is how many pairs of a node swap in a round, on average half of them called by the node itself.
	pairsPerRound = 12
	// missed is how many swaps a node may miss before it doesn't count as heard.
	missedExchanges = 6
)

// Every is how often a pair swaps in a fleet of so many nodes.
func Interval(nodes int) time.Duration { return max(Round, Round*time.Duration(nodes-1)/pairsPerRound) }

// Silent is the silence after which a node doesn't count as heard any more: some swaps that were missed.
func UnresponsiveAfter(nodes int) time.Duration { return missedExchanges * Interval(nodes) }

// calls tells which of two nodes calls the other.
func calls(self, other string) bool {
	first, second := min(self, other), max(self, other)
	lower := xxhash.Sum64String(first+"\x00"+second)%2 == 0
	return lower == (self == first)
}

// Other is another node, as one that may call it knows it.
type Peer struct {
	Name   string
	LastSeen  time.Time // when it last swapped, whoever called
	LastCalled time.Time // by this node
	Busy   bool      // a call is under way
}

// Due returns the names of those to call in this round, of all others, the longest waiting ones first. One that
// isn't heard is called from both sides.
func Due(now time.Time, self string, others []Peer) []string {
	every, silent := Interval(len(others)+1), UnresponsiveAfter(len(others)+1)
	list := slices.DeleteFunc(slices.Clone(others), func(o Peer) bool {
		mine := calls(self, o.Name) || now.Sub(o.LastSeen) > silent
		return !mine || o.Busy || now.Sub(o.LastCalled) < every-Round/2 // rounds come a little late: half a round early is on time
	})
	slices.SortFunc(list, func(a, b Peer) int { return a.LastCalled.Compare(b.LastCalled) })
	names := make([]string, 0, pairsPerRound)
	for _, o := range list[:min(len(list), pairsPerRound)] {
		names = append(names, o.Name)
	}
	return names
}
