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
const orderedBeyond = 3 * time.Second

// orderedKeeps is how long a new process orders no fewer.
func (n *Node) orderedKeeps() time.Duration {
	boot := time.Duration(0)
	if c := n.current(); c != nil {
		for _, name := range c.Services() {
			if s := c.Service(name).Scaling; s != nil {
				boot = max(boot, s.BootTime)
			}
		}
	}
	return boot + orderedBeyond
}

// orderedRecord is what was ordered.
var orderedRecord = record{name: "ordered", key: "spurhall/ordered"}

// orderedValue is the on-demand counts ordered, by service and hall.
type orderedValue map[string]map[string]int

// flat is the counts by "service/hall", for the log.
func (v orderedValue) flat() map[string]int64 {
	r := make(map[string]int64)
	for s, by := range v {
		for h, c := range by {
			r[s+"/"+h] = int64(c)
		}
	}
	return r
}

// ordered is the holder's side of what was ordered.
type ordered struct {
	counts  orderedValue // as far as this term has ordered or found
	written bool
	found   orderedValue // by the holder before
	until   time.Time    // until when what was found counts
	era     int64        // of the term
}

// begin reads what the holder before this term has ordered.
func (v *ordered) begin(ctx context.Context, n *Node, token int64) {
	own, before := v.counts, v.era
	*v = ordered{counts: orderedValue{}, written: true, found: orderedValue{}, until: n.start.Add(n.orderedKeeps()), era: era.Of(token)}
	if !orderedRecord.read(ctx, n, &v.found) {
		v.found = orderedValue{}
	}
	for s, by := range v.found {
		maps.DeleteFunc(by, func(_ string, count int) bool { return count < 0 })
		v.counts[s] = maps.Clone(by)
	}
	if v.era > before && len(own) > 0 { // the store may have lost what this holder ordered last
		v.counts, v.written = own, false
	}
	n.log.Info("ordered_found", logging.Counts("counts", v.found.flat()))
}

// least is the fewest that may be ordered now.
func (v *ordered) least(now time.Time, s subject) int {
	if s.reclaimable || !now.Before(v.until) {
		return 0
	}
	return v.found[s.service][s.hall]
}

// note takes in an order that was taken.
func (v *ordered) note(s subject, count int) {
	if s.reclaimable || v.counts[s.service][s.hall] == count {
		return
	}
	if v.counts[s.service] == nil {
		v.counts[s.service] = map[string]int{}
	}
	v.counts[s.service][s.hall] = count
	v.written = false
}

// write puts what was ordered into the store, on condition that the term lasts. What can't
// be written is tried again with the next step.
func (v *ordered) write(ctx context.Context, n *Node, token int64) {
	if v.written {
		return
	}
	v.written = orderedRecord.write(ctx, n, token, v.counts)
}
