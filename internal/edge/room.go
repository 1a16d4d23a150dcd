package edge

import (
	"context"

	"spurhall.example/spurhall/internal/autoscale"
	"spurhall.example/spurhall/internal/catalog"
)

// This file connects the planners with their predecessors' knowledge (package handover).

// beginTerm lets the planners continue from what the previous holder knew and ordered.
func (o *orderer) beginTerm(ctx context.Context, c *catalog.Catalog) {
	for _, m := range o.mixes {
		m.BeginTerm()
	}
	o.room.Restore(ctx, o.n.records(), func(service string, k autoscale.Known) {
		if s := c.Service(service); s != nil && s.Scaling != nil {
			o.mix(s).Restore(o.n.clock.Since(o.n.start), k)
		}
	})
}

// knownRoom returns what the planners know.
func (o *orderer) knownRoom() map[string]autoscale.Known {
	known := make(map[string]autoscale.Known, len(o.mixes))
	for name, m := range o.mixes {
		known[name] = m.Known(o.n.clock.Since(o.n.start))
	}
	return known
}
