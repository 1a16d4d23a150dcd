package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// well is what a holder knows when nothing speaks against the target.
func well(answers int64) Facts {
	return Facts{Target: 10, OtherVersions: 10, Running: 5, Responses: answers, Clear: true}
}

// assertNext checks what follows a stage at a moment, if the stage began long enough ago.
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
		v := well(100)
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
		{"begins", StageWaiting, 0.01, well(0), StageTrial, CauseOrdered},
		{"waits for upstreams of the target", StageWaiting, 0.1, change(func(v *Facts) { v.Target = 0 }), StageWaiting, CauseFewUpstream},
		{"has nothing to move", StageWaiting, 0.1, change(func(v *Facts) { v.OtherVersions = 0 }), StageCompleted, CauseNothingOld},
		{"stays on trial", StageTrial, 0.6, well(100), StageTrial, CauseNone},
		{"goes on", StageTrial, 0.63, well(100), StageFifth, CauseObserved},
		{"waits under suspicion", StageTrial, 0.63, change(func(v *Facts) { v.Suspicion = 0.7 }), StageTrial, CauseSuspected},
		{"waits for answers", StageTrial, 0.63, well(10), StageTrial, CauseFewAnswers},
		{"waits for capacity", StageTrial, 0.63, change(func(v *Facts) { v.Target = 4 }), StageTrial, CauseFewUpstream},
		{"gives all only to what is clear", StageTwoFifths, 0.8, change(func(v *Facts) { v.Clear = false }), StageTwoFifths, CauseSuspected},
		{"gives all", StageTwoFifths, 0.8, well(100), StageFull, CauseObserved},
		{"waits for what runs", StageFull, 0.9, well(100), StageFull, CauseNone},
		{"ends when nothing runs", StageFull, 0.9, change(func(v *Facts) { v.Running = 0 }), StageCompleted, CauseEmpty},
		{"ends in time whatever runs", StageFull, 0.97, well(100), StageCompleted, CauseObserved},
		{"doesn't end under suspicion", StageFull, 0.97, change(func(v *Facts) { v.Suspicion = 0.9 }), StageRolledBack, CauseNoVerdict},
		{"ends without a verdict", StageTrial, 0.85, well(100), StageRolledBack, CauseNoVerdict},
		{"stops at any stage", StageFull, 0.9, change(func(v *Facts) { v.Stopped = true }), StageRolledBack, CauseBad},
		{"stops when the order is taken back", StageTrial, 0.2, change(func(v *Facts) { v.Withdrawn = true }), StageRolledBack, CauseWithdrawn},
		{"refuses what can't be done", StageWaiting, 0, change(func(v *Facts) { v.Invalid = true }), StageRolledBack, CauseInvalid},
		{"has ended", StageCompleted, 0.99, change(func(v *Facts) { v.Stopped = true }), StageCompleted, CauseNone},
	} {
		t.Run(v.name, func(t *testing.T) { assertNext(t, v.from, v.part, v.facts, v.want, v.cause) })
	}
}

// TestAnswersOfALostFleet: after a loss of all nodes, more has to be seen.
func TestAnswersOfALostFleet(t *testing.T) {
	s := State{Order: order, Stage: StageFifth, Responses: 200}
	assert.False(t, s.shown(219))
	assert.True(t, s.shown(220))
	s.PriorResponses, s.FoundAt = 300, start
	s = s.ResolveTakeover(at(foundWithin-1), 15)
	assert.False(t, s.shown(500), "who lives isn't known yet")
	t.Run("where only the holder was lost", func(t *testing.T) {
		v := s.ResolveTakeover(at(foundWithin), 310)
		assert.True(t, v.shown(310))
	})
	t.Run("where all were", func(t *testing.T) {
		v := s.ResolveTakeover(at(foundWithin), 15).ResolveTakeover(at(time.Minute), 400)
		assert.False(t, v.shown(79))
		assert.True(t, v.shown(80))
		v = v.Advance(at(time.Minute), StageTwoFifths, 80)
		assert.True(t, v.shown(100), "the next stage begins anew")
	})
}

// TestStagesOnlyRise draws facts and moments: no stage is skipped on the way up, and what has
// ended stays so.
func TestStagesOnlyRise(t *testing.T) {
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
				t.Fatalf("%v after %v", next, s.Stage)
			}
			if s.Stage.Ended() && next != s.Stage {
				t.Fatalf("%v after the end", next)
			}
			if now.Sub(start) > order.Duration && !next.Ended() {
				t.Fatalf("%v after the time", next)
			}
			if next != s.Stage {
				s.Stage, s.Since, s.Responses = next, now, f.Responses
			}
		}
	})
}
