package edge

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spurhall.example/spurhall/internal/autoscale"
	"spurhall.example/spurhall/internal/capacity"
	"spurhall.example/spurhall/internal/forward"
	"spurhall.example/spurhall/internal/handover"
	"spurhall.example/spurhall/internal/peer"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/quota"
	"spurhall.example/spurhall/internal/rollout"
	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/usage"
)

// FuzzRecords stores arbitrary values, such as those of another version, in place of the duties' records: the
// next process reads them without a panic and continues with valid state only.
func FuzzRecords(f *testing.F) {
	for _, s := range []string{
		`null`, `{}`, `[]`, `{"llm":null}`, `{"llm":{"hall-a":4}}`, `{"llm":{"hall-a":-4}}`, `{"llm":{"Reading":90,"First":30,"Token":5,"Samples":400}}`,
		`{"llm":{"Reading":-1,"Token":1e308}}`, `{"at":9223372036854775807,"levels":{"w":{"Level":-1e308,"Use":1e308}}}`, `{"at":-9223372036854775808,"levels":null}`,
		`[{"node":"a","lifetime":"l","windows":{"200":{"w":5}}}]`, `[{"node":"a","lifetime":"l","windows":{"200":null}}]`,
		`[{"print":"","upstream":"u","at":1}]`, `[{"print":[1,2],"upstream":"u","at":9223372036854775807}]`, `{"era":9,"at":1}`,
		`{"order":5,"target":"v2","stage":99,"beganMs":1}`, `{"order":5,"target":"v2","stage":-7}`,
		`{"order":5,"target":"v2","stage":99,"began_ms":1}`, `{"order":5,"target":"v2","stage":1,"began_ms":1}`,
		`{"llm":{"need":-1e308,"notice":9223372036854775807,"hold":-9223372036854775808}}`, `{"llm":{"need":1e308,"notice":-1,"hold":9223372036854775807}}`,
		`{"llm":{"need":1e308,"notice":1,"hold":1}}`,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		if !json.Valid(b) {
			return // rejected and logged by the reader
		}
		ctx, n := t.Context(), newEraNode(t)
		service := n.clock.Service()
		n.pools, n.usage, n.quotas, n.rollouts = pool.New(service, "a", "hall-a"), usage.New("a", "l", time.Second), quota.New(service.Now(), false), newRollouts()
		n.front = forward.NewServer(forward.Options{Clock: service, Log: n.log, Pools: n.pools, Quarantine: n.quarantine})
		n.options.OrderPrefix, n.options.DecodeOrder = testOrderPrefix, func(string, []byte) (rollout.Order, error) {
			return rollout.Order{Service: "s", Target: "v2", Duration: time.Second}, nil
		}
		n.options.EncodeStatus = func(_ rollout.Order, s rollout.Stage) (string, []byte, error) {
			return testStatusKey, []byte(s.String()), nil
		}
		n.initialized = make(chan struct{})
		close(n.initialized)
		n.peers = peer.NewTable(peer.Options{Clock: service, Log: n.log})
		token := acquireLease(t, n.Node)
		var keys []store.Op
		for _, k := range []string{handover.OrderedRecord.Key, handover.EnginesRecord.Key, handover.RoomRecord.Key, handover.LevelsRecord.Key, handover.UsageRecord.Key, handover.CountingRecord.Key, handover.CrashesRecord.Key, eraRecord.Key, rolloutStagePrefix + "s"} {
			keys = append(keys, store.Op{Kind: store.OpPut, Key: k, Value: b})
		}
		_, err := n.kv.Txn(ctx, store.Txn{Then: keys})
		require.NoError(t, err)
		n.mu.Lock()
		n.startTrial(rollout.Order{Service: "s", Target: "v2", Duration: time.Second, Revision: 5}, "test")
		n.mu.Unlock()

		var o handover.Floor
		o.Restore(ctx, n.records(), token, n.orderFloorEnd())
		o.SetCount("llm", "hall-a", 3)
		o.Write(ctx, n.records(), token)
		if o.MinCount(service.Now(), "llm", "hall-a") < 0 {
			t.Error("the lowest ordered count is negative")
		}
		var l handover.Engines
		l.Restore(ctx, n.records(), n.pools.RestoreEngine)
		if e := n.pools.Engine("llm"); e.Reading < 0 || e.Token < 0 || math.IsInf(e.Reading, 0) {
			t.Errorf("invalid engine figures: %+v", e)
		}
		handover.NewRoom(service).Restore(ctx, n.records(), func(name string, k autoscale.Known) {
			m := autoscale.NewMixPlanner(autoscale.DefaultMixOptions(4 * time.Second))
			m.Restore(time.Second, k)
			if k := m.Known(time.Second); k.Need < 0 || k.Hold < 0 || k.Hold > time.Minute {
				t.Errorf("invalid need or hold: %+v", k)
			}
			halls, most := []autoscale.HallState{{Hall: "hall-a", OnDemand: 2, Reclaimable: 1}, {Hall: "hall-b"}}, 6
			m.Observe(time.Second, capacity.Work{Prefill: 0.5}, halls)
			for _, c := range m.Plan(time.Second, autoscale.MixSpec{Min: 1, Max: most, ReclaimablePrice: 0.2}, halls) {
				if c.OnDemand < 0 || c.Reclaimable < 0 || c.OnDemand+c.Reclaimable > most {
					t.Errorf("counts out of bounds: %+v", c)
				}
			}
		})
		var c handover.Usage
		n.restoreUsage(ctx)
		n.writeUsage(ctx, &c, token)
		var e eraTerm
		e.restore(ctx, n.Node, token)
		n.restoreLevels(ctx)
		n.restoreQuarantine(ctx)
		n.restoreRollouts(ctx)
		if s := n.rollouts.trials["s"].Stage(); s < rollout.StageWaiting || s > rollout.StageRolledBack {
			t.Errorf("invalid stage: %d", s)
		}
		newRunner(n.Node).step(ctx, token)
	})
}
