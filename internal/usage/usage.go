// Package usage counts the requests that began to run, by workspace, in windows of the
// wall clock, over all nodes together.
//
// Each process counts for itself and tells its counts in every report; the others keep
// the newest counts of each process they heard, so that a process that dies loses only
// what it counted since its last report, and whoever reports to the platform has a sum
// at hand. Counts only grow, so a lost, repeated or late report does no harm.
//
// Weighed: each process writes its counts to the store for each window. It survives the
// loss of all processes at once, but costs a write a node and window.
package usage

import (
	"maps"
	"time"
)

// keep is the number of windows that counts are kept for: those that are still due, and
// some for a successor that has to catch up.
const keptWindows = 8

// Counts is requests by workspace.
type Counts map[string]int64

// Windows is counts by window number.
type Windows map[int64]Counts

// process names one life of one node.
type process struct{ node, incarnation string }

// Book is what one node knows of all counts. It isn't safe for concurrent use.
type Tracker struct {
	length time.Duration
	own    process
	counts  map[process]Windows
}

// New returns the book of one process. length is the time that a window covers.
func New(node, lifetime string, length time.Duration) *Tracker {
	b := &Tracker{length: length, own: process{node, lifetime}, counts: make(map[process]Windows)}
	b.counts[b.own] = make(Windows)
	return b
}

// Window returns the number of the window that holds t.
func (b *Tracker) Window(t time.Time) int64 { return t.UnixNano() / int64(b.length) }

// End returns when a window ends.
func (b *Tracker) WindowEnd(window int64) time.Time { return time.Unix(0, (window+1)*int64(b.length)) }

// Add counts a request of a workspace that began to run at t.
func (b *Tracker) Add(t time.Time, workspace string) {
	w, k := b.counts[b.own], b.Window(t)
	if w[k] == nil {
		w[k] = make(Counts)
	}
	w[k][workspace]++
}

// Own returns this process's counts. The caller doesn't change them.
func (b *Tracker) Own() Windows { return b.counts[b.own] }

// TakeIn takes in the counts of a process, heard from it or from another node.
func (b *Tracker) Merge(node, lifetime string, w Windows) {
	p := process{node, lifetime}
	if p == b.own {
		return
	}
	old := b.counts[p]
	if old == nil {
		old = make(Windows)
		b.counts[p] = old
	}
	for k, c := range w {
		if old[k] == nil {
			old[k] = make(Counts)
		}
		for n, v := range c {
			old[k][n] = max(old[k][n], v)
		}
	}
}

// Others calls f for the counts of each process but this one.
func (b *Tracker) EachOther(f func(node, lifetime string, w Windows)) {
	for p, w := range b.counts {
		if p != b.own {
			f(p.node, p.incarnation, w)
		}
	}
}

// Sum returns the counts of a window over all processes.
func (b *Tracker) Sum(window int64) Counts {
	sum := make(Counts)
	for _, w := range b.counts {
		for n, v := range w[window] {
			sum[n] += v
		}
	}
	return sum
}

// Processes returns how many processes have counted anything in a window.
func (b *Tracker) Processes(window int64) int {
	n := 0
	for _, w := range b.counts {
		if len(w[window]) > 0 {
			n++
		}
	}
	return n
}

// Forget drops the windows that are no longer needed at t.
func (b *Tracker) Forget(t time.Time) {
	oldest := b.Window(t) - keptWindows
	for p, w := range b.counts {
		maps.DeleteFunc(w, func(k int64, _ Counts) bool { return k < oldest })
		if len(w) == 0 && p != b.own {
			delete(b.counts, p)
		}
	}
}
