package edge

import (
	"context"
	"maps"
	"time"

	"spurhall.example/spurhall/internal/pair"
	"spurhall.example/spurhall/internal/usage"
)

// This file preserves the counts of ended usage windows over the loss of all processes. Until a window is
// settled, its counts exist only in the processes, and settling is delayed: an unresponsive node may still
// report. So the holder of the duties writes the counts of all processes to the store as soon as a window has
// ended, one write per window for the whole fleet, and the next holder restores them before it settles
// anything.
//
// The counts of a window that hasn't ended are lost if all processes are.

const (
	// usageWriteDelay is the time from a window's end to the write of its counts: a round of reports and its
	// delay.
	usageWriteDelay = pair.Round + 100*time.Millisecond
	// usageWriteWindows is how many ended windows are written: those that may still wait for an unresponsive
	// node.
	usageWriteWindows = 3
	// usageRewriteInterval is the shortest time between writes of counts that arrive late: a hall that was
	// partitioned reports its windows when it reconnects, and all processes may be lost soon after that.
	usageRewriteInterval = 500 * time.Millisecond
)

// usageCountsRecord holds the counts.
var usageCountsRecord = record{name: "counted", key: "spurhall/counted"}

// processCounts is the counts of one process.
type processCounts struct {
	Node        string        `json:"node"`
	Incarnation string        `json:"lifetime"`
	Windows     usage.Windows `json:"windows"`
}

// usageCountsWriter stores the counts for the holder of the duties.
type usageCountsWriter struct {
	writtenWindow int64     // newest window written in this term
	writtenTotal  int64     // number of requests in what was written
	writtenAt     time.Time // time of the last write
}

// restore applies what the previous holder has written.
func (v *usageCountsWriter) restore(ctx context.Context, n *Node) {
	*v = usageCountsWriter{}
	var list []processCounts
	if !usageCountsRecord.read(ctx, n, &list) {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range list {
		n.usage.Merge(p.Node, p.Incarnation, p.Windows)
	}
}

// write stores the counts once a window has ended, and again when more counts of it have arrived, on condition
// that the term lasts. The next step repeats a failed write.
func (v *usageCountsWriter) write(ctx context.Context, n *Node, token int64) {
	now := n.clock.Wall()
	newest := n.usage.Window(now) - 1
	if now.Sub(n.usage.WindowEnd(newest)) < usageWriteDelay || newest <= v.writtenWindow && now.Sub(v.writtenAt) < usageRewriteInterval {
		return
	}
	list := n.processCounts(newest)
	total := totalRequests(list)
	if newest <= v.writtenWindow && total == v.writtenTotal {
		return
	}
	if usageCountsRecord.write(ctx, n, token, list) {
		*v = usageCountsWriter{newest, total, now}
	}
}

func totalRequests(list []processCounts) int64 {
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

// processCounts returns the counts of all processes in the newest ended windows.
func (n *Node) processCounts(newest int64) []processCounts {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := []processCounts{}
	add := func(node, incarnation string, all usage.Windows) {
		w := make(usage.Windows)
		for k, c := range all {
			if k > newest-usageWriteWindows && k <= newest {
				w[k] = maps.Clone(c) // encoded later, without the lock
			}
		}
		if len(w) > 0 {
			list = append(list, processCounts{node, incarnation, w})
		}
	}
	add(n.settings.Node, n.options.Incarnation, n.usage.Own())
	n.usage.EachOther(add)
	return list
}
