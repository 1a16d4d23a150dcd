package edge

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/logging"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/rollout"
	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/wire"
)

// This file implements a node's part in roll-outs (package rollout): it applies orders, shares its
// observations with the other nodes and merges theirs, and applies the decisions to the pools.
// rollout_runner.go is the part of the duties' holder.
//
// The nodes that watch the store for their hall read orders with the configuration, which is stored under
// the same prefix: this takes no additional call. All others learn of an order from the updates of their
// peers, which contain its target and its stage.

// rollouts is what this node knows of roll-outs. It is guarded by the node's lock.
type rollouts struct {
	trials       map[string]*rollout.Trial  // by service
	barred       map[string]map[string]bool // versions that get no requests any more, by service
	withdrawn    map[string]int64           // revision at which an order was withdrawn, by service
	digestTrials []rollout.Update           // from the last digest
}

func newRollouts() rollouts {
	return rollouts{trials: make(map[string]*rollout.Trial), barred: make(map[string]map[string]bool), withdrawn: make(map[string]int64)}
}

// applyOrder applies a key of the operators that is an order.
func (n *Node) applyOrder(p store.Pair, source string) {
	o, err := n.options.DecodeOrder(p.Key, p.Value)
	if err != nil {
		n.unreadableOrders.Record(n.log.Error, "rollout_unreadable", p, err)
		return
	}
	n.unreadableOrders.Clear(p.Key)
	o.Revision = p.Modified
	n.mu.Lock()
	defer n.mu.Unlock()
	n.startTrial(o, source)
}

// withdrawOrder records that the key of an order was deleted.
func (n *Node) withdrawOrder(key string, revision int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	service := key[len(n.options.OrderPrefix):]
	n.rollouts.withdrawn[service] = revision
	if t := n.rollouts.trials[service]; t != nil {
		n.log.Info("rollout_withdrawn", zap.String("service", service), zap.Int64("order", t.Order().Revision), zap.Int64("revision", revision))
	}
}

