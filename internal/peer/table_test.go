package peer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"spurhall.example/spurhall/internal/capacity"
	"spurhall.example/spurhall/internal/roster"
	"spurhall.example/spurhall/internal/timer"
)

func newTestTable(t *testing.T) (*Table, *timer.Manual, *observer.ObservedLogs) {
	t.Helper()
	c := timer.NewManual(time.Unix(1000, 0))
	core, logs := observer.New(zap.InfoLevel)
	return NewTable(Options{Self: "edge-0", Hall: "a", Clock: c.Service(), Log: zap.New(core)}), c, logs
}

func ExampleTable() {
	c := timer.NewManual(time.Unix(1000, 0)).Service()
	t := NewTable(Options{Self: "edge-0", Hall: "a", Clock: c, Log: zap.NewNop()})
	t.ApplyRegistry(c.Now(), []roster.Member{{Name: "edge-0", Address: "10.0.0.1:9000"}, {Name: "edge-1", Address: "10.0.0.2:9000"}})
	fmt.Println(t.Size(), t.Names(), t.Responsive(c.Now()))
	t.Apply(c.Now(), &Report{Name: "edge-1", Address: "10.0.0.2:9000", Incarnation: "p", Sequence: 1})
	fmt.Println(t.Responsive(c.Now()))
	// Output:
	// 2 [edge-1] []
	// [edge-1]
}

// TestLogIsAggregatedInLargeFleets: with a line for each event of each peer, the log would grow with the square of the fleet.
func TestLogIsAggregatedInLargeFleets(t *testing.T) {
	n, _, logs := newTestTable(t)
	for i := range 94 {
		n.peers[fmt.Sprint("edge-", i+1)] = &Peer{Peer: roster.Peer{Name: fmt.Sprint("edge-", i+1)}}
	}
	for p := range n.All() {
		n.logEvent("peer_heard", zap.String("peer", p.Name))
	}
	n.EndRound(false)
	assert.Equal(t, 1, logs.Len())
	assert.Equal(t, int64(94), logs.FilterMessage("peers_changed").All()[0].ContextMap()["heard"])
	n.EndRound(true)
	assert.Equal(t, 1, logs.Len(), "no new events")
	n.logEvent("peer_heard", zap.String("peer", "edge-1"))
	assert.Equal(t, 1, logs.FilterMessage("peer_heard").Len(), "a watcher logs each event")
}

// TestNewestSourceHolds: several sources tell of a node, of which some are behind.
func TestNewestSourceHolds(t *testing.T) {
	report := Report{Name: "edge-1", Address: "10.0.0.2:9000", Hall: "b", Incarnation: "p", Sequence: 5, StoreUp: true}
	t.Run("a report that was overtaken", func(t *testing.T) {
		n, c, _ := newTestTable(t)
		now := c.Service().Now()
		assert.NotNil(t, n.Apply(now, &report))
		assert.Nil(t, n.Apply(now, &report), "twice")
		late := report
		late.Sequence = 4
		assert.Nil(t, n.Apply(now, &late))
		late.Incarnation = "q"
		assert.NotNil(t, n.Apply(now, &late), "of a new process")
	})
	t.Run("a digest that is behind the node's own report", func(t *testing.T) {
		n, c, _ := newTestTable(t)
		now := c.Service().Now()
		n.Apply(now, &report)
		assert.False(t, n.ApplyRelayed(now, Relayed{Name: "edge-1", Incarnation: "p", Sequence: 4}))
		assert.True(t, n.Get("edge-1").StoreUp)
		assert.Equal(t, now, n.Get("edge-1").LastRelayed, "it is a sign of life all the same")
		assert.True(t, n.ApplyRelayed(now, Relayed{Name: "edge-1", Incarnation: "p", Sequence: 6}))
		assert.False(t, n.Get("edge-1").StoreUp)
		assert.False(t, n.ApplyRelayed(now, Relayed{Name: "edge-2"}), "of a node that isn't known")
	})
	t.Run("a registry that is behind the node's own report", func(t *testing.T) {
		n, c, _ := newTestTable(t)
		n.Apply(c.Service().Now(), &report)
		old := []roster.Member{{Name: "edge-1", Address: "10.0.0.9:9000", Hall: "c"}}
		n.ApplyRegistry(c.Service().Now(), old)
		assert.Equal(t, "10.0.0.2:9000", n.Get("edge-1").Address)
		c.Advance(time.Minute)
		n.ApplyRegistry(c.Service().Now(), old)
		assert.Equal(t, "10.0.0.9:9000", n.Get("edge-1").Address, "it is silent by now")
		c.Advance(time.Minute)
		n.ApplyRegistry(c.Service().Now(), nil)
		assert.Equal(t, 1, n.Size(), "and gone")
	})
	t.Run("work that a relay tells of", func(t *testing.T) {
		n, c, _ := newTestTable(t)
		now := c.Service().Now()
		n.Apply(now, &report)
		n.ApplyRelayedWork("edge-1", map[string]capacity.Work{"s": {}}, now.Add(time.Second))
		assert.Equal(t, now, n.Get("edge-1").WorkAt, "pairs tell of it in a small fleet")
	})
}

func TestUnknown(t *testing.T) {
	n, _, _ := newTestTable(t)
	n.GetOrAdd("edge-1", "10.0.0.2:9000")
	assert.Equal(t, []string{"10.0.0.3:9000"}, n.Unknown([]string{"10.0.0.2:9000", "10.0.0.3:9000"}))
}
