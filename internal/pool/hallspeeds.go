package pool

// This file has the mean speeds of halls, by which plans of upstreams count capacity instead of heads.

// hallSpeed is the number of a hall's ready upstreams, and the sum of their relative speeds.
type hallSpeed struct {
	count int
	sum   float64
}

// HallSpeeds holds the speeds of one service's ready upstreams by hall.
type HallSpeeds map[string]hallSpeed

// Add adds a group of upstreams, unless they are leaving.
func (h HallSpeeds) Add(g GroupCount) {
	if g.Leaving {
		return
	}
	v := h[g.Hall]
	v.count += g.Count - g.Lost
	v.sum += g.Speed
	h[g.Hall] = v
}

// Mean returns the mean relative speed of a hall's ready upstreams; 1 if it has none.
func (h HallSpeeds) Mean(hall string) float64 {
	v := h[hall]
	if v.count <= 0 {
		return 1
	}
	return v.sum / float64(v.count)
}
