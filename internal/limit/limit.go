// Package limit tracks the request rates that upstreams state for all nodes together, and decides when
// this node may send to them.
//
// An observation is what an upstream stated in a response: it names a rate, or lifts the previous one by
// naming none. Nodes exchange observations with their ages, and the latest one holds. When responses
// overtake each other, one that allows more is accepted only if its request was sent after the
// observation that it would replace.
//
// No node asks for permission to send. Each node knows the rate and the other nodes, and so the few nodes
// that share the rate: the first ones by a hash of the upstream and the node's name, as many as leave
// each of them a useful share (share.go). The others send nothing there. While nodes come and go or
// observations are under way, two nodes may use different lists for a moment; a node that gains a share
// starts with nothing saved, so that a share that moves is not used twice.
//
// Alternatives considered: a part of the rate for each node (with a rate below one request a second per
// node, all nodes save up for a request at the same time, and the burst they may send together grows with
// the fleet instead of the rate); one node that hands out turns (a call before each request, and no
// sending while that node is down or partitioned off).
//
// The package reads no clock: callers pass times in.
package limit

import (
	"math"
	"time"

	"spurhall.example/spurhall/internal/retry"
)

const (
	// observationTTL is how long an observation holds without a response that renews it: the nodes that
	// share a rate send requests more often than that.
	observationTTL = time.Minute
	// renewalThreshold is the difference in age from which an equal observation counts as renewed. The
	// time that forwarding takes makes an observation look younger; without the threshold one that is
	// forwarded in a circle would never expire.
	renewalThreshold = time.Second
	// maxObservations bounds the upstreams that are remembered.
	maxObservations = 1024
	// minRate is the rate at which requests are sent to an upstream that allows none or next to none: only
	// its responses tell when that is over.
	minRate = 0.1 // requests per second
)

// Observation is the latest rate that an upstream stated.
type Observation struct {
	Upstream retry.Incarnation
	Rate     float64 // requests per second, from all nodes together
	Lifted   bool    // the upstream no longer names a rate
	At       time.Time
}

// valid reports whether an observation names an upstream and a rate that is finite and not negative.
func (o Observation) valid() bool {
	return o.Upstream.ID != "" && o.Rate >= 0 && !math.IsInf(o.Rate, 0)
}

// same reports whether two observations state the same rate, or none.
func (o Observation) same(p Observation) bool {
	return o.Lifted == p.Lifted && (o.Lifted || o.Rate == p.Rate)
}

// Tracker holds the observations and shares of one node. It isn't safe for concurrent use.
type Tracker struct {
	self        string
	nodes       []string // that may send, this one included
	placers     []string // of these, the nodes that choose engines for all others; empty: each node chooses
	version     uint64   // of nodes and placers
	upstreams   map[retry.Incarnation]*upstream
	sharerCount func(rate float64, nodes int) int
}

// upstream is the observation of one upstream, and this node's share of its rate.
type upstream struct {
	Observation
	share share
}

// NewTracker returns the tracker of a node that knows no other nodes.
func NewTracker(self string) *Tracker {
	return &Tracker{self: self, nodes: []string{self}, version: 1, upstreams: make(map[retry.Incarnation]*upstream), sharerCount: sharerCount}
}

// ObserveRate records a response that names a rate, to a request sent at the given time, and reports
// whether that is a change.
func (t *Tracker) ObserveRate(now, sent time.Time, of retry.Incarnation, rate float64) bool {
	o := Observation{Upstream: of, Rate: rate, At: now}
	old := t.upstreams[of]
	if !o.valid() || old != nil && !old.Lifted && rate > old.Rate && !sent.After(old.At) {
		return false
	}
	return t.replace(o)
}

// ObserveNoRate records a response that names no rate, and reports whether that is a change.
func (t *Tracker) ObserveNoRate(now, sent time.Time, of retry.Incarnation) bool {
	old := t.upstreams[of]
	if old == nil || old.Lifted || !sent.After(old.At) {
		return false
	}
	return t.replace(Observation{Upstream: of, Lifted: true, At: now})
}

// Merge applies the observations of another node and returns those that changed something.
func (t *Tracker) Merge(now time.Time, list []Observation) []Observation {
	var changed []Observation
	for _, o := range list {
		if !o.valid() || now.Sub(o.At) > observationTTL || o.At.After(now) {
			continue
		}
		old := t.upstreams[o.Upstream]
		if old == nil && o.Lifted || old != nil && (!o.At.After(old.At) || old.same(o) && o.At.Sub(old.At) < renewalThreshold) {
			continue
		}
		if t.replace(o) {
			changed = append(changed, o)
		}
	}
	return changed
}

// replace stores an observation in place of the previous one and reports whether it states something
// else.
func (t *Tracker) replace(o Observation) bool {
	k := t.upstreams[o.Upstream]
	if k == nil {
		t.prune(o.At)
		k = &upstream{Observation: Observation{Upstream: o.Upstream, Lifted: true}}
		t.upstreams[o.Upstream] = k
	}
	changed := !k.same(o)
	if changed && k.Lifted {
		k.share = share{} // nothing is saved up from a time without a limit
	}
	k.Observation = o
	return changed
}

// Forget drops the observation of an upstream incarnation that has ended, where the next incarnation may
// have the same name.
func (t *Tracker) Forget(of retry.Incarnation) { delete(t.upstreams, of) }

// prune drops observations that no response has renewed, and the oldest one if there are too many.
func (t *Tracker) prune(now time.Time) {
	var oldest *upstream
	for of, k := range t.upstreams {
		if now.Sub(k.At) > observationTTL {
			delete(t.upstreams, of)
		} else if oldest == nil || k.At.Before(oldest.At) {
			oldest = k
		}
	}
	if len(t.upstreams) >= maxObservations {
		delete(t.upstreams, oldest.Upstream)
	}
}

// IsEmpty reports whether there are no observations.
func (t *Tracker) IsEmpty() bool { return len(t.upstreams) == 0 }

// Observations returns all observations, for other nodes.
func (t *Tracker) Observations(now time.Time) []Observation {
	t.prune(now)
	list := make([]Observation, 0, len(t.upstreams))
	for _, k := range t.upstreams {
		list = append(list, k.Observation)
	}
	return list
}

// Lookup returns the observation that holds for an upstream and this node's share of its rate, for
// display.
func (t *Tracker) Lookup(now time.Time, of retry.Incarnation) (o Observation, share float64, named bool) {
	if _, named = t.Rate(now, of); !named {
		return Observation{}, 0, false
	}
	k := t.upstreams[of]
	return k.Observation, k.share.rate, true
}

// Rate returns the rate that an upstream names, if any.
func (t *Tracker) Rate(now time.Time, of retry.Incarnation) (float64, bool) {
	k := t.upstreams[of]
	if k == nil || k.Lifted || now.Sub(k.At) > observationTTL {
		return 0, false
	}
	return max(k.Rate, minRate), true
}
