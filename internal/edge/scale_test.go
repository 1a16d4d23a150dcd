package edge

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/catalog"
	"spurhall.example/spurhall/internal/era"
	"spurhall.example/spurhall/internal/message"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/timer"
)

// scaleHalls are the halls of the fleets in this file.
var scaleHalls = []string{"a", "b", "c", "d", "e"}

// scaleItem returns the entry of one engine of a large fleet.
func scaleItem(i int) pool.Item {
	hall := scaleHalls[i%len(scaleHalls)]
	return pool.Item{Revision: int64(i + 1), Entry: pool.Entry{
		ID: fmt.Sprintf("llm-%s-%05d", hall, i), Born: 1_700_000_000_000 + int64(i), Service: "llm", Hall: hall, Version: "v1",
		Address: fmt.Sprintf("10.%d.%d.%d:8000", i>>16, i>>8&255, i&255), Slots: 64, Reclaimable: true,
	}}
}

func scaleItems(count int) []pool.Item {
	items := make([]pool.Item, count)
	for i := range items {
		items[i] = scaleItem(i)
	}
	return items
}

// newScaleNode returns a node of a fleet in five halls, which has read the upstream list and hears all other
// nodes.
func newScaleNode(tb testing.TB, nodes, upstreams int) (*Node, *timer.Manual) {
	tb.Helper()
	clock := timer.NewManual(time.Unix(1_700_000_000, 0))
	halls, prices := map[string]string{}, map[string]float64{}
	for _, h := range scaleHalls {
		halls[h], prices[h] = "r", 1
	}
	s := &Settings{Node: "edge-a-0", Hall: "a", Halls: halls, Peers: "127.0.0.1:1", Cores: 0.2, UsageWindow: 5 * time.Second, RetryWindow: 10 * time.Second}
	n := New(Options{Settings: s, Incarnation: "n", Clock: clock.Service(), Log: zap.NewNop(), Era: era.NewTracker()})
	c, err := catalog.New(catalog.Spec{Version: 1, Services: []catalog.ServiceSpec{{
		Name: "llm", Engine: &catalog.EngineSpec{Slots: 64, CacheTokens: 228_000, TokensPerEvent: 6}, Scaling: &catalog.ScalingSpec{Min: 1, Max: upstreams, BootTime: 4 * time.Second, SpotPrice: 0.2, ZonePrices: prices},
	}}})
	require.NoError(tb, err)
	n.catalog.Store(&activeCatalog{catalog: c})
	n.updateList("store", func(now time.Time, l *pool.List) { l.Replace(now, int64(upstreams), scaleItems(upstreams)) })
	n.listed.Store(true)
	for i := 1; i < nodes; i++ {
		hall := scaleHalls[i%len(scaleHalls)]
		p := n.peers.GetOrAdd(fmt.Sprintf("edge-%s-%d", hall, i), fmt.Sprintf("10.200.%d.%d:9000", i>>8, i&255))
		p.Hall, p.Cores, p.StoreUp, p.Incarnation, p.Sequence = hall, 0.2, true, "p", 1
		p.LastSeen, p.LastListed, p.LastCalled = n.clock.Now(), n.clock.Now(), n.clock.Now()
	}
	n.role.RegistryRead = true
	return n, clock
}

// scaleTasks are what a node does at an interval though nothing happens, with the number of times a second.
var scaleTasks = []struct {
	name      string
	perSecond float64
	run       func(n *Node)
}{
	{"expire missing entries", 4, func(n *Node) {
		n.updateList("lapsed", func(now time.Time, l *pool.List) { l.Expire(now) })
	}},
	{"report to a relay", 4, func(n *Node) { n.buildRelayReport() }},
	{"report to a pair", 4, func(n *Node) { n.buildReport(pairWindows) }},
	{"limit senders", 4, func(n *Node) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.updateLimitSenders(n.clock.Now())
	}},
	{"own relay", 4, func(n *Node) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.view(n.clock.Now()).HallNodes(n.settings.Hall)
	}},
	{"watchers", 4, func(n *Node) { n.watchers() }},
	{"orders", 4, func(n *Node) { newOrderer(n).step(context.Background()) }},
}

// BenchmarkIdleNode runs what a node does at an interval though nothing happens, in fleets of several sizes.
func BenchmarkIdleNode(b *testing.B) {
	for _, v := range []struct{ nodes, upstreams int }{{95, 53}, {300, 3000}, {985, 10_000}, {2000, 20_000}} {
		n, _ := newScaleNode(b, v.nodes, v.upstreams)
		for _, t := range scaleTasks {
			b.Run(fmt.Sprintf("%s/%d nodes, %d upstreams", t.name, v.nodes, v.upstreams), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					t.run(n)
				}
				b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)*t.perSecond/1e4, "%core")
			})
		}
	}
}

// BenchmarkListUpdate applies a change of one upstream to the list of a node that follows a watcher, and
// encodes the list for a follower.
func BenchmarkListUpdate(b *testing.B) {
	for _, upstreams := range []int{53, 600, 3000, 10_000, 20_000} {
		n, _ := newScaleNode(b, 2, upstreams)
		items, revision := scaleItems(upstreams), int64(upstreams)
		b.Run(fmt.Sprintf("whole list/%d upstreams", upstreams), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				revision++
				items[0].Revision = revision
				n.updateList("w", func(now time.Time, l *pool.List) { l.Replace(now, revision, items) })
			}
		})
		b.Run(fmt.Sprintf("one change/%d upstreams", upstreams), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				revision++
				items[0].Revision = revision
				n.updateList("w", func(_ time.Time, l *pool.List) { l.Put(items[0]); l.Advance(revision) })
			}
		})
		b.Run(fmt.Sprintf("encode/%d upstreams", upstreams), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				message.ItemsFromWire(message.ItemsToWire(n.pools.Items()))
			}
		})
	}
}

// shortest returns the shortest of several durations of a task, which other work on the machine affects least.
func shortest(run func()) time.Duration {
	least := time.Hour
	for range 15 {
		begun := time.Now()
		for range 4 {
			run()
		}
		least = min(least, time.Since(begun))
	}
	return least
}

// TestWorkDoesntGrowWithTheList checks that what a node does at an interval, and the application of a change,
// take about the same time with a hundred times as many upstreams. Each of them visited the whole list, which
// took half of a small VM's processor time at 10,000 upstreams.
func TestWorkDoesntGrowWithTheList(t *testing.T) {
	const most = 12 // a visit of each upstream takes some fifty to a hundred times as long
	few, _ := newScaleNode(t, 3, 100)
	many, _ := newScaleNode(t, 3, 10_000)
	check := func(name string, run func(n *Node)) {
		t.Run(name, func(t *testing.T) {
			a, b := shortest(func() { run(few) }), shortest(func() { run(many) })
			assert.Less(t, float64(b), most*float64(a+20*time.Microsecond), "%v at 100 upstreams", a)
		})
	}
	for _, v := range scaleTasks {
		check(v.name, v.run)
	}
	changed := scaleItem(50)
	changed.Revision = 1 << 40
	check("a change", func(n *Node) {
		changed.Revision++
		n.updateList("store", func(_ time.Time, l *pool.List) { l.Put(changed) })
	})
	check("an upstream comes and goes", func(n *Node) {
		v := changed
		v.Entry.ID = "llm-a-new"
		n.updateList("store", func(_ time.Time, l *pool.List) { l.Put(v) })
		n.updateList("store", func(now time.Time, l *pool.List) { l.Remove(now, v.Revision, v.Entry.ID) })
	})
}
