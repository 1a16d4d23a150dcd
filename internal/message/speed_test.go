package message

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"google.golang.org/protobuf/proto"

	"spurhall.example/spurhall/internal/retry"
	"spurhall.example/spurhall/internal/speed"
	"spurhall.example/spurhall/internal/wire"
)

// Messages about speeds at their bounds, for ids of a dozen bytes and start times in milliseconds.
const (
	maxSeen, maxParts, maxFigures = 64, 32, 64
	// allBins is more than a histogram has: the others are ignored.
	allBins = 64
	// maxBytes is what a small VM's link of 10 Mbit/s carries in a twentieth of the time, at four messages a second.
	maxBytes = 10_000_000 / 8 / 20 / 4
)

func upstreamOf(i int) retry.Incarnation {
	return retry.Incarnation{ID: fmt.Sprintf("i-%010d", i), Born: 1_700_000_000_000}
}

func assertSize(t *testing.T, most int, m proto.Message) {
	t.Helper()
	n := proto.Size(m)
	t.Logf("%d bytes", n)
	assert.LessOrEqual(t, n, most)
}

// TestSpeedMessagesAreSmall checks that what nodes tell each other of speeds fits the links of small VMs.
func TestSpeedMessagesAreSmall(t *testing.T) {
	for name, bins := range map[string]int{"a report, three bins an upstream": 3, "a report, all bins": allBins} {
		t.Run(name, func(t *testing.T) {
			var steps []uint32
			var counts []float32
			for i := range bins {
				steps, counts = append(steps, uint32(i)), append(counts, 1.5)
			}
			var list []speed.Seen
			for i := range maxSeen {
				list = append(list, speed.Seen{Upstream: upstreamOf(i), Ratios: speed.HistogramOf(steps, counts)})
			}
			assertSize(t, maxBytes, &wire.NodeReport{Speeds: SeenSpeedsToWire(list)})
		})
	}
	t.Run("a swap of relays", func(t *testing.T) {
		var list []speed.Part
		for i := range maxParts {
			list = append(list, speed.Part{Upstream: upstreamOf(i), Log: 0.5, Spread: 0.3, Weight: 40, Nodes: 20})
		}
		assertSize(t, maxBytes, &wire.Group{Speeds: SpeedPartsToWire(list)})
	})
	t.Run("a digest", func(t *testing.T) {
		var list []speed.Figure
		for i := range maxFigures {
			list = append(list, speed.Figure{Upstream: upstreamOf(i), Speed: 0.6, Weight: 40})
		}
		assertSize(t, maxBytes, &wire.GatherResponse{Speeds: SpeedsToWire(list)})
	})
}
