package edge

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/rollout"
	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/wire"
)

// This file carries a node's side of roll-outs (package rollout): it takes in orders, tells
// the others what it sees and hears what they see, and keeps the pools to what is decided.
// rolling.go is the side of the duties' holder.
//
// The nodes that watch the store for their hall read orders with the configuration, which
// stands under the same prefix: no call more. All others learn of an order by the words of
// others, which name its target and its stage.

// rollouts is what this node knows of roll-outs. It is guarded by the node's lock.
type rollouts struct {
	trials map[string]*rollout.Trial  // by service
	barred map[string]map[string]bool // versions that take nothing any more, by service
	gone   map[string]int64           // revision at which an order was taken back, by service
	others []rollout.Update             // as the relay told last
}

func newRollouts() rollouts {
	return rollouts{trials: make(map[string]*rollout.Trial), barred: make(map[string]map[string]bool), gone: make(map[string]int64)}
}

// takeOrder takes in a pair of the operators' keys that is an order.
func (n *Node) takeOrder(p store.Pair, source string) {
	o, err := n.o.DecodeOrder(p.Key, p.Value)
	if err != nil {
		n.log.Error("rollout_unreadable", zap.String("key", p.Key), zap.Int64("revision", p.Modified), zap.String("cause", err.Error()))
		return
	}
	o.Revision = p.Modified
	n.mu.Lock()
	defer n.mu.Unlock()
	n.beginTrial(o, source)
}

// takeBack takes in that the key of an order is gone.
func (n *Node) takeBack(key string, revision int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	service := key[len(n.o.OrderPrefix):]
	n.rollouts.gone[service] = revision
	if t := n.rollouts.trials[service]; t != nil {
		n.log.Info("rollout_withdrawn", zap.String("service", service), zap.Int64("order", t.Order().Revision), zap.Int64("revision", revision))
	}
}

// recallRollouts reads how far the roll-outs are that this process found when it started: after
// the end of one, the version before is gone.
func (n *Node) recallRollouts(ctx context.Context) {
	select {
	case <-n.known:
	case <-ctx.Done():
		return
	}
	if len(n.orders()) == 0 {
		return
	}
	a, err := n.kv.Range(ctx, rollingPrefix, store.PrefixEnd(rollingPrefix))
	if err != nil {
		n.log.Info("rollout_unread", zap.String("cause", err.Error()))
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	for _, p := range a.Pairs {
		var v rollingValue
		if err := json.Unmarshal(p.Value, &v); err != nil {
			n.log.Warn("rollout_unread", zap.String("key", p.Key), zap.String("cause", err.Error()))
			continue
		}
		if !v.Stage.Known() {
			n.log.Warn("rollout_unread", zap.String("key", p.Key), zap.String("cause", errStage.Error()))
			continue
		}
		service := p.Key[len(rollingPrefix):]
		if t := n.rollouts.trials[service]; t != nil && (t.Order().Revision == v.Order || t.Order().Continues(v.Order, v.Target)) {
			t.AdvanceTo(now, v.Stage)
			n.applySplit(now, service)
			n.log.Info("rollout_found", zap.String("service", service), zap.Int64("order", v.Order), zap.Stringer("stage", v.Stage))
		}
	}
}

// beginTrial begins this node's side of an order, if it is newer than what it knows. The
// node's lock is held.
func (n *Node) beginTrial(o rollout.Order, source string) {
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
	r.trials[o.Service] = rollout.NewTrial(o, n.s.Exposure, func(string) float64 { return rand.Float64() })
	n.log.Info("rollout_ordered", zap.String("service", o.Service), zap.String("target", o.Target), zap.Duration("duration", o.Duration),
		zap.Int64("order", o.Revision), zap.String("source", source))
	n.applySplit(n.clock.Now(), o.Service)
}

// hearWords takes in what is known of roll-outs elsewhere. The node's lock is held.
func (n *Node) hearWords(now time.Time, words []rollout.Update, source string) {
	for _, w := range words {
		n.beginTrial(rollout.Order{Service: w.Service, Target: w.Target, Revision: w.Order}, source)
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

// weighTrials judges by what all nodes see, and keeps the pools to it. The node's lock is held.
func (n *Node) weighTrials(now time.Time) {
	if len(n.rollouts.trials) == 0 {
		return
	}
	others := n.rollouts.others
	if now.Sub(n.relayed) > relayedFor {
		others = nil
		for _, p := range n.peers.peers {
			others = rollout.Merge(others, p.trials)
		}
	}
	for service, t := range n.rollouts.trials {
		for _, w := range others {
			if w.Service == service && w.Order == t.Order().Revision && t.SetPeerTally(w.Tally) {
				n.logStop(t, "the others' answers")
			}
		}
		n.applySplit(now, service)
	}
}

// words is what this node tells of roll-outs. The node's lock is held, and the words are to be
// turned into messages under it.
func (n *Node) words() []rollout.Update {
	var list []rollout.Update
	for _, t := range n.rollouts.trials {
		list = append(list, t.Update())
	}
	return list
}

// applySplit keeps a service's pool to a roll-out's stage. The node's lock is held.
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
		zap.Stringer("reason", v.Reason), zap.String("route", v.Route), zap.Float64("sum", hundredths(v.Sum)),
		zap.Float64("target_rate", hundredths(v.TargetRate)), zap.Float64("others_rate", hundredths(v.InServiceRate)), zap.String("source", source))
}

// offer tells whether a request goes to a version on trial.
func (n *Node) offer(service, route string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	t := n.rollouts.trials[service]
	return t != nil && t.TakeCredit(n.clock.Now(), route)
}

// unoffer takes back an offer that couldn't be kept.
func (n *Node) unoffer(service, route string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if t := n.rollouts.trials[service]; t != nil {
		t.ReturnCredit(route)
	}
}

// noteAnswer takes in an answer of a service under a roll-out.
func (n *Node) noteAnswer(service, route string, rank int, a rollout.Response) {
	n.mu.Lock()
	defer n.mu.Unlock()
	t := n.rollouts.trials[service]
	if t == nil || t.Stage().Ended() {
		return
	}
	if t.Observe(route, rank, a) {
		n.logStop(t, "own answers")
		n.applySplit(n.clock.Now(), service)
	}
}

// moves tells whether streams at other versions than the target are to go on at the target.
func (n *Node) moves(service string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	t := n.rollouts.trials[service]
	if t == nil || t.Stage() != rollout.StageFull {
		return false
	}
	now := n.clock.Now()
	return t.Side(now) == rollout.SideTarget && now.Sub(t.Since()) >= movesAfter
}

// movesAfter is how long after a node has learned that the target gets everything it moves the
// streams that still run elsewhere: half of the shorter ones have ended by then.
const movesAfter = 700 * time.Millisecond

// inService tells whether an upstream counts as capacity of its service: one of an untried
// version doesn't, nor does one of a version that is about to be stopped.
func (n *Node) inService(e pool.Entry) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	t := n.rollouts.trials[e.Service]
	switch {
	case n.rollouts.barred[e.Service][e.Version]:
		return false
	case t == nil:
		return true
	case t.Stage() == rollout.StageCompleted:
		return e.Version == t.Order().Target
	}
	return e.Version != t.Order().Target
}

// rollingOut tells whether a service's upstreams are being replaced: none of the version in
// service is let go before the end.
func (n *Node) rollingOut(service string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	t := n.rollouts.trials[service]
	return t != nil && !t.Stage().Ended()
}

// Rollouts tells operators what this node knows of roll-outs.
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
