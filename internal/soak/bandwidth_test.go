package soak

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"spurhall.example/spurhall/internal/timer"
)

// timeFor returns how long some bytes take through links, each way, on one connection to each; they have to come back in order.
func timeFor(t *testing.T, size int, links ...*Link) time.Duration {
	t.Helper()
	began := time.Now()
	done := make(chan error, len(links))
	for _, l := range links {
		c := dial(t, l)
		line := make([]byte, size)
		for i := range line {
			line[i] = 'a' + byte(i%7)
		}
		line[size-1] = '\n'
		go func() { _, _ = c.Write(line) }()
		go func() {
			got := make([]byte, size)
			_, err := io.ReadFull(c, got)
			if err == nil && string(got) != string(line) {
				err = io.ErrUnexpectedEOF
			}
			done <- err
		}()
	}
	for range links {
		require.NoError(t, <-done)
	}
	return time.Since(began)
}

func TestBandwidth(t *testing.T) {
	const rate, size = 1e6, 200_000
	whole := time.Duration(float64(size) / rate * float64(time.Second))
	t.Run("without a bound all passes at once", func(t *testing.T) {
		assert.Less(t, timeFor(t, size, newEchoLink(t, nil)), whole)
	})
	t.Run("what is beyond passes later, each way", func(t *testing.T) {
		for _, limit := range []func(l *Link, b *Bandwidth){func(l *Link, b *Bandwidth) { l.Limit(b, nil) }, func(l *Link, b *Bandwidth) { l.Limit(nil, b) }} {
			l, b := newEchoLink(t, nil), NewBandwidth(timer.Real(), rate)
			limit(l, b)
			took := timeFor(t, size, l)
			assert.GreaterOrEqual(t, took, 2*(whole-burst)) // the echo waits for its line
			assert.EqualValues(t, size, b.in.taken())
			assert.EqualValues(t, size, b.out.taken())
		}
	})
	t.Run("a VM's links share its bandwidth", func(t *testing.T) {
		a, o, b := newEchoLink(t, nil), newEchoLink(t, nil), NewBandwidth(timer.Real(), rate)
		a.Limit(b, nil)
		o.Limit(b, nil)
		assert.GreaterOrEqual(t, timeFor(t, size, a, o), 2*whole+(whole-2*burst))
	})
	t.Run("time without traffic isn't saved up", func(t *testing.T) {
		k := &bucket{clock: timer.Real(), rate: rate}
		k.free = k.clock.Now().Add(-time.Hour)
		assert.Greater(t, k.take(size), whole-2*burst)
	})
}
