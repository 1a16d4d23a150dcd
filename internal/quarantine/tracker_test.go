package quarantine

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func fpOf(body string) Fingerprint { return FingerprintOf(Request{Body: []byte(body)}) }

// harness is a tracker with a clock.
type harness struct {
	b   *Tracker
	now time.Duration
}

func newHarness() *harness { return &harness{b: NewTracker("n")} }

// crash crashes an upstream under requests that have started to run there.
func (w *harness) crash(upstream string, bodies ...string) {
	for _, v := range bodies {
		w.b.ObserveCrash(at(w.now), Crash{Fingerprint: fpOf(v), Upstream: upstream, At: at(w.now)})
	}
}

func (w *harness) check(body string) Verdict { return w.b.Check(at(w.now), fpOf(body)) }

func (w *harness) assertQuarantined(t *testing.T, want bool, bodies ...string) {
	t.Helper()
	for _, v := range bodies {
		assert.Equal(t, want, w.check(v).Quarantined, v)
	}
}

func TestQuarantineAtThreshold(t *testing.T) {
	w := newHarness()
	for i := range CrashThreshold {
		w.assertQuarantined(t, false, "x")
		w.crash(fmt.Sprint("u", i), "x")
		w.now += time.Second
	}
	w.assertQuarantined(t, true, "x")
	w.assertQuarantined(t, false, "y")
	assert.Equal(t, CrashThreshold, w.check("x").Upstreams)
	assert.Greater(t, w.check("x").Wait, initialQuarantine-5*time.Second)
	t.Run("other requests use no memory", func(t *testing.T) {
		assert.True(t, w.b.HasCrashes(func() []Shape { return []Shape{ShapeOf(Request{Body: []byte("x")})} }))
		assert.False(t, w.b.HasCrashes(func() []Shape { return []Shape{ShapeOf(Request{Body: []byte("other")})} }))
	})
}

// TestCrashCountsOnce: several copies of a request at one upstream, and several reports of one crash,
// count as one crash; an upstream that restarted under its ID and crashed again counts again.
func TestCrashCountsOnce(t *testing.T) {
	w := newHarness()
	for range 5 {
		w.crash("u", "x")
		w.now += 100 * time.Millisecond
	}
	w.assertQuarantined(t, false, "x")
	for range CrashThreshold - 1 {
		w.now += 4 * time.Second
		w.crash("u", "x")
	}
	w.assertQuarantined(t, true, "x")
}

// TestCrashesThatDoNotCount covers each reason for which a crash does not count.
func TestCrashesThatDoNotCount(t *testing.T) {
	crashes := func(w *harness, n int, bodies ...string) {
		for i := range n {
			w.crash(fmt.Sprint("u", i), bodies...)
			w.now += time.Second
		}
	}
	t.Run("a response since then", func(t *testing.T) {
		w := newHarness()
		crashes(w, CrashThreshold-1, "x")
		w.b.ObserveResponse(at(w.now), fpOf("x"))
		w.now += sameCrashWindow
		w.crash("u7", "x")
		w.assertQuarantined(t, false, "x")
	})
	t.Run("two requests that crash upstreams are both quarantined", func(t *testing.T) {
		w := newHarness()
		crashes(w, CrashThreshold+2, "x")
		for i := range CrashThreshold {
			w.crash(fmt.Sprint("v", i), "y")
		}
		w.assertQuarantined(t, true, "x", "y")
	})
}

// TestProbes: after its quarantine a request is admitted once, and not a second time before the outcome
// of the first probe is known. A response clears it; a crash quarantines it for twice as long.
func TestProbes(t *testing.T) {
	expired := func() *harness {
		w := newHarness()
		for i := range CrashThreshold {
			w.crash(fmt.Sprint("u", i), "x")
		}
		w.now += initialQuarantine - time.Millisecond
		w.assertQuarantined(t, true, "x")
		w.now += probeSpread + time.Millisecond
		return w
	}
	t.Run("one at a time", func(t *testing.T) {
		w := expired()
		assert.True(t, w.check("x").Probe)
		w.assertQuarantined(t, true, "x")
	})
	t.Run("not while a probe of another node runs", func(t *testing.T) {
		w := expired()
		other := NewTracker("other")
		other.Merge(at(0), w.b.BuildUpdate(at(0)))
		w.check("x")
		other.Merge(at(w.now), w.b.BuildUpdate(at(w.now)))
		v := other.Check(at(w.now), fpOf("x"))
		assert.True(t, v.Quarantined)
		assert.LessOrEqual(t, v.Wait, probeTimeout)
		assert.Empty(t, w.b.Merge(at(w.now), other.BuildUpdate(at(w.now))), "no change for the tracker that sent it")
		w.now += probeTimeout
		assert.True(t, other.Check(at(w.now), fpOf("x")).Probe)
	})
	t.Run("a response", func(t *testing.T) {
		w := expired()
		w.check("x")
		c := w.b.ObserveResponse(at(w.now), fpOf("x"))
		assert.Len(t, c, 1)
		assert.False(t, c[0].Quarantined)
		w.assertQuarantined(t, false, "x")
	})
	t.Run("another crash", func(t *testing.T) {
		w := expired()
		w.check("x")
		w.crash("u8", "x")
		v := w.check("x")
		assert.True(t, v.Quarantined)
		assert.GreaterOrEqual(t, v.Wait, 2*initialQuarantine)
	})
	t.Run("at most maxQuarantine", func(t *testing.T) {
		w := expired()
		for i := range 20 {
			w.crash(fmt.Sprint("w", i), "x")
			w.now += w.check("x").Wait
		}
		w.crash("last", "x")
		assert.LessOrEqual(t, w.check("x").Wait, maxQuarantine+probeSpread)
	})
	t.Run("each node at its own moment", func(t *testing.T) {
		w, delays := expired(), map[time.Duration]bool{}
		update := w.b.BuildUpdate(at(0))
		for i := range 8 {
			b := NewTracker(fmt.Sprint("n", i))
			b.Merge(at(0), update)
			delays[b.Check(at(0), fpOf("x")).Wait] = true
		}
		assert.Len(t, delays, 8)
	})
}

