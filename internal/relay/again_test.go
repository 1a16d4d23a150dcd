package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestLossOfARelaySendsAllPlacementsAgain: each relay then requests the state of all others, with what they placed long ago.
func TestLossOfARelaySendsAllPlacementsAgain(t *testing.T) {
	now := startTime
	far, self := NewAggregator("far", "1"), NewAggregator("self", "1")
	far.ApplyReport(now, Report{Node: "other", Incarnation: "1", Sequence: 1, Placed: placements(0, 3000)})
	self.MergeGroup(now, far.Group(now, 0))
	self.ApplyReport(now, Report{Node: "node", Incarnation: "1", Sequence: 1})
	d := self.Digest(now, "node", 0)
	assert.Len(t, d.Placed, 3000)
	now = now.Add(time.Minute)
	self.MergeGroup(now, Group{Relay: "lost", Incarnation: "1", Version: 1})
	far.ApplyReport(now, Report{Node: "other", Incarnation: "1", Sequence: 2})
	self.MergeGroup(now, far.Group(now, self.groups["far"].version))
	for range 8 {
		now = now.Add(reportInterval)
		self.Expire(now)
		far.ApplyReport(now, Report{Node: "other", Incarnation: "1", Sequence: uint64(now.Sub(startTime)), Placed: placements(int(now.Sub(startTime)), 1)})
		_, version := self.KnownVersion("far")
		self.MergeGroup(now, far.Group(now, version))
		next := self.Digest(now, "node", d.Version)
		assert.Equal(t, 1, len(next.Placed), "what is new, %v after the last group of the lost relay", now.Sub(startTime)-time.Minute)
		d = next
	}
}
