package message

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"spurhall.example/spurhall/internal/capacity"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/relay"
	"spurhall.example/spurhall/internal/retry"
	"spurhall.example/spurhall/internal/rollout"
	"spurhall.example/spurhall/internal/speed"
	"spurhall.example/spurhall/internal/usage"
	"spurhall.example/spurhall/internal/wire"
)

var (
	names     = rapid.StringMatching("[a-z0-9-]{1,6}")
	durations = rapid.Custom(func(t *rapid.T) time.Duration { return FromMillis(rapid.Int64Range(0, 1<<40).Draw(t, "ms")) })
	loads     = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) pool.Load {
		return pool.Load{
			Upstream: names.Draw(t, "upstream"), Running: rapid.IntRange(0, 1000).Draw(t, "running"),
			Queued: float64(rapid.IntRange(0, 1e6).Draw(t, "queued")), Reserved: float64(rapid.IntRange(0, 1e6).Draw(t, "held")),
		}
	}), 0, 3)
	placements = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) pool.Placement {
		return pool.Placement{Prefix: rapid.Uint64().Draw(t, "prefix"), Upstream: names.Draw(t, "upstream")}
	}), 0, 3)
	shares = rapid.Custom(func(t *rapid.T) pool.PeerLoad {
		return pool.PeerLoad{Age: durations.Draw(t, "age"), Loads: loads.Draw(t, "loads")}
	})
	reachabilities = rapid.Custom(func(t *rapid.T) pool.Reachability {
		r := pool.Reachability{LastResponse: rapid.MapOfN(names, durations, 0, 3).Draw(t, "answered")}
		for range rapid.IntRange(0, 2).Draw(t, "unreached") {
			r.Unreachable = append(r.Unreachable, pool.UnreachableUpstream{
				Upstream: names.Draw(t, "upstream"), Born: rapid.Int64().Draw(t, "born"), Nodes: rapid.IntRange(0, 400).Draw(t, "nodes"),
				Age: durations.Draw(t, "age"), Misplaced: rapid.Bool().Draw(t, "gone"),
			})
		}
		return r
	})
	changes = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) relay.Change {
		c := relay.Change{
			Node: names.Draw(t, "node"), Incarnation: names.Draw(t, "lifetime"), Sequence: rapid.Uint64().Draw(t, "sequence"), Uptime: durations.Draw(t, "uptime"),
			Age: durations.Draw(t, "age"), Relay: names.Draw(t, "relay"), Unresponsive: rapid.Bool().Draw(t, "silent"),
			Spent: rapid.MapOfN(names, rapid.Float64Range(0, 1e9), 0, 3).Draw(t, "spent"), Started: make(usage.Windows),
			Status: relay.Status{Leaving: rapid.Bool().Draw(t, "leaving"), StoreDown: rapid.Bool().Draw(t, "store down")},
		}
		for range rapid.IntRange(0, 2).Draw(t, "windows") {
			c.Work = map[string]capacity.Work{names.Draw(t, "worked"): {Prefill: rapid.Float64Range(0, 1e9).Draw(t, "work"), Slots: 2, Memory: 3}}
			c.Started[rapid.Int64().Draw(t, "window")] = rapid.MapOfN(names, rapid.Int64(), 1, 3).Draw(t, "counts")
		}
		return c
	}), 0, 2)
	trials = rapid.Custom(func(t *rapid.T) []rollout.Update {
		var list []rollout.Update
		for range rapid.IntRange(0, 2).Draw(t, "trials") {
			w := rollout.Update{
				Service: names.Draw(t, "service"), Target: names.Draw(t, "target"), Order: rapid.Int64().Draw(t, "order"),
				Stage: rollout.Stage(rapid.IntRange(0, 6).Draw(t, "stage")), Stopped: rapid.Bool().Draw(t, "stopped"), Tally: make(rollout.Tally),
				KeepAlive: rollout.KeepAlive{Term: rapid.Int64().Draw(t, "term"), Sequence: rapid.Int64().Draw(t, "beat")},
			}
			w.Tally.Set(names.Draw(t, "route"), rapid.IntRange(0, 3).Draw(t, "group"), rollout.Cell{
				Responses: rapid.Int64().Draw(t, "answers"), Failed: rapid.Int64().Draw(t, "failed"),
				First: rollout.HistogramOf(rapid.SliceOfN(rapid.Int64Range(0, 99), 0, 5).Draw(t, "first")),
				Pace:  rollout.HistogramOf(rapid.SliceOfN(rapid.Int64Range(0, 99), 0, 5).Draw(t, "pace")),
			})
			list = append(list, w)
		}
		return list
	})
)

