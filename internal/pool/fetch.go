package pool

import (
	"math"

	"spurhall.example/spurhall/internal/capacity"
)

// This file lets an engine take parts of a prompt from the memory of another one that has
// read them. Links between engines carry a part in far less time than it is read in, and the engine that is taken from goes on working; so a request needn't queue
// where its prefix is, and less is read again.
//
// Weighed: fetching only within a hall. It needs no second figure, but a hall that has just
// lost its engines has nobody to take from.

const (
	// fetchMs is what a fetch takes besides its tokens: a round trip and the set-up.
	fetchMs = 6.0
	// fetchFar is how much longer a fetch between halls takes.
	fetchFar = 2.0
)

// sources notes for each candidate where it could take more of the prompt from: the one that
// has most of it cached, of its own hall if that has one which has as much. rate is in tokens
// a millisecond.
func sources(rate float64, members []*member, list []Candidate) {
	best, near := -1, make(map[string]int)
	for i := range list {
		c := &list[i]
		if c.Unreachable || c.Cached == 0 {
			continue
		}
		if best < 0 || c.Cached > list[best].Cached {
			best = i
		}
		if k, ok := near[members[i].entry.Hall]; !ok || c.Cached > list[k].Cached {
			near[members[i].entry.Hall] = i
		}
	}
	if best < 0 {
		return
	}
	for i := range list {
		c, k, far := &list[i], best, fetchFar
		if v, ok := near[members[i].entry.Hall]; ok && list[v].Cached >= list[best].Cached {
			k, far = v, 1
		}
		c.Fetch = math.Max(0, list[k].Cached-c.Cached)
		c.FetchMs, c.Source = fetchMs+far*c.Fetch/rate, members[k].entry.Address
	}
}

// fetches tells whether taking cached parts from another engine is quicker than reading
// them again.
func (c *Candidate) fetches(e capacity.Engine) bool {
	return c.Fetch > 0 && c.FetchMs < e.PrefillTime(c.Fetch)
}
