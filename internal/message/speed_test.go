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

// The largest messages about speeds, for ids of a dozen bytes and start times in milliseconds.
const (
	maxSeen, maxParts, maxFigures = 64, 32, 64
	// maxReportBytes and the like are what a small VM's link of 10 Mbit/s carries in 4 ms, four times a second.
	maxReportBytes = 5_000
	maxSwapBytes   = 5_000
	maxDigestBytes = 5_000
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
	t.Run("a report", func(t *testing.T) {
		var list []speed.Seen
		for i := range maxSeen {
			list = append(list, speed.Seen{Upstream: upstreamOf(i), Ratios: speed.HistogramOf([]uint32{4, 7, 9}, []float32{1, 2, 1})})
		}
		assertSize(t, maxReportBytes, &wire.NodeReport{Speeds: SeenSpeedsToWire(list)})
	})
	t.Run("a swap of relays", func(t *testing.T) {
		var list []speed.Part
		for i := range maxParts {
			list = append(list, speed.Part{Upstream: upstreamOf(i), Log: 0.5, Spread: 0.3, Weight: 40, Nodes: 20})
		}
		assertSize(t, maxSwapBytes, &wire.Group{Speeds: SpeedPartsToWire(list)})
	})
	t.Run("a digest", func(t *testing.T) {
		var list []speed.Figure
		for i := range maxFigures {
			list = append(list, speed.Figure{Upstream: upstreamOf(i), Speed: 0.6, Weight: 40})
		}
		assertSize(t, maxDigestBytes, &wire.GatherResponse{Speeds: SpeedsToWire(list)})
	})
}
