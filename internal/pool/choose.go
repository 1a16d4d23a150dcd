package pool

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"spurhall.example/spurhall/internal/call"
	"spurhall.example/spurhall/internal/capacity"
)

// This file implements the choice of an upstream. It is a pure function of its arguments.
//
// Candidates are compared by the expected time until the request's first event. For engines, this is the
// time to read the prompt tokens that are queued there and those of the request that are not cached, at
// the learned speed. Occupied slots, memory that is nearly full and distance are converted into time as
// well. Cached prefix parts thereby attract requests with the same prefix, and queues spread them, without
// a separate rule for either.
//
// What a candidate reads takes as long as its lasting speed says (package speed). The time that all candidates take
// alike, to a first event without anything to read, counts at none of them, nor does the speed count for occupied
// slots: idle fast ones would otherwise get more than they carry, since the load that is known is some tenths of a
// second old. For the same reason more unreported work is assumed at a fast one (docs/design/speed.md).
//
// Alternatives considered: the rendezvous hashing of package route. It needs no shared index, but spreads
// each shared part over a fixed number of upstreams whatever the current load is; with a few nodes, an
// index carried by each report costs a few hundred bytes a second.

// Candidate is the state of one upstream as a choice uses it.
type Candidate struct {
	ID       string
	Slots    int
	SameHall bool
	Running  float64 // requests in progress, from all nodes
	Queued   float64 // prompt tokens waiting for their first token
	Reserved float64 // tokens of memory reserved by running requests
	Memory   float64 // capacity in tokens; 0: unknown
	Cached   float64 // tokens of this prompt that are probably cached
	Fetch    float64 // further tokens that it could fetch from another upstream
	FetchMs  float64 // duration of the fetch in milliseconds
	Source   string  // address of that other upstream
	Slowness float64 // response times relative to the pool's at the moment; 1 is usual
	Speed    float64 // lasting speed relative to the pool's; 0: not known to differ
	Failures float64 // share of recent requests that failed
	Full     bool    // it recently rejected a request because it was full
	Cold     bool    // it is warming up
	// Unreachable is set if a connection to it, or to several upstreams of its hall, failed recently.
	Unreachable bool
	NotHome     bool // it can't be the request's home: other nodes of the hall may not compare it
}

// Request describes a request and the service that it is for.
type Request struct {
	ID            string
	Service       string
	Prompt        float64 // tokens
	Output        float64
	Parts         []call.Part
	Engine        bool // the service runs on engines
	Trial         bool // it goes to an upstream of a roll-out's target that is on trial
	Excluded      map[string]bool
	Version       string // only upstreams of this software version; empty: any
	ReachableOnly bool   // only upstreams that this node has not recently failed to reach
	Successor     bool   // only upstreams with a free slot that are believed to be sound, reachable, and not silent
	placed        string // upstream chosen by a relay, which has counted the request against the upstream's limit
}

// Service is what was learned of a service, as a choice uses it.
type Service struct {
	Engine       capacity.Engine // for a service with engines
	ResponseMs   float64         // milliseconds to the response header, for a service without engines
	UnreportedMs float64         // milliseconds of unreported work of other nodes at a usual upstream
}

// The weights of a choice, in milliseconds unless stated otherwise. Costs that depend on the engines are
// learned; these constants only order the other costs, and the order holds for a service that is twice as
// fast or slow.
const (
	// otherHallMs is a round trip between halls of a region.
	otherHallMs = 2.0
	// occupiedMs is the cost of an engine whose slots are all occupied: running requests make each step
	// longer, and requests that were sent but not yet reported take the last slots.
	occupiedMs = 170.0
	// plainFullFactor is the cost of a plain upstream whose slots are all occupied, in response times: the
	// queue of requests that other nodes have sent since their last report.
	plainFullFactor = 4.0
	memoryShare     = 0.9    // share of an engine's memory that is used without a penalty
	memoryWeight    = 4.0    // tokens read per token over that share: each may cost one or two re-reads
	unavailableMs   = 1300.0 // full or unreachable upstreams are chosen last
	warmUpMs        = 330.0  // upstreams that warm up are chosen before full ones
	homeBonusMs     = 6.0    // bonus of the home, so that all nodes place a new prefix at the same upstream
	failureWeight   = 8.0    // a failure share of one eighth doubles the cost
	baseMs          = 30.0   // base that slowness and failures scale if nothing has to be read
)

