package speed

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"spurhall.example/spurhall/internal/retry"
)

// This file tests what faulty, old and unchanged figures may do.

// TestImpossibleValues: what a faulty node may send is bounded or ignored.
func TestImpossibleValues(t *testing.T) {
	j := NewJoiner()
	for _, x := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 0, 1e300} {
		j.ApplyPart(start, "r", "s", Part{Upstream: idOf(1), Log: x, Spread: x, Weight: x, Nodes: 1})
		v := Figure{Speed: x, Weight: x}.Valid()
		assert.True(t, v.Speed > 0.3 && v.Speed < 3.1, "%v of %v", v, x)
		assert.False(t, math.IsNaN(v.Weight) || math.IsInf(v.Weight, 0) || v.Weight < 0)
		NewObserver().Observe(start, "s", idOf(1), x, 1)
	}
	h := HistogramOf([]uint32{0, 9999, 3}, []float32{float32(math.NaN()), 1, -4})
	assert.Zero(t, h.Weight())
	_, known := j.Figure(idOf(1))
	assert.False(t, known)
}

// partOf returns the part of some nodes that each have seen twelve responses.
func partOf(upstream int, log float64, nodes int) Part {
	return Part{Upstream: idOf(upstream), Log: log, Spread: 0.3, Weight: nodeWeight * float64(nodes), Nodes: nodes}
}

// believed returns the figure of the first of five upstreams whose parts are sent again for some time.
func believed(parts map[string]Part) Figure {
	j := NewJoiner()
	now := start
	for ; now.Before(start.Add(20 * time.Second)); now = now.Add(time.Second) {
		for i := 1; i < 5; i++ {
			j.ApplyPart(now, "r", "s", partOf(i, 0, 10))
		}
		for source, p := range parts {
			j.ApplyPart(now, source, "s", p)
		}
		j.Update(now)
	}
	f, _ := j.Figure(idOf(0))
	return f
}

// TestPartsAreBounded: no part counts for more than its nodes may, nor for many times as much a node as the others.
func TestPartsAreBounded(t *testing.T) {
	liar := partOf(0, 1, 1)
	liar.Weight = 9e5
	t.Run("alone", func(t *testing.T) {
		f := believed(map[string]Part{"liar": liar})
		assert.True(t, f.Usual())
		assert.LessOrEqual(t, f.Weight, float64(nodeWeight))
	})
	t.Run("beside others", func(t *testing.T) {
		others := partOf(0, 0, 20)
		others.Weight = 15
		f := believed(map[string]Part{"liar": liar, "others": others})
		assert.True(t, f.Usual())
		assert.Less(t, f.Weight, 20.0)
	})
	t.Run("two nodes at two joiners", func(t *testing.T) {
		assert.True(t, believed(map[string]Part{"a": partOf(0, 1, 1), "b": partOf(0, 1, 1)}).Usual())
	})
	t.Run("three nodes suffice", func(t *testing.T) {
		assert.Less(t, believed(map[string]Part{"a": partOf(0, 0.6, 1), "b": partOf(0, 0.6, 2)}).Speed, 0.7)
	})
}

// TestNodeCountsAtOneJoiner: what a node has seen counts at the joiner that it reports to now, and at no other one.
func TestNodeCountsAtOneJoiner(t *testing.T) {
	former, current := NewJoiner(), NewJoiner()
	seen := Seen{Upstream: idOf(0), Ratios: HistogramOf([]uint32{sideBins}, []float32{nodeWeight})}
	now, moved := start, start.Add(5*time.Second)
	for ; now.Before(moved.Add(5 * time.Second)); now = now.Add(250 * time.Millisecond) {
		at := former
		if now.After(moved) {
			at = current
		}
		at.ApplySeen(now, "n", "s", seen)
		former.Update(now)
		for _, p := range former.Parts(now, "current") {
			current.ApplyPart(now, "former", "s", p)
		}
		current.Update(now)
		if now.After(moved.Add(nodeTTL + partEvery + combineEvery)) {
			f, _ := current.Figure(idOf(0))
			assert.LessOrEqual(t, f.Weight, float64(nodeWeight), "%v after its move", now.Sub(moved))
		}
	}
}

// TestOldEvidenceIsSentAsOld: a part that wasn't sent for some time has the weight that is left of it.
func TestOldEvidenceIsSentAsOld(t *testing.T) {
	j := NewJoiner()
	for node := range 3 {
		j.ApplySeen(start, fmt.Sprint("n", node), "s", Seen{Upstream: idOf(0), Ratios: HistogramOf([]uint32{sideBins}, []float32{8})})
	}
	j.Update(start)
	l := j.Parts(start.Add(2*halfLife), "r")
	if assert.Len(t, l, 1) {
		assert.InDelta(t, 6, l[0].Weight, 1e-3)
		assert.Equal(t, 3, l[0].Nodes)
	}
	assert.Empty(t, j.Parts(start.Add(6*halfLife), "another"))
}

// TestRefreshesTakeTurns: many figures that don't change are all sent again in time, though they are computed anew
// between the messages.
func TestRefreshesTakeTurns(t *testing.T) {
	j := NewJoiner()
	const upstreams = 6000
	const round = 250 * time.Millisecond
	now := start
	last, longest := make(map[retry.Incarnation]time.Time), time.Duration(0)
	for k := 0; now.Before(start.Add(70 * time.Second)); k++ {
		for i := k % 8; i < upstreams; i += 8 {
			j.ApplyPart(now, "r", "s", partOf(i, 0.5*float64(i%3-1), 10))
		}
		j.Update(now)
		for _, v := range j.Figures(now, "n") {
			if at, ok := last[v.Upstream]; ok {
				longest = max(longest, now.Sub(at))
			}
			last[v.Upstream] = now
		}
		now = now.Add(round)
	}
	assert.Len(t, last, upstreams*2/3)
	for _, at := range last {
		longest = max(longest, now.Sub(at))
	}
	assert.Less(t, longest, FigureTTL)
}

// TestReturnIsRefreshed: a node that the return of a figure to the usual didn't reach is told again.
func TestReturnIsRefreshed(t *testing.T) {
	j := NewJoiner()
	now, usualAt := start, time.Time{}
	var told []Figure
	for ; now.Before(start.Add(100 * time.Second)); now = now.Add(250 * time.Millisecond) {
		log := 0.5
		if now.After(start.Add(20 * time.Second)) {
			log = 0
		}
		j.ApplyPart(now, "r", "s", partOf(0, log, 10))
		for i := 1; i < 5; i++ {
			j.ApplyPart(now, "r", "s", partOf(i, 0, 10))
		}
		j.Update(now)
		f, _ := j.Figure(idOf(0))
		if usualAt.IsZero() && f.Usual() && now.After(start.Add(20*time.Second)) {
			usualAt = now
		}
		l := j.Figures(now, "n")
		if !usualAt.IsZero() {
			told = append(told, l...)
		}
	}
	assert.GreaterOrEqual(t, len(told), 1+int(FigureTTL/refreshEvery)-1)
	assert.LessOrEqual(t, len(told), 2+int(FigureTTL/refreshEvery), "the change, and a refresh that was nearly due")
	for _, v := range told {
		assert.True(t, v.Usual())
	}
}
