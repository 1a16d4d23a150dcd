package roster

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// This file decides how long a node goes without news of its hall's watchers before it reads the store by itself. In
// a small fleet it does so at once. In a large one, the nodes of a hall lack news all at the same time, when the
// watchers are slow or all nodes start, and would make the store and the watchers slower still: 10,000 entries are
// some 3 MB for each node that reads them. There, a node waits, and then the nodes read one after the other.

const (
	// maxSmall is the size of a fleet up to which each node reads the store by itself at once: that many lists of a
	// fleet of that size are some 2 MB.
	maxSmall = 64
	// StartPatience is how long a starting node waits for watchers that have nothing yet.
	StartPatience = 3 * time.Second
	// newsPatience is how long a node goes without news, a part of the time for which a leaving upstream still serves.
	newsPatience = 1500 * time.Millisecond
	// readGap is the time between two nodes that read by themselves.
	readGap = 20 * time.Millisecond
)

// IsLarge reports whether the nodes of a fleet must not all read the store at once.
func IsLarge(nodes int) bool { return nodes > maxSmall }

// readTurn returns how long a node leaves the store to others.
func readTurn(name string, nodes int) time.Duration {
	return time.Duration(xxhash.Sum64String(name)%uint64(nodes)) * readGap
}

// WaitsToStart reports whether a node that started some time ago, and isn't a watcher, still waits for the watchers.
func WaitsToStart(age time.Duration, name string, nodes int) bool {
	return IsLarge(nodes) && age < StartPatience+readTurn(name, nodes)
}

// WaitsForNews reports whether a node that has had no news for some time still waits for the watchers.
func WaitsForNews(silent time.Duration, name string, nodes int) bool {
	return IsLarge(nodes) && silent < newsPatience+readTurn(name, nodes)
}

// MaxLag returns how long a node's list may lack a change that another node has, given the time for small fleets.
func MaxLag(small time.Duration, name string, nodes int) time.Duration {
	if !IsLarge(nodes) {
		return small
	}
	return newsPatience + readTurn(name, nodes)
}
