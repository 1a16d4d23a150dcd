package plot

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/joomcode/errorx"
)

var errs = errorx.NewNamespace("plot")

// ErrNoFigures reports that the input has no benchmark with sizes in its name.
var ErrNoFigures = errs.NewType("no_figures").New("no benchmark with sizes in its name")

// Point is one figure at one size.
type Point struct {
	Size  float64
	Label string // the sizes as the benchmark names them
	Value float64
}

// Series is one figure of one benchmark over the sizes.
type Series struct {
	Name   string // of the benchmark, without sizes
	Unit   string
	Points []Point
}

var (
	benchmarkLine = regexp.MustCompile(`^Benchmark(\S+)\s+\d+\s+(.+)$`)
	processors    = regexp.MustCompile(`-\d+$`)
	sizes         = regexp.MustCompile(`(\d+)_([a-z]+)`)
)

// sized is one line of a benchmark whose name ends with sizes.
type sized struct {
	name    string
	label   string
	sizes   []float64
	figures map[string]float64 // by unit
}

// Read returns the figures of benchmarks with sizes in their names, in the order of the input. Benchmarks of one size
// show no growth and are left out.
func Read(r io.Reader) ([]Series, error) {
	var names []string
	lines := make(map[string][]sized)
	s := bufio.NewScanner(r)
	for s.Scan() {
		l, ok := parseLine(s.Text())
		if !ok {
			continue
		}
		if lines[l.name] == nil {
			names = append(names, l.name)
		}
		lines[l.name] = append(lines[l.name], l)
	}
	if err := s.Err(); err != nil {
		return nil, fmt.Errorf("read benchmarks: %w", err)
	}
	var list []Series
	for _, n := range names {
		list = append(list, seriesOf(n, lines[n])...)
	}
	if len(list) == 0 {
		return nil, ErrNoFigures
	}
	return list, nil
}

func parseLine(text string) (sized, bool) {
	m := benchmarkLine.FindStringSubmatch(text)
	if m == nil {
		return sized{}, false
	}
	name := processors.ReplaceAllString(m[1], "")
	i := strings.LastIndex(name, "/")
	found := sizes.FindAllStringSubmatch(name[i+1:], -1)
	if i < 0 || len(found) == 0 {
		return sized{}, false
	}
	l := sized{name: strings.ReplaceAll(name[:i], "_", " "), label: strings.ReplaceAll(name[i+1:], "_", " "), figures: make(map[string]float64)}
	for _, f := range found {
		x, err := strconv.ParseFloat(f[1], 64)
		if err != nil {
			return sized{}, false
		}
		l.sizes = append(l.sizes, x)
	}
	fields := strings.Fields(m[2])
	for k := 0; k+1 < len(fields); k += 2 {
		x, err := strconv.ParseFloat(fields[k], 64)
		if err != nil {
			return sized{}, false
		}
		l.figures[fields[k+1]] = x
	}
	return l, true
}

// seriesOf returns a series for each unit, over the first of the sizes that differs between the lines.
func seriesOf(name string, lines []sized) []Series {
	dimension := firstVarying(lines)
	if dimension < 0 {
		return nil
	}
	byUnit := make(map[string]*Series)
	for _, l := range lines {
		for unit, v := range l.figures {
			if byUnit[unit] == nil {
				byUnit[unit] = &Series{Name: name, Unit: unit}
			}
			byUnit[unit].Points = append(byUnit[unit].Points, Point{Size: l.sizes[dimension], Label: l.label, Value: v})
		}
	}
	var list []Series
	for _, s := range byUnit {
		slices.SortStableFunc(s.Points, func(a, b Point) int { return int(a.Size - b.Size) })
		list = append(list, *s)
	}
	slices.SortFunc(list, func(a, b Series) int { return strings.Compare(a.Unit, b.Unit) })
	return list
}

// firstVarying returns the index of the first size that differs between the lines, or -1.
func firstVarying(lines []sized) int {
	for i := range lines[0].sizes {
		for _, l := range lines {
			if len(l.sizes) != len(lines[0].sizes) {
				return -1
			}
			if l.sizes[i] != lines[0].sizes[i] {
				return i
			}
		}
	}
	return -1
}
