package measure

import (
	"fmt"
	"testing"

	"spurhall.example/spurhall/internal/route"
)

const seeds = 5

// report runs one column over the seeds and reports medians, and how far the
// recomputed share is spread.
func report(b *testing.B, sc scenario, p policy, o route.Options) {
	b.Helper()
	var share, first, between, money []float64
	for i := 0; i < b.N; i++ {
		share, first, between, money = nil, nil, nil, nil
		for s := int64(1); s <= seeds; s++ {
			r := replay(sc, s, p, o)
			share = append(share, 100*r.recomputed/r.reusable)
			first = append(first, r.first)
			between = append(between, r.between)
			money = append(money, 1e6*r.money/r.answerToken)
		}
	}
	b.ReportMetric(quantile(share, 0.5), "recomputed_%")
	b.ReportMetric(quantile(share, 1)-quantile(share, 0), "spread_%")
	b.ReportMetric(quantile(first, 0.5), "first_p95_ms")
	b.ReportMetric(quantile(between, 0.5), "between_p95_ms")
	b.ReportMetric(quantile(money, 0.5), "money/Mtok")
	b.ReportMetric(0, "ns/op")
}

func today() scenario {
	return scenario{engines: 10, nodes: 8, lag: 1, rate: 2, seconds: 400}
}

func BenchmarkRouting(b *testing.B) {
	cases := []struct {
		name string
		edit func(s *scenario)
	}{
		{"lag=1s", func(*scenario) {}},
		{"lag=0s", func(s *scenario) { s.lag = 0 }},
		{"lag=10s", func(s *scenario) { s.lag = 10 }},
		{"oneslow", func(s *scenario) { s.slow = 1 }},
		{"oneslow,measured", func(s *scenario) { s.slow, s.learnt = 1, true }},
		{"busy", func(s *scenario) { s.rate = 3.5 }},
		{"70engines", func(s *scenario) { s.engines, s.nodes, s.rate, s.seconds = 70, 40, 14, 150 }},
	}
	columns := []struct {
		name string
		p    policy
		o    route.Options
	}{
		{"affinity", ours, route.Options{}},
		{"round-robin", ours, route.Options{Policy: route.PolicyRoundRobin}},
		{"least-in-flight", ours, route.Options{Policy: route.PolicyLeast}},
		{"two-choices", ours, route.Options{Policy: route.PolicyTwoChoices}},
		{"shared-index", index, route.Options{}},
		{"all-knowing", knowing, route.Options{}},
	}
	for _, c := range cases {
		for _, k := range columns {
			b.Run(fmt.Sprintf("%s/%s", c.name, k.name), func(b *testing.B) {
				sc := today()
				c.edit(&sc)
				report(b, sc, k.p, k.o)
			})
		}
	}
}

func BenchmarkSpread(b *testing.B) {
	for _, n := range []int{0, 1, 2, 3, 5, 10} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { report(b, today(), ours, route.Options{SetSize: n}) })
	}
}

// BenchmarkWeights runs the same traffic under each user's weights, with two VM
// classes at prices 1 and 3, of which the cheap one is reclaimable.
func BenchmarkWeights(b *testing.B) {
	for _, c := range []struct {
		name string
		w    [2]float64
	}{{"print-host", [2]float64{1e7, 0.05}}, {"courier", [2]float64{5e4, 0.5}}, {"neither", [2]float64{0.0001, 0}}} {
		b.Run(c.name, func(b *testing.B) {
			sc := today()
			sc.prices, sc.weights = true, c.w
			report(b, sc, ours, route.Options{})
		})
	}
}

func BenchmarkPick70(b *testing.B) {
	sc := scenario{engines: 70, nodes: 1, lag: 1}
	list := make([]route.Candidate, sc.engines)
	for i := range list {
		id := fmt.Sprintf("upstream-%d", i)
		list[i] = route.Candidate{ID: id, Hash: route.HashID(id), Slots: 8, Load: int32(i % 8), Price: 1}
	}
	r := route.New(route.Options{})
	r.SetWeights(100, 0.1)
	p := &route.Prompt{Shared: 1, SharedTokens: 400, Conversation: 2, ReusableTokens: 1000, Tokens: 1200, MaxTokens: 100}
	b.ReportAllocs()
	for i := 0; i < b.N; i++ {
		p.Conversation = uint64(i % 1000)
		r.Pick(p, list)
	}
}
