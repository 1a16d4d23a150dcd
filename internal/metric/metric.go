// Package metric keeps latency histograms under expvar and writes everything expvar
// holds as text, a figure a line.
//
// Histograms are of fixed buckets, each twice as wide as the one before: an observation
// is one atomic add, and figures of several nodes can be added up.
package metric

import (
	"encoding/json"
	"expvar"
	"fmt"
	"io"
	"math/bits"
	"sort"
	"sync"
	"sync/atomic"
	"time"
)

// buckets is the number of buckets; bucket i ends at 2^i milliseconds, the last one
// holds everything above.
const buckets = 18

// Histogram counts durations. It is safe for concurrent use.
type Histogram struct {
	counts [buckets]atomic.Int64
	sum    atomic.Int64
}

// Observe counts one duration.
func (h *Histogram) Observe(d time.Duration) {
	ms := uint64(max(0, d.Milliseconds()))
	h.counts[min(bits.Len64(ms), buckets-1)].Add(1)
	h.sum.Add(int64(d))
}

// String returns the histogram as JSON: cumulative counts by upper bound in
// milliseconds, the count and the sum in seconds.
func (h *Histogram) String() string {
	n := int64(0)
	m := map[string]any{}
	for i := range h.counts {
		n += h.counts[i].Load()
		name := "+Inf"
		if i < buckets-1 {
			name = fmt.Sprint(1 << i)
		}
		m[name] = n
	}
	b, _ := json.Marshal(map[string]any{"bucket_ms": m, "count": n, "sum_seconds": time.Duration(h.sum.Load()).Seconds()}) // numbers and strings can't fail
	return string(b)
}

// Histograms is a set of histograms by name.
type Histograms struct {
	mu   sync.Mutex
	vars *expvar.Map
	set  map[string]*Histogram
}

// NewHistograms publishes an empty set under a name.
func NewHistograms(name string) *Histograms {
	return &Histograms{vars: expvar.NewMap(name), set: make(map[string]*Histogram)}
}

// Observe counts one duration in the histogram of a name.
func (s *Histograms) Observe(name string, d time.Duration) {
	s.mu.Lock()
	h := s.set[name]
	if h == nil {
		h = new(Histogram)
		s.set[name] = h
		s.vars.Set(name, h)
	}
	s.mu.Unlock()
	h.Observe(d)
}

// WriteText writes every number that expvar holds but the runtime's own, a line each,
// with the names on the way to it joined by underscores:
//
//	spurhall_forward_requests 1041
func WriteText(w io.Writer) error {
	var lines []string
	expvar.Do(func(v expvar.KeyValue) {
		if v.Key == "cmdline" || v.Key == "memstats" {
			return
		}
		var x any
		if err := json.Unmarshal([]byte(v.Value.String()), &x); err != nil {
			lines = append(lines, fmt.Sprintf("# %s: %v", v.Key, err))
			return
		}
		lines = flatten(lines, "spurhall_"+v.Key, x)
	})
	sort.Strings(lines)
	for _, l := range lines {
		if _, err := fmt.Fprintln(w, l); err != nil {
			return err
		}
	}
	return nil
}

func flatten(lines []string, name string, x any) []string {
	switch v := x.(type) {
	case map[string]any:
		for k, y := range v {
			lines = flatten(lines, name+"_"+k, y)
		}
	case float64:
		lines = append(lines, fmt.Sprintf("%s %v", name, v))
	case bool:
		lines = append(lines, fmt.Sprintf("%s %v", name, v))
	}
	return lines
}
