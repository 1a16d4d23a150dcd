package rollout

import (
	"math"
	"slices"
)

// This file counts what answers were like. Counts only grow and add up, so they can be told
// by any number of nodes in any order, and their bytes don't grow with the fleet: a cell a
// route and a group of upstreams.
//
// The target's upstreams fall into groups, so that one that is ill can be told apart from a
// version that is bad: see judge.go.
//
// Weighed: quantile sketches of a library. They are exact to a few hundredths, and ten times
// the bytes; the question here is only whether a version is twice as slow, for which steps of
// a factor of 1.4 do.

const (
	// groupInService is the cell of the version in service; the target's follow.
	groupInService = 0
	// targetGroups is the groups that the target's upstreams fall into: one of four that is
	// ill leaves three to judge by.
	targetGroups = 4
	groups       = 1 + targetGroups
	// buckets and bucketsAnOctave cover times from a 16th of the expected one to 64 times it.
	buckets         = 20
	bucketsAnOctave = 2
	lowestOctave    = -4
)

// Histogram counts times, in steps of a factor of the square root of two.
type Histogram [buckets]int64

// add counts one time, relative to what was expected.
func (h *Histogram) add(x float64) {
	if x <= 0 || math.IsNaN(x) {
		return
	}
	i := int(math.Floor(bucketsAnOctave * (math.Log2(x) - lowestOctave)))
	h[min(max(i, 0), buckets-1)]++
}

func (h *Histogram) plus(o *Histogram) {
	for i := range h {
		h[i] += o[i]
	}
}

// Counts returns a copy of the counts, up to the last step that has any.
func (h *Histogram) Counts() []int64 {
	n := len(h)
	for n > 0 && h[n-1] == 0 {
		n--
	}
	return slices.Clone(h[:n])
}

// HistogramOf returns the histogram of such counts; what is beyond its steps is passed over.
func HistogramOf(counts []int64) Histogram {
	var h Histogram
	copy(h[:], counts)
	return h
}

// sum is how many times there are.
func (h *Histogram) sum() float64 {
	n := 0.0
	for _, x := range h {
		n += float64(x)
	}
	return n
}

// Cell is the answers of one route at one group of upstreams.
type Cell struct {
	Responses int64     // that have begun, or failed before
	Failed  int64     // of these: failures, and answers that broke off, maybe later
	First   Histogram // times to the first event, or to the head
	Pace    Histogram // pauses between the first events of a stream
}

func (c *Cell) plus(o *Cell) {
	c.Responses += o.Responses
	c.Failed += o.Failed
	c.First.plus(&o.First)
	c.Pace.plus(&o.Pace)
}

// Row is the cells of one route.
type Row [groups]Cell

// target is the sum of the target's cells.
func (r *Row) target() Cell {
	var c Cell
	for i := groupInService + 1; i < groups; i++ {
		c.plus(&r[i])
	}
	return c
}

// Tally is what answers were like, by route.
type Tally map[string]*Row

// row returns a route's cells to be changed.
func (t Tally) row(route string) *Row {
	r := t[route]
	if r == nil {
		r = &Row{}
		t[route] = r
	}
	return r
}

// Cells calls f for each cell that has anything.
func (t Tally) Cells(f func(route string, group int, c *Cell)) {
	for route, r := range t {
		for i := range r {
			if r[i] != (Cell{}) {
				f(route, i, &r[i])
			}
		}
	}
}

// Set sets a cell; a group that there isn't is passed over. A cell that has nothing makes no row: such
// a tally would be told without it, and what is heard would differ from what was meant.
func (t Tally) Set(route string, group int, c Cell) {
	if group < 0 || group >= groups || t[route] == nil && c == (Cell{}) {
		return
	}
	t.row(route)[group] = c
}

// Plus returns the sum of both, which shares nothing with them.
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

// Answers returns how many answers of the target there are, and how many of them failed.
func (t Tally) Responses() (all, failed int64) {
	for _, r := range t {
		c := r.target()
		all += c.Responses
		failed += c.Failed
	}
	return all, failed
}

// groupOf is the group of the target's upstream of that rank; nodes rank them alike.
func groupOf(rank int) int { return 1 + rank%targetGroups }
