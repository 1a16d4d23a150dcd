// Package route chooses the upstream for a request. It is pure: it takes state and time as input,
// returns a choice and its reason, reads no clock and does no I/O.
//
// Every candidate gets a cost in milliseconds of expected delay, into which the workspace's weights
// convert money and recomputed tokens:
//
//	wait for a slot
//	+ prefill of the prompt tokens that are not likely cached
//	+ distance to the hall
//	+ reclaim risk x tokens that would be recomputed
//	+ price of the time it takes
//
// Where a prompt is likely cached is computed, not looked up. Rendezvous hashing ranks the upstreams
// for a prompt's prefix, and since every node computes the same ranks, nodes agree without
// communication: 360 nodes share no prefix index, and an upstream that appears or goes moves only the
// conversations of the sets that it is in. Two prefixes matter. The shared one (system prompt,
// catalogue) picks a set, as large as its share of the work needs, so that a long text that many
// callers share is cached at a few upstreams and not at all of them; the conversation's own (up to its
// first user message, so that it stays the same from turn to turn) picks one upstream out of that set:
//
//	shared prefix  -> ranks: e4 e1 | e7 e2 e5 ...   the first of them are the set
//	conversation   -> ranks the set: e1 e4          e1 is home, e4 the next
//
// Each node measures a prefix's share by itself. Where the set sizes of two nodes differ by one, only
// the conversations that rank the marginal upstream first are looked for elsewhere.
//
// The cost limits the load of a home: a home with a long queue costs more than the prefill saved, so
// another upstream gets the request, and gets it as well when the home is reclaimed.
//
// Alternatives considered: remembering which upstream this node dispatched a conversation to, which
// made no difference, since the next turn comes through another node; and, compared in
// docs/DECISIONS.md, round robin, least in flight, two random choices, and an index of what every
// upstream caches.
package route

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Policy is a routing policy. All but PolicyAffinity are baselines.
type Policy string

// The policies.
const (
	PolicyAffinity   Policy = "affinity"
	PolicyRoundRobin Policy = "round-robin"
	PolicyLeast      Policy = "least-in-flight"
	PolicyTwoChoices Policy = "two-choices"
)

// Valid reports whether the policy is known.
func (p Policy) Valid() bool {
	switch p {
	case PolicyAffinity, PolicyRoundRobin, PolicyLeast, PolicyTwoChoices:
		return true
	}
	return false
}

// Candidate is an upstream that may run the request. The slice of candidates is flat, and choices are
// indices into it.
type Candidate struct {
	ID          string
	Hash        uint64 // of ID; see HashID
	Hall        string
	Zone        string
	Slots       int32
	Load        int32         // running and queued, as last reported
	LoadAge     time.Duration // of that report
	InFlight    int32         // of this node, now
	SinceReport int32         // dispatched by this node since that report was made
	Distance    time.Duration // one way
	Price       float64       // money per hour
	ReclaimRate float64       // expected reclaims per hour
	Slowness    float64       // time per token relative to the pool's; 0: same as the pool's
	Excluded    bool          // attempted already, leaving or ejected
}

// HashID returns the hash of an upstream's id.
func HashID(id string) uint64 { return xxhash.Sum64String(id) }

// Prompt is what the router knows of a prompt. For a prefix, 0 means none.
type Prompt struct {
	Shared         uint64 // hash of the prefix that many callers share
	SharedTokens   int
	Conversation   uint64 // hash of the prefix that stays the same through the conversation
	ReusableTokens int    // tokens that an upstream that served the last turn would have cached
	Tokens         int
	MaxTokens      int
	Batch          bool // may wait, so money counts in full
}

// Options configures a router. Times are estimates for the pool.
type Options struct {
	Policy          Policy
	PrefillPerToken time.Duration // for a token that is not cached
	ServiceTime     time.Duration // average time of a request in a slot
	SetSize         int           // fixed size of the set that holds a shared prefix; 0: by its share of the work
	CostWeight      float64       // milliseconds of delay that one unit of money is worth
	TokenWeight     float64       // milliseconds of delay that one recomputed token is worth, in addition to its prefill
}

// Reason states what decided a choice.
type Reason string

// The reasons.
const (
	ReasonHome     Reason = "home"     // where the conversation is likely cached
	ReasonSpill    Reason = "spill"    // home was too loaded or too expensive
	ReasonBaseline Reason = "baseline" // a baseline policy, which has no homes
	ReasonNone     Reason = "none"     // no candidate
)

// Choice is the outcome. Index is -1 when there is no candidate.
type Choice struct {
	Index  int
	Reason Reason
	Cost   float64 // milliseconds
}

