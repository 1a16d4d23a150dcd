package soak

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// cutOff makes a record in which daemon 0 reaches no upstream for ten seconds, and adds replies at a daemon.
type cutOff struct{ Record }

func newCutOff() *cutOff {
	return &cutOff{record(Fault{Kind: FaultEgress, At: time.Second, For: 10 * time.Second, On: OnDaemons, Who: []int{0}})}
}

func (c *cutOff) add(daemon int, route Route, served, refused int) *cutOff {
	for i := range served + refused {
		r := reply(fmt.Sprint(daemon, route, i), route, 5*time.Second)
		r.Call.Daemon = daemon
		if i >= served {
			r.Status, r.Signed = http.StatusServiceUnavailable, ""
		}
		c.Replies = append(c.Replies, r)
	}
	return c
}

func TestEgressCheck(t *testing.T) {
	failures := func(c *cutOff) int { return len(checkEgress(newView(c.Record))) }
	t.Run("a service that all daemons refuse", func(t *testing.T) {
		c := newCutOff().add(0, RouteAgain, 0, 17).add(0, RouteResume, 6, 0).add(1, RouteAgain, 1, 14).add(1, RouteResume, 11, 0)
		assert.Zero(t, failures(c), "the others are asked for more of what is served")
	})
	t.Run("a service that only daemons in the cut refuse", func(t *testing.T) {
		c := newCutOff().add(0, RouteAgain, 2, 15).add(0, RouteResume, 6, 0).add(1, RouteAgain, 15, 0).add(1, RouteResume, 11, 0)
		assert.Equal(t, 1, failures(c))
	})
	t.Run("one that the others aren't asked for", func(t *testing.T) {
		c := newCutOff().add(0, RouteAgain, 0, 17).add(0, RouteResume, 6, 0).add(1, RouteResume, 11, 0)
		assert.Equal(t, 1, failures(c))
	})
}
