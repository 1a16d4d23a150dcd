package node

import (
	"context"
	"time"

	"spurhall.example/spurhall/internal/member"
	"spurhall.example/spurhall/internal/route"
	"spurhall.example/spurhall/internal/store"
)

// This file keeps what a node does by itself in proportion to the fleet: who reports for
// whom, how often, and its share of the platform's rates.

// yield ends this node's watch when another node of the hall is the one to watch.
func (n *Node) cancelOnDutyLoss(ctx context.Context, duty string, cancel func()) {
	n.clock.Every(ctx, time.Second, func(time.Time) {
		if !n.hasDuty(duty, 1) {
			cancel()
		}
	})
}

// first tells whether this node is among the first k of its hall for a duty. All
// nodes rank alike, so a duty has an owner without anybody being asked; while views
// differ it has two, or for a moment none.
func (n *Node) hasDuty(duty string, k int) bool {
	var ids []string
	for _, f := range n.liveNodes() {
		if f.Hall == n.o.Hall {
			ids = append(ids, f.ID)
		}
	}
	for i, id := range route.Rank(duty, ids) {
		if id == n.id {
			return i < k
		}
	}
	return true
}

// silentAfter is how long a node may be silent before the others take over its
// duties. It isn't taken for gone: only the platform can say that.
func (n *Node) hallTimeout() time.Duration {
	beat := time.Duration(n.currentIntervals().heartbeatExchanges) * n.o.ExchangeInterval
	return max(minHallTimeout, hallTimeoutExchanges*n.o.ExchangeInterval, 3*beat)
}

// pace is how often what changes all the time is told: the more there are to tell of,
// the less often, so that a node's traffic grows slower than the fleet. Routing hardly
// differs with loads some seconds older.
type reportIntervals struct {
	heartbeatExchanges int           // exchanges between two heartbeats
	loadInterval     time.Duration // between two load reports of an upstream
	crossHallInterval      time.Duration // between two reports to other halls
}

func intervalsFor(hallNodes, hallUpstreams, nodes int) reportIntervals {
	return reportIntervals{
		heartbeatExchanges: max(minHeartbeatExchanges, hallNodes/nodesPerHeartbeatExchange),
		loadInterval:     min(max(minLoadInterval, time.Duration(hallUpstreams)*loadIntervalPerVM), maxLoadInterval),
		crossHallInterval:      max(minCrossHallInterval, time.Duration(nodes)*crossHallIntervalPerNode),
	}
}

func (n *Node) currentIntervals() reportIntervals {
	if v := n.intervals.Load(); v != nil {
		return *v
	}
	return intervalsFor(0, 0, 0)
}

// setPace counts what there is to tell of.
func (n *Node) updateIntervals() {
	hall, upstreams, all := 0, 0, 0
	n.table.Select(func(f *member.Fact) bool {
		near := f.Hall == n.o.Hall
		switch {
		case f.Status != member.StatusLive:
		case f.Kind == member.KindUpstream && near:
			upstreams++
		case f.Kind == member.KindNode:
			all++
			if near {
				hall++
			}
		}
		return false
	})
	v := intervalsFor(hall, upstreams, all)
	n.intervals.Store(&v)
	n.table.SetSlowInterval(v.crossHallInterval)
}

// shareBudget divides the platform's rate among the live nodes, and sets the pace.
func (n *Node) sharePlatformRate(ctx context.Context) {
	n.clock.Every(ctx, time.Second, func(time.Time) {
		n.updateIntervals()
		k := float64(max(len(n.liveNodes()), 1))
		n.guard.SetRates(store.GuardOptions{Reads: n.o.PlatformRate / k, Writes: n.o.PlatformRate / 4 / k})
	})
}
