// Package limit holds what upstreams take from all nodes together, where they name a rate, and says when
// this node may send there.
//
// A word is an upstream's own, in an answer: it names a rate, or by saying nothing lifts the one before. Nodes
// tell each other words with their ages, and the newest holds. Of answers that overtake each other, one that
// allows more is believed only if its request was sent after the word that it would replace was heard.
//
// Nobody is asked for leave to send. Each node knows the rate and the other nodes, and so the few that share
// the rate: those that come first by a hash of the upstream's and the node's name, as many as the rate gives a
// share that is of use to one (share.go). The others send nothing there. What changes in between (nodes that
// come and go, words on their way) costs a moment in which two lists differ; whoever comes to a share begins
// with nothing saved, so that a share that moves isn't used twice.
//
// Weighed: a part of the rate for each node. With a rate below one request a node and a second, all save up for
// a request at the same time, and what they may send together grows with the fleet and not with the rate.
// Weighed, too: one node that hands out turns (a call before each request, and nobody while it is gone or cut off).
//
// The package is pure: time comes in.
package limit

import (
	"math"
	"time"

	"spurhall.example/spurhall/internal/retry"
)

const (
	// wordKeeps is how long a word holds that no answer renews: nodes that share a rate ask in less.
	wordKeeps = time.Minute
	// wordFresh is the difference of age from which the same word counts as renewed: what it takes to hand
	// a word on makes it look younger, and handed on in a circle it would never grow old.
	wordFresh = time.Second
	// wordsMost bounds the upstreams that are remembered.
	wordsMost = 1024
	// rateLeast is the rate at which one that takes nothing, or next to nothing, is asked all the same: only its
	// answers tell when that is over.
	rateLeast = 0.1 // requests a second
)

// Word is what is known of one upstream.
type Observation struct {
	Upstream     retry.Incarnation
	Rate   float64 // requests a second, from all nodes together
	Lifted bool    // it names no rate any more
	At     time.Time
}

// valid tells whether a word can be meant.
func (w Observation) valid() bool { return w.Upstream.ID != "" && w.Rate >= 0 && !math.IsInf(w.Rate, 0) }

// same tells whether two words say the same.
func (w Observation) same(o Observation) bool { return w.Lifted == o.Lifted && (w.Lifted || w.Rate == o.Rate) }

// Book is what one node knows. It isn't safe for concurrent use.
type Tracker struct {
	self    string
	nodes   []string // that may send, this one included
	placers []string // those of them that choose engines for all others; empty: each node chooses
	version uint64   // of both
	known   map[retry.Incarnation]*known
	sharers func(rate float64, nodes int) int
}

// known is one upstream's word, and this node's part of it.
type known struct {
	Observation
	share share
}

// NewBook returns the book of a node that knows of no other one.
func NewTracker(self string) *Tracker {
	return &Tracker{self: self, nodes: []string{self}, version: 1, known: make(map[retry.Incarnation]*known), sharers: sharers}
}

// Named takes in an answer that names a rate, to a request that was sent at a time, and returns whether that
// is news.
func (b *Tracker) ObserveRate(now, sent time.Time, of retry.Incarnation, rate float64) bool {
	w := Observation{Upstream: of, Rate: rate, At: now}
	old := b.known[of]
	if !w.valid() || old != nil && !old.Lifted && rate > old.Rate && !sent.After(old.At) {
		return false
	}
	return b.learn(w)
}

// Unnamed takes in an answer that names none, and returns whether that is news.
func (b *Tracker) ObserveNoRate(now, sent time.Time, of retry.Incarnation) bool {
	old := b.known[of]
	if old == nil || old.Lifted || !sent.After(old.At) {
		return false
	}
	return b.learn(Observation{Upstream: of, Lifted: true, At: now})
}

// Hear takes in what another node knows, and returns what is news.
func (b *Tracker) Merge(now time.Time, words []Observation) []Observation {
	var news []Observation
	for _, w := range words {
		if !w.valid() || now.Sub(w.At) > wordKeeps || w.At.After(now) {
			continue
		}
		old := b.known[w.Upstream]
		if old == nil && w.Lifted || old != nil && (!w.At.After(old.At) || old.same(w) && w.At.Sub(old.At) < wordFresh) {
			continue
		}
		if b.learn(w) {
			news = append(news, w)
		}
	}
	return news
}

// learn puts a word in the place of the one before, and returns whether it says something else.
func (b *Tracker) learn(w Observation) bool {
	k := b.known[w.Upstream]
	if k == nil {
		b.forget(w.At)
		k = &known{Observation: Observation{Upstream: w.Upstream, Lifted: true}}
		b.known[w.Upstream] = k
	}
	news := !k.same(w)
	if news && k.Lifted {
		k.share = share{} // nothing is saved up from a time without a limit
	}
	k.Observation = w
	return news
}

// Forget drops the word of one life that is over, where its name may be the next one's, too.
func (b *Tracker) Forget(of retry.Incarnation) { delete(b.known, of) }

// forget drops what no answer has renewed, and the oldest word if there are too many.
func (b *Tracker) forget(now time.Time) {
	var oldest *known
	for of, k := range b.known {
		if now.Sub(k.At) > wordKeeps {
			delete(b.known, of)
		} else if oldest == nil || k.At.Before(oldest.At) {
			oldest = k
		}
	}
	if len(b.known) >= wordsMost {
		delete(b.known, oldest.Upstream)
	}
}

// Words returns what is known, for other nodes.
func (b *Tracker) Observations(now time.Time) []Observation {
	b.forget(now)
	list := make([]Observation, 0, len(b.known))
	for _, k := range b.known {
		list = append(list, k.Observation)
	}
	return list
}

// Look returns the word that holds for an upstream, and what of its rate falls to this node, for who looks on.
func (b *Tracker) Lookup(now time.Time, of retry.Incarnation) (w Observation, share float64, named bool) {
	if _, named = b.Rate(now, of); !named {
		return Observation{}, 0, false
	}
	k := b.known[of]
	return k.Observation, k.share.rate, true
}

// Rate returns the rate that an upstream names, if it does.
func (b *Tracker) Rate(now time.Time, of retry.Incarnation) (float64, bool) {
	k := b.known[of]
	if k == nil || k.Lifted || now.Sub(k.At) > wordKeeps {
		return 0, false
	}
	return max(k.Rate, rateLeast), true
}
