package edge

import (
	"context"
	"encoding/json"
	"expvar"
	"time"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/logging"
	"spurhall.example/spurhall/internal/rollout"
	"spurhall.example/spurhall/internal/store"
)

// This file carries out roll-outs at the node that holds the duties' lease: it decides when the next stage
// starts (package rollout), writes it to the store and announces it to the other nodes.
//
// The store's values are written in one transaction, on condition that the term lasts and no other process
// has written: the status that the operators read, and the stage with its start time, from which a successor
// continues. A stage is announced only after the store has accepted it.

// rolloutStagePrefix is the prefix of the store keys of the stages.
const rolloutStagePrefix = "spurhall/rollout/"

// rolloutStageValue is the stored state of a roll-out.
type rolloutStageValue struct {
	Order     int64         `json:"order"` // revision
	Target    string        `json:"target"`
	StartedMs int64         `json:"began_ms"` // Unix time
	SinceMs   int64         `json:"since_ms"`
	Stage     rollout.Stage `json:"stage"`
	Answers   int64         `json:"answers"` // of the target, counted before the stage
	Seen      int64         `json:"seen"`    // of the target, counted when this was written
	Failed    int64         `json:"failed"`
}

// rolloutState is a roll-out as the holder of the duties knows it.
type rolloutState struct {
	state          rollout.State
	withdrawn      bool          // the order was withdrawn
	statusRevision int64         // revision of the status key; 0: absent
	isWritten      bool          // the status of this order is stored
	writtenAt      time.Time     // when the stage was last written
	loggedWait     rollout.Cause // cause that was logged last
}

// runner advances roll-outs for the holder of the duties.
type runner struct {
	n      *Node
	token  int64 // of the term that the states belong to
	states map[string]*rolloutState
}

func newRunner(n *Node) *runner { return &runner{n: n, states: make(map[string]*rolloutState)} }

// step advances each roll-out.
func (r *runner) step(ctx context.Context, token int64) {
	if token != r.token {
		r.token, r.states = token, make(map[string]*rolloutState)
	}
	for _, o := range r.n.rolloutOrders() {
		v := r.states[o.Service]
		if v == nil || v.state.Order.Revision < o.Revision {
			var err error
			if v, err = r.read(ctx, o); err != nil {
				r.n.log.Info("rollout_unread", zap.String("service", o.Service), zap.String("cause", err.Error()))
				continue
			}
			r.states[o.Service] = v
		}
		r.advance(ctx, v)
	}
}

// rolloutOrders returns the orders that this node knows.
func (n *Node) rolloutOrders() []rollout.Order {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []rollout.Order
	for _, t := range n.rollouts.trials {
		list = append(list, t.Order())
	}
	return list
}

// read restores the progress of a roll-out. It reads the order itself, too: this node may know it only from
// peers, whose updates don't contain the duration.
func (r *runner) read(ctx context.Context, o rollout.Order) (*rolloutState, error) {
	v := &rolloutState{state: rollout.State{Order: o, OrderedAt: r.n.clock.Now()}}
	v.state.Since = v.state.OrderedAt
	if err := r.readOrder(ctx, v); err != nil {
		return nil, err
	}
	key, _, err := r.n.options.EncodeStatus(o, rollout.StageWaiting)
	if err != nil {
		return nil, err
	}
	status, err := r.n.kv.Range(ctx, key, "")
	if err != nil {
		return nil, err
	}
	if len(status.Pairs) > 0 {
		v.statusRevision = status.Pairs[0].Modified
	}
	if err := r.readStage(ctx, v); err != nil {
		return nil, err
	}
	r.restoreFromTrial(v)
	return v, nil
}

