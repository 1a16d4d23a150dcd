package speed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"spurhall.example/spurhall/internal/retry"
)

var start = time.Unix(1_700_000_000, 0)

func idOf(i int) retry.Incarnation { return retry.Incarnation{ID: fmt.Sprint("u", i), Born: 1} }

// fleet is nodes that observe upstreams and report to one joiner.
type fleet struct {
	random *rand.Rand
	nodes  []*Observer
	joiner *Joiner
	speeds []float64                                   // true ones
	ratio  func(node, upstream int, x float64) float64 // what a node makes of a ratio
	report func(node int, list []Seen) []Seen          // what it reports
	now    time.Time
	gone   map[int]bool // upstreams that get no requests
}

func newFleet(seed uint64, nodes int, speeds ...float64) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 7)), joiner: NewJoiner(), speeds: speeds, now: start, gone: make(map[int]bool),
		ratio: func(_, _ int, x float64) float64 { return x }, report: func(_ int, l []Seen) []Seen { return l },
	}
	for range nodes {
		f.nodes = append(f.nodes, NewObserver())
	}
	return f
}

// noise is a ratio at a usual upstream: queues that the node didn't know of make it longer.
func (f *fleet) noise() float64 {
	x := 1 + 0.1*f.random.Float64()
	if f.random.Float64() < 0.5 {
		x += 1.5 * f.random.ExpFloat64()
	}
	return x
}

// play lets so many requests a second come for a time.
func (f *fleet) play(d time.Duration, rate int) {
	const round = 250 * time.Millisecond
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(round) {
		for range rate / 4 {
			node, i := f.random.IntN(len(f.nodes)), f.random.IntN(len(f.speeds))
			if f.gone[i] {
				continue
			}
			f.nodes[node].Observe(f.now, "s", idOf(i), f.ratio(node, i, f.noise()/f.speeds[i]), f.speed(i))
		}
		for k, o := range f.nodes {
			for _, s := range f.report(k, o.Recent(f.now)) {
				f.joiner.ApplySeen(f.now, fmt.Sprint("n", k), "s", s)
			}
		}
		f.joiner.Update(f.now)
	}
}

func (f *fleet) speed(i int) float64 {
	v, _ := f.joiner.Figure(idOf(i))
	return v.Speed
}

// assertSpeeds checks that each upstream is believed to have its true speed.
func assertSpeeds(t *testing.T, f *fleet, factor float64) {
	t.Helper()
	for i, want := range f.speeds {
		if f.gone[i] {
			continue
		}
		if want == 1 {
			assert.Equal(t, 1.0, f.speed(i), "upstream %d", i)
			continue
		}
		assert.InDelta(t, 0, math.Log(f.speed(i)/want), math.Log(factor), "upstream %d of speed %g is believed to have %g", i, want, f.speed(i))
	}
}

func threeSpeeds(n int) []float64 {
	speeds := make([]float64, n)
	for i := range speeds {
		speeds[i] = []float64{1, 0.6, 1.6}[i%3]
	}
	return speeds
}

func equalSpeeds(n int) []float64 {
	speeds := make([]float64, n)
	for i := range speeds {
		speeds[i] = 1
	}
	return speeds
}

func TestSpeedsAreLearned(t *testing.T) {
	for name, v := range map[string]struct{ nodes, upstreams, rate int }{
		"73 nodes, 60 upstreams": {73, 60, 600},
		"5 nodes, 9 upstreams":   {5, 9, 80},
		"3 nodes, 6 upstreams":   {3, 6, 60},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(1, v.nodes, threeSpeeds(v.upstreams)...)
			f.play(20*time.Second, v.rate)
			assertSpeeds(t, f, 1.25)
		})
	}
	t.Run("two nodes alone don't condemn", func(t *testing.T) {
		f := newFleet(1, 2, threeSpeeds(6)...)
		f.play(30*time.Second, 100)
		for i := range f.speeds {
			assert.Equal(t, 1.0, f.speed(i))
		}
	})
}

// TestEqualUpstreamsRemainEqual: noise alone never makes an upstream differ from the usual.
func TestEqualUpstreamsRemainEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 24).Draw(t, "nodes"), equalSpeeds(rapid.IntRange(1, 20).Draw(t, "upstreams"))...)
		rate := rapid.IntRange(8, 400).Draw(t, "rate")
		for range 10 {
			f.play(2*time.Second, rate)
			for i := range f.speeds {
				if f.speed(i) != 1 {
					t.Fatalf("upstream %d counts as %.2f times as fast", i, f.speed(i))
				}
			}
		}
	})
}

// TestPassingSlownessIsNotLasting: an upstream that is slow for a moment now and then remains a usual one.
func TestPassingSlownessIsNotLasting(t *testing.T) {
	f := newFleet(3, 30, equalSpeeds(20)...)
	f.ratio = func(_, upstream int, x float64) float64 {
		if phase := (f.now.Sub(start) + time.Duration(upstream)*time.Second) % (6 * time.Second); phase < 600*time.Millisecond {
			return 2.5 * x
		}
		return x
	}
	for range 20 {
		f.play(2*time.Second, 200)
		assertSpeeds(t, f, 1)
	}
}

// TestOneNode: neither a node that reports falsehoods nor one behind a slow link changes what is believed.
func TestOneNode(t *testing.T) {
	for name, lies := range map[string]int{"one upstream is slow": sideBins + 15, "one upstream is fast": sideBins - 15} {
		t.Run("a liar that says that "+name, func(t *testing.T) {
			f := newFleet(4, 10, equalSpeeds(12)...)
			f.report = func(node int, l []Seen) []Seen {
				if node == 0 {
					l = append(l, Seen{Upstream: idOf(5), Ratios: HistogramOf([]uint32{uint32(lies)}, []float32{9e5})})
				}
				return l
			}
			f.play(30*time.Second, 300)
			assertSpeeds(t, f, 1)
		})
		t.Run("alone, "+name, func(t *testing.T) {
			j := NewJoiner()
			for i := range 300 {
				now := start.Add(time.Duration(i) * 250 * time.Millisecond)
				j.ApplySeen(now, "liar", "s", Seen{Upstream: idOf(1), Ratios: HistogramOf([]uint32{uint32(lies)}, []float32{9e5})})
				j.ApplySeen(now, "liar", "s", Seen{Upstream: idOf(2), Ratios: HistogramOf([]uint32{sideBins}, []float32{9e5})})
				j.Update(now)
				v, _ := j.Figure(idOf(1))
				assert.True(t, v.Usual())
			}
		})
	}
	t.Run("a slow link", func(t *testing.T) {
		f := newFleet(5, 4, equalSpeeds(6)...)
		f.ratio = func(node, upstream int, x float64) float64 {
			if node == 0 {
				return 3 * x
			}
			return x
		}
		f.play(30*time.Second, 100)
		assertSpeeds(t, f, 1)
	})
}

// TestSpeedsFade: an upstream that no request goes to is a usual one again within a minute, and one that is as fast
// as the others again counts as such.
func TestSpeedsFade(t *testing.T) {
	f := newFleet(6, 20, threeSpeeds(12)...)
	f.play(30*time.Second, 200)
	assert.Less(t, f.speed(1), 0.75)
	f.gone[1], f.speeds[4] = true, 1
	f.play(10*time.Second, 200)
	assert.Less(t, f.speed(1), 0.75, "not at once")
	f.play(50*time.Second, 200)
	assert.Equal(t, 1.0, f.speed(1))
	assertSpeeds(t, f, 1.25)
}
