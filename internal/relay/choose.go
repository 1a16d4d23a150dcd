package relay

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// This file says which nodes of a hall are its relays, and which of them a node reports to.
// Every node finds the same from the same names; where views differ for a moment, a node
// reports to one that doesn't take itself for a relay, which is one thereby.

const (
	// nodesARelay is how many nodes report to one relay, at most: four calls a second each,
	// which take a fifth of a VM of 0.192 cores, at an estimated 0.5 ms a call.
	nodesARelay = 24
	// leastRelays is how many relays a hall has at least, so that one is there which knows
	// everything when another is lost.
	leastRelays = 2
)

// Order returns the names of a hall's nodes, by the cores that each has: the first ones do
// what a hall has some nodes for. Those with most come first, the others by a hash of their
// names: a relay with little of a core answers late when all nodes return at once.
func RankNodes(nodes map[string]float64) []string {
	names := slices.Collect(maps.Keys(nodes))
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(nodes[b], nodes[a]), cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	return names
}

// Relays returns the relays of a hall, out of its nodes in order.
func Relays(ordered []string) []string {
	return ordered[:min(len(ordered), max(leastRelays, active(len(ordered))))]
}

// Active returns the relays of a hall that its nodes report to, which place their requests.
func Active(ordered []string) []string { return ordered[:min(len(ordered), active(len(ordered)))] }

// active is how many relays of a hall nodes report to. The others only swap.
func active(nodes int) int { return (nodes + nodesARelay - 1) / nodesARelay }

// Homes returns the relays of a node's hall in the order in which it tries to report to
// them, out of the hall's nodes in order.
func ReportTargets(self string, ordered []string) []string {
	homes := slices.Clone(Relays(ordered))
	actives := homes[:len(Active(ordered))]
	slices.SortFunc(actives, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(self+a), xxhash.Sum64String(self+b))
	})
	return homes
}
