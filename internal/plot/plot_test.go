package plot

import (
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const output = `goos: linux
BenchmarkIdleNode/report/100_nodes,_1000_upstreams-8         	     100	     20000 ns/op	         0.10 %core
BenchmarkIdleNode/report/2000_nodes,_20000_upstreams-8       	     100	     30000 ns/op	         0.20 %core
BenchmarkIdleNode/report/985_nodes,_10000_upstreams-8        	     100	     25000 ns/op	         0.15 %core
BenchmarkMemory/2_nodes,_2000_upstreams 1 5 ns/op 1.8 MB
BenchmarkMemory/2_nodes,_10000_upstreams 1 5 ns/op 8.3 MB
BenchmarkSent/500_of_2000_upstreams-8 1 5 ns/op
BenchmarkSent/500_of_10000_upstreams-8 1 6 ns/op
BenchmarkOther-8 1 5 ns/op
BenchmarkOnce/3_nodes-8 1 5 ns/op
PASS
`

func TestRead(t *testing.T) {
	list, err := Read(strings.NewReader(output))
	require.NoError(t, err)
	var names []string
	for _, s := range list {
		names = append(names, s.Name+" "+s.Unit)
	}
	assert.Equal(t, []string{"IdleNode/report %core", "IdleNode/report ns/op", "Memory MB", "Memory ns/op", "Sent ns/op"}, names)
	assert.Equal(t, []Point{
		{100, "100 nodes, 1000 upstreams", 0.1}, {985, "985 nodes, 10000 upstreams", 0.15}, {2000, "2000 nodes, 20000 upstreams", 0.2},
	}, list[0].Points, "sorted by the first size that differs")
	assert.Equal(t, 2000.0, list[2].Points[0].Size, "nodes don't differ")
	t.Run("nothing to draw", func(t *testing.T) {
		_, err := Read(strings.NewReader("PASS\n"))
		assert.True(t, errors.Is(err, ErrNoFigures))
		assert.True(t, errors.Is(Write(io.Discard, []Series{{Points: []Point{{1, "", 0}}}}), ErrNoFigures))
	})
}

// assertXML checks that a document can be read.
func assertXML(t *testing.T, text string) {
	t.Helper()
	d := xml.NewDecoder(strings.NewReader(text))
	for {
		_, err := d.Token()
		if errors.Is(err, io.EOF) {
			return
		}
		require.NoError(t, err)
	}
}

func TestWrite(t *testing.T) {
	list, err := Read(strings.NewReader(strings.ReplaceAll(output, "report", "a<b")))
	require.NoError(t, err)
	var b strings.Builder
	require.NoError(t, Write(&b, list))
	assertXML(t, b.String())
	assert.Equal(t, 12, strings.Count(b.String(), "<circle"))
	assert.Equal(t, 5, strings.Count(b.String(), "stroke-dasharray"))
	t.Run("what grows in proportion lies on the dashed line", func(t *testing.T) {
		p, ok := newPanel(Series{Points: []Point{{10, "", 3}, {1000, "", 300}}})
		require.True(t, ok)
		x, y := p.at(1000, 300)
		endX, endY := p.at(1000, 3*1000/10)
		assert.InDelta(t, endX, x, 1e-9)
		assert.InDelta(t, endY, y, 1e-9)
		assert.GreaterOrEqual(t, y, float64(margin))
	})
}

func ExampleRead() {
	list, err := Read(strings.NewReader("BenchmarkReport/10_nodes 1 5 ns/op\nBenchmarkReport/20_nodes 1 6 ns/op\n"))
	if err != nil {
		panic(err)
	}
	for _, p := range list[0].Points {
		fmt.Println(list[0].Name, p.Label, p.Value, list[0].Unit)
	}
	// Output:
	// Report 10 nodes 5 ns/op
	// Report 20 nodes 6 ns/op
}
