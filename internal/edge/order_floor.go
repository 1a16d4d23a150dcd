package edge

import (
	"context"
	"maps"
	"time"

	"spurhall.example/spurhall/internal/era"
	"spurhall.example/spurhall/internal/logging"
)

// This file stores the ordered on-demand counts for the next holder of the duties. An order states a total
// count, and the ordered upstreams take seconds to boot and to be listed: a successor without enough
// measurements would order fewer and thereby cancel upstreams that are starting, just when a lost holder, a
// wave of reclaims and cold caches coincide. So the counts are kept in the store, and a new holder orders no
// fewer for a while.
//
// Alternatives considered: sending the counts in reports to the other nodes. A fault that kills the holder
// often kills all nodes.

// orderFloorMargin is how long beyond a boot a new process orders no fewer: the heartbeat or two until the
// ordered upstreams are listed, during which the load is measured.
const orderFloorMargin = 3 * time.Second

// orderFloorPeriod is how long a new process orders no fewer.
func (n *Node) orderFloorPeriod() time.Duration {
	boot := time.Duration(0)
	if c := n.currentCatalog(); c != nil {
		for _, name := range c.Services() {
			if s := c.Service(name).Scaling; s != nil {
				boot = max(boot, s.BootTime)
			}
		}
	}
	return boot + orderFloorMargin
}

// orderedRecord holds the ordered counts.
var orderedRecord = record{name: "ordered", key: "spurhall/ordered"}

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

// orderFloor tracks the ordered counts for the holder of the duties, and the lower bound from the previous
// holder.
type orderFloor struct {
	counts    orderedCounts // ordered or restored in this term
	isWritten bool
	previous  orderedCounts // ordered by the previous holder
	until     time.Time     // until when the previous counts apply
	era       int64         // of the term
}

// restore reads what the previous holder has ordered.
func (v *orderFloor) restore(ctx context.Context, n *Node, token int64) {
	ownCounts, ownEra := v.counts, v.era
	*v = orderFloor{counts: orderedCounts{}, isWritten: true, previous: orderedCounts{}, until: n.start.Add(n.orderFloorPeriod()), era: era.Of(token)}
	if !orderedRecord.read(ctx, n, &v.previous) {
		v.previous = orderedCounts{}
	}
	for s, by := range v.previous {
		maps.DeleteFunc(by, func(_ string, count int) bool { return count < 0 })
		v.counts[s] = maps.Clone(by)
	}
	if v.era > ownEra && len(ownCounts) > 0 { // the store may have lost this holder's last orders
		v.counts, v.isWritten = ownCounts, false
	}
	n.log.Info("ordered_found", logging.Counts("counts", v.previous.flat()))
}

// minCount returns the lowest count that may be ordered now.
func (v *orderFloor) minCount(now time.Time, s orderKey) int {
	if s.reclaimable || !now.Before(v.until) {
		return 0
	}
	return v.previous[s.service][s.hall]
}

// record records an order that was placed.
func (v *orderFloor) record(s orderKey, count int) {
	if s.reclaimable || v.counts[s.service][s.hall] == count {
		return
	}
	if v.counts[s.service] == nil {
		v.counts[s.service] = map[string]int{}
	}
	v.counts[s.service][s.hall] = count
	v.isWritten = false
}

// write stores the ordered counts on condition that the term lasts. The next step repeats a failed write.
func (v *orderFloor) write(ctx context.Context, n *Node, token int64) {
	if v.isWritten {
		return
	}
	v.isWritten = orderedRecord.write(ctx, n, token, v.counts)
}
