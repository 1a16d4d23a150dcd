package node

import (
	"context"
	"time"

	"spurhall.example/spurhall/internal/member"
	"spurhall.example/spurhall/internal/route"
)

// This file keeps a node's background work in proportion to the fleet: which node has a duty, how often state
// is reported, and the node's share of the platform's rates.

// cancelOnDutyLoss calls cancel when another node of the hall takes over the duty, so that this node's watch
// ends.
func (n *Node) cancelOnDutyLoss(ctx context.Context, duty string, cancel func()) {
	n.clock.Every(ctx, time.Second, func(time.Time) {
		if !n.hasDuty(duty, 1) {
			cancel()
		}
	})
}

// hasDuty reports whether this node ranks among the first k of its hall for a duty. All nodes compute the
// same ranking, so a duty has an owner without coordination; while their views differ it may have two owners,
// or briefly none.
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

// hallTimeout is how long a node may send no heartbeat before other nodes take over its duties. The node does
// not count as gone: only the platform can report that.
func (n *Node) hallTimeout() time.Duration {
	beat := time.Duration(n.currentIntervals().heartbeatExchanges) * n.o.ExchangeInterval
	return max(minHallTimeout, hallTimeoutExchanges*n.o.ExchangeInterval, 3*beat)
}

// reportIntervals is how often frequently changing state is reported. The intervals grow with the amount of
// state, so that a node's traffic grows more slowly than the fleet. Loads that are a few seconds older make
// little difference to routing.
type reportIntervals struct {
	heartbeatExchanges int           // rounds of exchanges between two heartbeats
	loadInterval       time.Duration // between two load reports of an upstream
	crossHallInterval  time.Duration // between two reports to other halls
}

func intervalsFor(hallNodes, hallUpstreams, nodes int) reportIntervals {
	return reportIntervals{
		heartbeatExchanges: max(minHeartbeatExchanges, hallNodes/nodesPerHeartbeatExchange),
		loadInterval:       min(max(minLoadInterval, time.Duration(hallUpstreams)*loadIntervalPerVM), maxLoadInterval),
		crossHallInterval:  max(minCrossHallInterval, time.Duration(nodes)*crossHallIntervalPerNode),
	}
}

func (n *Node) currentIntervals() reportIntervals {
	if v := n.intervals.Load(); v != nil {
		return *v
	}
	return intervalsFor(0, 0, 0)
}

// updateIntervals sets the intervals by the number of live nodes and upstreams.
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

// sharePlatformRate divides the platform's rate among the live nodes and updates the intervals.
func (n *Node) sharePlatformRate(ctx context.Context) {
	n.clock.Every(ctx, time.Second, func(time.Time) {
		n.updateIntervals()
		k := float64(max(len(n.liveNodes()), 1))
		n.guard.SetRates(n.o.PlatformRate/k, n.o.PlatformRate/4/k)
	})
}
