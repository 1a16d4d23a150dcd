package quota

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// This file is what the plays of play_test.go have to show.

// outcome is a named play.
type outcome struct {
	name string
	play play
}

// runAll runs each play with each seed, some at a time.
func runAll(list []outcome, seeds int) []result {
	r := make([]result, len(list))
	var wg sync.WaitGroup
	slots := make(chan struct{}, 4)
	for i := range list {
		wg.Add(1)
		go func() {
			defer wg.Done()
			slots <- struct{}{}
			defer func() { <-slots }()
			for seed := range uint64(seeds) {
				r[i].add(list[i].play.run(seed))
			}
		}()
	}
	wg.Wait()
	return r
}

var playLimits = []Limit{{Rate: 29_000, Burst: 29_000}, {Rate: 150_000, Burst: 150_000}}

// plays returns the loads with and without faults, at a limit.
func plays(nodes int, l Limit, seconds int) []outcome {
	var list []outcome
	add := func(name string, p play) {
		p.nodes, p.limit, p.duration = nodes, l, time.Duration(seconds)*time.Second
		list = append(list, outcome{fmt.Sprintf("%d nodes, %.0f a second, %s", nodes, l.Rate, name), p})
	}
	for _, d := range []float64{0.5, 1, 1.5, 3, 7} {
		add(fmt.Sprint(d, " even"), play{demand: d})
	}
	add("1 uneven", play{demand: 1, weight: unevenly})
	add("7 uneven", play{demand: 7, weight: unevenly})
	add("1 moving", play{demand: 1, weight: moving})
	add("3 moving", play{demand: 3, weight: moving})
	add("0.5, then 7", play{demand: 0.5, jump: 7, jumpAt: 5 * time.Second})
	add("0.5, a third cut off", play{demand: 0.5, cut: thirdCut})
	add("1, a third cut off", play{demand: 1, cut: thirdCut})
	add("7, a third cut off", play{demand: 7, cut: thirdCut})
	add("1, then 7, a third cut off", play{demand: 1, cut: thirdCut, jump: 7, jumpAt: 8 * time.Second})
	add("3, a relay lost", play{demand: 3, cut: relayLost})
	add("1, a relay lost", play{demand: 1, cut: relayLost})
	add("7, a tenth of the reports lost", play{demand: 7, lost: 0.1})
	add("1, all killed, stored", play{demand: 1, killAt: 6300 * time.Millisecond, stored: true})
	add("7, all killed, stored", play{demand: 7, killAt: 6300 * time.Millisecond, stored: true})
	add("7, all killed", play{demand: 7, killAt: 6300 * time.Millisecond})
	add("1, restarts in turn", play{demand: 1, churn: true, stored: true})
	add("7, restarts in turn", play{demand: 7, churn: true, stored: true})
	add("1.2, lowered", play{demand: 1.2, lowerAt: 5 * time.Second})
	return list
}

func (r result) String() string {
	return fmt.Sprintf("%6d requests, %5d refused, %5d owed (%.4f), tokens %.3f of due, at most %.3f of the bound, longest pause %v", r.requests, r.refused, r.owedRefused, float64(r.owedRefused)/float64(max(1, r.requests)), r.tokens/r.due, r.worst, r.longest)
}

const (
	playNodes   = 79
	playSeconds = 20
	// rushInACut is the load whose demand rises within a cut.
	rushInACut = "150000 a second, 1, then 7, a third cut off"
	// leastUsed is the part of what an exact limiter admits that callers get where they ask for more than the limit.
	leastUsed = 0.95
	// mostOwedRefused is the share of requests that callers may lose though the operators' bound has room for them.
	mostOwedRefused = 0.02
)

// TestOperatorsBound: whatever is asked, and whichever nodes are cut off, killed or restarted, no window has more than the
// operators allow. A rush within a cut has a test of its own.
func TestOperatorsBound(t *testing.T) {
	for _, l := range playLimits {
		list := plays(playNodes, l, playSeconds)
		for i, r := range runAll(list, 1) {
			t.Logf("%-60s %v", list[i].name, r)
			if !strings.HasSuffix(list[i].name, rushInACut) {
				assert.LessOrEqual(t, r.worst, 1.0, list[i].name)
				assert.Positive(t, r.tokens, "%s: it admits", list[i].name)
			}
		}
	}
}

// TestOperatorsBoundInARush: within a cut, demand rises from the limit to seven times it.
func TestOperatorsBoundInARush(t *testing.T) {
	for _, l := range playLimits {
		for _, o := range plays(playNodes, l, playSeconds) {
			if strings.HasSuffix(o.name, rushInACut) {
				r := runAll([]outcome{o}, 4)[0]
				assert.LessOrEqual(t, r.worst, 1.0, o.name)
			}
		}
	}
}

// TestUseOfTheLimit: a workspace that asks for more than its limit gets nearly all that the operators' bound allows.
func TestUseOfTheLimit(t *testing.T) {
	for _, l := range playLimits {
		for _, o := range plays(playNodes, l, playSeconds) {
			if o.play.demand < 1.5 || o.play.killAt > 0 {
				continue
			}
			r := runAll([]outcome{o}, 1)[0]
			assert.GreaterOrEqual(t, r.tokens/r.due, leastUsed, o.name)
		}
	}
}

// TestOwedRequests: a workspace that asks for its limit at the most is hardly ever refused.
func TestOwedRequests(t *testing.T) {
	for _, l := range playLimits {
		for _, o := range plays(playNodes, l, playSeconds) {
			if o.play.demand > 1 || o.play.jump > 1 {
				continue
			}
			r := runAll([]outcome{o}, 1)[0]
			assert.Less(t, float64(r.owedRefused)/float64(r.requests), mostOwedRefused, o.name)
		}
	}
}
