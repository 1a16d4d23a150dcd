package model

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// lab is a load of long prompts that share parts, shorter ones and chats, before engines of three speeds that are slow for
// a moment now and then. part is the size of the fleet and of the load, use the load as a share of what the engines can do.
func lab(seed uint64, part, use float64) Load {
	n := func(x float64) int { return int(x*part + 0.5) }
	rate := part * use / 0.62
	return Load{
		Halls: 3, Nodes: n(73), Engines: n(60), Spread: SpreadPlaced, Seed: seed, Warm: 20 * time.Second, Length: 15 * time.Second,
		Engine: EngineSpec{
			Slots: 64, Chunk: 2048, Reading: 74.8, Step: 4840 * time.Microsecond, SlotStep: 72500 * time.Nanosecond, First: 70 * time.Millisecond,
			Memory: 528_303, Fetch: 120,
		},
		Speeds:  []float64{1, 0.6, 1.6},
		Passing: Passing{Every: 10 * time.Second, Length: 600 * time.Millisecond, Factor: 2.5},
		Classes: []Class{
			{Name: "long", Rate: 235 * rate, Target: time.Second, Shared: []Shared{{4, 2500}, {298, 3800}}, Own: 2890, Sigma: 1, Output: 40},
			{Name: "brief", Rate: 267 * rate, Target: 800 * time.Millisecond, Shared: []Shared{{10, 340}, {880, 228}}, Own: 1800, Sigma: 1, Output: 15},
			{Name: "chat", Rate: 111 * rate, Target: 600 * time.Millisecond, Shared: []Shared{{26, 100}, {440, 72}}, Own: 543, Sigma: 0.9, Output: 220},
		},
	}
}

// uses are the loads that are played.
func uses() []float64 {
	if raceEnabled {
		return []float64{0.6}
	}
	return []float64{0.6, 0.75}
}

// playsBySpeeds plays a load with nodes that know different things, with the same seeds each. Under the race detector, which
// slows plays tenfold, the fleet is smaller and the time shorter.
func playsBySpeeds(t *testing.T, seeds uint64, use float64, change func(l *Load), know ...Knowledge) map[Knowledge][]Outcome {
	t.Helper()
	part := 0.5
	if raceEnabled {
		seeds, part = 1, 0.15
	}
	all := make(map[Knowledge][]Outcome)
	for _, k := range know {
		all[k] = make([]Outcome, seeds)
	}
	t.Run("plays", func(t *testing.T) {
		for seed := range seeds {
			for k, list := range all {
				t.Run(fmt.Sprint("seed ", seed+1, ", knowledge ", k), func(t *testing.T) {
					t.Parallel()
					l := lab(seed+1, part, use)
					if l.Know = k; raceEnabled {
						l.Warm, l.Length = 10*time.Second, 2*time.Second
					}
					change(&l)
					list[seed] = Play(l)
				})
			}
		}
	})
	return all
}

// p99 is the mean over some plays.
func p99(list []Outcome) time.Duration {
	sum := time.Duration(0)
	for _, o := range list {
		sum += o.First.P99
	}
	return sum / time.Duration(len(list))
}

// TestSpeedsInFleets: a fleet of engines of three speeds, each of which is slow for a moment now and then, serves
// nearly as if the true speeds were known. A node sees an engine a few times in ten seconds, and relays that place
// requests have no responses of their own.
func TestSpeedsInFleets(t *testing.T) {
	for _, use := range uses() {
		t.Run(fmt.Sprint("load ", use), func(t *testing.T) {
			all := playsBySpeeds(t, 3, use, func(*Load) {}, SpeedsUnknown, SpeedsLearned, SpeedsTrue)
			unknown, learned, truth := all[SpeedsUnknown], all[SpeedsLearned], all[SpeedsTrue]
			t.Logf("p99 of the first events: unknown %v, learned %v, true %v", p99(unknown), p99(learned), p99(truth))
			for _, o := range learned {
				t.Logf("%+v %+v", o.First, o.Speeds)
			}
			if raceEnabled {
				return // too few requests for a percentile
			}
			assert.LessOrEqual(t, p99(learned), p99(truth)*115/100)
			assert.Less(t, p99(learned), p99(unknown))
			for _, o := range learned {
				assert.Less(t, o.Speeds.Off, 0.15, "believed over true speeds, mean logarithm: %+v", o.Speeds)
			}
		})
	}
}

// assertAsBefore checks that nodes that learn speeds serve callers exactly as those that don't.
func assertAsBefore(t *testing.T, all map[Knowledge][]Outcome) {
	t.Helper()
	for i, learned := range all[SpeedsLearned] {
		assert.Zero(t, learned.Speeds.Changes)
		assert.Equal(t, all[SpeedsUnknown][i], learned)
	}
}

// TestEqualSpeedsInFleets: equal engines are served exactly as before, request by request, though each is slow for a
// moment now and then.
func TestEqualSpeedsInFleets(t *testing.T) {
	for _, use := range uses() {
		t.Run(fmt.Sprint("load ", use), func(t *testing.T) {
			assertAsBefore(t, playsBySpeeds(t, 3, use, func(l *Load) { l.Speeds = nil }, SpeedsUnknown, SpeedsLearned))
		})
	}
}

// TestOneNodeInFleets: neither a node that reports falsehoods nor one behind a slow link changes how equal engines are
// served.
func TestOneNodeInFleets(t *testing.T) {
	for name, change := range map[string]func(l *Load){
		"a liar":      func(l *Load) { l.Liar = true },
		"a slow link": func(l *Load) { l.SlowLink = 150 * time.Millisecond },
	} {
		t.Run(name, func(t *testing.T) {
			assertAsBefore(t, playsBySpeeds(t, 2, 0.6, func(l *Load) {
				l.Speeds = nil
				change(l)
			}, SpeedsUnknown, SpeedsLearned))
		})
	}
}

// TestSpeedsAmongPairs: the nodes of a small fleet, which swap reports in pairs, learn the speeds, too.
func TestSpeedsAmongPairs(t *testing.T) {
	l := lab(1, 0.1, 0.6)
	l.Spread, l.Know, l.Length = SpreadPairs, SpeedsLearned, time.Second
	o := Play(l)
	assert.Less(t, o.Speeds.Off, 0.15, "%+v", o.Speeds)
	assert.Equal(t, o, Play(l), "a seed gives the same play")
}
