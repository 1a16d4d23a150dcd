// Package usage counts the requests that started to run, by workspace and by window of the wall clock,
// over all nodes.
//
// Each process counts for itself and sends its counts in every report; the other nodes keep the newest
// counts received from each process, so that a process that crashes loses only what it counted since
// its last report, and the node that reports to the platform has the sum ready. Counts only grow, so a
// lost, repeated or late report does no harm.
//
// Alternatives considered: each process writes its counts to the store for each window. It survives the
// loss of all processes at once, but costs a write for each node and window.
package usage

import (
	"maps"
	"time"
)

// keptWindows is the number of windows for which counts are kept: those that are not reported yet, and
// some for a successor that has to catch up.
const keptWindows = 8

// Counts holds requests by workspace.
type Counts map[string]int64

// Windows holds counts by window number.
type Windows map[int64]Counts

// Newest returns the counts of the last of some windows, and of those before it.
func (w Windows) Newest(last, windows int64) Windows {
	r := make(Windows, windows)
	for k := last; k > last-windows; k-- {
		if c := w[k]; c != nil {
			r[k] = c
		}
	}
	return r
}

// process identifies one incarnation of a node.
type process struct{ node, incarnation string }

// Tracker holds what one node knows of all counts. It isn't safe for concurrent use.
type Tracker struct {
	length time.Duration
	own    process
	counts map[process]Windows
}

// New returns the tracker of one process. length is the time that a window covers.
func New(node, incarnation string, length time.Duration) *Tracker {
	b := &Tracker{length: length, own: process{node, incarnation}, counts: make(map[process]Windows)}
	b.counts[b.own] = make(Windows)
	return b
}

// Window returns the number of the window that holds t.
func (b *Tracker) Window(t time.Time) int64 { return t.UnixNano() / int64(b.length) }

// WindowEnd returns when a window ends.
func (b *Tracker) WindowEnd(window int64) time.Time { return time.Unix(0, (window+1)*int64(b.length)) }

// Add counts a request of a workspace that started to run at t.
func (b *Tracker) Add(t time.Time, workspace string) {
	w, k := b.counts[b.own], b.Window(t)
	if w[k] == nil {
		w[k] = make(Counts)
	}
	w[k][workspace]++
}

// Own returns this process's counts. The caller must not change them.
func (b *Tracker) Own() Windows { return b.counts[b.own] }

// Merge merges the counts of a process, received from it or from another node.
func (b *Tracker) Merge(node, incarnation string, w Windows) {
	p := process{node, incarnation}
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

// HasLeft reports whether a process has told of requests after a window: its counts of that window no longer change.
func (b *Tracker) HasLeft(node, incarnation string, window int64) bool {
	for k := range b.counts[process{node, incarnation}] {
		if k > window {
			return true
		}
	}
	return false
}

// EachOther calls f for the counts of each process except this one.
func (b *Tracker) EachOther(f func(node, incarnation string, w Windows)) {
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

// Processes returns how many processes have counted requests in a window.
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
