package edge

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"spurhall.example/spurhall/internal/catalog"
	"spurhall.example/spurhall/internal/handover"
	"spurhall.example/spurhall/internal/quota"
	"spurhall.example/spurhall/internal/standin"
	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/timer"
)

func TestLevelsSurviveLossOfAllProcesses(t *testing.T) {
	ctx := context.Background()
	clock := timer.NewManual(time.Unix(1000, 0))
	s := httptest.NewServer(standin.NewPlatform(clock.Service()).Handler())
	t.Cleanup(s.Close)
	kv := store.NewGateway(s.URL, 5*time.Second, timer.Real()).KV()
	c, err := catalog.New(catalog.Spec{Version: 1, Workspaces: []catalog.WorkspaceSpec{{Name: "w", Rate: 1000, Burst: 1000}}})
	require.NoError(t, err)
	start := func(name string, first bool) *Node {
		n := newHolder(t, kv, clock.Service(), name)
		n.settings = &Settings{Node: name, FirstStart: first}
		n.quotas = quota.New(n.start, first)
		n.quotas.SetLimits(n.start, map[string]quota.Limit{"w": {Rate: 1000, Burst: 1000}})
		n.quotas.SetPeers(n.start, nil)
		n.catalog.Store(&activeCatalog{catalog: c})
		return n
	}
	level := func(n *Node) float64 { return n.quotas.Levels(clock.Service().Now())["w"].Level }
	a := start("a", true)
	v := handover.NewLevels(clock.Service(), dutyInterval)
	a.writeLevels(ctx, v, acquireLease(t, a))
	written := v.WrittenAt()

	t.Run("unchanged levels aren't written again", func(t *testing.T) {
		clock.Advance(handover.LevelsCheckInterval)
		token, _ := a.lease.Token()
		a.writeLevels(ctx, v, token)
		assert.Equal(t, written, v.WrittenAt())
		assert.True(t, a.quotas.Charge(clock.Service().Now(), "w", 900).Allowed)
		clock.Advance(handover.LevelsCheckInterval)
		a.writeLevels(ctx, v, token)
		assert.NotEqual(t, written, v.WrittenAt())
	})
	t.Run("a starting process restores them", func(t *testing.T) {
		clock.Advance(100 * time.Millisecond)
		b := start("b", false)
		assert.InDelta(t, 250, level(b), 1)
		b.restoreLevels(ctx)
		assert.InDelta(t, 650, level(b), 60, "the stored level and the refill since")
	})
	t.Run("old levels are ignored", func(t *testing.T) {
		clock.Advance(time.Minute)
		c := start("c", false)
		c.restoreLevels(ctx)
		assert.InDelta(t, 250, level(c), 1)
	})
}
