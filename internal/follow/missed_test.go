package follow

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/timer"
)

// missedPeer is another node that is asked for versions.
type missedPeer struct {
	whole  bool
	silent bool
}

// newMissedAfterAGap returns what asks others, of a node that may just have missed versions.
func newMissedAfterAGap(clock *timer.Service, list ...missedPeer) (m *Missed, asked *atomic.Int64) {
	asked = &atomic.Int64{}
	m = &Missed{
		Clock: clock, Log: zap.NewNop(), Step: &Step{},
		Nodes: func() []string { return []string{"a", "b", "c"}[:len(list)] },
		Ask: func(_ context.Context, node string) (bool, error) {
			asked.Add(1)
			v := list[node[0]-'a']
			if v.silent {
				return false, errors.New("no answer")
			}
			return v.whole, nil
		},
	}
	m.Step.Confirm(clock.Now())
	m.Step.Miss(clock.Now())
	return m, asked
}

func TestMissed(t *testing.T) {
	c := timer.NewManual(time.Unix(1000, 0))
	clock := c.Service()
	assertHeard := func(t *testing.T, want bool, asked int, list ...missedPeer) {
		t.Helper()
		m, n := newMissedAfterAGap(clock, list...)
		assert.False(t, m.Step.MissedAgo(clock.Now()) == 0)
		m.ask(t.Context(), clock.Now().Add(time.Millisecond))
		assert.Equal(t, want, m.Step.Heard())
		assert.Equal(t, int64(asked), n.Load())
	}
	t.Run("one that has missed nothing says it all", func(t *testing.T) {
		assertHeard(t, true, 2, missedPeer{}, missedPeer{whole: true}, missedPeer{silent: true})
	})
	t.Run("all have missed some, and all say what they know", func(t *testing.T) { assertHeard(t, true, 2, missedPeer{}, missedPeer{}) })
	t.Run("one of these doesn't answer", func(t *testing.T) { assertHeard(t, false, 2, missedPeer{}, missedPeer{silent: true}) })
	t.Run("there is nobody", func(t *testing.T) { assertHeard(t, false, 0) })
	t.Run("what was missed since is not known", func(t *testing.T) {
		m, _ := newMissedAfterAGap(clock, missedPeer{whole: true})
		m.ask(t.Context(), clock.Now().Add(time.Second))
		m.Step.Miss(clock.Now().Add(2 * time.Second))
		assert.False(t, m.Step.Heard())
	})
	t.Run("nobody is asked who doesn't need to be", func(t *testing.T) {
		m, asked := newMissedAfterAGap(clock, missedPeer{whole: true})
		m.Step = &Step{}
		m.Check(t.Context(), clock.Now())
		m.Step.Confirm(clock.Now())
		m.Check(t.Context(), clock.Now())
		assert.Zero(t, asked.Load())
	})
	t.Run("others are asked again, not too soon", func(t *testing.T) {
		m, asked := newMissedAfterAGap(clock, missedPeer{silent: true})
		check := func(after time.Duration, want int64) {
			m.Check(t.Context(), clock.Now().Add(after))
			assert.Eventually(t, func() bool { return !m.running.Load() }, 10*time.Second, time.Millisecond)
			assert.Equal(t, want, asked.Load())
		}
		check(time.Millisecond, 1)
		check(missedPause/2, 1)
		check(missedPause+time.Millisecond, 2)
	})
}
