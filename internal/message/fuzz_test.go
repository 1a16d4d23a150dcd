package message

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"google.golang.org/protobuf/proto"

	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/relay"
	"spurhall.example/spurhall/internal/rollout"
	"spurhall.example/spurhall/internal/timer"
	"spurhall.example/spurhall/internal/wire"
)

// assertTrials checks that the received trials are in known stages.
func assertTrials(t *testing.T, list []rollout.Update) {
	t.Helper()
	for _, w := range list {
		assert.True(t, w.Stage >= rollout.StageWaiting && w.Stage <= rollout.StageRolledBack, "stage %d", w.Stage)
	}
}

// assertLoads checks that the received loads aren't negative.
func assertLoads(t *testing.T, list []pool.Load) {
	t.Helper()
	for _, l := range list {
		assert.True(t, l.Running >= 0 && l.Queued >= 0 && l.Reserved >= 0, "%+v", l)
	}
}

// FuzzMessages decodes arbitrary bytes, as a faulty node or one of another version could send them, and applies
// the result. Nothing may panic, and the decoded stages, loads and slots must be valid.
func FuzzMessages(f *testing.F) {
	seed := func(m proto.Message) {
		b, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	load := []*wire.Load{{Upstream: "u", Running: -3, QueuedTokens: -1, HeldTokens: 1 << 62}}
	trial := []*wire.Trial{{Service: "s", Stage: 99, Cells: []*wire.TrialCell{{Group: -1, First: []int64{-1}, Pace: make([]int64, 99)}}}}
	seed(&wire.Group{Relay: "r", Version: 1 << 63, Share: &wire.Share{AgeMs: -1, Loads: load}, Changes: []*wire.Change{{Node: "n", UptimeMs: 1 << 62, AgeMs: -5}}, Trials: trial})
	seed(&wire.GatherResponse{Version: 7, Shares: []*wire.Share{{AgeMs: 1 << 62, Loads: load}}, Reach: &wire.Reach{Unreached: []*wire.Unreached{{Upstream: "u", Nodes: -1, AgeMs: -1}}}})
	seed(&wire.NodeReport{Node: "n", Lifetime: "l", Loads: load, Trials: trial, Started: []*wire.Started{{Window: -1, Workspace: "w", Count: -9}}})
	// A report without the name of a process: the relay's record had no map for its charges.
	seed(&wire.NodeReport{Sequence: 48, Spent: []*wire.Spent{{Workspace: "w", Tokens: 1}}})
	seen := []*wire.SeenSpeed{{Upstream: "u", Steps: []uint32{0, 40, 1 << 31}, Counts: []float32{-1, 1e30}}}
	part := []*wire.SpeedPart{{Upstream: "u", Log: float32(math.NaN()), Spread: -1, Weight: float32(math.Inf(1))}, {Upstream: "u", Log: 1, Spread: 1, Weight: 9, Nodes: math.MaxUint32}}
	seed(&wire.NodeReport{Node: "n", Lifetime: "l", Speeds: seen})
	seed(&wire.Group{Relay: "r", Version: 1, Speeds: part})
	seed(&wire.GatherResponse{Version: 7, Speeds: []*wire.Speed{{Upstream: "u", Speed: -1, Weight: -1}, {Upstream: "u", Speed: 1e30}}})
	seed(&wire.ListItem{Id: "u", Service: "s", Slots: -8, WarmUpMs: -1, Born: -1})
	late := []*wire.LateVersion{{Version: "v", GoneAgoMs: -1}, {Version: "v", GoneAgoMs: 1 << 62}, {Version: "v1"}}
	seed(&wire.LateVersionsResponse{Whole: true, Services: []*wire.ServiceVersions{{Service: "s", Versions: late}, nil}})
	seed(&wire.CatchUpResponse{Members: []*wire.Member{nil, {Node: "n", Cores: math.NaN()}}, Levels: []*wire.QuotaLevel{nil, {Workspace: "w", Tokens: math.NaN()}, {Workspace: "w", Tokens: -1e308}}})
	f.Fuzz(func(t *testing.T, b []byte) {
		clock := timer.NewManual(time.Unix(1000, 0))
		now := clock.Service().Now()
		p, aggregator := pool.New(clock.Service(), "a", "h"), relay.NewAggregator("a", "l")
		p.Update(func(l *pool.List) {
			l.Put(pool.Item{Entry: pool.Entry{ID: "u", Service: "s", Address: "10.0.0.1:1", Slots: 8}, Revision: 1})
		})
		var g wire.Group
		if proto.Unmarshal(b, &g) == nil {
			v := GroupFromWire(&g)
			assertTrials(t, v.Trials)
			assertLoads(t, v.Share.Loads)
			aggregator.MergeGroup(now, v)
			p.ApplySpeedParts("r", SpeedPartsFromWire(g.Speeds))
		}
		var d wire.GatherResponse
		if proto.Unmarshal(b, &d) == nil {
			v := DigestFromWire(&d)
			assertTrials(t, v.Trials)
			var view relay.View
			view.ApplyDigest(now, "r", v)
			p.ApplySpeedFigures(SpeedsFromWire(d.Speeds))
			p.ApplyPeerLoads(v.Shares, map[string]bool{"n": true}, v.Placed)
			p.ApplyReachability(v.Reachability)
		}
		var r wire.NodeReport
		if proto.Unmarshal(b, &r) == nil {
			v := ReportFromWire(&r)
			assertTrials(t, v.Trials)
			assertLoads(t, v.Loads)
			aggregator.ApplyReport(now, v)
			p.ApplySeenSpeeds("n", SeenSpeedsFromWire(r.Speeds))
			p.ApplyReport("n", v.Loads, v.Placed, nil)
			p.ApplyReachability(v.Reachability)
		}
		var i wire.ListItem
		if proto.Unmarshal(b, &i) == nil {
			v := ItemFromWire(&i)
			assert.GreaterOrEqual(t, v.Entry.Slots, 0)
			p.Update(func(l *pool.List) { l.Put(v) })
		}
		var l wire.LateVersionsResponse
		if proto.Unmarshal(b, &l) == nil {
			for _, v := range ServiceVersionsFromWire(l.Services) {
				p.HearVersions(v.Service, v.Versions)
			}
			for _, v := range p.AllLateVersions() {
				assert.NotEmpty(t, v.Versions)
			}
		}
		var c wire.CatchUpResponse
		if proto.Unmarshal(b, &c) == nil {
			MembersFromWire(c.Members)
			for _, v := range LevelsFromWire(c.Levels) {
				assert.False(t, math.IsNaN(v.Level) || math.IsInf(v.Level, 0))
			}
		}
		p.UpdateSpeeds()
		for _, v := range p.States("") {
			assert.True(t, v.Speed >= 0 && v.Speed < 4 && v.SpeedEvidence >= 0, "%+v", v)
		}
		p.SpeedParts("r", true)
		p.SpeedFigures("n", true)
		aggregator.Expire(now)
		aggregator.Digest(now, "n", 0)
		if u := p.Pick(pool.Request{ID: "x", Service: "s"}); u != nil {
			u.End(pool.ResultGood)
		}
		p.RetryAfter("s")
	})
}
