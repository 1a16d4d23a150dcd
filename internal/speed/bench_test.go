package speed

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkUpdate computes the figures of a relay of 24 nodes, each of which reports 30 upstreams a round.
func BenchmarkUpdate(b *testing.B) {
	for _, upstreams := range []int{60, 1000, 10_000} {
		b.Run(fmt.Sprint(upstreams, " upstreams"), func(b *testing.B) {
			j := NewJoiner()
			h := HistogramOf([]uint32{sideBins - 2, sideBins, sideBins + 3}, []float32{1, 2, 1})
			now, next := start, 0
			for i := range upstreams {
				j.ApplyPart(now, "r", "s", Part{Upstream: idOf(i), Log: 0.5 * float64(i%3-1), Spread: 0.3, Weight: 1e5})
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(250 * time.Millisecond)
				for node := range 24 {
					for range 30 {
						next = (next + 7) % upstreams
						j.ApplySeen(now, fmt.Sprint(node), "s", Seen{Upstream: idOf(next), Ratios: h})
					}
				}
				j.Update(now)
				for node := range 24 {
					j.Figures(now, fmt.Sprint(node))
				}
			}
		})
	}
}
