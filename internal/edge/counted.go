package edge

import (
	"context"
	"maps"
	"time"

	"spurhall.example/spurhall/internal/pair"
	"spurhall.example/spurhall/internal/usage"
)

// This file keeps the counts of ended windows over the loss of all processes. Until a
// window is settled its counts live in the processes alone, and it isn't settled at once:
// a node that is silent may still be heard. So the holder of the duties writes what all
// processes have counted to the store as soon as a window has ended, a write a window for
// the whole fleet, and the next holder takes it in before it settles anything.
//
// What is counted in a window that hasn't ended goes with the processes, if all are lost.

const (
	// countedAfter is how long after a window's end its counts are written: a round of
	// reports, and its delay.
	countedAfter = pair.Round + 100*time.Millisecond
	// countedWindows is how many ended windows are written: those that may still wait for a
	// silent node.
	countedWindows = 3
	// countedAgain is how often they are written again at most, where counts came late: a
	// hall that was cut off tells of its windows when it is heard again, and all processes
	// may be lost soon after that.
	countedAgain = 500 * time.Millisecond
)

// countedRecord is the counts.
var countedRecord = record{name: "counted", key: "spurhall/counted"}

// processCounts is what one process has counted.
type processCounts struct {
	Node     string        `json:"node"`
	Lifetime string        `json:"lifetime"`
	Windows  usage.Windows `json:"windows"`
}

// counted is the holder's side of the counts.
type counted struct {
	window int64     // the newest that was written in this term
	total  int64     // requests in what was written
	at     time.Time // when it was
}

// begin takes in what the holder before has written.
func (v *counted) begin(ctx context.Context, n *Node) {
	*v = counted{}
	var list []processCounts
	if !countedRecord.read(ctx, n, &list) {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range list {
		n.usage.Merge(p.Node, p.Lifetime, p.Windows)
	}
}

// write puts the counts into the store once a window has ended, and again when more was
// heard of it, on condition that the term lasts. What can't be written is tried again with
// the next step.
func (v *counted) write(ctx context.Context, n *Node, token int64) {
	now := n.clock.Wall()
	newest := n.usage.Window(now) - 1
	if now.Sub(n.usage.WindowEnd(newest)) < countedAfter || newest <= v.window && now.Sub(v.at) < countedAgain {
		return
	}
	list := n.processCounts(newest)
	total := totalOf(list)
	if newest <= v.window && total == v.total {
		return
	}
	if countedRecord.write(ctx, n, token, list) {
		*v = counted{newest, total, now}
	}
}

func totalOf(list []processCounts) int64 {
	sum := int64(0)
	for _, p := range list {
		for _, c := range p.Windows {
			for _, x := range c {
				sum += x
			}
		}
	}
	return sum
}

// processCounts is the counts of all processes in the newest ended windows.
func (n *Node) processCounts(newest int64) []processCounts {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := []processCounts{}
	add := func(node, lifetime string, all usage.Windows) {
		w := make(usage.Windows)
		for k, c := range all {
			if k > newest-countedWindows && k <= newest {
				w[k] = maps.Clone(c) // it is encoded without the lock
			}
		}
		if len(w) > 0 {
			list = append(list, processCounts{node, lifetime, w})
		}
	}
	add(n.s.Node, n.o.Incarnation, n.usage.Own())
	n.usage.EachOther(add)
	return list
}
