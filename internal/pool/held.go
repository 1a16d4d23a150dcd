package pool

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"spurhall.example/spurhall/internal/call"
)

// This file takes in what engines say themselves that they have cached. Nodes know where a
// prompt's prefix was read from the requests they sent, and a loss of all nodes takes that
// with it while the engines keep their caches: with callers back all at once, nearly every
// prompt is read anew, and queues build up at each engine within a second.
//
// An engine names parts, not prefixes: it keeps a part whatever came before it, and uses it
// if it keeps all those before it, too.

// heldLimit bounds the parts of one engine that are taken in, the longest ones: the last
// part of each prompt is listed, too, and hardly any is asked for again.
const heldLimit = 64

// Held takes in the prompt parts that an engine has cached, and passes them on in reports.
func (p *Pools) ApplyCachedParts(upstream string, parts []call.Part) {
	parts = slices.Clone(parts)
	slices.SortFunc(parts, func(a, b call.Part) int { return cmp.Compare(b.Tokens, a.Tokens) })
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for _, v := range parts[:min(len(parts), heldLimit)] {
		place := Placement{Prefix: heldKey(v.ID), Upstream: upstream}
		p.learnPlaced(now, []Placement{place})
		if len(p.placed) < placedLimit {
			p.placed = append(p.placed, placing{now, place})
		}
	}
}

// heldKey is a part by itself as a key beside those of prefixes.
func heldKey(part uint64) uint64 {
	return xxhash.Sum64(append([]byte("held"), appendHash(nil, part)...))
}
