package quarantine

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"google.golang.org/protobuf/proto"
)

// lateFleet is a fleet whose messages are under way, or wait unread, for a while.
type lateFleet struct {
	now   time.Duration
	nodes []*Tracker
	held  int // requests that became quarantined at a node
}

func newLateFleet(nodes int) *lateFleet {
	f := &lateFleet{}
	for i := range nodes {
		f.nodes = append(f.nodes, NewTracker(fmt.Sprint("n", i)))
	}
	return f
}

// exchange lets each node send to the next one, which applies it later.
func (f *lateFleet) exchange(late time.Duration) {
	for i, from := range f.nodes {
		to := f.nodes[(i+1)%len(f.nodes)]
		m := from.BuildUpdate(at(f.now)).ToWire(at(f.now))
		f.now += late
		for _, c := range to.Merge(at(f.now), UpdateFromWire(at(f.now), m)) {
			if c.Quarantined {
				f.held++
			}
		}
	}
}

func TestOneCrashCountsAgainWhenItsNewsIsLate(t *testing.T) {
	for _, late := range []time.Duration{10 * time.Millisecond, 700 * time.Millisecond, 2500 * time.Millisecond} {
		t.Run(late.String(), func(t *testing.T) {
			f := newLateFleet(6)
			f.nodes[0].ObserveCrash(at(0), Crash{Fingerprint: fpOf("x"), Upstream: "u", At: at(0)})
			for range 20 {
				f.exchange(late)
			}
			assert.Zero(t, f.held, "one upstream has ended, once")
			for _, n := range f.nodes {
				assert.LessOrEqual(t, n.CrashCount(fpOf("x")), 1)
			}
		})
	}
}

func TestCrashBeforeAResponseCountsWhenItsNewsIsLate(t *testing.T) {
	f := newLateFleet(4)
	f.nodes[0].ObserveCrash(at(0), Crash{Fingerprint: fpOf("x"), Upstream: "u", At: at(0)})
	m := f.nodes[0].BuildUpdate(at(0)).ToWire(at(0))
	f.exchange(time.Millisecond)
	for _, n := range f.nodes {
		n.ObserveResponse(at(f.now), fpOf("x"))
	}
	f.now += 2 * sameCrashWindow
	f.nodes[1].Merge(at(f.now), UpdateFromWire(at(f.now), m)) // the first message, again and late
	assert.Zero(t, f.nodes[1].CrashCount(fpOf("x")))
}

func TestResponseGoesAroundForEverWhenItsNewsIsLate(t *testing.T) {
	f := newLateFleet(6)
	f.nodes[0].ObserveCrash(at(0), Crash{Fingerprint: fpOf("x"), Upstream: "u", At: at(0)})
	f.exchange(time.Millisecond)
	f.nodes[0].ObserveResponse(at(f.now), fpOf("x"))
	for range 8 {
		f.exchange(500 * time.Millisecond)
	}
	for _, n := range f.nodes {
		assert.Empty(t, n.BuildUpdate(at(f.now)).Responses, "it was told for longer than each node tells it")
	}
}

// mostBytes is what a message about crashes may have: eight a second are a tenth of a link of 10 Mbit/s.
const mostBytes = 16 << 10

func TestNewsOfAWaveOfCrashesFillsALink(t *testing.T) {
	b := NewTracker("n")
	body := bytes.Repeat([]byte("long prompt "), 1000)
	print := func(i int) Fingerprint {
		return FingerprintOf(Request{Method: "POST", Host: "h", Target: "/a", Body: append([]byte(fmt.Sprintf("%d %d ", i*i, i)), body...)})
	}
	for i := range 600 {
		b.ObserveCrash(at(0), Crash{Fingerprint: print(i), Upstream: fmt.Sprint("u", i/40), At: at(0)})
	}
	assertSmall := func(what string) {
		t.Helper()
		u := b.BuildUpdate(at(time.Second))
		assert.False(t, u.Empty())
		assert.LessOrEqual(t, proto.Size(u.ToWire(at(time.Second))), mostBytes, what)
	}
	assertSmall("fifteen upstreams end with forty requests each")
	for i := range 600 {
		b.ObserveResponse(at(time.Second), print(i))
	}
	assertSmall("and all of the requests are answered elsewhere")
}
