package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"spurhall.example/spurhall/internal/timer"
)

// assertSuccessor checks which of the two upstreams of hall a may take over a request from the other.
func assertSuccessor(t *testing.T, p *Pools, of, want string) {
	t.Helper()
	u := p.Pick(Request{ID: "x", Service: "s", Successor: true, Excluded: map[string]bool{of: true, "b1": true, "b2": true}})
	if want == "" {
		assert.Nil(t, u)
		return
	}
	if assert.NotNil(t, u) {
		assert.Equal(t, want, u.Entry().ID)
		u.End(ResultWithheld)
	}
}

// TestSuccessorThatCannotTakeTheRequest guards against requests that leave a silent upstream for one that can't serve them.
func TestSuccessorThatCannotTakeTheRequest(t *testing.T) {
	c := timer.NewManual(start)
	for _, v := range []struct {
		name string
		end  func(u *Use)
		ttl  time.Duration
	}{
		{"it was full a moment ago", func(u *Use) { u.End(ResultRejected) }, fullTTL},
		{"it couldn't be reached", func(u *Use) { u.End(ResultUnreachable) }, unreachableTTL},
		{"it is silent itself", func(u *Use) { u.Silent(); u.End(ResultInconclusive) }, silentTTL},
	} {
		t.Run(v.name, func(t *testing.T) {
			p := twoHalls(c)
			assertSuccessor(t, p, "a1", "a2")
			v.end(pickFrom(p, "a2"))
			assertSuccessor(t, p, "a1", "")
			c.Advance(v.ttl)
			assertSuccessor(t, p, "a1", "a2")
		})
	}
	t.Run("all of its slots are taken", func(t *testing.T) {
		p := twoHalls(c)
		for range 8 {
			assert.NotNil(t, pickFrom(p, "a2"))
		}
		assertSuccessor(t, p, "a1", "")
	})
	t.Run("it is ejected", func(t *testing.T) {
		p := twoHalls(c)
		for range 3 {
			pickFrom(p, "a2").End(ResultFailed)
		}
		assertSuccessor(t, p, "a1", "")
	})
	t.Run("it was silent, and has been heard since", func(t *testing.T) {
		p := twoHalls(c)
		u := pickFrom(p, "a2")
		u.Silent()
		u.Heard()
		assertSuccessor(t, p, "a1", "a2")
		u.Silent()
		pickFrom(p, "a2").Started()
		assertSuccessor(t, p, "a1", "a2")
	})
	t.Run("other requests go to a silent upstream as before", func(t *testing.T) {
		p := twoHalls(c)
		pickFrom(p, "a2").Silent()
		assert.NotNil(t, pickFrom(p, "a2"))
	})
}
