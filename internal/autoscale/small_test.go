package autoscale

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"spurhall.example/spurhall/internal/capacity"
)

// twin plans the kept way and compares each plan with that of fixed spares for the same observations.
type twin struct {
	*MixPlanner
	old             *MixPlanner
	plans, large    int
	differs         int
	firstDifference string
}

func newTwin(first bool) *twin {
	return &twin{MixPlanner: newKept(first).(*MixPlanner), old: newKept(first).(*MixPlanner)}
}

func (w *twin) Observe(now time.Duration, load capacity.Work, halls []HallState) {
	w.MixPlanner.Observe(now, load, halls)
	w.old.Observe(now, load, halls)
}

func (w *twin) Refused(now time.Duration, hall string) {
	w.MixPlanner.Refused(now, hall)
	w.old.Refused(now, hall)
}

func (w *twin) Granted(hall string) {
	w.MixPlanner.Granted(hall)
	w.old.Granted(hall)
}

func (w *twin) Restore(now time.Duration, k Known) {
	w.MixPlanner.Restore(now, k)
	w.old.Restore(now, k)
}

func (w *twin) Plan(now time.Duration, s MixSpec, halls []HallState) []Count {
	want := formerPlan(w.old, now, s, slices.Clone(halls))
	got := w.MixPlanner.Plan(now, s, halls)
	w.plans++
	if w.exceedsSpares {
		w.large++
	}
	if !slices.Equal(want, got) {
		if w.differs == 0 {
			w.firstDifference = fmt.Sprintf("at %s, need %.2f, %+v: formerly %+v, planned %+v", now, w.need(now), halls, want, got)
		}
		w.differs++
	}
	return got
}

func (w *twin) assertSame(t *testing.T) {
	t.Helper()
	assert.Positive(t, w.plans)
	assert.Zero(t, w.differs, w.firstDifference)
}

// former is the way with a fixed number of spares for any size, the halls in the planner's order, without a predecessor's knowledge.
type former struct{ *MixPlanner }

func newFormer(first bool) playPlanner { return former{newKept(first).(*MixPlanner)} }

func (former) Restore(time.Duration, Known) {}

func (f former) Plan(now time.Duration, s MixSpec, halls []HallState) []Count {
	return formerPlan(f.MixPlanner, now, s, halls)
}

// formerPlan plans with a fixed number of spares for any size: no hold, no trend, a base that is lowered at once.
func formerPlan(m *MixPlanner, now time.Duration, s MixSpec, halls []HallState) []Count {
	found := m.foundFloor(now)
	need := math.Max(m.need(now), m.keepFound(found, true, halls))
	sort.Slice(halls, func(i, j int) bool { return halls[i].Price < halls[j].Price })
	safe := need
	if !m.inWave(now) {
		safe = math.Max(0, need-survivingReclaimable(halls))
	}
	counts, floors := make([]Count, len(halls)), make([]int, len(halls))
	for i, h := range halls {
		want := int(math.Ceil(math.Max(need, found)/float64(len(halls)) - 1e-9))
		if m.hasWork {
			want += m.o.SparePerHall
		}
		counts[i] = Count{Hall: h.Hall, Reclaimable: m.reclaimable(now, want, h)}
		floors[i] = m.standaloneFloor(now, need/float64(len(halls)), h, counts[i].Reclaimable)
	}
	spread(max(minOnDemand, int(math.Ceil(safe-1e-9))), s, halls, floors, counts)
	for i, h := range halls {
		least := min(h.Reclaimable, s.Min-counts[i].OnDemand)
		counts[i].Reclaimable = max(0, min(max(counts[i].Reclaimable, least), s.Max-counts[i].OnDemand))
	}
	return counts
}