// send encodes m and decodes it into to, as on the way to another node.
func send(t *rapid.T, m, to proto.Message) {
	b, err := proto.Marshal(m)
	assert.NoError(t, err)
	assert.NoError(t, proto.Unmarshal(b, to))
}

// TestRoundTrip checks that a receiver decodes exactly the state that was sent.
func TestRoundTrip(t *testing.T) {
	t.Run("a relay's message to another relay", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			g := relay.Group{
				Relay: names.Draw(t, "relay"), Incarnation: names.Draw(t, "lifetime"), Version: rapid.Uint64().Draw(t, "version"), Share: shares.Draw(t, "share"),
				Changes: changes.Draw(t, "changes"), Placed: placements.Draw(t, "placed"), Trials: trials.Draw(t, "trials"),
			}
			var m wire.Group
			send(t, GroupToWire(g), &m)
			assert.Equal(t, g, GroupFromWire(&m))
		})
	})
	t.Run("a relay's digest to a node", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			d := relay.Digest{
				Incarnation: names.Draw(t, "lifetime"), Version: rapid.Uint64().Draw(t, "version"), Relays: rapid.MapOfN(names, durations, 0, 3).Draw(t, "relays"),
				Changes: changes.Draw(t, "changes"), Placed: placements.Draw(t, "placed"), Trials: trials.Draw(t, "trials"), Reachability: reachabilities.Draw(t, "reach"),
			}
			for range rapid.IntRange(0, 2).Draw(t, "shares") {
				d.Shares = append(d.Shares, shares.Draw(t, "share"))
			}
			var m wire.GatherResponse
			send(t, DigestToWire(d), &m)
			assert.Equal(t, d, DigestFromWire(&m))
		})
	})
	t.Run("speeds of upstreams", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			id := retry.Incarnation{ID: names.Draw(t, "upstream"), Born: rapid.Int64().Draw(t, "born")}
			x := float64(rapid.Float32Range(0.4, 2).Draw(t, "x"))
			steps := rapid.SliceOfNDistinct(rapid.Uint32Range(0, 40), 0, 5, rapid.ID).Draw(t, "steps")
			seen := []speed.Seen{{Upstream: id, Ratios: speed.HistogramOf(steps, []float32{1, 0.5, 3, 4, 5})}}
			var r wire.NodeReport
			send(t, &wire.NodeReport{Speeds: SeenSpeedsToWire(seen)}, &r)
			assert.Equal(t, seen, SeenSpeedsFromWire(r.Speeds))
			parts := []speed.Part{{Upstream: id, Log: x, Spread: x, Weight: x, Nodes: 7}}
			var g wire.Group
			send(t, &wire.Group{Speeds: SpeedPartsToWire(parts)}, &g)
			assert.Equal(t, parts, SpeedPartsFromWire(g.Speeds))
			figures := []speed.Figure{{Upstream: id, Speed: x, Weight: x}}
			var d wire.GatherResponse
			send(t, &wire.GatherResponse{Speeds: SpeedsToWire(figures)}, &d)
			assert.Equal(t, figures, SpeedsFromWire(d.Speeds))
		})
	})
	t.Run("an upstream's entry", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			v := pool.Item{Revision: rapid.Int64().Draw(t, "revision"), Entry: pool.Entry{
				ID: names.Draw(t, "id"), Born: rapid.Int64().Draw(t, "born"), Service: names.Draw(t, "service"), Address: names.Draw(t, "address"),
				Hall: names.Draw(t, "hall"), Version: names.Draw(t, "version"), Slots: rapid.IntRange(0, 1000).Draw(t, "slots"), Leaving: rapid.Bool().Draw(t, "leaving"),
				WarmUp: durations.Draw(t, "warm"), Reclaimable: rapid.Bool().Draw(t, "reclaimable"), LeavesIn: durations.Draw(t, "leaves"),
				Declared: rapid.Bool().Draw(t, "declared"), StartRevision: rapid.Int64().Draw(t, "begun"),
			}}
			var m wire.ListItem
			send(t, ItemToWire(v), &m)
			assert.Equal(t, v, ItemFromWire(&m))
		})
	})
	t.Run("an empty message is that of a node without state to send", func(t *testing.T) {
		assert.Empty(t, ReportFromWire(&wire.NodeReport{}).Loads)
		assert.Empty(t, DigestFromWire(&wire.GatherResponse{}).Changes)
		assert.Zero(t, GroupFromWire(&wire.Group{}).Share.Age)
	})
}
