package retry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func TestDecide(t *testing.T) {
	left := time.Minute
	cases := []struct {
		name string
		a    Attempt
		want Verdict
		why  Reason
	}{
		{"not executed", Attempt{Sent: 1, TimeLeft: left}, VerdictRetry, ReasonNone},
		{"may have run, not repeatable", Attempt{MayHaveRun: true, Sent: 1, TimeLeft: left}, VerdictUnknown, ReasonNotRepeatable},
		{"may have run, repeatable", Attempt{Repeatable: true, MayHaveRun: true, Sent: 1, TimeLeft: left}, VerdictRetry, ReasonNone},
		{"too many attempts", Attempt{Sent: 4, TimeLeft: left}, VerdictNotRun, ReasonAttempts},
		{"too many attempts, may have run", Attempt{Repeatable: true, MayHaveRun: true, Sent: 4, TimeLeft: left}, VerdictUnknown, ReasonAttempts},
		{"too late", Attempt{Sent: 1, TimeLeft: time.Millisecond}, VerdictNotRun, ReasonDeadline},
		{"too late, may have run", Attempt{Repeatable: true, MayHaveRun: true, Sent: 1}, VerdictUnknown, ReasonDeadline},
		{"too late, not repeatable", Attempt{MayHaveRun: true, Sent: 1}, VerdictUnknown, ReasonDeadline},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.a.MaxSent, c.a.MinTimeLeft = 4, 20*time.Millisecond
			v, why := Decide(c.a, func() bool { return true })
			assert.Equal(t, c.want, v)
			assert.Equal(t, c.why, why)
			v, why = Decide(c.a, func() bool { return false })
			assert.NotEqual(t, VerdictRetry, v, "no budget")
			if c.want == VerdictRetry {
				assert.Equal(t, ReasonBudget, why)
			}
		})
	}
	t.Run("a request that is not retried spends no budget", func(t *testing.T) {
		_, _ = Decide(Attempt{MaxSent: 4}, func() bool { t.Error("a retry was spent"); return true })
	})
}

func TestBudgetRunsOut(t *testing.T) {
	b := NewBudget(0.1, 1)
	n := 0
	for b.Take(0) {
		n++
	}
	assert.Equal(t, 10, n)
	for i := 0; i < 20; i++ {
		b.Success()
	}
	assert.True(t, b.Take(0))
	assert.True(t, b.Take(0))
	assert.False(t, b.Take(0), "20 successes pay for 2 retries")
	assert.True(t, b.Take(time.Second), "the floor allows one retry a second")
}

// TestOutliersLeaveMostOfThePool checks that any sequence of results ejects at most the allowed share of
// the pool, and that no upstream stays ejected forever.
func TestOutliersLeaveMostOfThePool(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const size = 6
		o := NewOutliers(0.34)
		now := time.Duration(0)
		for i := 0; i < 100; i++ {
			id := fmt.Sprint(rapid.IntRange(0, size-1).Draw(t, "id"))
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			if !o.Usable(now, id) {
				continue
			}
			o.Sending(id)
			switch rapid.IntRange(0, 4).Draw(t, "result") {
			case 0:
				o.Success(id)
			case 1:
				o.Inconclusive(now, id)
			case 2:
				o.Eject(now, id, size)
			default:
				o.Failure(now, id, size)
			}
			out := 0
			for _, h := range o.health {
				if !h.state.Is("live") {
					out++
				}
			}
			assert.LessOrEqual(t, out, 2)
		}
		now += time.Hour
		for i := 0; i < size; i++ {
			assert.True(t, o.Usable(now, fmt.Sprint(i)), "every ejection ends")
		}
	})
}
