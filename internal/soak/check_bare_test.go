package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestPartsThatLookWhole guards against a check that puts every part that looks whole down to its upstream.
func TestPartsThatLookWhole(t *testing.T) {
	record := func(bare bool, started time.Duration, body string) *view {
		r := Record{Began: atDay(0), Complete: true, Day: Day{Bare: bare}}
		v := reply("s", RouteResume, 4*time.Second)
		v.Body = body
		r.Replies = append(r.Replies, v)
		r.Events = append(r.Events, event(Started, "", "upstream-0", ServiceEngine, 0), event(Began, "s", "upstream-0", ServiceEngine, 4*time.Second))
		if started > 0 {
			r.Events = append(r.Events, event(Started, "", "upstream-0", ServiceEngine, started))
		}
		return newView(r)
	}
	assert.Len(t, checkWhole(record(true, 0, Piece("s", 1))), 1, "no upstream has ended")
	assert.Empty(t, checkWhole(record(true, 5*time.Second, Piece("s", 1))), "its upstream has ended, and started again")
	assert.Len(t, checkWhole(record(false, 5*time.Second, Piece("s", 1))), 1, "its answers have a mark of their end")
	assert.Len(t, checkWhole(record(true, 20*time.Second, Piece("s", 1))), 1, "its upstream ended later")
	assert.Len(t, checkWhole(record(true, 5*time.Second, Piece("s", 2))), 1, "something is missing before")
}