// restoreFromTrial applies the progress that this node knows of where the store has lost it: an exposure
// doesn't start again, and a version that was rolled back isn't tried again.
func (r *runner) restoreFromTrial(v *rolloutState) {
	n := r.n
	n.mu.Lock()
	defer n.mu.Unlock()
	t := n.rollouts.trials[v.state.Order.Service]
	if t == nil || t.Order().Revision != v.state.Order.Revision || t.Stage() <= v.state.Stage {
		return
	}
	v.state.Stage, v.state.Since, v.isWritten = t.Stage(), t.Since(), false
	n.log.Info("rollout_restored", zap.String("service", v.state.Order.Service), zap.Int64("order", v.state.Order.Revision), zap.Stringer("stage", v.state.Stage))
}

func (r *runner) readOrder(ctx context.Context, v *rolloutState) error {
	a, err := r.n.kv.Range(ctx, r.n.options.OrderPrefix+v.state.Order.Service, "")
	if err != nil {
		return err
	}
	v.withdrawn = len(a.Pairs) == 0 || a.Pairs[0].Modified != v.state.Order.Revision
	if v.withdrawn {
		return nil
	}
	o, err := r.n.options.DecodeOrder(a.Pairs[0].Key, a.Pairs[0].Value)
	if err != nil {
		return err
	}
	v.state.Order.Duration = o.Duration
	return nil
}

// readStage restores what the previous holder has written about this order.
func (r *runner) readStage(ctx context.Context, v *rolloutState) error {
	a, err := r.n.kv.Range(ctx, rolloutStagePrefix+v.state.Order.Service, "")
	if err != nil || len(a.Pairs) == 0 {
		return err
	}
	var b rolloutStageValue
	if err := json.Unmarshal(a.Pairs[0].Value, &b); err != nil {
		return err
	}
	if o := v.state.Order; b.Order != o.Revision && !o.Continues(b.Order, b.Target) {
		return nil
	}
	if !b.Stage.Known() {
		return errUnknownStage
	}
	v.isWritten = true
	v.state.Stage, v.state.Responses, v.state.PriorResponses, v.writtenAt = b.Stage, b.Answers, b.Seen, r.n.clock.Now()
	v.state.FoundAt = v.writtenAt
	v.state.OrderedAt, v.state.Since = time.UnixMilli(b.StartedMs), time.UnixMilli(b.SinceMs)
	r.n.log.Info("rollout_found", zap.String("service", v.state.Order.Service), zap.Int64("order", b.Order), zap.Stringer("stage", b.Stage),
		zap.Duration("age", r.n.clock.Since(v.state.OrderedAt)))
	r.announceStage(v)
	return nil
}

