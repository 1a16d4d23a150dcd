package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// series crashes an upstream under each of several similar requests, one second apart.
func (w *harness) series(from, count int) {
	for i := range count {
		w.now += time.Second
		w.crash(fmt.Sprint("u", from+i), fmt.Sprintf("deadly %03d", from+i))
	}
}

func (w *harness) clear(body string) []Change { return w.b.ObserveResponse(at(w.now), fpOf(body)) }

// TestShapeQuarantine covers what quarantines similar requests and what does not.
func TestShapeQuarantine(t *testing.T) {
	t.Run("crashes without a response in between", func(t *testing.T) {
		w := newHarness()
		w.series(0, shapeCrashThreshold-1)
		w.assertQuarantined(t, false, "deadly 999")
		w.series(shapeCrashThreshold-1, 1)
		w.assertQuarantined(t, true, "deadly 999")
		assert.True(t, w.check("deadly 999").ByShape)
		w.assertQuarantined(t, false, "another length")
	})
	t.Run("a response in between", func(t *testing.T) {
		w := newHarness()
		w.series(0, shapeCrashThreshold-1)
		w.clear("deadly 500")
		w.series(shapeCrashThreshold-1, shapeCrashThreshold-1)
		w.assertQuarantined(t, false, "deadly 999")
	})
	t.Run("crashes from before a response, reported late", func(t *testing.T) {
		w := newHarness()
		w.series(0, shapeCrashThreshold-1)
		late := w.now
		w.now += time.Second
		w.clear("deadly 500")
		for i := range shapeCrashThreshold {
			e := Crash{Fingerprint: fpOf(fmt.Sprintf("deadly 6%02d", i)), Upstream: fmt.Sprint("v", i), At: at(late - time.Duration(i)*time.Second)}
			w.b.Merge(at(w.now), Update{Crashes: []Crash{e}})
		}
		w.assertQuarantined(t, false, "deadly 999")
	})
	t.Run("crashes in a burst", func(t *testing.T) {
		w := newHarness()
		for i := range 10 {
			w.now += burstWindow / 11
			w.crash(fmt.Sprint("u", i), fmt.Sprintf("deadly %03d", i))
		}
		w.assertQuarantined(t, false, "deadly 999")
	})
	t.Run("crashes under too few requests", func(t *testing.T) {
		w := newHarness()
		for i := range 2 * shapeCrashThreshold {
			w.now += time.Second
			w.crash(fmt.Sprint("u", i), fmt.Sprintf("deadly %03d", i%(shapeMinRequests-1)))
		}
		w.assertQuarantined(t, false, "deadly 999")
	})
	t.Run("one probe at a time, a crash extends the quarantine, a response ends it", func(t *testing.T) {
		w := newHarness()
		w.series(0, shapeCrashThreshold)
		w.now += initialShapeQuarantine + shapeProbeSpread
		assert.True(t, w.check("deadly 100").Probe)
		w.assertQuarantined(t, true, "deadly 101")
		w.crash("v", "deadly 100")
		w.now += initialShapeQuarantine + shapeProbeSpread
		w.assertQuarantined(t, true, "deadly 101")
		w.now += initialShapeQuarantine
		assert.True(t, w.check("deadly 101").Probe)
		w.now += probeTimeout - time.Millisecond
		w.assertQuarantined(t, true, "deadly 102")
		assert.Len(t, w.clear("deadly 101"), 1)
		w.assertQuarantined(t, false, "deadly 102", "deadly 103")
	})
	t.Run("the longest quarantine", func(t *testing.T) {
		w := newHarness()
		w.series(0, 30)
		assert.LessOrEqual(t, w.check("deadly 999").Wait, maxShapeQuarantine+shapeProbeSpread)
		w.now += maxShapeQuarantine + shapeProbeSpread
		assert.True(t, w.check("deadly 999").Probe)
	})
	t.Run("nodes exchange crashes, probes and responses", func(t *testing.T) {
		w, o := newHarness(), newHarness()
		w.series(0, shapeCrashThreshold)
		exchange := func() []Change { return o.b.Merge(at(w.now), w.b.BuildUpdate(at(w.now))) }
		quarantined := exchange()
		if assert.Len(t, quarantined, 1) {
			assert.True(t, quarantined[0].Quarantined && quarantined[0].ByShape)
			assert.Len(t, quarantined[0].Upstreams, shapeCrashThreshold)
		}
		w.now += initialShapeQuarantine + shapeProbeSpread
		o.now = w.now
		assert.True(t, w.check("deadly 100").Probe)
		exchange()
		o.assertQuarantined(t, true, "deadly 101")
		w.clear("deadly 100")
		released := exchange()
		if assert.Len(t, released, 1) {
			assert.False(t, released[0].Quarantined)
		}
		o.assertQuarantined(t, false, "deadly 101")
	})
	t.Run("the crashes of a shape are bounded and removed with its last request", func(t *testing.T) {
		w := newHarness()
		w.series(0, 2*maxShapeCrashes)
		shape := fpOf("deadly 000").Shape()
		assert.Len(t, w.b.shapes[shape].crashes, maxShapeCrashes)
		w.b.BuildUpdate(at(w.now + suspectTTL + time.Second))
		assert.Empty(t, w.b.shapes)
	})
}

// TestMayRetry: a request is not retried if another copy of it has crashed an upstream that the request
// was not sent to.
func TestMayRetry(t *testing.T) {
	w := newHarness()
	at := func(ids ...string) func(string) bool {
		return func(u string) bool {
			for _, id := range ids {
				if id == u {
					return true
				}
			}
			return false
		}
	}
	assert.True(t, w.b.MayRetry(fpOf("x"), at()))
	w.crash("u", "x", "beside")
	assert.True(t, w.b.MayRetry(fpOf("x"), at("u")), "its own crash")
	assert.False(t, w.b.MayRetry(fpOf("x"), at("v")), "a crash under another copy")
	w.now += time.Second
	w.clear("beside")
	assert.True(t, w.b.MayRetry(fpOf("beside"), at("v")), "a response since then")
}
