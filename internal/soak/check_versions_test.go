package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// streams makes a record in which streams begin at v1, and callers take them up after their second event; went says at
// which version each goes on, empty: it is refused.
func streams(went ...string) Record {
	r := Record{Began: atDay(0), Complete: true}
	for i, version := range went {
		id, at := fmt.Sprint("s", i), time.Duration(i)*10*time.Millisecond+4*time.Second
		first := reply(id, RouteResume, at)
		first.Whole, first.Body = false, Piece(id, 1)+Piece(id, 2)
		again := reply(id+"-again", RouteResume, at+200*time.Millisecond)
		again.Call.Resumes, again.Call.After, again.Body = id, 2, ""
		began := event(Began, id, "upstream-0", ServiceEngine, at)
		began.Version = "v1"
		r.Events = append(r.Events, began)
		if version == "" {
			again.Status, again.Signed = 503, ""
		} else {
			for n := 3; n <= Pieces(id); n++ {
				again.Body += Piece(id, n)
			}
			e := event(Began, again.ID, "upstream-1", ServiceEngine, at+200*time.Millisecond)
			e.Version, e.After = version, "2"
			r.Events = append(r.Events, e)
		}
		r.Replies = append(r.Replies, first, again)
	}
	return r
}

func times(n int, s string) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = s
	}
	return list
}

func TestVersionChecks(t *testing.T) {
	checks := func(r Record, check func(v *view) []Failure) int { return len(check(newView(r))) }
	t.Run("streams that stay at their version", func(t *testing.T) {
		r := streams(times(20, "v1")...)
		assert.Zero(t, checks(r, checkVersions))
		assert.Zero(t, checks(r, checkTakenUp))
		assert.Zero(t, checks(r, checkWhole))
	})
	t.Run("as many others as the rule passes over", func(t *testing.T) {
		assert.Zero(t, checks(streams("v2", "v2", "v1"), checkVersions))
	})
	t.Run("more than these", func(t *testing.T) {
		assert.Equal(t, 3, checks(streams("v2", "v2", "v2", "v1"), checkVersions))
	})
	t.Run("a run of another version that brought nothing", func(t *testing.T) {
		r := streams("v2", "v2", "v2")
		for i := range r.Replies {
			if r.Replies[i].Call.Resumes != "" {
				r.Replies[i].Body = ""
			}
		}
		assert.Zero(t, checks(r, checkVersions))
	})
	t.Run("most are refused", func(t *testing.T) {
		assert.Equal(t, 1, checks(streams(append(times(12, ""), times(8, "v1")...)...), checkTakenUp))
		assert.Zero(t, checks(streams(append(times(8, ""), times(12, "v1")...)...), checkTakenUp))
		assert.Zero(t, checks(streams(times(11, "")...), checkTakenUp), "too few to judge")
	})
	t.Run("a gap where a stream is taken up", func(t *testing.T) {
		r := streams("v1")
		r.Replies[1].Body = Piece("s0", 4)
		assert.Equal(t, 1, checks(r, checkWhole))
	})
}
