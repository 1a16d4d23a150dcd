package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// crashesAndLate makes a record with crashes each 0.2 s under requests with a bad part, and arrivals of such requests at a
// time after the fifth.
func crashesAndLate(crashes, arrivals int, after time.Duration, more ...Fault) Record {
	r := record(append([]Fault{{Kind: FaultPart, At: time.Second, For: partLasts, On: OnUpstreams}}, more...)...)
	at := r.Began.Add(time.Second)
	for i := range crashes {
		at = at.Add(200 * time.Millisecond)
		r.Events = append(r.Events, Event{At: at, What: Crashed, ID: fmt.Sprint("crash", i)})
	}
	for i := range arrivals {
		id := fmt.Sprint("late", i)
		q := reply(id, RouteResume, 4*time.Second)
		q.Call.Parts = []string{CommonPart, BadPart}
		r.Replies = append(r.Replies, q)
		r.Events = append(r.Events, Event{At: r.Began.Add(2*time.Second + after), What: Arrived, ID: id})
	}
	return r
}

func TestPartCheck(t *testing.T) {
	failures := func(r Record) int { return len(checkParts(newView(r))) }
	assert.Zero(t, failures(crashesAndLate(5, 3, 3500*time.Millisecond)))
	assert.Equal(t, 1, failures(crashesAndLate(5, 4, 3500*time.Millisecond)))
	assert.Zero(t, failures(crashesAndLate(5, 9, 2500*time.Millisecond)), "daemons may not have heard of each other yet")
	assert.Zero(t, failures(crashesAndLate(4, 9, 3500*time.Millisecond)))
	assert.Zero(t, failures(crashesAndLate(5, 9, 3500*time.Millisecond, Fault{Kind: FaultFreeze, On: OnDaemons, At: 3 * time.Second, For: time.Second, Who: []int{0, 1, 2}})), "daemons out of touch")
}
