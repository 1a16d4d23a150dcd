package retry

import (
	"time"

	"spurhall.example/spurhall/internal/chart"
)

// Outliers keeps the health of the upstreams of one pool. An upstream that fails
// several times in a row, or that is silent for long, is ejected for a while and
// then probed with one request. Never more than a share of the pool is ejected: if
// everything fails, the fault is elsewhere, and ejecting the rest makes it worse.
type Outliers struct {
	life    *chart.Chart
	share   float64
	after   int
	first   time.Duration
	longest time.Duration
	health  map[string]*health
}

type health struct {
	life  *chart.Life
	fails int
	times int // ejections in a row
	until time.Duration
}

// NewOutliers returns the health of a pool of which at most that share may be
// ejected.
func NewOutliers(share float64) *Outliers {
	return &Outliers{
		life: chart.Load("upstream"), share: share, after: 3,
		first: 2 * time.Second, longest: 60 * time.Second, health: make(map[string]*health),
	}
}

func (o *Outliers) get(id string) *health {
	h := o.health[id]
	if h == nil {
		h = &health{life: o.life.Begin()}
		o.health[id] = h
	}
	return h
}

// Usable tells whether the upstream may get a request now. The first question
// after its time is up makes it a probe, which only that one caller may send.
func (o *Outliers) Usable(now time.Duration, id string) bool {
	h := o.health[id]
	if h == nil || h.life.Is("live") {
		return true
	}
	if h.life.Is("ejected") && now >= h.until {
		return true
	}
	return false
}

// Failing tells whether the upstream's newest answer that tells something was a failure.
func (o *Outliers) Failing(id string) bool {
	h := o.health[id]
	return h != nil && h.fails > 0
}

// Sending notes that a request goes to the upstream: to an ejected one, it is the
// probe.
func (o *Outliers) Sending(id string) {
	h := o.health[id]
	if h != nil && h.life.Is("ejected") {
		_ = h.life.Fire("probe")
	}
}

// Success notes an answer.
func (o *Outliers) Success(id string) {
	h := o.health[id]
	if h == nil {
		return
	}
	h.fails, h.times = 0, 0
	if h.life.Is("probing") {
		_ = h.life.Fire("pass")
	}
}

// Unclear notes an attempt that says nothing of the upstream's health: its caller left,
// or it was refused. A probe that ends so may be repeated at once.
func (o *Outliers) Inconclusive(now time.Duration, id string) {
	h := o.health[id]
	if h != nil && h.life.Is("probing") {
		_ = h.life.Fire("unclear")
		h.until = now
	}
}

// Failure notes a failed or silent attempt in a pool of that size, and tells
// whether it led to an ejection.
func (o *Outliers) Failure(now time.Duration, id string, size int) bool {
	h := o.get(id)
	h.fails++
	probing := h.life.Is("probing")
	if !probing && (h.fails < o.after || !o.room(size)) {
		return false
	}
	if !probing && !h.life.Is("live") {
		return false
	}
	_ = h.life.Fire("eject")
	d := min(o.first<<min(h.times, 6), o.longest)
	h.times++
	h.until = now + d
	return true
}

func (o *Outliers) room(size int) bool {
	n := 0
	for _, h := range o.health {
		if h.life.Is("ejected") || h.life.Is("probing") {
			n++
		}
	}
	return float64(n+1) <= o.share*float64(size)
}

// Forget drops an upstream that is gone.
func (o *Outliers) Forget(id string) { delete(o.health, id) }
