package speed

import (
	"math"
	"time"
)

const (
	// binWidth is the width of a bin, as a logarithm: a tenth more.
	binWidth = 0.1
	sideBins = 20
	bins     = 2*sideBins + 1
	// histogramLimit is the logarithm of the greatest ratio that is distinguished.
	histogramLimit = binWidth * sideBins
)

// Histogram counts ratios by their logarithms. The counts decay.
type Histogram struct {
	counts [bins]float32
	at     time.Time // as of which the counts are
}

// add adds a ratio's logarithm.
func (h *Histogram) add(now time.Time, x float64) {
	h.fade(now)
	h.counts[binOf(x)]++
}

func binOf(x float64) int {
	return int(math.Round(min(max(x, -histogramLimit), histogramLimit)/binWidth)) + sideBins
}

// fade brings the counts to a time.
func (h *Histogram) fade(now time.Time) {
	if d := now.Sub(h.at); d > 0 && !h.at.IsZero() {
		f := float32(decay(d))
		for i := range h.counts {
			h.counts[i] *= f
		}
	}
	if now.After(h.at) {
		h.at = now
	}
}

// addAll adds another histogram's counts, each multiplied by a factor.
func (h *Histogram) addAll(o *Histogram, factor float64) {
	for i, n := range o.counts {
		h.counts[i] += n * float32(factor)
	}
}

// Weight returns the sum of the counts.
func (h *Histogram) Weight() float64 {
	sum := float32(0)
	for _, n := range h.counts {
		sum += n
	}
	return float64(sum)
}

// quantile returns the logarithm below which a share of the counts lies.
func (h *Histogram) quantile(share float64) float64 {
	want, sum := share*h.Weight(), 0.0
	for i, n := range h.counts {
		if n > 0 && sum+float64(n) >= want {
			return binWidth * (float64(i-sideBins) - 0.5 + (want-sum)/float64(n))
		}
		sum += float64(n)
	}
	return 0
}

// spread returns the standard error of the compared quantile for a weight of one.
func (h *Histogram) spread() float64 {
	width := (h.quantile(highQuantile) - h.quantile(lowQuantile)) / (highQuantile - lowQuantile)
	return max(minSpread, width*math.Sqrt(quantile*(1-quantile)))
}

// Counts returns the counts that aren't zero, by bin.
func (h *Histogram) Counts() (steps []uint32, counts []float32) {
	for i, n := range h.counts {
		if n > 0 {
			steps, counts = append(steps, uint32(i)), append(counts, n)
		}
	}
	return steps, counts
}

// HistogramOf returns the histogram with the given counts. Impossible ones, as from a faulty node, are left out.
func HistogramOf(steps []uint32, counts []float32) Histogram {
	var h Histogram
	for i, s := range steps {
		if i < len(counts) && s < bins && counts[i] > 0 && counts[i] < 1e6 {
			h.counts[s] = counts[i]
		}
	}
	return h
}
