package retry

import (
	"time"

	"spurhall.example/spurhall/internal/chart"
)

// Outliers tracks the health of the upstreams of one pool. An upstream that fails several times in a row,
// or that does not respond for long, is ejected for a while and then probed with one request. At most a
// fixed share of the pool is ejected at a time: if every upstream fails, the cause lies elsewhere, and
// ejecting the remaining ones would make it worse.
type Outliers struct {
	chart         *chart.Chart
	maxShare      float64
	ejectAfter    int
	firstEjection time.Duration
	maxEjection   time.Duration
	health        map[string]*health
}

type health struct {
	state        *chart.Life
	failures     int
	ejections    int // consecutive ejections
	ejectedUntil time.Duration
}

// NewOutliers returns the health of a pool of which at most maxShare may be ejected.
func NewOutliers(maxShare float64) *Outliers {
	return &Outliers{
		chart: chart.Load("upstream"), maxShare: maxShare, ejectAfter: 3,
		firstEjection: 2 * time.Second, maxEjection: 60 * time.Second, health: make(map[string]*health),
	}
}

func (o *Outliers) get(id string) *health {
	h := o.health[id]
	if h == nil {
		h = &health{state: o.chart.Begin()}
		o.health[id] = h
	}
	return h
}

// Usable reports whether the upstream may be sent a request now. The first request that is sent after an
// ejection has expired is the probe; no other request is sent until the probe's result is known.
func (o *Outliers) Usable(now time.Duration, id string) bool {
	h := o.health[id]
	if h == nil || h.state.Is("live") {
		return true
	}
	if h.state.Is("ejected") && now >= h.ejectedUntil {
		return true
	}
	return false
}

// Failing reports whether the upstream's latest conclusive result was a failure.
func (o *Outliers) Failing(id string) bool {
	h := o.health[id]
	return h != nil && h.failures > 0
}

// Sending records that a request is sent to the upstream. For an ejected upstream, that request is the
// probe.
func (o *Outliers) Sending(id string) {
	h := o.health[id]
	if h != nil && h.state.Is("ejected") {
		_ = h.state.Fire("probe")
	}
}

// Success records a successful response.
func (o *Outliers) Success(id string) {
	h := o.health[id]
	if h == nil {
		return
	}
	h.failures, h.ejections = 0, 0
	if h.state.Is("probing") {
		_ = h.state.Fire("pass")
	}
}

// Inconclusive records an attempt that gives no information on the upstream's health: the caller
// disconnected, or the upstream rejected the request. A probe that ends this way may be repeated at once.
func (o *Outliers) Inconclusive(now time.Duration, id string) {
	h := o.health[id]
	if h != nil && h.state.Is("probing") {
		_ = h.state.Fire("unclear")
		h.ejectedUntil = now
	}
}

// Failure records a failed or timed-out attempt in a pool of the given size, and reports whether it caused
// an ejection.
func (o *Outliers) Failure(now time.Duration, id string, size int) bool {
	return o.fail(now, id, size, 1)
}

// Eject records a failure that no sound upstream shows, so that one is enough for an ejection. It reports as Failure does.
func (o *Outliers) Eject(now time.Duration, id string, size int) bool {
	return o.fail(now, id, size, o.ejectAfter)
}

// fail records a failure that counts as several.
func (o *Outliers) fail(now time.Duration, id string, size, count int) bool {
	h := o.get(id)
	h.failures += count
	probing := h.state.Is("probing")
	if !probing && (h.failures < o.ejectAfter || !o.canEject(size)) {
		return false
	}
	if !probing && !h.state.Is("live") {
		return false
	}
	_ = h.state.Fire("eject")
	d := min(o.firstEjection<<min(h.ejections, 6), o.maxEjection)
	h.ejections++
	h.ejectedUntil = now + d
	return true
}

func (o *Outliers) canEject(size int) bool {
	n := 0
	for _, h := range o.health {
		if h.state.Is("ejected") || h.state.Is("probing") {
			n++
		}
	}
	return float64(n+1) <= o.maxShare*float64(size)
}

// Forget drops the health of an upstream that was removed.
func (o *Outliers) Forget(id string) { delete(o.health, id) }
