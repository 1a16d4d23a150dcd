package limit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"spurhall.example/spurhall/internal/retry"
)

// This file decides which nodes share an upstream's rate, and tracks how much of its share this node has
// left.
//
// It is designed for overloaded upstreams: these name a rate that is small compared to what the fleet
// would send, often below one request a second per node. The limit that operators check allows one and a
// half times the rate and five requests.

const (
	// minShare is the smallest useful share of a rate: a node has requests for as much.
	minShare = 2.0 // requests per second
	// maxSaved is how much of its share a node may save up: the request that is due, and one that was due
	// while no request came. With only one, the time until the next request would be lost each time.
	maxSaved = 2.0
)

// sharerCount returns how many of the nodes share a rate.
func sharerCount(rate float64, nodes int) int {
	return max(1, int(min(float64(nodes), math.Ceil(rate/minShare))))
}

// share is this node's part of a rate.
type share struct {
	rate    float64 // requests per second; 0: other nodes share the rate
	saved   float64 // requests that may be sent now
	updated time.Time
	rank    rank
}

// rank is this node's position among those that may share a rate.
type rank struct {
	version uint64 // of Tracker.nodes and Tracker.placers
	engine  bool
	ahead   int // number of nodes that come before this one
	listed  bool
}

// SetNodes sets the nodes, this one included, and those of them that place requests at engines for all
// others; none: each node chooses.
func (t *Tracker) SetNodes(nodes, placers []string) {
	if slices.Equal(nodes, t.nodes) && slices.Equal(placers, t.placers) {
		return
	}
	t.nodes, t.placers = nodes, placers
	t.version++
}

// eligibleNodes returns the nodes of which some share a rate.
func (t *Tracker) eligibleNodes(engine bool) []string {
	if engine && len(t.placers) > 0 {
		return t.placers
	}
	return t.nodes
}

// rankFor returns this node's rank for an upstream.
func (t *Tracker) rankFor(of retry.Incarnation, engine bool) rank {
	s := rank{version: t.version, engine: engine}
	own := weight(of, t.self)
	for _, n := range t.eligibleNodes(engine) {
		if n == t.self {
			s.listed = true
		} else if cmp.Or(cmp.Compare(weight(of, n), own), cmp.Compare(n, t.self)) > 0 {
			s.ahead++
		}
	}
	return s
}

func weight(of retry.Incarnation, node string) uint64 {
	return xxhash.Sum64String(of.ID + "\x00" + node)
}

// shareOf returns this node's share of a rate as of now.
func (t *Tracker) shareOf(now time.Time, k *upstream, rate float64, engine bool) *share {
	s := &k.share
	if s.rank.version != t.version || s.rank.engine != engine {
		s.rank = t.rankFor(k.Upstream, engine)
	}
	part := 0.0
	if count := t.sharerCount(rate, len(t.eligibleNodes(engine))); s.rank.listed && s.rank.ahead < count {
		part = rate / float64(count)
	}
	s.refill(now, part)
	return s
}

// Wait returns how long it takes until this node may send to an upstream; 0: it may now. If other nodes
// share the rate, it is the time in which one of them may.
func (t *Tracker) Wait(now time.Time, of retry.Incarnation, engine bool) time.Duration {
	rate, named := t.Rate(now, of)
	if !named {
		return 0
	}
	s := t.shareOf(now, t.upstreams[of], rate, engine)
	switch {
	case s.saved >= 1:
		return 0
	case s.rate == 0:
		return seconds(1 / rate)
	}
	return seconds((1 - s.saved) / s.rate)
}

// Take records a request that is sent.
func (t *Tracker) Take(now time.Time, of retry.Incarnation, engine bool) {
	if rate, named := t.Rate(now, of); named {
		t.shareOf(now, t.upstreams[of], rate, engine).saved--
	}
}

// Return gives back what was taken for a request that did not arrive.
func (t *Tracker) Return(of retry.Incarnation) {
	if k := t.upstreams[of]; k != nil {
		k.share.saved = min(maxSaved, k.share.saved+1)
	}
}

// refill adds what has become due of the share. A node that gains a share starts with nothing: another
// node may have just used it up.
func (s *share) refill(now time.Time, rate float64) {
	if s.rate > 0 && rate > 0 {
		s.saved = min(maxSaved, s.saved+s.rate*max(0, now.Sub(s.updated).Seconds()))
	} else {
		s.saved = min(0, s.saved)
	}
	s.rate, s.updated = rate, now
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
