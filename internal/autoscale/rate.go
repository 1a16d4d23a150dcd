package autoscale

import "time"

// This file measures how fast work comes, out of sums that only grow, one from each
// node. A node's sum begins anew with its process; the span in which that happens says
// nothing of the node.

// rateHalf is the time over which what was measured counts half: some requests of each
// node, and less than the boot of an upstream.
const rateHalf = 2 * time.Second

// Rate is the rate at which sums grow. Its zero value has measured nothing.
type Rate struct {
	last   map[string]float64 // by node
	at     time.Time
	value  float64 // weighed average; what isn't measured yet counts as 0
	weight float64 // of what was measured in value, up to 1
}

// Take takes in the sums of a moment, and returns the rate a second.
func (r *Rate) Take(now time.Time, sums map[string]float64) float64 {
	d := now.Sub(r.at).Seconds()
	grown := 0.0
	for n, v := range sums {
		if old, ok := r.last[n]; ok && v >= old {
			grown += v - old
		}
	}
	first := r.last == nil
	r.last, r.at = sums, now
	if !first && d > 0 {
		gain := d / (d + rateHalf.Seconds())
		r.value += gain * (grown/d - r.value)
		r.weight += gain * (1 - r.weight)
	}
	if r.weight == 0 {
		return 0
	}
	return r.value / r.weight
}
