package speed

import (
	"cmp"
	"math"
	"slices"
	"time"

	"spurhall.example/spurhall/internal/retry"
)

// Observer holds what one node has seen of upstreams. It isn't safe for concurrent use.
type Observer struct {
	usual     map[string]*Histogram // by peers: ratios as they would have been at usual upstreams
	upstreams map[retry.Incarnation]*observed
}

type observed struct {
	Histogram
	seenAt time.Time
}

// NewObserver returns an observer that has seen nothing.
func NewObserver() *Observer {
	return &Observer{usual: make(map[string]*Histogram), upstreams: make(map[retry.Incarnation]*observed)}
}

// Observe records a response. peers names the upstreams that the upstream is compared with. ratio is its time over the time expected of a usual upstream, speed what is believed
// of the upstream: responses of fast upstreams mustn't become the node's usual ones.
func (o *Observer) Observe(now time.Time, peers string, id retry.Incarnation, ratio, speed float64) {
	if !(ratio > 0) || math.IsInf(ratio, 0) {
		return
	}
	u := o.usual[peers]
	if u == nil {
		u = &Histogram{}
		o.usual[peers] = u
	}
	x := math.Log(ratio)
	u.add(now, x+math.Log(speed))
	if u.Weight() < minUsual {
		return
	}
	v := o.upstreams[id]
	if v == nil {
		if len(o.upstreams) >= maxUpstreams {
			return
		}
		v = &observed{}
		o.upstreams[id] = v
	}
	v.add(now, x-u.quantile(quantile))
	v.seenAt = now
}

// Forget drops an incarnation.
func (o *Observer) Forget(id retry.Incarnation) { delete(o.upstreams, id) }

// Recent returns what this node has seen of the upstreams that responded to it recently, the newest first.
func (o *Observer) Recent(now time.Time) []Seen {
	var list []retry.Incarnation
	for id, v := range o.upstreams {
		switch age := now.Sub(v.seenAt); {
		case age <= reportedFor:
			list = append(list, id)
		case age > halfLife:
			if v.fade(now); v.Weight() < leastWeight {
				delete(o.upstreams, id)
			}
		}
	}
	slices.SortFunc(list, func(a, b retry.Incarnation) int {
		return cmp.Or(o.upstreams[b].seenAt.Compare(o.upstreams[a].seenAt), compare(a, b))
	})
	seen := make([]Seen, 0, min(len(list), maxSeen))
	for _, id := range list[:min(len(list), maxSeen)] {
		v := o.upstreams[id]
		v.fade(now)
		seen = append(seen, Seen{Upstream: id, Ratios: v.Histogram})
	}
	return seen
}
