package limit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"spurhall.example/spurhall/internal/retry"
)

// This file is who shares an upstream's rate, and what this node has left of its share.
//
// The load that it answers: an upstream in need names a rate that is small beside what the fleet would send, often
// below one request a node and a second. The rule allows half as much again, and five requests.

const (
	// shareLeast is the part of a rate that is worth having: a node has requests for as much.
	shareLeast = 2.0 // requests a second
	// savedMost is what a node may save up of its share: the request that is due, and one that was due while
	// none came. With one alone, what passes until the next request comes is lost each time.
	savedMost = 2.0
)

// sharers is how many of some nodes share a rate.
func sharers(rate float64, nodes int) int {
	return max(1, int(min(float64(nodes), math.Ceil(rate/shareLeast))))
}

// share is this node's part of a rate.
type share struct {
	rate     float64 // requests a second; 0: others have it
	saved    float64 // requests that may be sent now
	updated  time.Time
	standing standing
}

// standing is where this node stands among those that may share a rate.
type standing struct {
	version uint64 // of the nodes
	engine  bool
	ahead   int // nodes that come before this one
	listed  bool
}

// SetNodes says which nodes there are, this one included, and which of them place requests at engines for all
// others; none: each node chooses.
func (b *Tracker) SetNodes(nodes, placers []string) {
	if slices.Equal(nodes, b.nodes) && slices.Equal(placers, b.placers) {
		return
	}
	b.nodes, b.placers = nodes, placers
	b.version++
}

// senders returns the nodes of which some share a rate.
func (b *Tracker) senders(engine bool) []string {
	if engine && len(b.placers) > 0 {
		return b.placers
	}
	return b.nodes
}

// stand returns where this node stands for an upstream.
func (b *Tracker) stand(of retry.Incarnation, engine bool) standing {
	s := standing{version: b.version, engine: engine}
	own := weight(of, b.self)
	for _, n := range b.senders(engine) {
		if n == b.self {
			s.listed = true
		} else if cmp.Or(cmp.Compare(weight(of, n), own), cmp.Compare(n, b.self)) > 0 {
			s.ahead++
		}
	}
	return s
}

func weight(of retry.Incarnation, node string) uint64 { return xxhash.Sum64String(of.ID + "\x00" + node) }

// shareOf returns this node's part of a rate as of now.
func (b *Tracker) shareOf(now time.Time, k *known, rate float64, engine bool) *share {
	s := &k.share
	if s.standing.version != b.version || s.standing.engine != engine {
		s.standing = b.stand(k.Upstream, engine)
	}
	part := 0.0
	if count := b.sharers(rate, len(b.senders(engine))); s.standing.listed && s.standing.ahead < count {
		part = rate / float64(count)
	}
	s.refill(now, part)
	return s
}

// Wait returns how long it takes until this node may send to an upstream; 0: it may now. Where others share
// the rate, it is the time in which one of them may.
func (b *Tracker) Wait(now time.Time, of retry.Incarnation, engine bool) time.Duration {
	rate, named := b.Rate(now, of)
	if !named {
		return 0
	}
	s := b.shareOf(now, b.known[of], rate, engine)
	switch {
	case s.saved >= 1:
		return 0
	case s.rate == 0:
		return seconds(1 / rate)
	}
	return seconds((1 - s.saved) / s.rate)
}

// Take notes a request that is sent.
func (b *Tracker) Take(now time.Time, of retry.Incarnation, engine bool) {
	if rate, named := b.Rate(now, of); named {
		b.shareOf(now, b.known[of], rate, engine).saved--
	}
}

// Return gives back what was taken for a request that didn't arrive.
func (b *Tracker) Return(of retry.Incarnation) {
	if k := b.known[of]; k != nil {
		k.share.saved = min(savedMost, k.share.saved+1)
	}
}

// refill adds what has come due of the share. Whoever gets one begins with nothing: another node may have used it
// up a moment ago.
func (s *share) refill(now time.Time, rate float64) {
	if s.rate > 0 && rate > 0 {
		s.saved = min(savedMost, s.saved+s.rate*max(0, now.Sub(s.updated).Seconds()))
	} else {
		s.saved = min(0, s.saved)
	}
	s.rate, s.updated = rate, now
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
