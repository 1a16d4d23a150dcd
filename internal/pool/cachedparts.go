package pool

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"spurhall.example/spurhall/internal/call"
)

// This file records which prompt parts engines themselves report as cached. Nodes otherwise know where a
// prefix is cached only from the requests that they sent. If all nodes restart, that knowledge is lost
// while the engines keep their caches: callers then return all at once, nearly every prompt is read again,
// and a queue builds up at each engine within a second.
//
// An engine reports parts, not prefixes: it keeps a part whatever preceded it, and uses it if all parts
// before it are cached, too.

// maxCachedParts bounds the number of parts recorded per engine. The longest are taken: the list also
// contains the last part of each prompt, which is hardly ever requested again.
const maxCachedParts = 64

// ApplyCachedParts records the prompt parts that an engine has cached, and includes them in this node's
// reports.
func (p *Pools) ApplyCachedParts(upstream string, parts []call.Part) {
	parts = slices.Clone(parts)
	slices.SortFunc(parts, func(a, b call.Part) int { return cmp.Compare(b.Tokens, a.Tokens) })
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for _, v := range parts[:min(len(parts), maxCachedParts)] {
		place := Placement{Prefix: partKey(v.ID), Upstream: upstream}
		p.applyPlacements(now, []Placement{place})
		if len(p.placements) < maxPlacements {
			p.placements = append(p.placements, timedPlacement{now, place})
		}
	}
}

// partKey returns the key of a part by itself, distinct from the hashes of prefixes.
func partKey(part uint64) uint64 {
	return xxhash.Sum64(append([]byte("held"), appendHash(nil, part)...))
}
