package edge

import (
	"context"
	"time"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/accept"
	"spurhall.example/spurhall/internal/forward"
)

// This file stops the node.
//
// A planned stop first takes the node out of the balancer: readiness fails, and each response tells the caller
// to use another connection next. The listeners stay open meanwhile, since the balancer needs several failed
// checks to notice and callers hold connections; requests that still arrive are served. Then connections without
// a request are closed with the listener, and requests that still arrive on another one are redirected to other
// nodes. The process ends when no caller is connected any more, or shortly before it would be killed.

const (
	// stopAcceptPeriod is how long after the stop signal new requests are served: the balancer needs two failed
	// checks, a second apart, to send callers elsewhere.
	stopAcceptPeriod = 2500 * time.Millisecond
	minStopTime      = 3 * time.Second
	stopMargin       = 600 * time.Millisecond // before the kill
	stopPoll         = 50 * time.Millisecond
)

func (n *Node) stopPhase() forward.Phase { return forward.Phase(n.phase.Load()) }

func (n *Node) isLeaving() bool { return n.stopPhase() != forward.PhaseServing }

// stop waits until the callers have left, within the time limit.
func (n *Node) stop(callers *accept.Listener) {
	n.phase.Store(int32(forward.PhaseLeaving))
	startedAt := n.clock.Now()
	n.log.Info("stopping", zap.Int("callers", callers.Open()))
	go n.streams.HandOn(context.Background()) // bounded by its time-outs
	defer n.clock.AfterFunc(stopAcceptPeriod, func() {
		n.phase.Store(int32(forward.PhaseClosed))
		n.log.Info("callers_closing", zap.Int("open", callers.Open()))
		// Callers with idle connections open new ones elsewhere without a failed attempt.
		if err := callers.Drain(); err != nil {
			n.log.Info("drain_failed", zap.String("cause", err.Error()))
		}
	})()
	defer n.logUnreported()
	for {
		d := n.clock.Since(startedAt)
		if d >= n.settings.StopTimeout-stopMargin || d >= minStopTime && n.isDrained(callers) {
			n.log.Info("stopped", zap.Duration("after", d), zap.Int("callers", callers.Open()), zap.Int64("tunnels", n.uplink.Served()))
			return
		}
		_ = n.clock.Sleep(context.Background(), stopPoll)
	}
}

// isDrained reports whether neither callers nor other nodes use this node.
func (n *Node) isDrained(callers *accept.Listener) bool {
	return callers.Drained() && n.uplink.Served() == 0
}

// logUnreported logs what this process has charged to quotas since it last told other nodes.
func (n *Node) logUnreported() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for w, x := range n.quotas.Charged() {
		if d := x - n.reportedSpent[w]; d != 0 {
			n.log.Info("charges_unreported", zap.String("workspace", w), zap.Float64("tokens", d), zap.Float64("charged", x))
		}
	}
}
