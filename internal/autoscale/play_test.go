package autoscale

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// This file has the days that are played (play_world_test.go), and what each may give.

// playDay is what happens on a day, in times from playFrom on.
type playDay struct {
	name    string
	losses  map[time.Duration]int // hall that is reclaimed
	surge   bool
	failing float64 // part of the orders that fail
	late    float64 // part of the orders that are carried out 2 to 12 s later
	kill    time.Duration
	forgets bool // the store has nothing of the process before
	even    bool // the traffic doesn't come in clumps
	bound   playBound
}

// playBound is what a day may have at the most, of all needs and seeds.
type playBound struct {
	short float64       // part of the seconds
	worst float64       // part of the work of 4 s
	until time.Duration // nothing is short from then on; 0: not asked

	gaveUp   int       // a late order may be carried out after a newer one
	asFormer []float64 // needs of which short and worst are bounded by those with fixed spares alone

	ofFixed float64 // what is short has to be less than this part of it with fixed spares, from a need of 12 on; 0: not asked
}

func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

// playDays are the days; waves of a day take two halls and come again after 16 and 25 s.
func playDays() []playDay {
	waves := map[time.Duration]int{seconds(6): 0, seconds(12): 1, seconds(28): 2, seconds(29.5): 0, seconds(54.5): 1}
	spaced := map[time.Duration]int{seconds(4): 0, seconds(5.5): 1, seconds(34): 2, seconds(35.5): 0, seconds(64): 1, seconds(65.5): 2}
	one, two := map[time.Duration]int{seconds(20): 0}, map[time.Duration]int{seconds(20): 0, seconds(21.5): 1}
	return []playDay{
		{name: "quiet"},
		{name: "one hall, no clumps", losses: one, even: true},
		{name: "one hall", losses: one, bound: playBound{short: 0.002, worst: 0.02}},
		{name: "two halls, no clumps", losses: two, even: true, bound: playBound{ofFixed: 1, short: 0.05, worst: 0.6, until: seconds(20) + boot + playList + time.Second}},
		{name: "two halls", losses: two, bound: playBound{ofFixed: 1, short: 0.05, worst: 0.6, until: seconds(20) + boot + playList + time.Second}},
		{name: "waves", losses: waves, surge: true, bound: playBound{asFormer: []float64{4}, ofFixed: 0.5, short: 0.01, worst: 0.1}},
		{name: "waves far apart", losses: spaced, surge: true, bound: playBound{ofFixed: 0.5, short: 0.04, worst: 0.6}},
		{name: "waves, orders fail", losses: waves, surge: true, failing: 0.3, bound: playBound{asFormer: []float64{4}, ofFixed: 0.5, short: 0.01, worst: 0.2}},
		{name: "waves, orders late", losses: waves, surge: true, late: 0.35, bound: playBound{ofFixed: 0.5, short: 0.02, worst: 0.6}},
		{name: "waves, all killed", losses: waves, surge: true, kill: seconds(15), bound: playBound{asFormer: []float64{4}, ofFixed: 0.5, short: 0.01, worst: 0.1}},
		{name: "waves, no store", losses: waves, surge: true, kill: seconds(15), forgets: true, bound: playBound{ofFixed: 0.5, short: 0.01, worst: 0.2}},
	}
}

func playLine(day playDay, need float64, r playResult) string {
	return fmt.Sprintf("%-20s need %2.0f: %.3f of seconds short, %.3f of the work, worst 4 s %.2f; upstreams on demand %5.1f, reclaimable %5.1f, price %5.1f; gave up %d",
		day.name, need, r.short/r.seconds, r.shortWork/r.work, r.worst, r.onDemand/r.seconds, r.reclaimable/r.seconds, r.price()/r.seconds, r.gaveUp)
}

var playNeeds = []float64{4, 12, 24, 45}

// TestPlay plays all days, and prints what each gives. Where two halls are lost at once, what was ordered at the
// first notice serves after a boot and its listing, and nothing is short from then on. A clump of a second in the
// moment of a loss may be short by a little.
func TestPlay(t *testing.T) {
	for _, day := range playDays() {
		t.Run(day.name, func(t *testing.T) {
			t.Parallel()
			for _, need := range playNeeds {
				r := playAll(day, need, newKept)
				t.Log(playLine(day, need, r))
				assertWithin(t, day.bound, need, r)
				fixed := playAll(day, need, newFixedSpares)
				t.Log("fixed spares:", playLine(day, need, fixed))
				if need <= 12 {
					former := playAll(day, need, newFormer)
					t.Log("former:", playLine(day, need, former))
					assertNoWorse(t, former, r)
					assert.LessOrEqual(t, r.short, fixed.short, "seconds short")
				}
				if need == 4 {
					assert.LessOrEqual(t, r.price(), 1.02*fixed.price(), "price")
				}
				if day.bound.ofFixed > 0 && need >= 12 {
					assert.Less(t, r.short, day.bound.ofFixed*fixed.short, "seconds short")
					assert.Less(t, r.shortWork, day.bound.ofFixed*fixed.shortWork, "work short")
				}
			}
		})
	}
}

func assertWithin(t *testing.T, b playBound, need float64, r playResult) {
	t.Helper()
	if !slices.Contains(b.asFormer, need) {
		assert.LessOrEqual(t, r.short/r.seconds, b.short, "seconds short")
		assert.LessOrEqual(t, r.worst, b.worst, "worst 4 s")
	}
	assert.LessOrEqual(t, r.gaveUp, b.gaveUp, "upstreams given up while too few serve")
	if b.until > 0 {
		assert.False(t, slices.ContainsFunc(r.shortAt, func(at time.Duration) bool { return at >= b.until }), "short after what was ordered serves")
	}
}

func assertNoWorse(t *testing.T, former, r playResult) {
	t.Helper()
	assert.LessOrEqual(t, r.short, former.short, "seconds short")
	assert.LessOrEqual(t, r.shortWork, former.shortWork, "work short")
	assert.LessOrEqual(t, r.worst, former.worst, "worst 4 s")
}
