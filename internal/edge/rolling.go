package edge

import (
	"context"
	"encoding/json"
	"expvar"
	"time"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/rollout"
	"spurhall.example/spurhall/internal/store"
)

// This file carries out roll-outs at the node that holds the duties' lease: it decides when
// the next stage begins (rollout/plan.go), writes it to the store and tells the others.
//
// What stands in the store is written in one transaction, on condition that the term lasts
// and nobody else has written: the status that the operators read, and the stage with the
// time since when, from which a successor goes on. A stage that the store hasn't taken isn't
// told to anybody.

// rollingPrefix begins the store's keys of the stages.
const rollingPrefix = "spurhall/rollout/"

// rollingValue is what stands in the store of a roll-out.
type rollingValue struct {
	Order   int64         `json:"order"` // revision
	Target  string        `json:"target"`
	BeganMs int64         `json:"began_ms"` // of the wall clock
	SinceMs int64         `json:"since_ms"`
	Stage   rollout.Stage `json:"stage"`
	Answers int64         `json:"answers"` // of the target, seen before the stage
	Seen    int64         `json:"seen"`    // of the target, seen when this was written
	Failed  int64         `json:"failed"`
}

// rolling is a roll-out as the holder of the duties knows it.
type rolling struct {
	state   rollout.State
	gone    bool          // the order was taken back
	status  int64         // revision of the status' key; 0: absent
	written bool          // the status of this order stands there
	said    time.Time     // when the stage was last written
	waits   rollout.Cause // that was logged last
}

// roller is the holder's side.
type roller struct {
	n     *Node
	token int64 // of the term that the states belong to
	by    map[string]*rolling
}

func newRoller(n *Node) *roller { return &roller{n: n, by: make(map[string]*rolling)} }

// step goes on with each roll-out.
func (r *roller) step(ctx context.Context, token int64) {
	if token != r.token {
		r.token, r.by = token, make(map[string]*rolling)
	}
	for _, o := range r.n.orders() {
		v := r.by[o.Service]
		if v == nil || v.state.Order.Revision < o.Revision {
			var err error
			if v, err = r.read(ctx, o); err != nil {
				r.n.log.Info("rollout_unread", zap.String("service", o.Service), zap.String("cause", err.Error()))
				continue
			}
			r.by[o.Service] = v
		}
		r.carryOn(ctx, v)
	}
}

// orders returns the orders that this node knows of.
func (n *Node) orders() []rollout.Order {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []rollout.Order
	for _, t := range n.rollouts.trials {
		list = append(list, t.Order())
	}
	return list
}

// read finds out how far a roll-out has come. The order itself is read, too: this node may
// have heard of it by others, who tell no duration.
func (r *roller) read(ctx context.Context, o rollout.Order) (*rolling, error) {
	v := &rolling{state: rollout.State{Order: o, OrderedAt: r.n.clock.Now()}}
	v.state.Since = v.state.OrderedAt
	if err := r.readOrder(ctx, v); err != nil {
		return nil, err
	}
	key, _, err := r.n.o.EncodeStatus(o, rollout.StageWaiting)
	if err != nil {
		return nil, err
	}
	status, err := r.n.kv.Range(ctx, key, "")
	if err != nil {
		return nil, err
	}
	if len(status.Pairs) > 0 {
		v.status = status.Pairs[0].Modified
	}
	if err := r.readStage(ctx, v); err != nil {
		return nil, err
	}
	r.goOn(v)
	return v, nil
}

// goOn takes in how far this node knows the roll-out to have come, where the store has lost that: an
// exposure doesn't begin again, and a version that was taken back isn't tried again.
func (r *roller) goOn(v *rolling) {
	n := r.n
	n.mu.Lock()
	defer n.mu.Unlock()
	t := n.rollouts.trials[v.state.Order.Service]
	if t == nil || t.Order().Revision != v.state.Order.Revision || t.Stage() <= v.state.Stage {
		return
	}
	v.state.Stage, v.state.Since, v.written = t.Stage(), t.Since(), false
	n.log.Info("rollout_restored", zap.String("service", v.state.Order.Service), zap.Int64("order", v.state.Order.Revision), zap.Stringer("stage", v.state.Stage))
}

