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

// This file tests joiners that exchange parts and send figures.

// relayed is a fleet whose nodes report to three relays, which also send a node the figures. Messages are lost,
// repeated and reordered.
type relayed struct {
	*fleet
	random  *rand.Rand
	relays  []*Joiner
	figures map[retry.Incarnation]Figure
	loss    float64
}

func newRelayed(seed uint64, speeds ...float64) *relayed {
	r := &relayed{
		fleet: newFleet(seed, 30, speeds...), random: rand.New(rand.NewPCG(seed, 8)), relays: []*Joiner{NewJoiner(), NewJoiner(), NewJoiner()},
		figures: make(map[retry.Incarnation]Figure), loss: 0.3,
	}
	r.report = func(node int, l []Seen) []Seen {
		for _, s := range l {
			for range r.copies() {
				r.relays[node%3].ApplySeen(r.now, fmt.Sprint("n", node), "s", s)
			}
		}
		return l
	}
	return r
}

// copies returns how often a message arrives.
func (r *relayed) copies() int {
	if r.random.Float64() < r.loss {
		return 0
	}
	return 1 + r.random.IntN(2)
}

func (r *relayed) swap(from, to int) {
	parts := r.relays[from].Parts(r.now, fmt.Sprint("r", to))
	r.random.Shuffle(len(parts), func(x, y int) { parts[x], parts[y] = parts[y], parts[x] })
	for range r.copies() {
		for _, p := range parts {
			r.relays[to].ApplyPart(r.now, fmt.Sprint("r", from), "s", p)
		}
	}
}

func (r *relayed) playRelays(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.play(250*time.Millisecond, 240)
		for i, a := range r.relays {
			for k := range r.relays {
				if i != k {
					r.swap(i, k)
				}
			}
			a.Update(r.now)
		}
		l := r.relays[0].Figures(r.now, "n0")
		for range r.copies() {
			for _, v := range l {
				r.figures[v.Upstream] = v
			}
		}
	}
}

// TestJoinersAgree: relays whose nodes see a part of the responses each come to the same figures, and so do the nodes
// that they send them to, whatever messages were lost, repeated or reordered.
func TestJoinersAgree(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			r := newRelayed(seed, threeSpeeds(12)...)
			r.playRelays(20 * time.Second)
			r.loss = 0
			r.playRelays(refreshEvery + centreEvery)
			for i, want := range r.speeds {
				for _, j := range r.relays {
					v, _ := j.Figure(idOf(i))
					assert.InDelta(t, 0, math.Log(v.Speed/want), math.Log(1.3), "upstream %d of speed %g is believed to have %g", i, want, v.Speed)
				}
				if want != 1 {
					assert.InDelta(t, 0, math.Log(r.figures[idOf(i)].Speed/want), math.Log(1.3), "upstream %d of speed %g is believed to have %g", i, want, r.figures[idOf(i)].Speed)
				}
			}
		})
	}
}

// TestMergeIsOrderFree: what is believed depends on what was reported last by each node, not on the order of the
// nodes' reports, nor on repetitions.
func TestMergeIsOrderFree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type message struct {
			node string
			seen Seen
		}
		var list []message
		for node := range rapid.IntRange(1, 8).Draw(t, "nodes") {
			for u := range rapid.IntRange(1, 5).Draw(t, "upstreams") {
				steps := rapid.SliceOfN(rapid.Uint32Range(0, bins-1), 1, 5).Draw(t, "steps")
				counts := make([]float32, len(steps))
				for i := range counts {
					counts[i] = float32(rapid.IntRange(1, 8).Draw(t, "count"))
				}
				list = append(list, message{fmt.Sprint(node), Seen{Upstream: idOf(u), Ratios: HistogramOf(steps, counts)}})
			}
		}
		apply := func(list []message) *Joiner {
			j := NewJoiner()
			for _, m := range list {
				j.ApplySeen(start, m.node, "s", m.seen)
			}
			j.Update(start)
			return j
		}
		a, b := apply(list), apply(append(rapid.Permutation(list).Draw(t, "order"), list...))
		for u := range 5 {
			x, _ := a.Figure(idOf(u))
			y, _ := b.Figure(idOf(u))
			if math.Abs(x.Speed-y.Speed) > 1e-4 || math.Abs(x.Weight-y.Weight) > 1e-3 {
				t.Fatalf("%+v, %+v", x, y)
			}
		}
	})
}

// TestMessagesAreBounded: ten thousand upstreams that all differ neither exceed a message nor starve each other.
func TestMessagesAreBounded(t *testing.T) {
	j := NewJoiner()
	const upstreams = 10_000
	now := start
	for i := range upstreams {
		j.ApplyPart(now, "r", "s", Part{Upstream: idOf(i), Log: 0.5 * float64(i%3-1), Spread: 0.3, Weight: 100, Nodes: 10})
		j.ApplySeen(now, "n", "s", Seen{Upstream: idOf(i), Ratios: HistogramOf([]uint32{sideBins}, []float32{5})})
	}
	for d := time.Duration(0); d <= centreEvery+lastingAfter; d += time.Second {
		j.Heard(now.Add(d), "n")
		j.Update(now.Add(d))
	}
	now = now.Add(centreEvery + lastingAfter)
	figures, parts := make(map[retry.Incarnation]bool), make(map[retry.Incarnation]bool)
	for range upstreams / maxParts * 2 {
		l := j.Figures(now, "n")
		assert.LessOrEqual(t, len(l), maxFigures)
		for _, v := range l {
			figures[v.Upstream] = true
		}
		p := j.Parts(now, "r")
		assert.LessOrEqual(t, len(p), maxParts)
		for _, v := range p {
			parts[v.Upstream] = true
		}
	}
	assert.GreaterOrEqual(t, len(figures), upstreams*2/3)
	assert.Len(t, parts, upstreams)
	assert.Empty(t, j.Figures(now, "n"), "nothing has changed since")
	for i := range upstreams + 5000 {
		j.ApplySeen(now, "another", "s", Seen{Upstream: idOf(i)})
	}
	assert.LessOrEqual(t, len(j.upstreams), maxUpstreams)
	assert.LessOrEqual(t, j.histograms, maxHistograms)
}
