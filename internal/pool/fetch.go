package pool

import (
	"math"

	"spurhall.example/spurhall/internal/capacity"
)

// This file lets an engine fetch parts of a prompt from the cache of another engine that has read them.
// The links between engines transfer a part in far less time than it takes to read it, and the source
// engine continues to work meanwhile. A request therefore does not have to queue where its prefix is
// cached, and fewer tokens are read again.
//
// Alternatives considered: fetching only within a hall. It needs no second factor, but a hall that has
// just lost its engines would have no source.

const (
	// fetchMs is the fixed part of a fetch: a round trip and the set-up.
	fetchMs = 6.0
	// farFetchFactor is how many times as long a transfer between halls takes.
	farFetchFactor = 2.0
)

// setFetchSources sets for each candidate the upstream from which it could fetch more of the prompt: the
// one that has most of it cached, and one of the candidate's own hall if that has as much. rate is in
// tokens a millisecond.
func setFetchSources(rate float64, members []*member, list []Candidate) {
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
		c, k, far := &list[i], best, farFetchFactor
		if v, ok := near[members[i].entry.Hall]; ok && list[v].Cached >= list[best].Cached {
			k, far = v, 1
		}
		c.Fetch = math.Max(0, list[k].Cached-c.Cached)
		c.FetchMs, c.Source = fetchMs+far*c.Fetch/rate, members[k].entry.Address
	}
}

// fetchIsFaster reports whether fetching cached parts from another engine is faster than reading them.
func (c *Candidate) fetchIsFaster(e capacity.Engine) bool {
	return c.Fetch > 0 && c.FetchMs < e.PrefillTime(c.Fetch)/c.speed()
}
