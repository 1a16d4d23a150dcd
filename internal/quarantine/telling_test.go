package quarantine

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// turnOf is one of a few requests that begin alike and differ in what follows.
func turnOf(i int) Fingerprint {
	return FingerprintOf(Request{Method: "POST", Host: "h", Target: fmt.Sprint("/", i%2), Body: append(bytes.Repeat([]byte("long prompt "), 30*(i%4)), []byte(fmt.Sprint("turn ", i))...)})
}

// TestShapesToTell compares the shapes that a tracker keeps at hand with all of them.
func TestShapesToTell(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := NewTracker("a"), NewTracker("b")
		now := at(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			p := turnOf(rapid.IntRange(0, 11).Draw(t, "request"))
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				a.ObserveCrash(now, Crash{Fingerprint: p, Upstream: fmt.Sprint("u", rapid.IntRange(0, 9).Draw(t, "upstream")), At: now})
			case 2:
				a.ObserveResponse(now, p)
			case 3:
				b.Check(now, p)
			case 4:
				b.Merge(now, a.BuildUpdate(now))
				a.Merge(now, b.BuildUpdate(now))
			}
			for _, x := range []*Tracker{a, b} {
				for s, f := range x.shapes {
					if f.isToBeTold(now) {
						assert.Same(t, f, x.telling[s])
					}
				}
				for s, f := range x.telling {
					assert.Same(t, f, x.shapes[s])
				}
			}
		}
	})
}

// BenchmarkBuildUpdate builds messages one minute after fifteen upstreams ended with forty requests each.
func BenchmarkBuildUpdate(b *testing.B) {
	t := NewTracker("n")
	body := bytes.Repeat([]byte("long prompt "), 1000)
	for i := range 600 {
		p := FingerprintOf(Request{Method: "POST", Host: "h", Target: "/a", Body: append([]byte(fmt.Sprintf("%d %d ", i*i, i)), body...)})
		t.ObserveCrash(at(0), Crash{Fingerprint: p, Upstream: fmt.Sprint("u", i/40), At: at(0)})
	}
	t.ObserveResponse(at(time.Second), turnOf(0))
	for b.Loop() {
		t.BuildUpdate(at(time.Minute))
	}
}
