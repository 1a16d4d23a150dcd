package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

var (
	start = time.Unix(1_700_000_000, 0)
	order = Order{Service: "s", Target: "v2", Duration: 12 * time.Second, Revision: 5}
)

func at(d time.Duration) time.Time { return start.Add(d) }

// onTrial is a node's side of an order whose first stage has begun.
func onTrial(credit float64) *Trial {
	t := NewTrial(order, 0.1, func(string) float64 { return credit })
	t.AdvanceTo(start, StageTrial)
	t.IssueKeepAlive(start, 10)
	return t
}

// offered counts what of n requests goes to the target.
func offered(t *Trial, n int) int {
	k := 0
	for i := 0; i < n; i++ {
		if t.TakeCredit(start, "r") {
			k++
		}
	}
	return k
}

func TestOffer(t *testing.T) {
	t.Run("the stage's share", func(t *testing.T) {
		assert.Equal(t, 70, offered(onTrial(0.5), 1000))
		v := onTrial(0.5)
		v.AdvanceTo(start, StageFifth)
		assert.Equal(t, 200, offered(v, 1000))
	})
	t.Run("each route its own", func(t *testing.T) {
		v := onTrial(0)
		for i := 0; i < 14; i++ {
			assert.False(t, v.TakeCredit(start, "r"))
		}
		assert.True(t, v.TakeCredit(start, "r"))
		assert.False(t, v.TakeCredit(start, "other"))
	})
	t.Run("what was given back is offered again, once", func(t *testing.T) {
		v := onTrial(0.95)
		assert.True(t, v.TakeCredit(start, "r"))
		v.ReturnCredit("r")
		assert.True(t, v.TakeCredit(start, "r"))
		assert.False(t, v.TakeCredit(start, "r"))
	})
	for name, change := range map[string]func(v *Trial){
		"before the first stage":        func(v *Trial) { *v = *NewTrial(order, 0.1, func(string) float64 { return 0.99 }) },
		"after the end":                 func(v *Trial) { v.AdvanceTo(start, StageRolledBack) },
		"where somebody stopped":        func(v *Trial) { v.ApplyUpdate(start, Update{Order: 5, Stopped: true}) },
		"without a sign of the holder":  func(v *Trial) { v.signed = at(-signKeeps - time.Millisecond) },
		"where no sign has come at all": func(v *Trial) { v.signed = time.Time{} },
	} {
		t.Run("nothing "+name, func(t *testing.T) {
			v := onTrial(0.99)
			change(v)
			assert.Zero(t, offered(v, 100))
			assert.Equal(t, SideInService, v.Side(start))
		})
	}
	t.Run("another order's word says nothing", func(t *testing.T) {
		v := onTrial(0.5)
		v.ApplyUpdate(start, Update{Order: 4, Stopped: true, Stage: StageRolledBack})
		assert.Equal(t, StageTrial, v.Stage())
		assert.False(t, v.Stopped())
	})
}

func TestSide(t *testing.T) {
	v := onTrial(0.5)
	v.AdvanceTo(start, StageFull)
	assert.Equal(t, SideTarget, v.Side(start))
	assert.Equal(t, SideInService, v.Side(at(signKeeps+time.Millisecond)), "a node that hears of no holder goes back")
	v.AdvanceTo(start, StageCompleted)
	assert.Equal(t, SideTarget, v.Side(at(time.Hour)), "the version before is gone")
}

func TestSignsOfALaterTermCount(t *testing.T) {
	v := onTrial(0.5)
	v.ApplyUpdate(at(time.Minute), Update{Order: 5, KeepAlive: KeepAlive{Term: 9, Sequence: 1000}})
	assert.False(t, v.HasKeepAlive(at(time.Minute)), "a deposed holder's")
	v.ApplyUpdate(at(time.Minute), Update{Order: 5, KeepAlive: KeepAlive{Term: 11, Sequence: 1}})
	assert.True(t, v.HasKeepAlive(at(time.Minute)))
}

// TestExposure draws nodes that are killed and start anew, requests at whichever of them, and
// checks in each moment that the fleet sends the target no more than the exposure allows,
// beyond a slack that is far below one request a node.
func TestExposure(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 70).Draw(t, "nodes")
		random := rapid.Float64Range(0, 1)
		fresh := func() *Trial {
			v := NewTrial(order, 0.1, func(string) float64 { return random.Draw(t, "credit") })
			v.AdvanceTo(start, StageTrial)
			v.IssueKeepAlive(start, 1)
			return v
		}
		fleet := make([]*Trial, nodes)
		for i := range fleet {
			fleet[i] = fresh()
		}
		reached, sent := 0, 0
		for i := 0; i < 400; i++ {
			k := rapid.IntRange(0, nodes-1).Draw(t, "node")
			if rapid.IntRange(0, 49).Draw(t, "killed") == 0 {
				fleet[k] = fresh()
			}
			reached++
			if fleet[k].TakeCredit(start, fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "route"))) {
				sent++
			}
			// A credit that is drawn may let one request a node, route and process go early.
			if bound := 0.07*float64(reached) + 3*float64(nodes) + 3*8; float64(sent) > bound {
				t.Fatalf("%d of %d requests", sent, reached)
			}
		}
	})
}

// TestExposureOnAverage: over many draws the share is exact, however short processes live.
func TestExposureOnAverage(t *testing.T) {
	for _, life := range []int{1, 5, 100} {
		reached, sent := 0, 0
		for i := 0; i < 20_000; i++ {
			v := onTrial((float64(i) + 0.5) / 20_000)
			reached += life
			sent += offered(v, life)
		}
		assert.InDelta(t, 0.07, float64(sent)/float64(reached), 0.0005, "processes of %d requests", life)
	}
}

func TestCheck(t *testing.T) {
	assert.NoError(t, order.Check())
	for _, o := range []Order{{Target: "v", Duration: 1}, {Service: "s", Duration: 1}, {Service: "s", Target: "v"}} {
		assert.ErrorIs(t, o.Check(), ErrOrder)
	}
}

func TestMerge(t *testing.T) {
	tally := func(n int64) Tally {
		v := make(Tally)
		v.Set("r", 1, Cell{Responses: n})
		return v
	}
	own := tally(1)
	list := Merge(nil, []Update{{Service: "s", Order: 5, Stage: StageTrial, Tally: own}})
	list = Merge(list, []Update{{Service: "s", Order: 5, Stage: StageFifth, Stopped: true, KeepAlive: KeepAlive{1, 2}, Tally: tally(2)}, {Service: "x", Order: 1}})
	list = Merge(list, []Update{{Service: "s", Order: 4, Stage: StageRolledBack, Tally: tally(9)}})
	assert.Len(t, list, 2)
	answers, _ := list[0].Tally.Responses()
	assert.Equal(t, int64(3), answers)
	assert.Equal(t, Update{Service: "s", Order: 5, Stage: StageFifth, Stopped: true, KeepAlive: KeepAlive{1, 2}, Tally: list[0].Tally}, list[0])
	answers, _ = own.Responses()
	assert.Equal(t, int64(1), answers, "what was merged is left as it was")
	list = Merge(list, []Update{{Service: "s", Order: 6, Tally: tally(4)}})
	assert.Equal(t, StageWaiting, list[0].Stage, "a newer order takes the place")
}