// announceStage applies the stored stage to this node, whose updates propagate it to all others.
func (r *runner) announceStage(v *rolloutState) {
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

// advance renews the trial's keep-alive, and moves to the next stage when it is due.
func (r *runner) advance(ctx context.Context, v *rolloutState) {
	if v.state.Stage.Ended() && v.isWritten {
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
	if same && v.isWritten {
		r.logWait(v, cause, f)
		if now.Sub(v.writtenAt) < rollout.ResponsesWriteInterval {
			return
		}
	}
	s := v.state
	if !same {
		s = s.Advance(now, next, f.Responses)
	}
	v.writtenAt = now
	if err := r.write(ctx, v, s, f.Responses, failed); err != nil {
		r.n.log.Info("rollout_unwritten", zap.String("service", s.Order.Service), zap.Stringer("stage", next), zap.String("cause", err.Error()))
		delete(r.states, s.Order.Service) // the stored state is read again
		return
	}
	announced := same && v.isWritten
	v.state, v.isWritten = s, true
	if announced {
		return
	}
	v.loggedWait = rollout.CauseNone
	r.announceStage(v)
	r.logStage(v, cause, f, failed)
}

// facts gathers the inputs of the next decision, and renews the trial's keep-alive.
func (r *runner) facts(v *rolloutState) (rollout.Facts, int64, bool) {
	n, o := r.n, v.state.Order
	n.mu.Lock()
	defer n.mu.Unlock()
	t := n.rollouts.trials[o.Service]
	if t == nil || t.Order().Revision != o.Revision {
		return rollout.Facts{}, 0, false
	}
	t.IssueKeepAlive(n.clock.Now(), r.token)
	v.withdrawn = v.withdrawn || n.rollouts.withdrawn[o.Service] > o.Revision
	answers, failed := t.Total().Responses()
	f := rollout.Facts{
		Invalid: o.Check() != nil && !v.withdrawn, Withdrawn: v.withdrawn, Responses: answers, Stopped: t.Stopped(), Suspicion: t.Suspicion(), Clear: t.Clear(),
	}
	f.Target, f.OtherVersions, f.Running = n.pools.Versions(o.Service, o.Target)
	if !n.listed.Load() {
		f.Target = 0
	}
	return f, failed, true
}

// errUnknownStage reports a stored stage that this version doesn't know: the holder leaves the roll-out to
// a version that does.
var errUnknownStage = errs.NewType("stage").New("the stored stage is unknown to this version")

// errNotWritten reports that another process has written, or that the term is over.
var errNotWritten = errs.NewType("unsettled").New("the term is over, or another process has written the status")

func (r *runner) write(ctx context.Context, v *rolloutState, s rollout.State, seen, failed int64) error {
	key, status, err := r.n.options.EncodeStatus(s.Order, s.Stage)
	if err != nil {
		return err
	}
	b, err := json.Marshal(rolloutStageValue{
		Order: s.Order.Revision, Target: s.Order.Target, StartedMs: s.OrderedAt.UnixMilli(), SinceMs: s.Since.UnixMilli(), Stage: s.Stage, Answers: s.Responses, Seen: seen, Failed: failed,
	})
	if err != nil {
		return err
	}
	unchanged := store.Absent(key)
	if v.statusRevision != 0 {
		unchanged = store.Unmodified(key, v.statusRevision)
	}
	t := store.Txn{
		If:   []store.Compare{store.Unmodified(dutyKey, r.token), unchanged},
		Then: []store.Op{{Kind: store.OpPut, Key: rolloutStagePrefix + s.Order.Service, Value: b}},
	}
	stageChanged := !v.isWritten || s.Stage != v.state.Stage
	if stageChanged {
		t.Then = append(t.Then, store.Op{Kind: store.OpPut, Key: key, Value: status})
	}
	a, err := r.n.kv.Txn(ctx, t)
	if err == nil && !a.Succeeded {
		err = errNotWritten
	}
	if err == nil && stageChanged {
		v.statusRevision = a.Revision
	}
	return err
}

func (r *runner) logWait(v *rolloutState, cause rollout.Cause, f rollout.Facts) {
	if cause == v.loggedWait {
		return
	}
	v.loggedWait = cause
	r.n.log.Info("rollout_waits", zap.String("service", v.state.Order.Service), zap.Stringer("stage", v.state.Stage), zap.Stringer("cause", cause),
		zap.Int64("answers", f.Responses), logging.Hundredths("suspicion", f.Suspicion), zap.Int("upstreams", f.Target), zap.Int("others", f.OtherVersions))
}

// rolloutStages holds the stage number of each service's last roll-out.
var rolloutStages = expvar.NewMap("rollout_stage")

func (r *runner) logStage(v *rolloutState, cause rollout.Cause, f rollout.Facts, failed int64) {
	o := v.state.Order
	stage := new(expvar.Int)
	stage.Set(int64(v.state.Stage))
	rolloutStages.Set(o.Service, stage)
	r.n.log.Info("rollout_stage", zap.String("service", o.Service), zap.String("target", o.Target), zap.Int64("order", o.Revision),
		zap.Stringer("stage", v.state.Stage), zap.Stringer("cause", cause), zap.Duration("after", r.n.clock.Since(v.state.OrderedAt)), zap.Duration("duration", o.Duration),
		zap.Int64("answers", f.Responses), zap.Int64("failed", failed), logging.Hundredths("suspicion", f.Suspicion), zap.Bool("stopped", f.Stopped),
		zap.Int("upstreams", f.Target), zap.Int("others", f.OtherVersions), zap.Int("running", f.Running), zap.Int64("token", r.token))
}
