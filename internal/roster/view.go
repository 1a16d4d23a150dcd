package roster

import (
	"iter"
	"slices"
	"time"

	"spurhall.example/spurhall/internal/relay"
)

// Peer is another node as a node knows it.
type Peer struct {
	Signs
	Calls
	Name          string
	Address       string // of its listener for other nodes
	Hall          string // empty: no report received yet
	Cores         float64
	Leaving       bool
	StoreUp       bool      // the store is available to it
	RelayFailedAt time.Time // when it last failed to respond as a relay
}

// View is a fleet as one of its nodes sees it at a moment.
type View struct {
	Now     time.Time
	Self    Peer
	Size    int               // number of nodes, this one included
	Regions map[string]string // region by hall
	Peers   iter.Seq[*Peer]
}

// Present returns the other nodes that are present and don't leave.
func (v View) Present() iter.Seq[*Peer] {
	return func(yield func(*Peer) bool) {
		for p := range v.Peers {
			if !p.Leaving && p.IsPresent(v.Now, v.Size) && !yield(p) {
				return
			}
		}
	}
}

// HearsMost reports whether this node and those of which it has had a sign within some time are more than half of all that
// don't leave. The nodes that it doesn't hear can't be as many then, so that this one isn't cut off with a few others.
func (v View) HearsMost(within time.Duration) bool {
	heard, all := 1, 1
	for p := range v.Peers {
		if p.Leaving {
			continue
		}
		all++
		if v.Now.Sub(p.LastSign(v.Size)) <= within {
			heard++
		}
	}
	return 2*heard > all
}

// Unnamed estimates how many nodes the view lacks at a node that couldn't read the registry: in each hall of which no node is
// known, as many as in the largest one.
func (v View) Unnamed() int {
	sizes := map[string]int{v.Self.Hall: 1}
	for p := range v.Peers {
		if p.Hall != "" {
			sizes[p.Hall]++
		}
	}
	missing, largest := 0, 0
	for _, n := range sizes {
		largest = max(largest, n)
	}
	for h := range v.Regions {
		if sizes[h] == 0 {
			missing++
		}
	}
	return missing * largest
}

// Watchers returns the nodes of this hall that watch the store.
func (v View) Watchers() []string { return v.watchers().Names() }

func (v View) watchers() relay.Ranking {
	nodes := []Node{{Name: v.Self.Name, Cores: v.Self.Cores, StoreUp: v.Self.StoreUp}}
	for p := range v.Peers {
		if p.Hall != v.Self.Hall || p.Leaving {
			continue
		}
		// A node that has just started has heard of the others only by the registry, which shows that they reach the
		// store.
		unheard := IsLarge(v.Size) && p.LastSign(v.Size).IsZero() && p.IsPresent(v.Now, v.Size)
		if unheard || p.IsResponsive(v.Now, v.Size) {
			nodes = append(nodes, Node{Name: p.Name, Cores: p.Cores, StoreUp: unheard || p.StoreUp})
		}
	}
	return Watchers(nodes, v.Size)
}

// leavingWatchers returns the nodes of this hall that leave and may have watched the store.
func (v View) leavingWatchers() []string {
	nodes := make(map[string]float64)
	for p := range v.Peers {
		if p.Hall == v.Self.Hall && p.Leaving && p.StoreUp && p.IsResponsive(v.Now, v.Size) {
			nodes[p.Name] = p.Cores
		}
	}
	ranked := relay.Rank(nodes)
	return ranked[:min(len(ranked), WatchersPerHall)].Names()
}

// HallNodes returns the nodes of a hall that may be its relays, in order.
func (v View) HallNodes(hall string) relay.Ranking {
	nodes := make(map[string]float64)
	if hall == v.Self.Hall && !v.Self.Leaving {
		nodes[v.Self.Name] = v.Self.Cores
	}
	for p := range v.Present() {
		if p.Hall == hall && !relay.IsAvoided(v.Now, p.RelayFailedAt, p.LastSeen) {
			nodes[p.Name] = p.Cores
		}
	}
	return relay.Rank(nodes)
}

// RelaysOfAllHalls returns some of the relays of all halls as this node sees them: those that a function of
// package relay picks from a hall's ordered nodes.
func (v View) RelaysOfAllHalls(some func(relay.Ranking) relay.Ranking) []string {
	list := some(v.HallNodes(v.Self.Hall)).Names()
	for hall := range v.Regions {
		if hall != v.Self.Hall {
			list = append(list, some(v.HallNodes(hall)).Names()...)
		}
	}
	slices.Sort(list)
	return list
}

// Senders returns the nodes that share what upstreams take from all nodes together.
func (v View) Senders() []string {
	var nodes []string
	if !v.Self.Leaving {
		nodes = append(nodes, v.Self.Name)
	}
	for p := range v.Present() {
		nodes = append(nodes, p.Name)
	}
	slices.Sort(nodes)
	return nodes
}

// LastHeard returns the addresses of up to k nodes of a hall, the ones last heard of first.
func (v View) LastHeard(hall string, k int) []string {
	var list []*Peer
	for p := range v.Peers {
		if p.Hall == hall {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(x, y *Peer) int { return y.LastSeen.Compare(x.LastSeen) })
	addresses := make([]string, 0, k)
	for _, p := range list[:min(len(list), k)] {
		addresses = append(addresses, p.Address)
	}
	return addresses
}
