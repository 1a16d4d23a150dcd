package link_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"spurhall.example/spurhall/internal/link"
	"spurhall.example/spurhall/internal/timer"
)

const (
	slow = 1 << 20 // bytes a second
	// large is the size of a response that is larger than usual, in bytes.
	large = 256 << 10
)

func ExampleLink() {
	l := link.New(timer.Real(), slow, nil)
	q := l.Begin()
	defer q.End()
	r := q.Response(link.Options{Service: "api"})
	b, err := io.ReadAll(r.Reader(context.Background(), strings.NewReader("alone")))
	r.Whole()
	fmt.Println(string(b), err)
	// Output: alone <nil>
}

// rig is a link on a clock that a test moves.
type rig struct {
	clock *timer.Manual
	link  *link.Link
	paced []link.Paced
}

func newRig(rate float64) *rig {
	v := &rig{clock: timer.NewManual(time.Unix(1000, 0))}
	v.link = link.New(v.clock.Service(), rate, func(p link.Paced) { v.paced = append(v.paced, p) })
	return v
}

// takes returns how long a request's response of some bytes takes.
func (v *rig) takes(t *testing.T, q *link.Request, o link.Options, n int) time.Duration {
	t.Helper()
	r := q.Response(o)
	began := v.clock.Service().Now()
	done := make(chan error, 1)
	go func() { done <- r.Took(context.Background(), n) }()
	for {
		select {
		case err := <-done:
			require.NoError(t, err)
			r.Whole()
			return v.clock.Service().Since(began)
		case <-time.After(time.Millisecond):
			v.clock.Advance(10 * time.Millisecond)
		}
	}
}

var garbage = link.Options{Service: "api", Upstream: "u1", Request: "r1"}

func TestLargeResponseLeavesOthersTheirPartOfTheLink(t *testing.T) {
	v := newRig(slow)
	other := v.link.Begin()
	defer other.End()
	d := v.takes(t, v.link.Begin(), garbage, large)
	assert.GreaterOrEqual(t, d, 2*large*time.Second/slow, "less than half of the link")
	require.Len(t, v.paced, 1)
	assert.Equal(t, garbage, v.paced[0].Options)
}

// assertUnpaced checks that a response has no turn to wait for.
func (v *rig) assertUnpaced(t *testing.T, q *link.Request, o link.Options, n int) {
	t.Helper()
	assert.NoError(t, q.Response(o).Took(canceled(), n))
	assert.Empty(t, v.paced)
}

func TestLargeResponseIsSlowedThough(t *testing.T) {
	t.Run("nobody else needs the link", func(t *testing.T) {
		v := newRig(slow)
		v.assertUnpaced(t, v.link.Begin(), garbage, large)
	})
	t.Run("the others are as large", func(t *testing.T) {
		v := newRig(slow)
		one, other := v.link.Begin(), v.link.Begin()
		require.Error(t, other.Response(garbage).Took(canceled(), large))
		v.paced = nil
		v.assertUnpaced(t, one, garbage, large)
	})
	t.Run("the link's speed is unknown", func(t *testing.T) {
		v := newRig(0)
		_ = v.link.Begin()
		v.assertUnpaced(t, v.link.Begin(), garbage, large)
	})
	t.Run("its service's usually are", func(t *testing.T) {
		v := newRig(slow)
		v.takes(t, v.link.Begin(), garbage, large)
		_ = v.link.Begin()
		v.assertUnpaced(t, v.link.Begin(), garbage, large)
	})
	t.Run("the last other request ended long ago", func(t *testing.T) {
		v := newRig(slow)
		v.link.Begin().End()
		v.clock.Advance(time.Second)
		v.assertUnpaced(t, v.link.Begin(), garbage, large)
	})
}

func TestEventsOfAStreamCountTogether(t *testing.T) {
	v := newRig(slow)
	_ = v.link.Begin()
	r := v.link.Begin().Response(link.Options{Service: "llm", Events: true})
	for range 1000 {
		require.NoError(t, r.Took(context.Background(), 1000))
		r.Next()
	}
	assert.Empty(t, v.paced)
}

func canceled() context.Context {
	ctx, cancel := context.WithCancelCause(context.Background())
	cancel(errLeft)
	return ctx
}

var errLeft = errors.New("the caller has left")

func TestEndOfTheContextLeavesAResponseWaiting(t *testing.T) {
	v := newRig(slow)
	_ = v.link.Begin()
	assert.ErrorIs(t, v.link.Begin().Response(garbage).Took(canceled(), large), errLeft)
}

func TestReadBuffer(t *testing.T) {
	assert.Zero(t, link.New(timer.Real(), 0, nil).ReadBuffer(), "unknown")
	assert.Zero(t, link.New(timer.Real(), 1e9, nil).ReadBuffer(), "a fast link")
	assert.Equal(t, 12500, link.New(timer.Real(), 1.25e6, nil).ReadBuffer())
}
