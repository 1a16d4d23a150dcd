package egress

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// heardWithin is how recently a node must have heard of a hall's upstreams to be asked first: some reports.
	heardWithin = 1500 * time.Millisecond
	// RefusalMemory is how long a node isn't asked again after it couldn't help.
	RefusalMemory = time.Second
)

// Peer is another node that may open connections.
type Peer struct {
	Name      string
	Address   string
	Hall      string
	Heard     time.Duration // since an upstream of the wanted hall last responded to it, as far as known; negative: unknown
	RefusedAt time.Time     // when it last couldn't help
}

// Rank returns the peers to ask for an upstream of a hall, the best ones first: those that have heard of the hall's
// upstreams of late, then those in that hall, then the others, in random order among equals so that one node's
// connections spread. Peers that lately couldn't help are left out.
func Rank(now time.Time, hall string, peers []Peer) []Peer {
	r := make([]Peer, 0, len(peers))
	for _, p := range peers {
		if p.RefusedAt.IsZero() || now.Sub(p.RefusedAt) > RefusalMemory {
			r = append(r, p)
		}
	}
	rand.Shuffle(len(r), func(i, j int) { r[i], r[j] = r[j], r[i] })
	slices.SortStableFunc(r, func(a, b Peer) int { return cmp.Compare(a.class(hall), b.class(hall)) })
	return r
}

// class orders peers; lower ones are asked first.
func (p *Peer) class(hall string) int {
	c := 0
	if p.Heard < 0 || p.Heard > heardWithin {
		c += 2
	}
	if p.Hall != hall {
		c++
	}
	return c
}
