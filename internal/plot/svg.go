package plot

import (
	"encoding/xml"
	"fmt"
	"io"
	"math"
	"strings"
)

// The sizes of the image, in pixels.
const (
	columns     = 3
	panelWidth  = 380
	panelHeight = 230
	margin      = 45 // of a panel's axes
)

// Write draws a panel for each series that has a figure above 0.
func Write(w io.Writer, list []Series) error {
	var b strings.Builder
	k := 0
	for _, s := range list {
		if p, ok := newPanel(s); ok {
			p.draw(&b, k%columns*panelWidth, k/columns*panelHeight)
			k++
		}
	}
	if k == 0 {
		return ErrNoFigures
	}
	rows := (k + columns - 1) / columns
	_, err := fmt.Fprintf(w, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="10">
<rect width="100%%" height="100%%" fill="white"/>
%s</svg>
`, columns*panelWidth, rows*panelHeight, b.String())
	if err != nil {
		return fmt.Errorf("write plot: %w", err)
	}
	return nil
}

// panel is the place of one series' points on logarithmic axes.
type panel struct {
	s                      Series
	minX, maxX, minY, maxY float64 // decimal logarithms
}

// newPanel returns the panel of a series. Figures of 0 or less have no place on a logarithmic axis.
func newPanel(s Series) (panel, bool) {
	var points []Point
	for _, v := range s.Points {
		if v.Value > 0 && v.Size > 0 {
			points = append(points, v)
		}
	}
	if len(points) < 2 {
		return panel{}, false
	}
	s.Points = points
	p := panel{s: s, minX: math.Inf(1), maxX: math.Inf(-1), minY: math.Inf(1), maxY: math.Inf(-1)}
	for _, v := range points {
		x, y := math.Log10(v.Size), math.Log10(v.Value)
		p.minX, p.maxX, p.minY, p.maxY = min(p.minX, x), max(p.maxX, x), min(p.minY, y), max(p.maxY, y)
	}
	p.maxX = max(p.maxX, p.minX+1)
	p.maxY = max(p.maxY, p.minY+p.maxX-p.minX) // room for growth in proportion
	return p, true
}

func (p *panel) at(size, value float64) (x, y float64) {
	const width, height = panelWidth - 2*margin, panelHeight - 2*margin
	return margin + (math.Log10(size)-p.minX)/(p.maxX-p.minX)*width, panelHeight - margin - (math.Log10(value)-p.minY)/(p.maxY-p.minY)*height
}

func (p *panel) draw(b *strings.Builder, left, top int) {
	fmt.Fprintf(b, "<g transform=\"translate(%d,%d)\">\n", left, top)
	fmt.Fprintf(b, "<text x=\"%d\" y=\"18\" font-weight=\"bold\">%s, %s</text>\n", margin, escape(p.s.Name), escape(p.s.Unit))
	fmt.Fprintf(b, "<path d=\"M%d %dV%dH%d\" fill=\"none\" stroke=\"#888\"/>\n", margin, margin, panelHeight-margin, panelWidth-margin)
	first := p.s.Points[0]
	x, y := p.at(first.Size, first.Value)
	endX, endY := p.at(math.Pow(10, p.maxX), first.Value*math.Pow(10, p.maxX)/first.Size)
	fmt.Fprintf(b, "<path d=\"M%.1f %.1fL%.1f %.1f\" stroke=\"#bbb\" stroke-dasharray=\"4 3\"/>\n", x, y, endX, endY)
	var line strings.Builder
	for i, v := range p.s.Points {
		x, y := p.at(v.Size, v.Value)
		fmt.Fprintf(&line, "%s%.1f %.1f", map[bool]string{true: "M", false: "L"}[i == 0], x, y)
		fmt.Fprintf(b, "<circle cx=\"%.1f\" cy=\"%.1f\" r=\"3\" fill=\"#06c\"><title>%s</title></circle>\n", x, y, escape(v.Label))
		fmt.Fprintf(b, "<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"middle\">%.3g</text>\n", x, y-7, v.Value)
		fmt.Fprintf(b, "<text x=\"%.1f\" y=\"%d\" text-anchor=\"middle\" fill=\"#666\">%.4g</text>\n", x, panelHeight-margin+14, v.Size)
	}
	fmt.Fprintf(b, "<path d=\"%s\" fill=\"none\" stroke=\"#06c\"/>\n</g>\n", line.String())
}

func escape(s string) string {
	var b strings.Builder
	_ = xml.EscapeText(&b, []byte(s)) // a strings.Builder doesn't fail
	return b.String()
}
