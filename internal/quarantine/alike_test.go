package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// This file plays callers whose requests end upstreams and aren't quite the same, or come many at once,
// beside others of the same workspace. A caller sends the next one when the one before has an end.

// caller sends requests one after the other.
type caller struct {
	bodies []string
	gap    time.Duration // from the end of one to the next
	next   time.Duration
	flying string
}

// step sends the next request if it is time.
func (c *caller) step(p *play) {
	if c.flying != "" {
		if slices.ContainsFunc(p.flights, func(f *flight) bool { return f.body == c.flying && f.of == c }) {
			return
		}
		c.flying, c.next = "", p.now+c.gap
	}
	if len(c.bodies) == 0 || p.now < c.next {
		return
	}
	c.flying, c.bodies = c.bodies[0], c.bodies[1:]
	p.send(flight{node: p.r.Intn(len(p.nodes)), body: c.flying, tries: 1, of: c})
}

// sum is how many upstreams deadly requests ended in all.
func (p *play) sum() int {
	n := 0
	for _, v := range p.ended {
		n += v
	}
	return n
}

// alike is bodies that differ in a counter.
func alike(kind string, from, count int) []string {
	var list []string
	for i := range count {
		list = append(list, fmt.Sprintf("%s %06d", kind, from+i))
	}
	return list
}

// playAlike plays callers beside harmless requests, whose bodies rest gives, until all have sent theirs.
func playAlike(seed int64, nodes, upstreams int, callers []*caller, rest func(i int) string) *play {
	p := newPlay(seed, nodes, upstreams)
	sent := 0
	for p.now < 20*time.Second || slices.ContainsFunc(callers, func(c *caller) bool { return len(c.bodies) > 0 }) {
		for range max(1, nodes/4) {
			body := rest(sent)
			sent++
			p.innocent[body] = true
			p.send(flight{node: p.r.Intn(nodes), body: body})
		}
		for _, c := range callers {
			c.step(p)
		}
		p.land()
		if p.now%playRound == 0 {
			p.tell()
			p.withdraw()
		}
		p.now += playTick
	}
	return p
}

// TestAlike: what requests that end upstreams, and are alike, cost in upstreams, and what it costs the
// harmless ones beside them.
func TestAlike(t *testing.T) {
	other := func(i int) string { return fmt.Sprintf("harmless %08d", i) } // of other lengths
	same := func(i int) string { return fmt.Sprintf("harml1 %05d", i) }    // as long as the deadly ones
	series := func(count int, gap time.Duration) func() []*caller {
		return func() []*caller { return []*caller{{bodies: alike("deadl", 0, count), gap: gap}} }
	}
	atOnce := func() []*caller {
		var list []*caller
		for range 12 {
			list = append(list, &caller{bodies: slices.Repeat(alike("deadl", 0, 1), 5), gap: 200 * time.Millisecond})
		}
		return list
	}
	for _, v := range []struct {
		name    string
		callers func() []*caller
		rest    func(int) string
		most    int // upstreams ended
	}{
		{"14 in series", series(14, 0), other, 14},
		{"100 in series", series(100, 0), other, 20},
		{"100 in series, more slowly", series(100, 2*time.Second), other, 20},
		{"one body, 12 at once, five times each", atOnce, other, 12},
		{"14 in series, harmless ones alike", series(14, 0), same, 28},
	} {
		t.Run(v.name, func(t *testing.T) {
			worst, sum, refused, ran := 0, 0, 0, 0
			for seed := range int64(20) {
				p := playAlike(seed, 3, 24, v.callers(), v.rest)
				worst, sum = max(worst, p.sum()), sum+p.sum()
				refused, ran = refused+len(p.refused), ran+len(p.innocent)
			}
			t.Logf("upstreams ended: %d at most, %.1f on average; harmless requests refused: %d of %d", worst, float64(sum)/20, refused, ran)
			assert.LessOrEqual(t, worst, v.most)
			assert.LessOrEqual(t, refused*100, ran)
		})
	}
}