func (r *roller) readOrder(ctx context.Context, v *rolling) error {
	a, err := r.n.kv.Range(ctx, r.n.o.OrderPrefix+v.state.Order.Service, "")
	if err != nil {
		return err
	}
	v.gone = len(a.Pairs) == 0 || a.Pairs[0].Modified != v.state.Order.Revision
	if v.gone {
		return nil
	}
	o, err := r.n.o.DecodeOrder(a.Pairs[0].Key, a.Pairs[0].Value)
	if err != nil {
		return err
	}
	v.state.Order.Duration = o.Duration
	return nil
}

// readStage takes in what the holder before has written of this order.
func (r *roller) readStage(ctx context.Context, v *rolling) error {
	a, err := r.n.kv.Range(ctx, rollingPrefix+v.state.Order.Service, "")
	if err != nil || len(a.Pairs) == 0 {
		return err
	}
	var b rollingValue
	if err := json.Unmarshal(a.Pairs[0].Value, &b); err != nil {
		return err
	}
	if o := v.state.Order; b.Order != o.Revision && !o.Continues(b.Order, b.Target) {
		return nil
	}
	if !b.Stage.Known() {
		return errStage
	}
	v.written = true
	v.state.Stage, v.state.Responses, v.state.PriorResponses, v.said = b.Stage, b.Answers, b.Seen, r.n.clock.Now()
	v.state.FoundAt = v.said
	v.state.OrderedAt, v.state.Since = time.UnixMilli(b.BeganMs), time.UnixMilli(b.SinceMs)
	r.n.log.Info("rollout_found", zap.String("service", v.state.Order.Service), zap.Int64("order", b.Order), zap.Stringer("stage", b.Stage),
		zap.Duration("age", r.n.clock.Since(v.state.OrderedAt)))
	r.tell(v)
	return nil
}

// tell lets this node and, by its words, all others know of the stage that stands in the store.
func (r *roller) tell(v *rolling) {
	n := r.n
	n.mu.Lock()
	defer n.mu.Unlock()
	t := n.rollouts.trials[v.state.Order.Service]
	if t == nil || t.Order().Revision != v.state.Order.Revision {
		return
	}
	t.AdvanceTo(n.clock.Now(), v.state.Stage)
	n.applySplit(n.clock.Now(), v.state.Order.Service)
}

// carryOn gives a sign of life, and goes to the next stage if it is time.
func (r *roller) carryOn(ctx context.Context, v *rolling) {
	if v.state.Stage.Ended() && v.written {
		return
	}
	f, failed, ok := r.facts(v)
	if !ok {
		return
	}
	now := r.n.clock.Now()
	v.state = v.state.ResolveTakeover(now, f.Responses)
	next, cause := v.state.Next(now, f)
	same := next == v.state.Stage
	if same && v.written {
		r.logWait(v, cause, f)
		if now.Sub(v.said) < rollout.ResponsesWriteInterval {
			return
		}
	}
	s := v.state
	if !same {
		s = s.Advance(now, next, f.Responses)
	}
	v.said = now
	if err := r.write(ctx, v, s, f.Responses, failed); err != nil {
		r.n.log.Info("rollout_unwritten", zap.String("service", s.Order.Service), zap.Stringer("stage", next), zap.String("cause", err.Error()))
		delete(r.by, s.Order.Service) // what stands there is read anew
		return
	}
	told := same && v.written
	v.state, v.written = s, true
	if told {
		return
	}
	v.waits = rollout.CauseNone
	r.tell(v)
	r.logStage(v, cause, f, failed)
}

