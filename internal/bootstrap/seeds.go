package bootstrap

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"spurhall.example/spurhall/internal/pair"
	"spurhall.example/spurhall/internal/timer"
)

// This file calls the seeds until all other nodes are known: a process that starts while the store is away can't discover one
// otherwise, and some may be behind a partition.

const (
	// seedSpread is the time over which the nodes of a fleet begin to call the seeds, when all start at once and the
	// store doesn't show them each other.
	seedSpread = pair.Round
	// seedRetryInterval is how often a seed that hasn't answered is called while another node is known.
	seedRetryInterval = time.Second
)

// Known is what a node knows of the others when it looks for seeds to call.
type Known struct {
	All     bool     // it has read the registry, or heard from one that has
	Peers   int      // other nodes that it knows
	Unknown []string // the seeds that none of them has as its address
}

// SeedsToCall returns the addresses to call, and the pause until they are called again. There are none once the other nodes are
// known.
func SeedsToCall(k Known) (list []string, pause time.Duration) {
	switch {
	case k.Peers == 0:
		return k.Unknown, pair.Round
	case k.All:
		return nil, 0
	}
	return k.Unknown, seedRetryInterval
}

// Seeds calls the seeds of one node.
type Seeds struct {
	Clock *timer.Service
	Node  string
	Read  func() bool  // the registry has been read
	Known func() Known // as it is now
	Call  func(ctx context.Context, address string)
}

// Run calls them until there are none to call, or the context ends.
func (s *Seeds) Run(ctx context.Context) {
	if !s.Read() {
		_ = s.Clock.Sleep(ctx, time.Duration(xxhash.Sum64String(s.Node)%uint64(seedSpread))) // the loop condition checks the context
	}
	for ctx.Err() == nil {
		list, pause := SeedsToCall(s.Known())
		if len(list) == 0 {
			return
		}
		for _, a := range list {
			s.Call(ctx, a)
		}
		_ = s.Clock.Sleep(ctx, pause) // the loop condition checks the context
	}
}