// Router chooses upstreams for one pool. It isn't safe for concurrent use.
type Router struct {
	o       Options
	offset  int                // where the next round-robin or least-in-flight choice starts
	state   uint64             // of the pseudo-random generator
	inSet   []bool             // by index, of the last Pick
	weights []uint64           // scratch
	work    map[uint64]float64 // recent work by shared prefix
	total   float64
}

// Defaults of options that are not set.
const (
	defaultPrefill = 200 * time.Microsecond
	defaultService = 2 * time.Second
)

// New returns a router.
func New(o Options) *Router {
	if o.Policy == "" {
		o.Policy = PolicyAffinity
	}
	if o.PrefillPerToken == 0 {
		o.PrefillPerToken = defaultPrefill
	}
	if o.ServiceTime == 0 {
		o.ServiceTime = defaultService
	}
	return &Router{o: o, work: make(map[uint64]float64), state: 0x9e3779b97f4a7c15}
}

// SetWeights sets the weights of the workspace that the next choices are for.
func (r *Router) SetWeights(cost, token float64) { r.o.CostWeight, r.o.TokenWeight = cost, token }

// serviceGain is the weight of a new measurement of the service time.
const serviceGain = 0.02

// ObserveService records how long a request occupied its slot.
func (r *Router) ObserveService(d time.Duration) {
	r.o.ServiceTime += time.Duration(serviceGain * float64(d-r.o.ServiceTime))
}

// Pick chooses among the candidates.
func (r *Router) Pick(p *Prompt, list []Candidate) Choice {
	switch r.o.Policy {
	case PolicyRoundRobin:
		return r.roundRobin(list)
	case PolicyLeast:
		return r.leastInFlight(list)
	case PolicyTwoChoices:
		return r.twoChoices(list)
	}
	return r.affinity(p, list)
}

// weight is the rendezvous weight of an upstream for a key.
func weight(key, upstream uint64) uint64 {
	x := key ^ upstream*0x9e3779b97f4a7c15
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}

func (r *Router) affinity(p *Prompt, list []Candidate) Choice {
	home := r.chooseHome(p, list)
	best := Choice{Index: -1, Cost: math.Inf(1)}
	cheapest := r.cheapest(list)
	for i := range list {
		c := &list[i]
		if c.Excluded {
			continue
		}
		cached := r.cached(p, i, home)
		cost := r.cost(p, c, cached, cheapest)
		if i == home {
			cost -= homeBonus + homePrefillShare*float64(p.Tokens)*ms(r.o.PrefillPerToken)
		}
		if cost < best.Cost {
			best.Index, best.Cost = i, cost
		}
	}
	switch {
	case best.Index < 0:
		best.Reason = ReasonNone
	case best.Index == home:
		best.Reason = ReasonHome
	default:
		best.Reason = ReasonSpill
	}
	return best
}

// A request served away from home is computed again when the next turn is at home. So the cost of home is reduced
// by this share of the prompt's prefill, and by a bonus in milliseconds that decides ties.
const (
	homeBonus        = 1.0
	homePrefillShare = 0.5
)

// setReuseShare is the share of a conversation's reusable tokens that is expected at an upstream of its
// set other than home. All of them are expected at home: a deduction for turns that were served
// elsewhere gave worse results.
const setReuseShare = 0.1

// cached returns the estimated number of tokens that a candidate has cached.
func (r *Router) cached(p *Prompt, i, home int) float64 {
	n := 0.0
	if p.Shared != 0 && r.inSet[i] {
		n = float64(p.SharedTokens) + setReuseShare*float64(p.ReusableTokens-p.SharedTokens)
	}
	if i == home {
		n = math.Max(n, float64(p.ReusableTokens))
	}
	return n
}

const (
	// setHeadroom makes a set larger than its share of the work needs on average.
	setHeadroom = 8
	minSetSize  = 1
	// maxCountedWork ages the counted work: all counts are halved when their sum, in tokens, exceeds
	// it.
	maxCountedWork = 2e6
)

// setSize returns the number of upstreams that hold a shared prefix.
func (r *Router) setSize(p *Prompt, n int) int {
	if r.o.SetSize > 0 {
		return r.o.SetSize
	}
	w := float64(p.Tokens-p.ReusableTokens) + outputWeight*float64(p.MaxTokens)
	r.work[p.Shared] += w
	r.total += w
	if r.total > maxCountedWork {
		r.age()
	}
	share := r.work[p.Shared] / r.total
	return min(n, max(minSetSize, int(math.Ceil(share*setHeadroom*float64(n)))))
}

// outputWeight is the cost of an output token for an upstream, in tokens of prefill.
const outputWeight = 20

func (r *Router) age() {
	r.total = 0
	for k, w := range r.work {
		if w < 1 {
			delete(r.work, k)
			continue
		}
		r.work[k] = w / 2
		r.total += w / 2
	}
}

