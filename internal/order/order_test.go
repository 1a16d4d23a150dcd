package order

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// ranked is a request of one of three ranks, with so long a wait at its engine.
func ranked(id, rank int, wait time.Duration) Request {
	return Request{
		ID: fmt.Sprint("r-", id), Rank: rank, Ranks: []int{0, 1, 2}, Target: time.Second, Tightest: 600 * time.Millisecond,
		Wait: wait, Reading: 100 * time.Millisecond,
	}
}

func assertDecision(t *testing.T, q Request, short bool, priority int, reason Reason) {
	t.Helper()
	d := Decide(q, short)
	assert.Equal(t, priority, d.Priority)
	assert.Equal(t, reason, d.Reason)
}

func TestDecide(t *testing.T) {
	overdue := ranked(1, 0, 0)
	overdue.Elapsed = 2 * time.Second
	resumed := overdue
	resumed.Resumed = true
	t.Run("nothing is sent while there is room", func(t *testing.T) { assertDecision(t, ranked(1, 0, 0), false, Unset, ReasonCalm) })
	t.Run("overdue work goes behind the others", func(t *testing.T) { assertDecision(t, overdue, false, priorityOverdue, ReasonOverdue) })
	t.Run("resumed streams go first where room is short", func(t *testing.T) { assertDecision(t, resumed, true, priorityResumed, ReasonResumed) })
	t.Run("in calm times a resumed stream is a request like others", func(t *testing.T) {
		assertDecision(t, resumed, false, priorityOverdue, ReasonOverdue)
		early := resumed
		early.Elapsed = 0
		assertDecision(t, early, false, Unset, ReasonCalm)
		assert.False(t, Decide(early, false).Differs())
	})
	t.Run("overdue work goes last where room is short, whatever its lot", func(t *testing.T) {
		for i := range 100 {
			q := overdue
			q.ID = fmt.Sprint(i)
			assertDecision(t, q, true, priorityLast, ReasonOverdue)
		}
	})
	t.Run("equal ranks are never told apart", func(t *testing.T) {
		q := ranked(1, 1, 5*time.Second)
		q.Ranks = []int{1}
		assertDecision(t, q, true, Unset, ReasonCalm)
		q.Resumed = true
		assertDecision(t, q, true, Unset, ReasonCalm)
		q.Elapsed = 2 * time.Second
		assertDecision(t, q, true, priorityOverdue, ReasonOverdue)
	})
	t.Run("no latency target", func(t *testing.T) {
		q := overdue
		q.Target, q.Tightest = 0, 0
		assertDecision(t, q, false, Unset, ReasonCalm)
		assert.False(t, q.Endangers())
	})
	t.Run("slack is what the expected first event leaves", func(t *testing.T) {
		assert.Equal(t, 400*time.Millisecond, Decide(ranked(1, 0, 500*time.Millisecond), false).Slack)
	})
}

func TestLevelsWhereRoomIsShort(t *testing.T) {
	const n = 8000
	var sum, turns [3]float64
	for rank := range sum {
		for i := 0; i < n; i++ {
			d := Decide(ranked(i, rank, time.Second), true)
			assert.True(t, d.Priority >= priorityFirst && d.Priority < priorityLast, "%d", d.Priority)
			sum[rank] += float64(d.Priority)
			if d.Reason == ReasonTurn {
				turns[rank]++
			}
		}
		assert.InDelta(t, 1/turnShare, turns[rank]/n, 0.02, "each rank has its turns")
	}
	assert.Less(t, sum[0], sum[1])
	assert.Less(t, sum[1], sum[2])
}

func TestAnyNumberOfRanks(t *testing.T) {
	for n := 2; n < 400; n *= 3 {
		q := ranked(1, 0, time.Second)
		q.Ranks = nil
		for i := 0; i < n; i++ {
			q.Ranks = append(q.Ranks, i)
		}
		before := 0
		for i := -1; i <= n; i++ { // those outside the list count as the nearest one
			q.Rank = i
			p := Decide(q, true).Priority
			assert.GreaterOrEqual(t, p, before)
			assert.Less(t, p, priorityLast)
			before = p
		}
	}
}

func TestTracker(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	const wait = 600 * time.Millisecond
	expecting := func(engine string, wait time.Duration) Request {
		q := ranked(1, 0, wait)
		q.Engine, q.Candidates = engine, 4
		return q
	}
	assertShort := func(t *testing.T, k *Tracker, after time.Duration, service string, q Request, want bool, news News) {
		t.Helper()
		d, n := k.Decide(start.Add(after), service, q)
		assert.Equal(t, want, d.Short)
		assert.Equal(t, news, n)
	}
	began := News{Began: true}
	t.Run("two engines show that room is short, until the hold is over", func(t *testing.T) {
		var k Tracker
		assertShort(t, &k, 0, "a", expecting("1", wait), true, News{})
		assertShort(t, &k, 0, "a", expecting("2", wait-1), false, News{})
		assertShort(t, &k, time.Second, "a", expecting("2", wait), true, began)
		assertShort(t, &k, time.Second, "b", expecting("2", 0), false, News{})
		assertShort(t, &k, 2*time.Second, "a", expecting("3", 0), true, News{})
		assertShort(t, &k, 2*time.Second, "a", expecting("1", wait), true, News{})
		assertShort(t, &k, 2*time.Second+shortageHold, "a", expecting("3", 0), false, News{Ended: true, Lasted: 3 * time.Second})
		assertShort(t, &k, 3*time.Second+shortageHold, "a", expecting("3", 0), false, News{})
	})
	t.Run("one hot engine is short of room alone", func(t *testing.T) {
		var k Tracker
		for i := range 100 {
			at := time.Duration(i) * 100 * time.Millisecond
			assertShort(t, &k, at, "a", expecting("1", 2*wait), true, News{})
			assertShort(t, &k, at, "a", expecting("2", 0), false, News{})
		}
		assertShort(t, &k, 10*time.Second, "a", expecting("1", 0), true, News{})
		assertShort(t, &k, 20*time.Second, "a", expecting("1", 0), false, News{})
	})
	t.Run("so are two at different times", func(t *testing.T) {
		var k Tracker
		assertShort(t, &k, 0, "a", expecting("1", wait), true, News{})
		assertShort(t, &k, shortageHold, "a", expecting("2", wait), true, News{})
		assertShort(t, &k, shortageHold, "a", expecting("3", 0), false, News{})
	})
	t.Run("engines that have ended are forgotten", func(t *testing.T) {
		var k Tracker
		for i := range 1000 {
			k.Short(start.Add(time.Duration(i)*shortageHold/10), "a", expecting(fmt.Sprint(i), wait))
		}
		assert.LessOrEqual(t, len(k.services["a"].engines), 20)
	})
	t.Run("the only engine does", func(t *testing.T) {
		var k Tracker
		q := expecting("1", wait)
		q.Candidates = 1
		assertShort(t, &k, 0, "a", q, true, began)
		assertShort(t, &k, time.Hour, "a", q, true, News{Began: true, Ended: true, Lasted: shortageHold})
	})
	t.Run("equal ranks need no order", func(t *testing.T) {
		var k Tracker
		q := expecting("1", wait)
		q.Ranks, q.Candidates = []int{0}, 1
		assertShort(t, &k, 0, "a", q, false, News{})
	})
}
