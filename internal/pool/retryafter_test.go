package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"spurhall.example/spurhall/internal/capacity"
	"spurhall.example/spurhall/internal/retry"
	"spurhall.example/spurhall/internal/timer"
)

// coolingPools returns the pools of several nodes that see the same upstreams, all of which are in a
// cooldown at each node.
func coolingPools(clock *timer.Manual, nodes, upstreams, slots int, cooldown time.Duration) []*Pools {
	var list []*Pools
	for i := range nodes {
		p := New(clock.Service(), "self", "h")
		for j := range nodes {
			if j != i {
				p.ApplyReport(fmt.Sprint("n", j), nil, nil, map[string]capacity.Engine{})
			}
		}
		p.Update(func(l *List) {
			for k := range upstreams {
				l.Put(Item{Entry: Entry{ID: fmt.Sprint("u", k), Service: "s", Address: "10.0.0.1:1", Slots: slots}, Revision: 1})
			}
		})
		for _, v := range p.Items() {
			p.StartCooldown(v.Entry, cooldown)
		}
		list = append(list, p)
	}
	return list
}

// maxInSpan returns the maximum number of moments that lie in a span of the given length.
func maxInSpan(moments []time.Duration, span time.Duration) int {
	slices.Sort(moments)
	n, first := 0, 0
	for i, m := range moments {
		for m-moments[first] >= span {
			first++
		}
		n = max(n, i-first+1)
	}
	return n
}

// TestReturnTimesAreSpread: while all upstreams are in a cooldown of one second, three nodes that cannot
// ask each other reject 400 callers in all. Ten upstreams of eight slots serve 80 requests at once, and as
// many more in each duration of a request. The test guards against telling all callers the same moment, at
// which all 400 would return.
func TestReturnTimesAreSpread(t *testing.T) {
	const cooldown, callers = time.Second, 400
	for _, nodes := range []int{1, 3} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			clock := timer.NewManual(start)
			pools := coolingPools(clock, nodes, 10, 8, cooldown)
			var back []time.Duration
			for i := range callers {
				at := time.Duration(i) * cooldown / callers
				clock.Advance(start.Add(at).Sub(clock.Service().Now()))
				wait := pools[i%nodes].RetryAfter("s")
				assert.GreaterOrEqual(t, at+wait, cooldown, "no caller returns before the end of the cooldown")
				assert.LessOrEqual(t, at+wait, cooldown+retry.MaxReturnSpread)
				back = append(back, at+wait)
			}
			slices.Sort(back)
			assert.Equal(t, cooldown, back[80-nodes], "all free slots are used: as many callers return at once as there are slots")
			assert.LessOrEqual(t, maxInSpan(back, 500*time.Millisecond), 80+40+nodes)
		})
	}
	t.Run("callers beyond the maximum spread return evenly", func(t *testing.T) {
		p := coolingPools(timer.NewManual(start), 1, 10, 8, cooldown)[0]
		var back []time.Duration
		for range 3 * callers {
			back = append(back, p.RetryAfter("s"))
		}
		assert.LessOrEqual(t, slices.Max(back), cooldown+retry.MaxReturnSpread)
		assert.LessOrEqual(t, maxInSpan(back, 500*time.Millisecond), 80+3*40)
	})
	t.Run("a single caller returns at the end of the cooldown", func(t *testing.T) {
		p := coolingPools(timer.NewManual(start), 1, 10, 8, cooldown)[0]
		assert.Equal(t, cooldown, p.RetryAfter("s"))
	})
	t.Run("an upstream without a cooldown", func(t *testing.T) {
		p := coolingPools(timer.NewManual(start), 1, 2, 8, cooldown)[0]
		p.Update(func(l *List) {
			l.Put(Item{Entry: Entry{ID: "v", Service: "s", Address: "10.0.0.1:2", Slots: 8}, Revision: 2})
		})
		assert.Zero(t, p.RetryAfter("s"))
	})
	t.Run("nodes behind a relay share the slots, too", func(t *testing.T) {
		p := coolingPools(timer.NewManual(start), 1, 10, 8, cooldown)[0]
		p.ApplyPeerLoads(nil, map[string]bool{"x": true, "y": true, "z": true}, nil)
		for range 80 / 4 {
			assert.Equal(t, cooldown, p.RetryAfter("s"))
		}
		assert.Greater(t, p.RetryAfter("s"), cooldown)
	})
	t.Run("the next cooldown starts a new schedule", func(t *testing.T) {
		clock := timer.NewManual(start)
		p := coolingPools(clock, 1, 10, 8, cooldown)[0]
		for range callers {
			p.RetryAfter("s")
		}
		clock.Advance(cooldown + 2*retry.MaxReturnSpread)
		for _, v := range p.Items() {
			p.StartCooldown(v.Entry, cooldown)
		}
		assert.Equal(t, cooldown, p.RetryAfter("s"))
	})
}
