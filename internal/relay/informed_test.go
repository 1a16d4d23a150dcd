package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestNodeOfALargeFleetIsSentAllPlacementsAgain: where the changes take several digests, all but the first one had them.
func TestNodeOfALargeFleetIsSentAllPlacementsAgain(t *testing.T) {
	now := startTime
	a := NewAggregator("next", "1")
	for i := range 3 * maxChanges {
		a.ApplyReport(now, Report{Node: fmt.Sprint("node-", i), Incarnation: "1", Sequence: 1, Placed: placements(10*i, 10)})
	}
	now = now.Add(time.Minute)
	for i := range 3 * maxChanges {
		a.ApplyReport(now, Report{Node: fmt.Sprint("node-", i), Incarnation: "1", Sequence: 2})
	}
	a.ApplyReport(now, Report{Node: "moved", Incarnation: "1", Sequence: 1})
	a.SetInformed(now, "moved", true)
	var sent, changes int
	for version := uint64(0); version < a.version; now = now.Add(reportInterval) {
		d := a.Digest(now, "moved", version)
		sent, changes, version = sent+len(d.Placed), changes+len(d.Changes), d.Version
	}
	assert.GreaterOrEqual(t, changes, 3*maxChanges)
	assert.Zero(t, sent)
}
