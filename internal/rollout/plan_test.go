package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// healthyFacts returns what a holder knows when there is no evidence against the target.
func healthyFacts(responses int64) Facts {
	return Facts{Target: 10, OtherVersions: 10, Running: 5, Responses: responses, Clear: true}
}

// assertNext checks the stage that follows another one at a given part of the duration, if the stage started
// long enough ago.
func assertNext(t *testing.T, from Stage, part float64, f Facts, want Stage, cause Cause) {
	t.Helper()
	now := at(time.Duration(part * float64(order.Duration)))
	s := State{Order: order, OrderedAt: start, Stage: from, Since: now.Add(-time.Second)}
	next, why := s.Next(now, f)
	assert.Equal(t, want, next, "%v", why)
	assert.Equal(t, cause, why)
}

func TestNext(t *testing.T) {
	change := func(f func(v *Facts)) Facts {
		v := healthyFacts(100)
		f(&v)
		return v
	}
	for _, v := range []struct {
		name  string
		from  Stage
		part  float64
		facts Facts
		want  Stage
		cause Cause
	}{
		{"starts", StageWaiting, 0.01, healthyFacts(0), StageTrial, CauseOrdered},
		{"waits for upstreams of the target", StageWaiting, 0.1, change(func(v *Facts) { v.Target = 0 }), StageWaiting, CauseFewUpstreams},
		{"has nothing to move", StageWaiting, 0.1, change(func(v *Facts) { v.OtherVersions = 0 }), StageCompleted, CauseNoOldVersion},
		{"continues the trial", StageTrial, 0.6, healthyFacts(100), StageTrial, CauseNone},
		{"advances", StageTrial, 0.63, healthyFacts(100), StageFifth, CauseObserved},
		{"waits under suspicion", StageTrial, 0.63, change(func(v *Facts) { v.Suspicion = 0.7 }), StageTrial, CauseSuspected},
		{"waits for responses", StageTrial, 0.63, healthyFacts(10), StageTrial, CauseFewResponses},
		{"waits for capacity", StageTrial, 0.63, change(func(v *Facts) { v.Target = 4 }), StageTrial, CauseFewUpstreams},
		{"gives all only to a target that is clear", StageTwoFifths, 0.8, change(func(v *Facts) { v.Clear = false }), StageTwoFifths, CauseSuspected},
		{"gives all", StageTwoFifths, 0.8, healthyFacts(100), StageFull, CauseObserved},
		{"waits for running requests", StageFull, 0.9, healthyFacts(100), StageFull, CauseNone},
		{"ends when no request runs", StageFull, 0.9, change(func(v *Facts) { v.Running = 0 }), StageCompleted, CauseDrained},
		{"ends in time whatever still runs", StageFull, 0.97, healthyFacts(100), StageCompleted, CauseObserved},
		{"doesn't end under suspicion", StageFull, 0.97, change(func(v *Facts) { v.Suspicion = 0.9 }), StageRolledBack, CauseNoVerdict},
		{"ends without a verdict", StageTrial, 0.85, healthyFacts(100), StageRolledBack, CauseNoVerdict},
		{"stops at any stage", StageFull, 0.9, change(func(v *Facts) { v.Stopped = true }), StageRolledBack, CauseBad},
		{"stops when the order is withdrawn", StageTrial, 0.2, change(func(v *Facts) { v.Withdrawn = true }), StageRolledBack, CauseWithdrawn},
		{"rejects an order that cannot be carried out", StageWaiting, 0, change(func(v *Facts) { v.Invalid = true }), StageRolledBack, CauseInvalid},
		{"has ended", StageCompleted, 0.99, change(func(v *Facts) { v.Stopped = true }), StageCompleted, CauseNone},
	} {
		t.Run(v.name, func(t *testing.T) { assertNext(t, v.from, v.part, v.facts, v.want, v.cause) })
	}
}

// TestResponsesAfterFleetLoss: after a loss of all nodes, more responses have to be seen.
func TestResponsesAfterFleetLoss(t *testing.T) {
	s := State{Order: order, Stage: StageFifth, Responses: 200}
	assert.False(t, s.enoughResponses(219))
	assert.True(t, s.enoughResponses(220))
	s.PriorResponses, s.FoundAt = 300, start
	s = s.ResolveTakeover(at(takeoverWait-1), 15)
	assert.False(t, s.enoughResponses(500), "it is not known yet which nodes still run")
	t.Run("where only the holder was lost", func(t *testing.T) {
		v := s.ResolveTakeover(at(takeoverWait), 310)
		assert.True(t, v.enoughResponses(310))
	})
	t.Run("where all were", func(t *testing.T) {
		v := s.ResolveTakeover(at(takeoverWait), 15).ResolveTakeover(at(time.Minute), 400)
		assert.False(t, v.enoughResponses(79))
		assert.True(t, v.enoughResponses(80))
		v = v.Advance(at(time.Minute), StageTwoFifths, 80)
		assert.True(t, v.enoughResponses(100), "the next stage counts from its own start")
	})
}

// TestStagesNeverDecrease draws facts and times: no stage is skipped on the way up, and a roll-out that has
// ended stays so.
func TestStagesNeverDecrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := State{Order: order, OrderedAt: start, Since: start}
		now := start
		for i := 0; i < 60; i++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			f := Facts{
				Target: rapid.IntRange(0, 12).Draw(t, "target"), OtherVersions: rapid.IntRange(0, 12).Draw(t, "others"), Running: rapid.IntRange(0, 2).Draw(t, "running"),
				Responses: int64(rapid.IntRange(0, 100).Draw(t, "answers")), Stopped: rapid.IntRange(0, 30).Draw(t, "stopped") == 0,
				Suspicion: rapid.Float64Range(0, 0.9).Draw(t, "suspicion"), Clear: rapid.Bool().Draw(t, "clear"),
			}
			next, _ := s.Next(now, f)
			if next != s.Stage && next != StageRolledBack && !(s.Stage == StageWaiting && next == StageCompleted) && next != s.Stage+1 {
				t.Fatalf("stage %v follows %v", next, s.Stage)
			}
			if s.Stage.Ended() && next != s.Stage {
				t.Fatalf("stage %v follows the end", next)
			}
			if now.Sub(start) > order.Duration && !next.Ended() {
				t.Fatalf("stage %v after the duration is over", next)
			}
			if next != s.Stage {
				s.Stage, s.Since, s.Responses = next, now, f.Responses
			}
		}
	})
}