// restoreRollouts reads the progress of the roll-outs that this process found at its start: after a completed
// one, the previous version is gone.
func (n *Node) restoreRollouts(ctx context.Context) {
	select {
	case <-n.initialized:
	case <-ctx.Done():
		return
	}
	if len(n.rolloutOrders()) == 0 {
		return
	}
	a, err := n.kv.Range(ctx, rolloutStagePrefix, store.PrefixEnd(rolloutStagePrefix))
	if err != nil {
		n.log.Info("rollout_unread", zap.String("cause", err.Error()))
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	for _, p := range a.Pairs {
		var v rolloutStageValue
		if err := json.Unmarshal(p.Value, &v); err != nil {
			n.log.Warn("rollout_unread", zap.String("key", p.Key), zap.String("cause", err.Error()))
			continue
		}
		if !v.Stage.Known() {
			n.log.Warn("rollout_unread", zap.String("key", p.Key), zap.String("cause", errUnknownStage.Error()))
			continue
		}
		service := p.Key[len(rolloutStagePrefix):]
		if t := n.rollouts.trials[service]; t != nil && (t.Order().Revision == v.Order || t.Order().Continues(v.Order, v.Target)) {
			t.AdvanceTo(now, v.Stage)
			n.applySplit(now, service)
			n.log.Info("rollout_found", zap.String("service", service), zap.Int64("order", v.Order), zap.Stringer("stage", v.Stage))
		}
	}
}

// startTrial starts this node's part of an order that is newer than the one it knows. The node's lock is
// held.
func (n *Node) startTrial(o rollout.Order, source string) {
	r := &n.rollouts
	old := r.trials[o.Service]
	if old != nil && o.Revision <= old.Order().Revision {
		return
	}
	if old != nil && o.Continues(old.Order().Revision, old.Order().Target) {
		n.log.Info("rollout_goes_on", zap.String("service", o.Service), zap.String("target", o.Target), zap.Int64("order", o.Revision),
			zap.Stringer("stage", old.Stage()), zap.String("source", source))
		old.Renumber(o.Revision)
		return
	}
	bars := r.barred[o.Service]
	if bars == nil {
		bars = make(map[string]bool)
		r.barred[o.Service] = bars
	}
	if old != nil && old.Stage() != rollout.StageCompleted {
		bars[old.Order().Target] = true
	}
	delete(bars, o.Target)
	r.trials[o.Service] = rollout.NewTrial(o, n.settings.Exposure, func(string) float64 { return rand.Float64() })
	n.log.Info("rollout_ordered", zap.String("service", o.Service), zap.String("target", o.Target), zap.Duration("duration", o.Duration),
		zap.Int64("order", o.Revision), zap.String("source", source))
	n.applySplit(n.clock.Now(), o.Service)
}

// mergeTrials merges what other nodes know of roll-outs. The node's lock is held.
func (n *Node) mergeTrials(now time.Time, updates []rollout.Update, source string) {
	for _, w := range updates {
		n.startTrial(rollout.Order{Service: w.Service, Target: w.Target, Revision: w.Order}, source)
		t := n.rollouts.trials[w.Service]
		stage, stopped := t.Stage(), t.Stopped()
		t.ApplyUpdate(now, w)
		if t.Stage() != stage || t.Stopped() != stopped {
			n.log.Info("rollout_heard", zap.String("service", w.Service), zap.Int64("order", w.Order), zap.Stringer("stage", t.Stage()),
				zap.Bool("stopped", t.Stopped()), zap.String("source", source))
			n.applySplit(now, w.Service)
		}
	}
}

// evaluateTrials evaluates the observations of all nodes, and applies the result to the pools. The node's
// lock is held.
func (n *Node) evaluateTrials(now time.Time) {
	if len(n.rollouts.trials) == 0 {
		return
	}
	updates := n.rollouts.digestTrials
	if !n.home.IsFresh(now) {
		updates = n.peers.Trials()
	}
	for service, t := range n.rollouts.trials {
		for _, w := range updates {
			if w.Service == service && w.Order == t.Order().Revision && t.SetPeerTally(w.Tally) {
				n.logStop(t, "responses at other nodes")
			}
		}
		n.applySplit(now, service)
	}
}

// trialUpdates returns this node's updates on roll-outs. The node's lock is held; the updates have to be
// encoded under it.
func (n *Node) trialUpdates() []rollout.Update {
	var list []rollout.Update
	for _, t := range n.rollouts.trials {
		list = append(list, t.Update())
	}
	return list
}

// applySplit applies the stage of a roll-out to a service's pool. The node's lock is held.
func (n *Node) applySplit(now time.Time, service string) {
	t := n.rollouts.trials[service]
	target := t.Order().Target
	_, others, _ := n.pools.Versions(service, target)
	bars := make(map[string]bool, len(n.rollouts.barred[service])+1)
	for v := range n.rollouts.barred[service] {
		bars[v] = true
	}
	if t.Stage() == rollout.StageRolledBack || t.Stopped() && !t.Stage().Ended() {
		bars[target] = true
	}
	n.pools.SetSplit(service, pool.Split{
		Target: target, ToTarget: t.Side(now) == rollout.SideTarget, TargetAsFallback: t.Stage() == rollout.StageWaiting && !t.Stopped(), TrialUpstreams: t.TrialUpstreams(others), Barred: bars,
	})
}

func (n *Node) logStop(t *rollout.Trial, source string) {
	v := t.Verdict()
	n.log.Warn("rollout_stopped", zap.String("service", t.Order().Service), zap.Int64("order", t.Order().Revision), zap.Stringer("stage", t.Stage()),
		zap.Stringer("reason", v.Reason), zap.String("route", v.Route), logging.Hundredths("sum", v.Sum),
		logging.Hundredths("target_rate", v.TargetRate), logging.Hundredths("others_rate", v.InServiceRate), zap.String("source", source))
}

// offerTrial reports whether a request goes to a version on trial.
func (n *Node) offerTrial(service, route string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	t := n.rollouts.trials[service]
	return t != nil && t.TakeCredit(n.clock.Now(), route)
}

// returnOffer takes back an offer that wasn't used.
func (n *Node) returnOffer(service, route string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if t := n.rollouts.trials[service]; t != nil {
		t.ReturnCredit(route)
	}
}

// recordResponse records a response of a service under a roll-out.
func (n *Node) recordResponse(service, route string, rank int, a rollout.Response) {
	n.observeTrial(service, "responses at this node", func(now time.Time, t *rollout.Trial) bool {
		if a.HeardFrom != "" {
			t.Heard(now, a.HeardFrom)
		}
		return t.Observe(route, rank, a)
	})
}

// recordOvertaken records an attempt that a backup has overtaken, of a service under a roll-out.
func (n *Node) recordOvertaken(service string, v rollout.Silence) {
	n.observeTrial(service, "silence at this node", func(now time.Time, t *rollout.Trial) bool { return t.Overtaken(now, v) })
}

// observeTrial applies an observation, which reports whether it stops a version, to a service's trial.
func (n *Node) observeTrial(service, by string, observe func(now time.Time, t *rollout.Trial) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	t, now := n.rollouts.trials[service], n.clock.Now()
	if t != nil && !t.Stage().Ended() && observe(now, t) {
		n.logStop(t, by)
		n.applySplit(now, service)
	}
}

// countsAsCapacity reports whether upstreams of a version count as capacity of their service: those of an
// untried version don't, nor do those of one that is about to be stopped.
func (n *Node) countsAsCapacity(service, version string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	t := n.rollouts.trials[service]
	switch {
	case n.rollouts.barred[service][version]:
		return false
	case t == nil:
		return true
	case t.Stage() == rollout.StageCompleted:
		return version == t.Order().Target
	}
	return version != t.Order().Target
}

// isRollingOut reports whether a service's upstreams are being replaced: until the end, no upstream of the
// version in service is removed.
func (n *Node) isRollingOut(service string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	t := n.rollouts.trials[service]
	return t != nil && !t.Stage().Ended()
}

// Rollouts returns this node's view of roll-outs to operators.
func (s *edgeService) Rollouts(context.Context, *connect.Request[wire.RolloutsRequest]) (*connect.Response[wire.RolloutsResponse], error) {
	n := s.n
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	r := &wire.RolloutsResponse{}
	for service, t := range n.rollouts.trials {
		o, v := t.Order(), t.Verdict()
		answers, failed := t.Total().Responses()
		of, others, running := n.pools.Versions(service, o.Target)
		m := &wire.Rollout{
			Service: service, Target: o.Target, Order: o.Revision, Stage: t.Stage().String(), Stopped: t.Stopped(), Signed: t.HasKeepAlive(now), Answers: answers,
			Failed: failed, Suspicion: t.Suspicion(), Reason: v.Reason.String(), Route: v.Route, Upstreams: int64(of), Others: int64(others), Running: int64(running),
		}
		if !t.Since().IsZero() {
			m.StageAgeMs = now.Sub(t.Since()).Milliseconds()
		}
		r.Rollouts = append(r.Rollouts, m)
	}
	return connect.NewResponse(r), nil
}
