package edge

import (
	"fmt"
	"testing"
	"time"

	"spurhall.example/spurhall/internal/message"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/relay"
	"spurhall.example/spurhall/internal/usage"
	"spurhall.example/spurhall/internal/wire"
)

// newScaleRelay returns a relay of a fleet with so many nodes, which has heard of all of them, and the groups of the other
// relays.
func newScaleRelay(tb testing.TB, nodes int) (n *Node, groups []relay.Group, reports []relay.Report) {
	n, _ = newScaleNode(tb, nodes, 2000)
	now := n.clock.Now()
	relays := nodes / 22
	for i := range relays {
		g := relay.Group{Relay: fmt.Sprintf("edge-%s-%d", scaleHalls[i%5], i+1), Incarnation: "p", Version: 1}
		for j := range 22 {
			g.Changes = append(g.Changes, relay.Change{
				Node: fmt.Sprintf("edge-%s-%d", scaleHalls[(i*22+j)%5], i*22+j), Incarnation: "p", Sequence: 5, Uptime: time.Minute,
				Spent: map[string]float64{fmt.Sprint("w", i): 100, fmt.Sprint("v", j): 50}, Started: usage.Windows{3: {"w": 4}},
			})
		}
		for j := range 10 {
			g.Share.Loads = append(g.Share.Loads, pool.Load{Upstream: scaleItem((i*10 + j) * 5).Entry.ID, Running: 1, Queued: 100, Reserved: 500})
		}
		groups = append(groups, g)
		n.aggregator.MergeGroup(now, g)
	}
	for j := range 22 {
		r := relay.Report{
			Node: fmt.Sprintf("own-%d", j), Incarnation: "p", Sequence: 1, Uptime: time.Minute, Spent: map[string]float64{"w": 5},
			Loads: []pool.Load{{Upstream: scaleItem(j * 5).Entry.ID, Running: 1}},
		}
		reports = append(reports, r)
		n.aggregator.ApplyReport(now, r)
	}
	n.home.Set(n.settings.Node)
	return n, groups, reports
}

// BenchmarkRelayNode runs the calls that a relay and watcher of a large fleet serves.
func BenchmarkRelayNode(b *testing.B) {
	for _, nodes := range []int{95, 300, 985, 2000} {
		n, groups, reports := newScaleRelay(b, nodes)
		run := func(name string, f func(i int)) {
			b.Run(fmt.Sprintf("%s/%d nodes", name, nodes), func(b *testing.B) {
				b.ReportAllocs()
				i := 0
				for b.Loop() {
					f(i)
					i++
				}
			})
		}
		run("digest", func(i int) {
			r := reports[i%len(reports)]
			_, version := n.aggregator.KnownVersion(n.settings.Node)
			message.DigestToWire(n.aggregator.Digest(n.clock.Now(), r.Node, version))
		})
		run("group sent", func(i int) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.buildGroup(groups[i%len(groups)].Relay, n.options.Incarnation, 1<<40)
		})
		run("group received", func(i int) {
			g := groups[i%len(groups)]
			g.Changes = g.Changes[:2]
			n.applyGroup(message.GroupToWire(g))
		})
	}
	for _, upstreams := range []int{2000, 10_000} {
		n, _ := newScaleNode(b, 2, upstreams)
		n.catalogFollower.MarkConnected()
		n.listFollower.MarkConnected()
		b.Run(fmt.Sprintf("changes sent/500 of %d upstreams", upstreams), func(b *testing.B) {
			before, _ := n.changes.Subscribe()
			for i := range 500 {
				putItem(n, leavingItem(i, int64(upstreams+i+1)))
			}
			b.ReportAllocs()
			for b.Loop() {
				n.source.Answer(&wire.FollowRequest{CatalogVersion: 1, Lifetime: n.options.Incarnation, ListSequence: before, TakesChanges: true, TakesPart: true})
			}
		})
	}
}
