package handover

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"spurhall.example/spurhall/internal/pair"
	"spurhall.example/spurhall/internal/usage"
)

// This file stores the counts of ended usage windows. Until a window is settled, its counts exist only in the
// processes, and settling is delayed: an unresponsive node may still report. So the holder of the duties writes
// the counts of all processes as soon as a window has ended, one write per window for the whole fleet, and the
// next holder restores them before it settles anything.
//
// The counts of the running window and the one before are written beside the quotas' levels, which needs no call of its own.
// What was counted after the last such write is lost if all processes are.

const (
	// UsageWriteDelay is the time from a window's end to the write of its counts: a round of reports and its
	// delay.
	UsageWriteDelay = pair.Round + 100*time.Millisecond
	// usageWriteWindows is how many ended windows are written: those that may still wait for an unresponsive
	// node.
	usageWriteWindows = 3
	// UsageRewriteInterval is the shortest time between writes of counts that arrive late: a hall that was
	// partitioned reports its windows when it reconnects, and all processes may be lost soon after that.
	UsageRewriteInterval = 500 * time.Millisecond
	// countingPace is how many bytes of counts a second are written beside the levels: a small part of the slowest holder's link
	// in a large fleet, and no bound in a small one.
	countingPace = 32 << 10
	// countingMaxBytes is the size up to which counts are written beside the levels, well below what the store takes as one
	// value: a write that it rejects would have the levels missing too.
	countingMaxBytes = 256 << 10
)

// UsageRecord holds the counts.
var UsageRecord = Record{Name: "counted", Key: "spurhall/counted"}

// CountingRecord holds the counts of the running window and the one before.
var CountingRecord = Record{Name: "counting", Key: "spurhall/counting"}

// ProcessCounts is the counts of one process.
type ProcessCounts struct {
	Node        string        `json:"node"`
	Incarnation string        `json:"lifetime"`
	Windows     usage.Windows `json:"windows"`
}

// CountsOf returns the counts of this process and of the others in the newest ended windows.
func CountsOf(t *usage.Tracker, node, incarnation string, newest int64) []ProcessCounts {
	return countsBetween(t, node, incarnation, newest-usageWriteWindows+1, newest)
}

// RunningCountsOf returns the counts of this process and of the others in the running window and the one before.
func RunningCountsOf(t *usage.Tracker, node, incarnation string, running int64) []ProcessCounts {
	return countsBetween(t, node, incarnation, running-1, running)
}

// countsBetween returns the counts of this process and of the others in the windows from oldest to newest. They are copies,
// which can be encoded while the tracker goes on counting.
func countsBetween(t *usage.Tracker, node, incarnation string, oldest, newest int64) []ProcessCounts {
	list := []ProcessCounts{}
	add := func(node, incarnation string, all usage.Windows) {
		w := make(usage.Windows)
		for k, c := range all {
			if k >= oldest && k <= newest {
				w[k] = maps.Clone(c)
			}
		}
		if len(w) > 0 {
			list = append(list, ProcessCounts{node, incarnation, w})
		}
	}
	add(node, incarnation, t.Own())
	t.EachOther(add)
	return list
}

// ReadCounts returns the counts that the previous holder has written.
func ReadCounts(ctx context.Context, s *Store) []ProcessCounts {
	var all []ProcessCounts
	for _, r := range []Record{UsageRecord, CountingRecord} {
		var list []ProcessCounts
		if s.Read(ctx, r, &list) {
			all = append(all, list...)
		}
	}
	return all
}

// Usage stores the counts for the holder of the duties.
type Usage struct {
	window  int64     // newest window written in this term
	total   int64     // number of requests in what was written
	written time.Time // time of the last write
	nextAt  time.Time // from when on counts may be written beside the levels again
}

// Window returns the newest window that was written in this term.
func (v *Usage) Window() int64 { return v.window }

// Write stores the counts once a window has ended, and again when more counts of it have arrived, on condition
// that the term lasts. newest is the newest ended window, end is its end, and counts returns the counts up to it.
// The next step repeats a failed write.
func (v *Usage) Write(ctx context.Context, s *Store, token int64, now time.Time, newest int64, end time.Time, counts func() []ProcessCounts) {
	if now.Sub(end) < UsageWriteDelay || newest <= v.window && now.Sub(v.written) < UsageRewriteInterval {
		return
	}
	list := counts()
	total := totalRequests(list)
	if newest <= v.window && total == v.total {
		return
	}
	if s.Write(ctx, UsageRecord, token, list) {
		v.window, v.total, v.written = newest, total, now
	}
}

// Running returns the entry with the counts of the running window and the one before, for a write that is made anyway; none
// if the last one was too lately for its size.
func (v *Usage) Running(now time.Time, counts func() []ProcessCounts) []Entry {
	if now.Before(v.nextAt) {
		return nil
	}
	list := counts()
	b, err := json.Marshal(list)
	if err != nil || len(list) == 0 {
		return nil // counts are numbers by name, which can be encoded
	}
	v.nextAt = now.Add(time.Duration(len(b)) * time.Second / countingPace)
	if len(b) > countingMaxBytes {
		return nil
	}
	return []Entry{{CountingRecord, json.RawMessage(b)}}
}

func totalRequests(list []ProcessCounts) int64 {
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
