package roster

import (
	"slices"
	"time"

	"spurhall.example/spurhall/internal/pair"
)

// This file decides in each round which nodes are called, and which have fallen silent.

// Calls is what a node has done about another one.
type Calls struct {
	LastCalled   time.Time // by this node
	Calling      bool      // a call is in progress
	silenceNoted bool      // since it was last responsive
}

// Round is what a node finds out about the others in one round.
type Round struct {
	Responsive int
	Leaving    []string
	Silent     []*Peer  // those that have fallen silent since the last round
	Due        []string // those to call, which count as being called from now on
}

// Round looks at all other nodes. The fallback paces the calls of nodes that no relay names.
func (v View) Round(f *pair.Fallback) Round {
	var r Round
	for p := range v.Peers {
		if p.Leaving {
			r.Leaving = append(r.Leaving, p.Name)
		}
		switch {
		case p.IsResponsive(v.Now, v.Size):
			r.Responsive++
			p.silenceNoted = false
		case !p.silenceNoted && !p.LastSign(v.Size).IsZero():
			p.silenceNoted = true
			r.Silent = append(r.Silent, p)
		}
	}
	r.Due = v.due(f)
	for p := range v.Peers {
		if slices.Contains(r.Due, p.Name) {
			p.Calling, p.LastCalled = true, v.Now
		}
	}
	return r
}

// due returns the nodes to call in this round.
func (v View) due(f *pair.Fallback) []string {
	var peers []pair.Peer
	for p := range v.Peers {
		if p.NeedsReport(v.Now, v.Size) {
			peers = append(peers, pair.Peer{Name: p.Name, LastSeen: p.LastSeen, LastCalled: p.LastCalled, Busy: p.Calling})
		}
	}
	list := pair.Due(v.Now, v.Self.Name, v.Size, peers)
	if len(list) == 0 || pair.Suffice(v.Size) {
		return list
	}
	if !f.Take(v.Now) {
		return nil
	}
	return list[:1]
}
