package autoscale

import (
	"time"

	"spurhall.example/spurhall/internal/capacity"
)

// This file estimates the rate of arriving work from counters that only grow, one from each node, as their
// values are received.
//
// Each node's rate is measured separately, over the time between two values of its counter. Alternatives
// considered: a single rate over the sum of all counters. When nodes became reachable again after a partition,
// all their work of the meantime counted as arriving at that moment, and upstreams were ordered for twice the
// load.

// rateHalfLife is the time over which a measurement gets half of the weight: long enough for some requests of
// each node, and shorter than the boot of an upstream.
const rateHalfLife = 2 * time.Second

// minWeight damps the rate measured in the first second: after a restart the waiting callers arrive all at
// once.
const minWeight = 0.4

// Counter is the work that a node has counted since its process started.
type Counter struct {
	Value      capacity.Work
	ReceivedAt time.Time
}

// RateEstimator estimates the rate at which the counters of all nodes grow. Its zero value is ready for use.
type RateEstimator struct {
	nodes map[string]*nodeRate
}

// nodeRate is the rate of one node.
type nodeRate struct {
	last   Counter
	value  capacity.Work // weighted average; time before the first measurement counts as 0
	weight float64       // total weight of the measurements in value, up to 1
}

// Estimate adds the current counters, and returns the rate per second. A node whose counter was not received
// within silent counts as 0: its callers have moved to other nodes.
func (r *RateEstimator) Estimate(now time.Time, sums map[string]Counter, silent time.Duration) capacity.Work {
	if r.nodes == nil {
		r.nodes = make(map[string]*nodeRate)
	}
	for n := range r.nodes {
		if _, ok := sums[n]; !ok {
			delete(r.nodes, n)
		}
	}
	var all capacity.Work
	for n, s := range sums {
		v := r.nodes[n]
		if v == nil {
			v = &nodeRate{last: s}
			r.nodes[n] = v
		}
		v.add(s)
		if now.Sub(s.ReceivedAt) <= silent {
			all = all.Add(v.value.Scale(1 / max(v.weight, minWeight)))
		}
	}
	return all
}

// add adds a received counter. A counter that became smaller belongs to a new process.
func (v *nodeRate) add(s Counter) {
	d := s.ReceivedAt.Sub(v.last.ReceivedAt).Seconds()
	grown := s.Value.Add(v.last.Value.Scale(-1))
	if d <= 0 {
		return
	}
	v.last = s
	if grown.Prefill < 0 || grown.Slots < 0 || grown.Memory < 0 {
		return
	}
	gain := d / (d + rateHalfLife.Seconds())
	v.value = v.value.Scale(1 - gain).Add(grown.Scale(gain / d))
	v.weight += gain * (1 - v.weight)
}
