package rollout

import (
	"math"
	"slices"
)

// This file counts responses. Counts only grow and add up, so any number of nodes can report them in any
// order, and their size does not grow with the fleet: one cell per route and group of upstreams.
//
// The target's upstreams are split into groups, so that an unhealthy upstream can be told apart from a bad
// version: see judge.go.
//
// Alternatives considered: quantile sketches from a library. They are exact to a few hundredths and take ten
// times the bytes; the question here is only whether a version is twice as slow, for which buckets of a factor
// of 1.4 are enough.

const (
	// groupInService is the cell of the version in service; the target's cells follow.
	groupInService = 0
	// targetGroups is the number of groups of the target's upstreams: with one of four unhealthy, three are
	// left to judge by.
	targetGroups = 4
	groups       = 1 + targetGroups
	// buckets and bucketsPerOctave cover times from a 16th of the expected one to 64 times it.
	buckets          = 20
	bucketsPerOctave = 2
	lowestOctave     = -4
)

// Histogram counts times, in buckets of a factor of the square root of two.
type Histogram [buckets]int64

// add counts one time, relative to the expected one.
func (h *Histogram) add(x float64) {
	if x <= 0 || math.IsNaN(x) {
		return
	}
	i := int(math.Floor(bucketsPerOctave * (math.Log2(x) - lowestOctave)))
	h[min(max(i, 0), buckets-1)]++
}

func (h *Histogram) plus(o *Histogram) {
	for i := range h {
		h[i] += o[i]
	}
}

// Counts returns a copy of the counts, up to the last bucket that is not empty.
func (h *Histogram) Counts() []int64 {
	n := len(h)
	for n > 0 && h[n-1] == 0 {
		n--
	}
	return slices.Clone(h[:n])
}

// HistogramOf returns the histogram of such counts. Counts beyond its buckets are ignored.
func HistogramOf(counts []int64) Histogram {
	var h Histogram
	copy(h[:], counts)
	return h
}

// sum returns the number of times counted.
func (h *Histogram) sum() float64 {
	n := 0.0
	for _, x := range h {
		n += float64(x)
	}
	return n
}

// Cell counts the responses of one route from one group of upstreams.
type Cell struct {
	Responses int64     // that have started, or failed before
	Failed    int64     // of these: failures, and responses that broke off, possibly later
	First     Histogram // times to the first event, or to the head
	Pace      Histogram // pauses between the first events of a stream
}

func (c *Cell) plus(o *Cell) {
	c.Responses += o.Responses
	c.Failed += o.Failed
	c.First.plus(&o.First)
	c.Pace.plus(&o.Pace)
}

// Row is the cells of one route.
type Row [groups]Cell

// target returns the sum of the target's cells.
func (r *Row) target() Cell {
	var c Cell
	for i := groupInService + 1; i < groups; i++ {
		c.plus(&r[i])
	}
	return c
}

// Tally counts responses by route.
type Tally map[string]*Row

// row returns a route's cells for changing; it adds them if they are missing.
func (t Tally) row(route string) *Row {
	r := t[route]
	if r == nil {
		r = &Row{}
		t[route] = r
	}
	return r
}

// Cells calls f for each cell that is not empty.
func (t Tally) Cells(f func(route string, group int, c *Cell)) {
	for route, r := range t {
		for i := range r {
			if r[i] != (Cell{}) {
				f(route, i, &r[i])
			}
		}
	}
}

// Set sets a cell; an unknown group is ignored. An empty cell adds no row: such a tally would be sent without
// the row, and the receiver's copy would differ from the original.
func (t Tally) Set(route string, group int, c Cell) {
	if group < 0 || group >= groups || t[route] == nil && c == (Cell{}) {
		return
	}
	t.row(route)[group] = c
}

// Plus returns the sum of both, which shares no memory with them.
func (t Tally) Plus(o Tally) Tally {
	s := make(Tally, max(len(t), len(o)))
	s.add(t)
	s.add(o)
	return s
}

func (t Tally) add(o Tally) {
	for route, r := range o {
		sum := t.row(route)
		for i := range r {
			sum[i].plus(&r[i])
		}
	}
}

// Responses returns the number of the target's responses, and how many of them failed.
func (t Tally) Responses() (all, failed int64) {
	for _, r := range t {
		c := r.target()
		all += c.Responses
		failed += c.Failed
	}
	return all, failed
}

// groupOf returns the group of the target's upstream of a rank. All nodes rank the upstreams in the same way.
func groupOf(rank int) int { return 1 + rank%targetGroups }

// cellOf returns the cell of a rank; -1 is the version in service.
func cellOf(rank int) int {
	if rank < 0 {
		return groupInService
	}
	return groupOf(rank)
}