// facts gathers what the next stage is decided by, and signs.
func (r *roller) facts(v *rolling) (rollout.Facts, int64, bool) {
	n, o := r.n, v.state.Order
	n.mu.Lock()
	defer n.mu.Unlock()
	t := n.rollouts.trials[o.Service]
	if t == nil || t.Order().Revision != o.Revision {
		return rollout.Facts{}, 0, false
	}
	t.IssueKeepAlive(n.clock.Now(), r.token)
	v.gone = v.gone || n.rollouts.gone[o.Service] > o.Revision
	answers, failed := t.Total().Responses()
	f := rollout.Facts{
		Invalid: o.Check() != nil && !v.gone, Withdrawn: v.gone, Responses: answers, Stopped: t.Stopped(), Suspicion: t.Suspicion(), Clear: t.Clear(),
	}
	f.Target, f.OtherVersions, f.Running = n.pools.Versions(o.Service, o.Target)
	if !n.listed.Load() {
		f.Target = 0
	}
	return f, failed, true
}

// errUnsettled says that somebody else has written, or the term is over.
// errStage says that the stage in the store is none that this version knows: the holder leaves it to one that does.
var errStage = errs.NewType("stage").New("the stage in the store isn't known here")

var errUnsettled = errs.NewType("unsettled").New("the term is over, or another has written")

func (r *roller) write(ctx context.Context, v *rolling, s rollout.State, seen, failed int64) error {
	key, status, err := r.n.o.EncodeStatus(s.Order, s.Stage)
	if err != nil {
		return err
	}
	b, err := json.Marshal(rollingValue{
		Order: s.Order.Revision, Target: s.Order.Target, BeganMs: s.OrderedAt.UnixMilli(), SinceMs: s.Since.UnixMilli(), Stage: s.Stage, Answers: s.Responses, Seen: seen, Failed: failed,
	})
	if err != nil {
		return err
	}
	unchanged := store.Absent(key)
	if v.status != 0 {
		unchanged = store.Unmodified(key, v.status)
	}
	t := store.Txn{
		If:   []store.Compare{store.Unmodified(dutyKey, r.token), unchanged},
		Then: []store.Op{{Kind: store.OpPut, Key: rollingPrefix + s.Order.Service, Value: b}},
	}
	news := !v.written || s.Stage != v.state.Stage
	if news {
		t.Then = append(t.Then, store.Op{Kind: store.OpPut, Key: key, Value: status})
	}
	a, err := r.n.kv.Txn(ctx, t)
	if err == nil && !a.Succeeded {
		err = errUnsettled
	}
	if err == nil && news {
		v.status = a.Revision
	}
	return err
}

func (r *roller) logWait(v *rolling, cause rollout.Cause, f rollout.Facts) {
	if cause == v.waits {
		return
	}
	v.waits = cause
	r.n.log.Info("rollout_waits", zap.String("service", v.state.Order.Service), zap.Stringer("stage", v.state.Stage), zap.Stringer("cause", cause),
		zap.Int64("answers", f.Responses), zap.Float64("suspicion", hundredths(f.Suspicion)), zap.Int("upstreams", f.Target), zap.Int("others", f.OtherVersions))
}

// rolloutStages is the stage of each service's last roll-out, by its number.
var rolloutStages = expvar.NewMap("rollout_stage")

func (r *roller) logStage(v *rolling, cause rollout.Cause, f rollout.Facts, failed int64) {
	o := v.state.Order
	stage := new(expvar.Int)
	stage.Set(int64(v.state.Stage))
	rolloutStages.Set(o.Service, stage)
	r.n.log.Info("rollout_stage", zap.String("service", o.Service), zap.String("target", o.Target), zap.Int64("order", o.Revision),
		zap.Stringer("stage", v.state.Stage), zap.Stringer("cause", cause), zap.Duration("after", r.n.clock.Since(v.state.OrderedAt)), zap.Duration("duration", o.Duration),
		zap.Int64("answers", f.Responses), zap.Int64("failed", failed), zap.Float64("suspicion", hundredths(f.Suspicion)), zap.Bool("stopped", f.Stopped),
		zap.Int("upstreams", f.Target), zap.Int("others", f.OtherVersions), zap.Int("running", f.Running), zap.Int64("token", r.token))
}
