package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// silenceWait is after how long a backup runs, and overtakes, in these tests.
const silenceWait = 300 * time.Millisecond

// judged returns a trial with as many good responses of both versions as a comparison needs.
func judged() *Trial {
	t := onTrial(0.5)
	for i := range 100 {
		t.Observe("r", -1, Response{Started: true, First: 1})
		t.Heard(start, fmt.Sprint("v2-", i%4))
		t.Observe("r", i%4, Response{Started: true, First: 1})
	}
	return t
}

// overtake has an attempt of one of the target's four upstreams overtaken.
func overtake(t *Trial, number int, since time.Duration) bool {
	return t.Overtaken(at(since+silenceWait), Silence{Upstream: fmt.Sprint("v2-", number%4), Route: "r", Rank: number % 4, Since: at(since)})
}

func failures(t *Trial) int64 {
	_, failed := t.Total().Responses()
	return failed
}

// TestOvertakenAttemptsOfASoundTarget guards against good versions that are stopped for the silence of a second.
func TestOvertakenAttemptsOfASoundTarget(t *testing.T) {
	const silent = 1200 * time.Millisecond
	v := judged()
	for i := range 60 {
		overtake(v, i, time.Duration(i)*silent/60)
	}
	for i := range 4 {
		v.Heard(at(silent), fmt.Sprint("v2-", i))
		overtake(v, i, silent-time.Millisecond) // it is noticed late
	}
	assert.Zero(t, failures(v))
	assert.False(t, v.Stopped())
	t.Run("and again much later", func(t *testing.T) {
		for i := range 4 {
			overtake(v, i, 2*silenceInterval)
			v.Heard(at(2*silenceInterval+time.Second), fmt.Sprint("v2-", i))
		}
		assert.Zero(t, failures(v))
	})
}

// TestOvertakenAttemptsOfATargetThatHangs guards against versions that hang and aren't stopped, since each attempt at them
// is overtaken.
func TestOvertakenAttemptsOfATargetThatHangs(t *testing.T) {
	t.Run("for good", func(t *testing.T) {
		v := judged()
		i := 0
		for ; !v.Stopped() && i < 100; i++ {
			overtake(v, i, time.Duration(i)*50*time.Millisecond)
		}
		assert.True(t, v.Stopped())
		assert.Equal(t, ReasonFails, v.Verdict().Reason)
		assert.Less(t, time.Duration(i)*50*time.Millisecond, longestSilence+4*50*time.Millisecond)
		assert.Equal(t, int64(i), failures(v)+heldBack(v), "no attempt is forgotten")
	})
	t.Run("under every third request", func(t *testing.T) {
		v := judged()
		for i := 0; !v.Stopped() && i < 200; i++ {
			now := time.Duration(i) * 50 * time.Millisecond
			if i%3 == 0 {
				overtake(v, i, now)
				continue
			}
			v.Heard(at(now), fmt.Sprint("v2-", i%4))
			v.Observe("r", i%4, Response{Started: true, First: 1})
		}
		assert.True(t, v.Stopped())
		assert.Equal(t, ReasonFails, v.Verdict().Reason)
	})
	t.Run("for longer than a sound one, at once", func(t *testing.T) {
		v := judged()
		v.Overtaken(at(longestSilence), Silence{Upstream: "v2-0", Route: "r", Since: start})
		assert.Equal(t, int64(1), failures(v))
	})
	t.Run("in streams, which have started", func(t *testing.T) {
		v := judged()
		before, _ := v.Total().Responses()
		v.Overtaken(at(longestSilence), Silence{Upstream: "v2-0", Route: "r", Since: start, AfterStart: true})
		after, failed := v.Total().Responses()
		assert.Equal(t, before, after)
		assert.Equal(t, int64(1), failed)
	})
}

func heldBack(t *Trial) int64 {
	sum := int64(0)
	for _, s := range t.spells {
		for _, n := range s.held {
			sum += n
		}
	}
	return sum
}

// TestOvertakenAttemptsInService checks that both versions are counted alike: else silences of all upstreams stop the target.
func TestOvertakenAttemptsInService(t *testing.T) {
	v := judged()
	v.Overtaken(at(silenceWait), Silence{Upstream: "v1-0", Route: "r", Rank: -1, Since: start})
	assert.Zero(t, v.Total()["r"][groupInService].Failed)
	v.Overtaken(at(longestSilence), Silence{Upstream: "v1-0", Route: "r", Rank: -1, Since: at(time.Second)})
	assert.Equal(t, int64(2), v.Total()["r"][groupInService].Failed)
}

// late has as many responses of the target's four upstreams come at a time, all of whose waits began at another.
func late(t *Trial, number int, since, now time.Duration) {
	for i := range number {
		u := fmt.Sprint("v2-", i%4)
		t.Heard(at(now), u)
		t.Observe("r", i%4, Response{Started: true, First: 40, Pace: 1000, HeardFrom: u, Since: at(since)})
	}
}

// TestResponsesLateForASilentSecondStopATarget guards against good versions that are stopped as slow for what was sent shortly
// before the end of a silence, so that no backup overtook it.
func TestResponsesLateForASilentSecondStopATarget(t *testing.T) {
	const silent = 1200 * time.Millisecond
	silence := func(v *Trial) {
		for i := range 4 {
			overtake(v, i, 0)
		}
	}
	t.Run("sent in the silence", func(t *testing.T) {
		v := judged()
		silence(v)
		late(v, 40, silent-silenceWait/2, silent)
		assert.False(t, v.Stopped())
		assert.Zero(t, v.Suspicion())
	})
	t.Run("sent after it", func(t *testing.T) {
		v := judged()
		silence(v)
		late(v, 4, silent-silenceWait/2, silent)
		late(v, 40, silent+time.Millisecond, 2*silent)
		assert.True(t, v.Stopped())
		assert.Equal(t, ReasonSlow, v.Verdict().Reason)
	})
	t.Run("silent for longer than a sound upstream", func(t *testing.T) {
		v := judged()
		silence(v)
		late(v, 40, longestSilence-silenceWait/2, longestSilence)
		assert.True(t, v.Stopped())
	})
	t.Run("silent again too soon", func(t *testing.T) {
		v := judged()
		silence(v)
		late(v, 4, silent-silenceWait/2, silent)
		late(v, 40, silenceInterval-silenceWait, silenceInterval-silenceWait/2)
		assert.True(t, v.Stopped())
	})
}
