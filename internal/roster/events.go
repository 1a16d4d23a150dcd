package roster

import "spurhall.example/spurhall/internal/pair"

// This file decides which events of other nodes get a line of their own in the log. With a line for each pair, they would
// grow with the square of the fleet's size. So in a fleet in which pairs don't swap reports in each round, the nodes that
// watch the store for their hall log each event, and all others log a round's totals.

// Events counts the events since the last round that weren't logged by themselves. Its zero value has none.
type Events struct {
	verbose bool
	counts  map[string]int
}

// Take reports whether an event gets a line of its own in a fleet of so many nodes, and counts it otherwise.
func (e *Events) Take(event string, nodes int) bool {
	if e.verbose || pair.Interval(nodes) == pair.Round {
		return true
	}
	if e.counts == nil {
		e.counts = make(map[string]int)
	}
	e.counts[event]++
	return false
}

// EndRound returns the totals of a round, nil if there are none. verbose says that each event of the next round gets a line.
func (e *Events) EndRound(verbose bool) (totals map[string]int) {
	totals, e.counts, e.verbose = e.counts, nil, verbose
	return totals
}
