package relay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// This file determines which nodes of a hall are its relays, and which relay a node reports to. Every node
// computes the same result from the same names. While views differ, a node may report to one that does not
// consider itself a relay; receiving the report makes it one.

const (
	// nodesPerRelay is the most nodes that report to one relay: at four calls a second each, they take a fifth
	// of a VM with 0.192 cores, at an estimated 0.5 ms a call.
	nodesPerRelay = 24
	// minRelays is the least number of relays in a hall, so that another one has the complete state if one is
	// lost.
	minRelays = 2
)

// ranked is a node with what its rank depends on.
type ranked struct {
	name  string
	cores float64
	hash  uint64
}

// RankNodes returns the names of a hall's nodes in the order in which they take on special duties. Nodes with
// more cores come first, as a relay with a small share of a core responds late when all nodes return at once;
// equal ones are ordered by a hash of their names.
func RankNodes(nodes map[string]float64) []string {
	list := make([]ranked, 0, len(nodes))
	for name, cores := range nodes {
		list = append(list, ranked{name, cores, xxhash.Sum64String(name)})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.cores, a.cores), cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name))
	})
	names := make([]string, len(list))
	for i, v := range list {
		names[i] = v.name
	}
	return names
}

// Relays returns the relays of a hall, given its ranked nodes.
func Relays(ranked []string) []string {
	return ranked[:min(len(ranked), max(minRelays, activeCount(len(ranked))))]
}

// Active returns the relays that a hall's nodes report to, which also place the nodes' requests.
func Active(ranked []string) []string { return ranked[:min(len(ranked), activeCount(len(ranked)))] }

// activeCount is the number of relays that nodes report to. The others only exchange groups.
func activeCount(nodes int) int { return (nodes + nodesPerRelay - 1) / nodesPerRelay }

// ReportTargets returns the relays of a node's hall in the order in which the node tries to report to them,
// given the hall's ranked nodes.
func ReportTargets(self string, ranked []string) []string {
	targets := slices.Clone(Relays(ranked))
	active := targets[:len(Active(ranked))]
	slices.SortFunc(active, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(self+a), xxhash.Sum64String(self+b))
	})
	return targets
}
