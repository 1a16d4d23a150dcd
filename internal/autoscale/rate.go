package autoscale

import (
	"time"

	"spurhall.example/spurhall/internal/capacity"
)

// This file measures how fast work comes, out of sums that only grow, one from each node,
// as they are heard.
//
// Each node's rate is measured by itself, over the time between what was heard of it. A
// single rate over all sums was used first: when nodes were heard again after a cut, all
// their work of the meantime counted as that moment's, and upstreams were ordered for twice
// the load.

// rateHalf is the time over which what was measured counts half: some requests of each
// node, and less than the boot of an upstream.
const rateHalf = 2 * time.Second

// leastWeight damps what was measured in the first second: after a restart the callers that
// waited come all at once.
const leastWeight = 0.4

// Sum is what a node has counted since its process began.
type Counter struct {
	Value capacity.Work
	ReceivedAt    time.Time // when it was heard
}

// Rate is the rate at which sums grow. Its zero value has measured nothing.
type RateEstimator struct {
	nodes map[string]*nodeRate
}

// nodeRate is one node's rate.
type nodeRate struct {
	last   Counter
	value  capacity.Work // weighed average; what isn't measured yet counts as 0
	weight float64       // of what was measured in value, up to 1
}

// Take takes in the sums of a moment, and returns the rate a second. A node that wasn't
// heard within silent counts nothing: its callers have gone to others.
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
		v.take(s)
		if now.Sub(s.ReceivedAt) <= silent {
			all = all.Add(v.value.Scale(1 / max(v.weight, leastWeight)))
		}
	}
	return all
}

// take takes in what was heard. A sum that became smaller belongs to a new process.
func (v *nodeRate) take(s Counter) {
	d := s.ReceivedAt.Sub(v.last.ReceivedAt).Seconds()
	grown := s.Value.Add(v.last.Value.Scale(-1))
	if d <= 0 {
		return
	}
	v.last = s
	if grown.Prefill < 0 || grown.Slots < 0 || grown.Memory < 0 {
		return
	}
	gain := d / (d + rateHalf.Seconds())
	v.value = v.value.Scale(1 - gain).Add(grown.Scale(gain / d))
	v.weight += gain * (1 - v.weight)
}