// TestSmallPoolsAsWithFixedSpares: where the fixed spares carry the loss of a hall, each plan is theirs.
func TestSmallPoolsAsWithFixedSpares(t *testing.T) {
	for need := 1; need <= 12; need++ {
		t.Run(fmt.Sprintf("wave, return and refusal, need %d", need), func(t *testing.T) {
			w, halls, now := newTwin(true), threeHalls(0, 0), time.Duration(0)
			serve := func(length time.Duration, out int) {
				for end := now + length; now < end; now += playTick {
					w.Observe(now, reading(float64(need)*w.o.TargetUse.Prefill), halls)
					for i, c := range w.Plan(now, roomSpec, halls) {
						halls[i].OnDemand = c.OnDemand
						if i >= out {
							halls[i].Reclaimable = c.Reclaimable
						}
					}
				}
			}
			lose := func(i int) { halls[i].Leaving, halls[i].Reclaimable = halls[i].Reclaimable, 0 }
			serve(time.Minute, 0)
			lose(0)
			serve(1500*time.Millisecond, 1)
			lose(1)
			serve(1500*time.Millisecond, 2)
			halls[0].Leaving, halls[1].Leaving = 0, 0
			w.Refused(now, halls[0].Hall)
			serve(8*time.Second, 2)
			w.Granted(halls[0].Hall)
			serve(30*time.Second, 0)
			w.Refused(now, halls[1].Hall)
			serve(30*time.Second, 0)
			w.assertSame(t)
			assert.Zero(t, w.large)
		})
	}
	for _, day := range playDays() {
		t.Run(day.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= playSeeds; seed++ {
				newPlay(day, 4, seed, func(first bool) playPlanner {
					w := newTwin(first)
					t.Cleanup(func() { w.assertSame(t) })
					return w
				}).run()
			}
		})
	}
}

// TestSizeOfAPool: the part of a hall is what the spares of the others have to carry, and a higher need is never
// smaller.
func TestSizeOfAPool(t *testing.T) {
	m := NewMixPlanner(DefaultMixOptions(boot))
	for halls, most := range map[int]float64{2: 4, 3: 12, 4: 24} {
		for need := 0.1; need < 60; need += 0.1 {
			assert.Equal(t, need > most+0.05, m.lossExceedsSpares(need, halls), "need %.1f, %d halls", need, halls)
		}
	}
	assert.False(t, m.lossExceedsSpares(1000, 1), "none stands for a hall that is alone")
}

// TestSizeDoesNotFlap: a need that swings around the size from which a loss exceeds the spares.
func TestSizeDoesNotFlap(t *testing.T) {
	m, halls, changes := NewMixPlanner(DefaultMixOptions(boot)), threeHalls(0, 0), 0
	last := false
	for now := time.Duration(0); now < 5*time.Minute; now += time.Second {
		need := 15.0
		if now/time.Second%40 >= 10 {
			need = 9
		}
		counts := plan(m, now, need*m.o.TargetUse.Prefill, roomSpec, halls)
		for i, c := range counts {
			halls[i].OnDemand, halls[i].Reclaimable = c.OnDemand, c.Reclaimable
		}
		if m.exceedsSpares != last {
			changes, last = changes+1, m.exceedsSpares
		}
	}
	assert.True(t, last)
	assert.Equal(t, 1, changes)
}

// TestPoolBecomesSmallAgain: once neither need nor on-demand upstreams were large for the longest hold.
func TestPoolBecomesSmallAgain(t *testing.T) {
	m, halls := NewMixPlanner(DefaultMixOptions(boot)), threeHalls(0, 6)
	now := time.Duration(0)
	serve := func(need float64, d time.Duration) {
		for end := now + d; now < end; now += time.Second {
			plan(m, now, need*m.o.TargetUse.Prefill, largeSpec, halls)
		}
	}
	serve(30, time.Minute)
	assert.False(t, m.Planned().Small)
	assert.Positive(t, m.Planned().Hold)
	serve(4, sizeHoldBoots*boot)
	assert.False(t, m.Planned().Small, "for as long as the longest hold")
	serve(4, m.o.ShrinkDelay+2*time.Second)
	assert.True(t, m.Planned().Small)
	assert.Zero(t, m.Planned().Hold)
	assert.Equal(t, ReasonCalm, m.Planned().Reason)
}

// TestPoolThatCantBeLarge: what the halls have no room for doesn't make a pool large.
func TestPoolThatCantBeLarge(t *testing.T) {
	m, s := NewMixPlanner(DefaultMixOptions(boot)), MixSpec{Max: 4, ReclaimablePrice: 0.22}
	for now := time.Duration(0); now < time.Minute; now += time.Second {
		plan(m, now, 40*m.o.TargetUse.Prefill, s, threeHalls(0, 4))
	}
	assert.True(t, m.Planned().Small)
}
