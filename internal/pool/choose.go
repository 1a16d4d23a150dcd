package pool

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"spurhall.example/spurhall/internal/call"
	"spurhall.example/spurhall/internal/capacity"
)

// This file is the choice itself. It is pure: everything it weighs comes in.
//
// Candidates are compared by the time until this request's first event. With engines, it
// is that of reading what is queued there already and what of its own prompt isn't cached,
// at the speed that was learned. Slots that are taken, memory that is nearly full and
// distance are turned into time, too. Prefix parts thereby pull requests together, and a
// queue pushes them apart, without a rule for either.
//
// Weighed: the rendezvous homes of package route. They need no shared index, but hold
// every shared part at the size of its set whatever the load of the moment; with a few
// nodes, an index that each report carries on costs a few hundred bytes a second.

// Candidate is what is known of one upstream.
type Candidate struct {
	ID       string
	Slots    int
	SameHall bool
	Running  float64 // requests there now, of all nodes
	Queued   float64 // prompt tokens there without a first token
	Reserved     float64 // tokens of memory that running requests take
	Memory   float64 // tokens; 0: unknown
	Cached   float64 // tokens of this prompt that are likely cached
	Fetch    float64 // tokens beyond these that it could take from another upstream
	FetchMs  float64 // milliseconds that this takes
	Source   string  // the other upstream's address
	Slowness float64 // of its answers relative to the pool's, 1 is usual
	Failures float64 // share of recent requests that failed
	Full  bool    // said that it is full a moment ago
	Cold     bool    // warming up
	// Unreachable says that it, or others of its hall, couldn't be reached a moment ago.
	Unreachable bool
}

// Need is what is known of the request and of the service that it goes to.
type Request struct {
	ID       string
	Service  string
	Prompt   float64 // tokens
	Output   float64
	Parts    []call.Part
	Engine   bool // the service has engines
	Trial    bool // it goes to an upstream of a roll-out's target that is on trial
	Excluded map[string]bool
	ReachableOnly    bool   // only upstreams that this node hasn't failed to reach lately
	placed   string // the upstream that a relay has chosen, which has counted it against that one's limit
}

// Service is what was learned of a service, as a choice needs it.
type Service struct {
	Engine capacity.Engine // of one with engines
	ResponseMs float64         // milliseconds to an answer's head, of one without
	UnreportedMs float64         // milliseconds of work that others have sent to an upstream since their last word
}

// The weights of a choice, in milliseconds. What depends on the engines is learned; these
// only put the rest in order, and a service that is twice as fast or slow keeps that order.
const (
	// otherHallMs is a round trip between halls of a region.
	otherHallMs = 2.0
	// occupiedMs is what an engine costs whose slots are all taken: requests that run make
	// each step longer, and those that were sent and not yet reported take the last slots.
	occupiedMs = 170.0
	// plainFull is what a plain upstream costs whose slots are all taken, in answers' times:
	// its queue of the requests that other nodes have sent since they reported.
	plainFull     = 4.0
	memoryShare   = 0.9    // of an engine's memory that is used without a penalty
	memoryWeight  = 4.0    // tokens read a token over that share: each may cost a re-read or two
	fullMs        = 1300.0 // an upstream that is full or can't be reached is asked last
	coldMs        = 330.0  // one that warms up, before one that is full
	homeMs        = 6.0    // settles where a new prefix goes: all nodes name the same upstream
	failureWeight = 8.0    // a share of failures of an eighth doubles the cost
	baseMs        = 30.0   // what slowness and failures are a part of where nothing is to be read
)

// Pick returns the index of the cheapest candidate, or -1 if there is none.
func Pick(n Request, s Service, list []Candidate) int {
	best, least := -1, math.Inf(1)
	home := homeOf(n, list)
	for i := range list {
		c := &list[i]
		if n.Excluded[c.ID] {
			continue
		}
		x := cost(n, s, c) + unseenMost*s.UnreportedMs*luck(n.ID, c.ID)
		if i == home {
			x -= homeMs
		}
		if x < least || x == least && c.ID < list[best].ID { // the same one on every node
			best, least = i, x
		}
	}
	return best
}

func cost(n Request, s Service, c *Candidate) float64 {
	x := baseMs
	if n.Engine {
		x += engineCost(n, s.Engine, c)
	} else {
		x += plainFull * s.ResponseMs * c.occupied()
	}
	if !c.SameHall {
		x += otherHallMs
	}
	if c.Unreachable || c.Full || c.Slots > 0 && c.Running >= float64(c.Slots) {
		x += fullMs
	}
	if c.Cold {
		x += coldMs
	}
	return x * c.Slowness * (1 + failureWeight*c.Failures)
}

func engineCost(n Request, e capacity.Engine, c *Candidate) float64 {
	tokens := c.Queued + math.Max(0, n.Prompt-c.Cached)
	wait := 0.0
	if c.fetches(e) {
		tokens -= c.Fetch
		wait = c.FetchMs
	}
	if c.Memory > 0 {
		over := c.Reserved + n.Prompt + n.Output - memoryShare*c.Memory
		tokens += memoryWeight * math.Max(0, over)
	}
	return wait + e.PrefillTime(tokens) + occupiedMs*c.occupied()
}

// occupied is the share of slots that are taken.
func (c *Candidate) occupied() float64 {
	return c.Running / float64(max(c.Slots, 1))
}

// homeOf names the upstream for a prompt whose shared parts are cached nowhere, or for
// a plain request: the same one on every node, another one for each prompt.
func homeOf(n Request, list []Candidate) int {
	key := n.ID
	if c := PrefixHashes(n.Parts); len(c) > 1 {
		key = string(appendHash(nil, c[len(c)-2]))
	}
	best, top := -1, uint64(0)
	for i := range list {
		if n.Excluded[list[i].ID] {
			continue
		}
		if w := xxhash.Sum64String(key + list[i].ID); best < 0 || w > top {
			best, top = i, w
		}
	}
	return best
}

// Chain returns a hash for each prefix of the parts: a part is cached only together with
// all those before it.
func PrefixHashes(p []call.Part) []uint64 {
	r := make([]uint64, len(p))
	var b [16]byte
	h := uint64(0)
	for i := range p {
		k := appendHash(appendHash(b[:0], h), p[i].ID)
		h = xxhash.Sum64(k)
		r[i] = h
	}
	return r
}

func appendHash(b []byte, v uint64) []byte {
	for i := 0; i < 8; i++ {
		b = append(b, byte(v>>(8*i)))
	}
	return b
}

// drained is what is left of a queue of tokens that was reported a while ago.
func drained(e capacity.Engine, tokens float64, age time.Duration) float64 {
	waits := e.PrefillTime(tokens)
	if waits <= 0 {
		return 0
	}
	return tokens * math.Max(0, 1-float64(age)/float64(time.Millisecond)/waits)
}