// grid is the distance between generated crashes. No quarantine is a multiple of it to within the delay
// of messages: at the very moment at which one ends, trackers may differ.
const grid = 5700 * time.Millisecond

// wideGrid is grid for observations without an identifier.
const wideGrid = 34700 * time.Millisecond

// TestTrackersConverge generates crashes and responses, merges them into trackers in any order and more
// than once, each report too young by the delay of its message, and checks that all trackers quarantine
// the same requests.
func TestTrackersConverge(t *testing.T) {
	t.Run("identified observations", func(t *testing.T) { checkConvergence(t, grid, true) })
	t.Run("others", func(t *testing.T) { checkConvergence(t, wideGrid, false) })
}

func checkConvergence(t *testing.T, grid time.Duration, identified bool) {
	rapid.Check(t, func(t *rapid.T) {
		type report struct {
			w  Update
			at time.Duration
		}
		var reports []report
		for i := range rapid.IntRange(1, 40).Draw(t, "reports") {
			o := Origin(0)
			if identified {
				o = Origin(i + 1)
			}
			v := report{at: time.Duration(rapid.IntRange(0, 20).Draw(t, "at")) * grid}
			p := fpOf(rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "fingerprint"))
			if rapid.IntRange(0, 9).Draw(t, "kind") == 0 {
				v.w.Responses = []Response{{p, at(v.at), o}}
			} else {
				u := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "upstream")
				v.w.Crashes = []Crash{{Fingerprint: p, Upstream: u, At: at(v.at), Origin: o}}
			}
			reports = append(reports, v)
		}
		now := at(20*grid + 7*time.Second)
		r := rand.New(rand.NewSource(rapid.Int64().Draw(t, "order")))
		merged := func() *Tracker {
			b := NewTracker("n")
			for range 2 {
				r.Shuffle(len(reports), func(i, j int) { reports[i], reports[j] = reports[j], reports[i] })
				for _, v := range reports {
					late := time.Duration(r.Intn(300)) * time.Millisecond
					w := Update{Crashes: append([]Crash(nil), v.w.Crashes...), Responses: append([]Response(nil), v.w.Responses...)}
					for i := range w.Crashes {
						w.Crashes[i].At = w.Crashes[i].At.Add(late)
					}
					for i := range w.Responses {
						w.Responses[i].At = w.Responses[i].At.Add(late)
					}
					b.Merge(now, w)
				}
			}
			return b
		}
		a, b := merged(), merged()
		for _, x := range []string{"x", "y", "z"} {
			assert.Equal(t, a.Remaining(now, fpOf(x)) > 0, b.Remaining(now, fpOf(x)) > 0, x)
		}
	})
}

// TestTrackerIsBounded observes crashes under very many different requests, beside one that is
// quarantined and must not be evicted for them.
func TestTrackerIsBounded(t *testing.T) {
	w := newHarness()
	for i := range CrashThreshold {
		w.crash(fmt.Sprint("u", i), "x")
	}
	for i := range 20_000 {
		w.crash(fmt.Sprint("u", i), fmt.Sprint("body ", i))
		w.now += time.Millisecond / 4
	}
	assert.LessOrEqual(t, len(w.b.suspects), maxSuspects)
	w.assertQuarantined(t, true, "x")
	t.Run("a message is bounded, quarantined requests come first", func(t *testing.T) {
		v := w.b.BuildUpdate(at(w.now))
		assert.LessOrEqual(t, len(v.Crashes), maxUpdateCrashes)
		assert.Equal(t, fpOf("x"), v.Crashes[0].Fingerprint)
	})
	t.Run("crashes below the threshold expire", func(t *testing.T) {
		w.b.BuildUpdate(at(w.now + suspectTTL + time.Second))
		assert.Len(t, w.b.suspects, 1)
		w.b.BuildUpdate(at(w.now + initialQuarantine + quarantinedTTL + time.Minute))
		assert.Empty(t, w.b.suspects)
		assert.Empty(t, w.b.shapes)
	})
}

// TestUpdateReachesLaterNodes: a change is announced for a while, and the crashes that quarantine a
// request always.
func TestUpdateReachesLaterNodes(t *testing.T) {
	w := newHarness()
	for i := range CrashThreshold {
		w.crash(fmt.Sprint("u", i), "x")
	}
	w.crash("u", "y")
	assert.Len(t, w.b.BuildUpdate(at(w.now)).Crashes, CrashThreshold+1)
	w.now += announceFor + time.Second
	v := w.b.BuildUpdate(at(w.now))
	assert.Len(t, v.Crashes, CrashThreshold)
	late := newHarness()
	late.now = w.now
	c := late.b.Merge(at(w.now), v)
	assert.Len(t, c, 1)
	late.assertQuarantined(t, true, "x")
	t.Run("a known update changes nothing", func(t *testing.T) { assert.Empty(t, late.b.Merge(at(w.now), v)) })
}
