package handover

import (
	"context"
	"maps"
	"time"

	"spurhall.example/spurhall/internal/era"
	"spurhall.example/spurhall/internal/logging"
)

// This file stores the ordered on-demand counts. An order states a total count, and the ordered upstreams take
// seconds to boot and to be listed: a successor without enough measurements would order fewer and thereby cancel
// upstreams that are starting, just when a lost holder, a wave of reclaims and cold caches coincide. So a new
// holder orders no fewer for a while.

// floorMargin is how long beyond a boot a new process orders no fewer: the heartbeat or two until the ordered
// upstreams are listed, during which the load is measured.
const floorMargin = 3 * time.Second

// FloorPeriod is how long after its start a process orders no fewer than the previous holder, where upstreams
// take boot to start.
func FloorPeriod(boot time.Duration) time.Duration { return boot + floorMargin }

// OrderedRecord holds the ordered counts.
var OrderedRecord = Record{Name: "ordered", Key: "spurhall/ordered"}

// orderedCounts is the ordered on-demand counts, by service and hall.
type orderedCounts map[string]map[string]int

// flat returns the counts by "service/hall", for the log.
func (v orderedCounts) flat() map[string]int64 {
	r := make(map[string]int64)
	for s, by := range v {
		for h, c := range by {
			r[s+"/"+h] = int64(c)
		}
	}
	return r
}

// Floor tracks the ordered on-demand counts for the holder of the duties, and the lower bound from the previous
// holder.
type Floor struct {
	counts    orderedCounts // ordered or restored in this term
	isWritten bool
	previous  orderedCounts // ordered by the previous holder
	until     time.Time     // until when the previous counts apply
	era       int64         // of the term
}

// Restore reads what the previous holder has ordered. Its counts are the lower bound until the given time.
func (v *Floor) Restore(ctx context.Context, s *Store, token int64, until time.Time) {
	ownCounts, ownEra := v.counts, v.era
	*v = Floor{counts: orderedCounts{}, isWritten: true, previous: orderedCounts{}, until: until, era: era.Of(token)}
	if !s.Read(ctx, OrderedRecord, &v.previous) {
		v.previous = orderedCounts{}
	}
	for name, by := range v.previous {
		maps.DeleteFunc(by, func(_ string, count int) bool { return count < 0 })
		v.counts[name] = maps.Clone(by)
	}
	if v.era > ownEra && len(ownCounts) > 0 { // the store may have lost this holder's last orders
		v.counts, v.isWritten = ownCounts, false
	}
	s.Log.Info("ordered_found", logging.Counts("counts", v.previous.flat()))
}

// MinCount returns the lowest count that may be ordered on demand now.
func (v *Floor) MinCount(now time.Time, service, hall string) int {
	if !now.Before(v.until) {
		return 0
	}
	return v.previous[service][hall]
}

// SetCount records an order on demand that was placed.
func (v *Floor) SetCount(service, hall string, count int) {
	if v.counts[service][hall] == count {
		return
	}
	if v.counts[service] == nil {
		v.counts[service] = map[string]int{}
	}
	v.counts[service][hall] = count
	v.isWritten = false
}

// Write stores the ordered counts on condition that the term lasts. The next step repeats a failed write.
func (v *Floor) Write(ctx context.Context, s *Store, token int64) {
	if !v.isWritten {
		v.isWritten = s.Write(ctx, OrderedRecord, token, v.counts)
	}
}
