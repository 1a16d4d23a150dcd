package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"spurhall.example/spurhall/internal/timer"
)

// known returns pools that know of so many prefixes at each of some upstreams.
func known(c *timer.Manual, upstreams, prefixes int) *Pools {
	p := New(c.Service(), "self", "a")
	p.Update(func(l *List) {
		for i := 0; i < upstreams; i++ {
			l.Put(item(fmt.Sprint("u", i), 1))
		}
	})
	var placed []Placement
	for i := 0; i < upstreams*prefixes; i++ {
		placed = append(placed, Placement{Prefix: uint64(i), Upstream: fmt.Sprint("u", i%upstreams)})
	}
	p.ApplyPeerLoads(nil, nil, placed)
	return p
}

// TestForgottenPrefixes: what isn't believed any more doesn't stay in memory.
func TestForgottenPrefixes(t *testing.T) {
	c := timer.NewManual(time.Unix(1000, 0))
	p := known(c, 3, 5)
	count := func() int {
		n := 0
		for _, m := range p.members {
			n += len(m.prefixes)
		}
		return n
	}
	p.Report()
	assert.Equal(t, 15, count())
	c.Advance(prefixKeeps + time.Second)
	p.Report()
	assert.Zero(t, count())
}

// BenchmarkReport makes the report of a node that knows of the 10,000 prefixes that a fleet
// of 95 places in 30 s; a node makes some 30 a second. 205 us each when each looked for
// prefixes to forget, 0.5 us since they are looked for once in a while (one run each).
func BenchmarkReport(b *testing.B) {
	p := known(timer.NewManual(time.Unix(1000, 0)), 53, 190)
	for i := 0; i < b.N; i++ {
		p.Report()
	}
}
