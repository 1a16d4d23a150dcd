package roster

import (
	"time"

	"spurhall.example/spurhall/internal/pair"
	"spurhall.example/spurhall/internal/relay"
)

// This file decides which nodes share the rate limits that upstreams set for all nodes together, and how often that is determined.

// sharingInterval is how often the nodes that share limits are determined while no limit is known. Sorting them
// in each round took most of an idle node's processor time at a thousand nodes.
const sharingInterval = 2 * time.Second

// Sharing is when the nodes that share limits were last determined. Its zero value is never.
type Sharing struct{ at time.Time }

// Take reports whether they are to be determined now.
func (s *Sharing) Take(now time.Time, limited bool) bool {
	due := limited || now.Sub(s.at) >= sharingInterval
	if due {
		s.at = now
	}
	return due
}

// Placers returns the nodes that alone share the limits of engines: the relays, where they place the requests of others.
func (v View) Placers() []string {
	if pair.Interval(v.Size) > pair.Round {
		return v.RelaysOfAllHalls(relay.Ranking.Active)
	}
	return nil
}
