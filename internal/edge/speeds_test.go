package edge

import (
	"fmt"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"spurhall.example/spurhall/internal/pair"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/timer"
	"spurhall.example/spurhall/internal/wire"
)

// The bins of histograms of ratios: the usual one, and that of 1.6 times as fast.
const (
	usualStep = 20
	fastStep  = 15
)

// speedReport is what a node reports that has seen five upstreams, of which the first one is fast.
func speedReport(node string, round int) *wire.NodeReport {
	r := &wire.NodeReport{Node: node, Lifetime: "p", Sequence: uint64(round + 2), Hall: "a", StoreUp: true}
	for i := range 5 {
		step := uint32(usualStep)
		if i == 0 {
			step = fastStep
		}
		e := scaleItem(5 * i).Entry
		r.Speeds = append(r.Speeds, &wire.SeenSpeed{Upstream: e.ID, Born: e.Born, Steps: []uint32{step}, Counts: []float32{12}})
	}
	return r
}

// playReports lets four nodes report for some seconds.
func playReports(n *Node, clock *timer.Manual, report func(r *wire.NodeReport)) {
	for round := range 40 {
		for i := range 4 {
			report(speedReport(fmt.Sprint("reporter-", i), round))
		}
		clock.Advance(pair.Round)
		n.updateSpeeds()
	}
}

func stateOf(t *testing.T, n *Node, id string) pool.State {
	t.Helper()
	for _, v := range n.pools.States("llm") {
		if v.Entry.ID == id {
			return v
		}
	}
	require.Fail(t, "no state", id)
	return pool.State{}
}

// TestSpeedsThroughRelays: what nodes report to a relay reaches its nodes and the other relays, and a speed that a
// relay states is used.
func TestSpeedsThroughRelays(t *testing.T) {
	relay, clock := newScaleNode(t, 73, 60)
	s, fast := &edgeService{relay}, scaleItem(0).Entry.ID
	var told []*wire.Speed
	playReports(relay, clock, func(r *wire.NodeReport) {
		a, err := s.Gather(t.Context(), connect.NewRequest(&wire.GatherRequest{Report: r, Lifetime: "n", Version: 1}))
		require.NoError(t, err)
		if r.Node == "reporter-0" {
			told = append(told, a.Msg.Speeds...)
		}
	})
	assert.InDelta(t, 1.6, stateOf(t, relay, fast).Speed, 0.15)
	require.NotEmpty(t, told)
	assert.LessOrEqual(t, len(told), 3, "a figure that doesn't change is told once in some seconds")
	for _, v := range told {
		assert.Equal(t, fast, v.Upstream)
	}
	node, _ := newScaleNode(t, 73, 60)
	node.applyGatherResponse("relay", &wire.GatherResponse{Speeds: told})
	assert.InDelta(t, 1.6, stateOf(t, node, fast).Speed, 0.15)
	relay.mu.Lock()
	g := relay.buildGroup("another", "n", 1)
	relay.mu.Unlock()
	assert.Len(t, g.Speeds, 5)
	other, otherClock := newScaleNode(t, 73, 60)
	for range 7 * int(time.Second/pair.Round) {
		other.applyGroup(g)
		otherClock.Advance(pair.Round)
		other.updateSpeeds()
	}
	assert.InDelta(t, 1.6, stateOf(t, other, fast).Speed, 0.15)
	t.Run("the halls' mean", func(t *testing.T) {
		h := make(pool.HallSpeeds)
		for _, v := range relay.pools.Counts(nil) {
			h.Add(v)
		}
		assert.InDelta(t, (11+stateOf(t, relay, fast).Speed)/12, h.Mean("a"), 1e-9)
		assert.Equal(t, 1.0, h.Mean("b"))
		assert.Equal(t, 1.0, h.Mean("none"))
	})
}

// TestSpeedsInPairs: in a small fleet, reports of pairs are joined by each node; in a large one by the relays alone,
// or an upstream's responses would count several times.
func TestSpeedsInPairs(t *testing.T) {
	for nodes, learns := range map[int]bool{5: true, 73: false} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			n, clock := newScaleNode(t, nodes, 60)
			s := &edgeService{n}
			playReports(n, clock, func(r *wire.NodeReport) {
				_, err := s.Report(t.Context(), connect.NewRequest(&wire.ReportRequest{Report: r}))
				require.NoError(t, err)
			})
			assert.Equal(t, learns, stateOf(t, n, scaleItem(0).Entry.ID).Speed > 1.4)
		})
	}
}

// TestSpeedsAreReportedWhereTheyAreJoined: reports of pairs have what the node has seen only if pairs join it, and
// those to a relay always.
func TestSpeedsAreReportedWhereTheyAreJoined(t *testing.T) {
	for nodes, pairs := range map[int]bool{5: true, 73: false} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			n, clock := newScaleNode(t, nodes, 60)
			for i := range 60 {
				u := n.pools.Pick(pool.Request{ID: fmt.Sprint(i), Service: "llm", Engine: true, Prompt: 100, Output: 10})
				clock.Advance(10 * time.Millisecond)
				u.Started()
				u.End(pool.ResultGood)
			}
			assert.Equal(t, pairs, len(n.buildReport(pairWindows).Speeds) > 0)
			assert.NotEmpty(t, n.buildRelayReport().Speeds)
		})
	}
}