// chooseHome ranks the candidates for the shared prefix, keeps the first ones as the set (in r.inSet),
// and picks the conversation's home out of it.
func (r *Router) chooseHome(p *Prompt, list []Candidate) int {
	home := -1
	r.inSet = append(r.inSet[:0], make([]bool, len(list))...)
	if p.Shared == 0 && p.Conversation == 0 {
		return home
	}
	key, n := p.Shared, r.setSize(p, len(list))
	if key == 0 {
		key, n = p.Conversation, 1
	}
	least := r.threshold(key, n, list)
	var top uint64
	for i := range list {
		if list[i].Excluded || weight(key, list[i].Hash) < least {
			continue
		}
		r.inSet[i] = true
		if w := weight(p.Conversation, list[i].Hash); home < 0 || w > top {
			home, top = i, w
		}
	}
	return home
}

// threshold returns the weight that only the n highest candidates reach; 0 if there are no more than n.
func (r *Router) threshold(key uint64, n int, list []Candidate) uint64 {
	r.weights = r.weights[:0]
	for i := range list {
		if !list[i].Excluded {
			r.weights = append(r.weights, weight(key, list[i].Hash))
		}
	}
	if n >= len(r.weights) {
		return 0
	}
	slices.Sort(r.weights)
	return r.weights[len(r.weights)-n]
}

func (r *Router) cheapest(list []Candidate) float64 {
	if r.o.CostWeight == 0 {
		return 0
	}
	m := math.Inf(1)
	for i := range list {
		if !list[i].Excluded {
			m = min(m, list[i].Price)
		}
	}
	return m
}

// liveCostShare is the part of its cost weight that a workspace applies to live requests: with all of
// it, they would queue for the cheap upstreams beyond their latency target.
const liveCostShare = 0.1

const (
	msPerHour = 3600 * 1000
	// busyWeight decides between equal upstreams of a full pool, which tie: beside the queue's length
	// in service times, slots in use count a little, so that idle upstreams fill evenly.
	busyWeight = 0.004
)

func (r *Router) cost(p *Prompt, c *Candidate, cached, cheapest float64) float64 {
	missing := float64(p.Tokens) - cached
	prefill := missing * ms(r.o.PrefillPerToken)
	slow := slowness(c)
	service := ms(r.o.ServiceTime) * slow
	prefill *= slow
	cost := r.wait(c)*slow + prefill + 2*ms(c.Distance) + missing*r.o.TokenWeight + service - ms(r.o.ServiceTime)
	// A reclaim during this request loses the prompt and half of the output.
	risk := c.ReclaimRate * service / msPerHour
	lost := float64(p.Tokens) + float64(p.MaxTokens)/2
	cost += risk * lost * (ms(r.o.PrefillPerToken) + r.o.TokenWeight)
	hours := (prefill + service) / msPerHour / float64(max(c.Slots, 1))
	money := r.o.CostWeight * hours * (c.Price - cheapest)
	if !p.Batch {
		money *= liveCostShare
	}
	return cost + money
}

func slowness(c *Candidate) float64 {
	if c.Slowness == 0 {
		return 1
	}
	return c.Slowness
}

// wait estimates the time until a slot is free. The reported load is out of date by its age: requests
// that this node sent since are added, and an older report counts less, fading towards what this node
// sees itself.
func (r *Router) wait(c *Candidate) float64 {
	known := float64(c.Load) + float64(c.SinceReport)
	fade := loadHalfAge / (loadHalfAge + c.LoadAge.Seconds())
	load := known*fade + math.Max(float64(c.InFlight), known/2)*(1-fade)
	load = math.Max(load, float64(c.InFlight))
	slots := float64(max(c.Slots, 1))
	service := ms(r.o.ServiceTime)
	return service/slots*shortfall(load-slots+1) + busyWeight*service*load/slots
}

// loadError is the standard deviation of a reported load, in requests. Letting it grow with the age of
// the report gave worse results: all upstreams then look similar, and conversations leave their homes
// for no gain.
const loadError = 0.5

// tailCutoff is the distance, in standard deviations, beyond which the normal error no longer matters.
const tailCutoff = 5

// shortfall is the expected queue when the load exceeds the slots by x on average, with a normal error
// of standard deviation loadError: E[max(0, x+e)].
func shortfall(x float64) float64 {
	z := x / loadError
	if z < -tailCutoff {
		return 0
	}
	if z > tailCutoff {
		return x
	}
	density := math.Exp(-z*z/2) / math.Sqrt(2*math.Pi)
	return loadError*density + x*0.5*math.Erfc(-z/math.Sqrt2)
}

// loadHalfAge is the age, in seconds, at which a load report counts half.
const loadHalfAge = 10.0

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
