package edge

import (
	"context"
	"maps"
	"time"

	"spurhall.example/spurhall/internal/era"
	"spurhall.example/spurhall/internal/logging"
)

// This file remembers what was ordered on demand, for the next holder of the duties. An
// order states a whole count, and what it ordered takes seconds to boot and to be listed:
// a successor that has measured too little yet would order fewer and thereby call off what
// is on its way, in the very seconds in which a lost holder, a wave of reclaims and cold
// caches come together. So the counts stand in the store, and a new holder orders no fewer
// for a while.
//
// Weighed: telling the counts in reports to the other nodes. A fault that kills the holder
// often kills all nodes.

// orderedBeyond is how long beyond a boot a new process orders no fewer: a heartbeat or two
// until what was ordered is listed, in which the load is measured.
const orderFloorMargin = 3 * time.Second

// orderedKeeps is how long a new process orders no fewer.
func (n *Node) orderFloorPeriod() time.Duration {
	boot := time.Duration(0)
	if c := n.currentCatalog(); c != nil {
		for _, name := range c.Services() {
			if s := c.Service(name).Scaling; s != nil {
				boot = max(boot, s.Boot)
			}
		}
	}
	return boot + orderFloorMargin
}

// orderedRecord is what was ordered.
var orderedRecord = record{name: "ordered", key: "spurhall/ordered"}

// orderedValue is the on-demand counts ordered, by service and hall.
type orderedCounts map[string]map[string]int

// flat is the counts by "service/hall", for the log.
func (v orderedCounts) flat() map[string]int64 {
	r := make(map[string]int64)
	for s, by := range v {
		for h, c := range by {
			r[s+"/"+h] = int64(c)
		}
	}
	return r
}

// ordered is the holder's side of what was ordered.
type orderFloor struct {
	counts    orderedCounts // as far as this term has ordered or found
	isWritten bool
	previous  orderedCounts // by the holder before
	until     time.Time     // until when what was found counts
	era       int64         // of the term
}

// begin reads what the holder before this term has ordered.
func (v *orderFloor) restore(ctx context.Context, n *Node, token int64) {
	own, before := v.counts, v.era
	*v = orderFloor{counts: orderedCounts{}, isWritten: true, previous: orderedCounts{}, until: n.start.Add(n.orderFloorPeriod()), era: era.Of(token)}
	if !orderedRecord.read(ctx, n, &v.previous) {
		v.previous = orderedCounts{}
	}
	for s, by := range v.previous {
		maps.DeleteFunc(by, func(_ string, count int) bool { return count < 0 })
		v.counts[s] = maps.Clone(by)
	}
	if v.era > before && len(own) > 0 { // the store may have lost what this holder ordered last
		v.counts, v.isWritten = own, false
	}
	n.log.Info("ordered_found", logging.Counts("counts", v.previous.flat()))
}

// least is the fewest that may be ordered now.
func (v *orderFloor) minCount(now time.Time, s orderKey) int {
	if s.reclaimable || !now.Before(v.until) {
		return 0
	}
	return v.previous[s.service][s.hall]
}

// note takes in an order that was taken.
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

// write puts what was ordered into the store, on condition that the term lasts. What can't
// be written is tried again with the next step.
func (v *orderFloor) write(ctx context.Context, n *Node, token int64) {
	if v.isWritten {
		return
	}
	v.isWritten = orderedRecord.write(ctx, n, token, v.counts)
}
