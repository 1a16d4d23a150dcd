package edge

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spurhall.example/spurhall/internal/forward"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/quota"
	"spurhall.example/spurhall/internal/rollout"
	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/usage"
)

// FuzzRecords: whatever stands in the store where a holder of the duties leaves its records (a node of another
// version wrote it, or somebody else), the next process reads it and goes on: no panic, and nothing that can't be.
func FuzzRecords(f *testing.F) {
	for _, s := range []string{
		`null`, `{}`, `[]`, `{"llm":null}`, `{"llm":{"hall-a":4}}`, `{"llm":{"hall-a":-4}}`, `{"llm":{"Reading":90,"First":30,"Token":5,"Samples":400}}`,
		`{"llm":{"Reading":-1,"Token":1e308}}`, `{"at":9223372036854775807,"levels":{"w":{"Level":-1e308,"Use":1e308}}}`, `{"at":-9223372036854775808,"levels":null}`,
		`[{"node":"a","lifetime":"l","windows":{"200":{"w":5}}}]`, `[{"node":"a","lifetime":"l","windows":{"200":null}}]`,
		`[{"print":"","upstream":"u","at":1}]`, `[{"print":[1,2],"upstream":"u","at":9223372036854775807}]`, `{"era":9,"at":1}`,
		`{"order":5,"target":"v2","stage":99,"beganMs":1}`, `{"order":5,"target":"v2","stage":-7}`,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		if !json.Valid(b) {
			return // the reader's error says so, and is logged
		}
		ctx, n := t.Context(), newEraNode(t)
		service := n.clock.Service()
		n.pools, n.usage, n.quotas, n.rollouts = pool.New(service, "a", "hall-a"), usage.New("a", "l", time.Second), quota.New(service.Now(), false), newRollouts()
		n.front = forward.NewServer(forward.Options{Clock: service, Log: n.log, Pools: n.pools, Quarantine: n.suspects})
		n.o.OrderPrefix, n.o.DecodeOrder = testOrders, func(string, []byte) (rollout.Order, error) {
			return rollout.Order{Service: "s", Target: "v2", Duration: time.Second}, nil
		}
		n.o.EncodeStatus = func(_ rollout.Order, s rollout.Stage) (string, []byte, error) {
			return testStatus, []byte(s.String()), nil
		}
		n.known = make(chan struct{})
		close(n.known)
		n.peers = &table{}
		token := takeOver(t, n.Node)
		var keys []store.Op
		for _, k := range []string{orderedRecord.key, learnedRecord.key, levelsRecord.key, countedRecord.key, heldRecord.key, eraRecord.key, rollingPrefix + "s"} {
			keys = append(keys, store.Op{Kind: store.OpPut, Key: k, Value: b})
		}
		_, err := n.kv.Txn(ctx, store.Txn{Then: keys})
		require.NoError(t, err)
		n.mu.Lock()
		n.beginTrial(rollout.Order{Service: "s", Target: "v2", Duration: time.Second, Revision: 5}, "test")
		n.mu.Unlock()

		var o ordered
		o.begin(ctx, n.Node, token)
		o.note(subject{"llm", "hall-a", false}, 3)
		o.write(ctx, n.Node, token)
		if o.least(service.Now(), subject{"llm", "hall-a", false}) < 0 {
			t.Error("fewer than none are ordered")
		}
		var l learned
		l.begin(ctx, n.Node)
		if e := n.pools.Engine("llm"); e.Reading < 0 || e.Token < 0 || math.IsInf(e.Reading, 0) {
			t.Errorf("an engine that can't be: %+v", e)
		}
		var c counted
		c.begin(ctx, n.Node)
		c.write(ctx, n.Node, token)
		var e eraTerm
		e.begin(ctx, n.Node, token)
		n.recallLevels(ctx)
		n.recallHeld(ctx)
		n.recallRollouts(ctx)
		if s := n.rollouts.trials["s"].Stage(); s < rollout.StageWaiting || s > rollout.StageRolledBack {
			t.Errorf("a stage that isn't one: %d", s)
		}
		newRoller(n.Node).step(ctx, token)
	})
}
