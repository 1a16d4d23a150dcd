// Package bootstrap decides how a process that starts while the store is away learns from other nodes what the registry
// would have told it.
//
// Its settings name some seeds, and other nodes call it once they know it; neither says how many nodes there are. So it asks
// the nodes that it has heard from, one after the other, which others they know. It goes on asking until it has read the registry,
// since nodes that start after it are known only to those that they have called.
//
// Alternatives considered: the names of all nodes in each report. Reports go to all pairs in each round, so they would
// grow with the square of the fleet all the time, for a case of seconds.
//
// The package is pure, but for the calls of seeds (Seeds): times are passed in.
package bootstrap

import (
	"slices"
	"time"

	"spurhall.example/spurhall/internal/pair"
)

// askInterval is the shortest time between two questions.
const askInterval = pair.Round

// Lookup is what a process has done to learn of the other nodes. Its zero value has asked nobody.
type Lookup struct {
	askedAt  time.Time
	asked    string // the node asked last
	complete bool
}

// Next returns which of the nodes that were heard from to ask now, each in its turn; empty: none. The pause grows with the
// fleet, whose size the answers do.
func (l *Lookup) Next(now time.Time, heard []string) string {
	if len(heard) == 0 || now.Sub(l.askedAt) < max(askInterval, pair.Interval(len(heard)+1)) {
		return ""
	}
	slices.Sort(heard)
	i, found := slices.BinarySearch(heard, l.asked)
	if found {
		i++
	}
	l.askedAt, l.asked = now, heard[i%len(heard)]
	return l.asked
}

// Hear records that a node has named those that it knows, and whether it has read the registry, or heard from one that has.
func (l *Lookup) Hear(complete bool) { l.complete = l.complete || complete }

// Complete reports whether some node has named all others.
func (l *Lookup) Complete() bool { return l.complete }
