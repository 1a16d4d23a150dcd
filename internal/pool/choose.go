package pool

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"spurhall.example/spurhall/internal/call"
)

// This file is the choice itself. It is pure: everything it weighs comes in.
//
// Candidates of a service with engines are compared by the prompt tokens that would be
// read before this request's first token: those queued there already, and those of its
// own prompt that the upstream doesn't have cached. Requests that run, memory that is
// nearly full and distance are turned into tokens, too. Prefix parts thereby pull
// requests together, and a queue pushes them apart, without a rule for either.
//
// Weighed: the rendezvous homes of package route. They need no shared index, but hold
// every shared part at the size of its set whatever the load of the moment; with a few
// nodes, an index that each report carries on costs a few hundred bytes a second.

// Candidate is what is known of one upstream.
type Candidate struct {
	ID       string
	Slots    int
	SameHall bool
	Running  int     // requests there now, of all nodes
	Queued   float64 // prompt tokens there without a first token
	Held     float64 // tokens of memory that running requests take
	Memory   float64 // tokens; 0: unknown
	Cached   float64 // tokens of this prompt that are likely cached
	Slowness float64 // of its answers relative to the pool's, 1 is usual
	Failures float64 // share of recent requests that failed
	Refused  bool    // said that it is full a moment ago
	Cold     bool    // warming up
	// Unreachable says that it, or others of its hall, couldn't be reached a moment ago.
	Unreachable bool
}

// Need is what is known of the request.
type Need struct {
	ID       string
	Service  string
	Prompt   float64 // tokens
	Output   float64
	Parts    []call.Part
	Engine   bool // the service has engines
	Excluded map[string]bool
}

// The weights of a choice, in prompt tokens read. An engine of the platform's sheets
// reads about 20 to 30 of them in a millisecond.
const (
	tokensPerMs     = 20.0   // low end of the sheets
	runningTokens   = 40.0   // what one running request takes of the others' step, about 2 ms
	otherHallTokens = 60.0   // a round trip between halls, about 3 ms
	memoryShare     = 0.9    // of an engine's memory that is used without a penalty
	memoryWeight    = 4.0    // tokens a token over that share: each may cost a re-read or two
	fullTokens      = 40_000 // an upstream that is full or can't be reached is asked last
	coldTokens      = 10_000
	homeTokens      = 200.0 // settles where a new prefix goes: all nodes name the same upstream
	failureWeight   = 8.0   // a share of failures of an eighth doubles the cost
	baseTokens      = 1000.0
)

// Pick returns the index of the cheapest candidate, or -1 if there is none.
func Pick(n Need, list []Candidate) int {
	best, least := -1, math.Inf(1)
	home := homeOf(n, list)
	for i := range list {
		c := &list[i]
		if n.Excluded[c.ID] {
			continue
		}
		x := cost(n, c)
		if i == home {
			x -= homeTokens
		}
		if x < least {
			best, least = i, x
		}
	}
	return best
}

func cost(n Need, c *Candidate) float64 {
	x := baseTokens
	if n.Engine {
		x += engineCost(n, c)
	} else {
		x += plainCost(c)
	}
	if !c.SameHall {
		x += otherHallTokens
	}
	if c.Unreachable || c.Refused || c.Slots > 0 && c.Running >= c.Slots {
		x += fullTokens
	}
	if c.Cold {
		x += coldTokens
	}
	return x * c.Slowness * (1 + failureWeight*c.Failures)
}

func engineCost(n Need, c *Candidate) float64 {
	x := c.Queued + math.Max(0, n.Prompt-c.Cached) + runningTokens*float64(c.Running)
	if c.Memory > 0 {
		over := c.Held + n.Prompt + n.Output - memoryShare*c.Memory
		x += memoryWeight * math.Max(0, over)
	}
	return x
}

// plainCost counts a request in a slot as the time it takes there, about 15 ms on the
// platform's sheets.
func plainCost(c *Candidate) float64 {
	return float64(c.Running) / float64(max(c.Slots, 1)) * 15 * tokensPerMs * 4
}

// homeOf names the upstream for a prompt whose shared parts are cached nowhere, or for
// a plain request: the same one on every node, another one for each prompt.
func homeOf(n Need, list []Candidate) int {
	key := n.ID
	if c := Chain(n.Parts); len(c) > 1 {
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
func Chain(p []call.Part) []uint64 {
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

// drained is what is left of a queue that was reported a while ago.
func drained(tokens float64, age time.Duration) float64 {
	return math.Max(0, tokens-tokensPerMs*float64(age)/float64(time.Millisecond))
}
