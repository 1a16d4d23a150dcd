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

// resting is pools of nodes that see the same upstreams, all of which have asked each node for rest.
func resting(clock *timer.Manual, nodes, upstreams, slots int, rest time.Duration) []*Pools {
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
			p.StartCooldown(v.Entry, rest)
		}
		list = append(list, p)
	}
	return list
}

// most returns the most of some moments that lie in a span of that length.
func most(moments []time.Duration, span time.Duration) int {
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

// TestCallersComeBackInOrder: while all upstreams rest for a second, callers are turned away, 400 in all, at three
// nodes that can't ask each other. Ten upstreams of eight slots serve 80 at once, and as many more in each second
// that a request lasts. Told the same moment, all 400 came back in one.
func TestCallersComeBackInOrder(t *testing.T) {
	const rest, callers = time.Second, 400
	for _, nodes := range []int{1, 3} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			clock := timer.NewManual(start)
			pools := resting(clock, nodes, 10, 8, rest)
			var back []time.Duration
			for i := range callers {
				at := time.Duration(i) * rest / callers
				clock.Advance(start.Add(at).Sub(clock.Service().Now()))
				told := pools[i%nodes].RetryAfter("s")
				assert.GreaterOrEqual(t, at+told, rest, "none is told too early")
				assert.LessOrEqual(t, at+told, rest+retry.MaxReturnSpread)
				back = append(back, at+told)
			}
			slices.Sort(back)
			assert.Equal(t, rest, back[80-nodes], "nor is a place left idle: as many come at once as there are")
			assert.LessOrEqual(t, most(back, 500*time.Millisecond), 80+40+nodes)
		})
	}
	t.Run("more than the spread holds come evenly", func(t *testing.T) {
		p := resting(timer.NewManual(start), 1, 10, 8, rest)[0]
		var back []time.Duration
		for range 3 * callers {
			back = append(back, p.RetryAfter("s"))
		}
		assert.LessOrEqual(t, slices.Max(back), rest+retry.MaxReturnSpread)
		assert.LessOrEqual(t, most(back, 500*time.Millisecond), 80+3*40)
	})
	t.Run("a single caller is told the end of the rest", func(t *testing.T) {
		p := resting(timer.NewManual(start), 1, 10, 8, rest)[0]
		assert.Equal(t, rest, p.RetryAfter("s"))
	})
	t.Run("one that doesn't rest", func(t *testing.T) {
		p := resting(timer.NewManual(start), 1, 2, 8, rest)[0]
		p.Update(func(l *List) {
			l.Put(Item{Entry: Entry{ID: "v", Service: "s", Address: "10.0.0.1:2", Slots: 8}, Revision: 2})
		})
		assert.Zero(t, p.RetryAfter("s"))
	})
	t.Run("nodes that a relay tells of share the places, too", func(t *testing.T) {
		p := resting(timer.NewManual(start), 1, 10, 8, rest)[0]
		p.ApplyPeerLoads(nil, map[string]bool{"x": true, "y": true, "z": true}, nil)
		for range 80 / 4 {
			assert.Equal(t, rest, p.RetryAfter("s"))
		}
		assert.Greater(t, p.RetryAfter("s"), rest)
	})
	t.Run("the next rest begins anew", func(t *testing.T) {
		clock := timer.NewManual(start)
		p := resting(clock, 1, 10, 8, rest)[0]
		for range callers {
			p.RetryAfter("s")
		}
		clock.Advance(rest + 2*retry.MaxReturnSpread)
		for _, v := range p.Items() {
			p.StartCooldown(v.Entry, rest)
		}
		assert.Equal(t, rest, p.RetryAfter("s"))
	})
}