// Pick returns the index of the candidate with the lowest cost, or -1 if there is none.
func Pick(n Request, s Service, list []Candidate) int {
	best, least := -1, math.Inf(1)
	home, request := homeOf(n, list), n.ID+"\x00"
	for i := range list {
		c := &list[i]
		if n.Excluded[c.ID] {
			continue
		}
		x := cost(n, s, c) + maxUnreportedFactor*s.UnreportedMs*c.speed()*randomFraction(request, c.ID)
		if i == home {
			x -= homeBonusMs
		}
		if x < least || x == least && c.ID < list[best].ID { // break ties the same way on every node
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
		x += plainCost(s.ResponseMs, c)
	}
	if !c.SameHall {
		x += otherHallMs
	}
	if c.Unreachable || c.Full || c.Slots > 0 && c.Running >= float64(c.Slots) {
		x += unavailableMs
	}
	if c.Cold {
		x += warmUpMs
	}
	x *= c.Slowness * (1 + failureWeight*c.Failures)
	if !n.Engine && c.speed() > 1 {
		x += plainExcess(s.ResponseMs, c) // negative: slowness and failures mustn't scale it
	}
	return x
}

func engineCost(n Request, e capacity.Engine, c *Candidate) float64 {
	tokens := c.Queued + math.Max(0, n.Prompt-c.Cached)
	wait := 0.0
	if c.fetchIsFaster(e) {
		tokens -= c.Fetch
		wait = c.FetchMs
	}
	if c.Memory > 0 {
		over := c.Reserved + n.Prompt + n.Output - memoryShare*c.Memory
		tokens += memoryWeight * math.Max(0, over)
	}
	return wait + e.PrefillTime(tokens)/c.speed() + occupiedMs*c.occupied()
}

// plainCost returns the cost of a plain upstream: the queue at its slots, and what the response of a slow one takes
// longer than a usual one's.
func plainCost(responseMs float64, c *Candidate) float64 {
	return plainFullFactor*responseMs*c.occupied()/c.speed() + max(0, plainExcess(responseMs, c))
}

// plainExcess returns what a plain upstream's response takes longer than a usual one's, negative at a fast one.
func plainExcess(responseMs float64, c *Candidate) float64 { return responseMs * (1/c.speed() - 1) }

// speed returns the lasting speed relative to the pool's.
func (c *Candidate) speed() float64 {
	if c.Speed > 0 {
		return c.Speed
	}
	return 1
}

// occupied returns the share of occupied slots.
func (c *Candidate) occupied() float64 {
	return c.Running / float64(max(c.Slots, 1))
}

// homeOf returns the index of the home upstream, by rendezvous hashing: for a prompt whose shared parts
// are not cached anywhere, and for a plain request. It is the same on every node and differs between
// prompts.
func homeOf(n Request, list []Candidate) int {
	key, _ := homeKey(n, PrefixHashes(n.Parts))
	best, top := -1, uint64(0)
	for i := range list {
		if n.Excluded[list[i].ID] || list[i].NotHome {
			continue
		}
		if w := hashStrings(key, list[i].ID); best < 0 || w > top {
			best, top = i, w
		}
	}
	return best
}

// homeKey returns what the home of a request depends on, and whether other requests have the same one.
func homeKey(n Request, chain []uint64) (key string, shared bool) {
	if len(chain) > 1 {
		return string(appendHash(nil, chain[len(chain)-2])), true
	}
	return n.ID, false
}

// maxHashed is the length up to which strings are hashed without an allocation.
const maxHashed = 128

// hashStrings returns a hash of two strings, one after the other.
func hashStrings(a, b string) uint64 {
	var buffer [maxHashed]byte
	return xxhash.Sum64(append(append(buffer[:0], a...), b...))
}

// PrefixHashes returns a hash for each prefix of the parts: a part is cached only together with all parts
// before it.
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

// remainingQueue returns what is left of a queue of tokens that was reported the given time ago, at an engine with
// the given relative speed.
func remainingQueue(e capacity.Engine, speed, tokens float64, age time.Duration) float64 {
	waits := e.PrefillTime(tokens) / speed
	if waits <= 0 {
		return 0
	}
	return tokens * math.Max(0, 1-float64(age)/float64(time.Millisecond)/waits)
}
