// Package route chooses the upstream for a request. It is pure: state and time
// come in, a choice and its reason go out; it reads no clock and does no I/O.
//
// Every candidate gets a cost in one unit, milliseconds of expected delay, into
// which the workspace's weights turn money and recomputed tokens:
//
//	wait for a slot
//	+ prefill of the prompt tokens that are not likely cached
//	+ distance to the hall
//	+ reclaim risk x tokens that would be recomputed
//	+ price of the time it takes
//
// Where a prompt is likely cached is not looked up but computed. Rendezvous
// hashing ranks the upstreams for a prompt's prefix, and since every node ranks
// alike, they agree without a word: 360 nodes share no prefix index, and an
// upstream that comes or goes moves only the conversations of the sets it is in. Two
// prefixes matter.
// The shared one (system prompt, catalogue) picks a set, as large as its share of
// the work needs, so that a long text that many callers share is held a few times
// and not everywhere; the conversation's own (up to its first user message, so that
// it stays the same from turn to turn) picks one upstream out of that set:
//
//	shared prefix  -> ranks: e4 e1 | e7 e2 e5 ...   the first of them are the set
//	conversation   -> ranks the set: e1 e4          e1 is home, e4 the next
//
// Nodes measure a prefix's share each for itself. Where they differ by one, only
// the conversations that rank the marginal upstream first are looked for elsewhere.
//
// The cost does the bounding: a home with a long queue costs more than the
// prefill saved, so another takes it (and is where the request goes when home is
// reclaimed). Remembering what this node itself dispatched was measured, made no
// difference (the next turn comes through another node), and was taken out.
//
// Weighed and measured beside it (docs/DECISIONS.md): round robin, least in
// flight, two random choices, and an index of what every upstream caches.
package route

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Policy is a way of choosing. All but PolicyAffinity are baselines.
type Policy string

// The policies.
const (
	PolicyAffinity   Policy = "affinity"
	PolicyRoundRobin Policy = "round-robin"
	PolicyLeast      Policy = "least-in-flight"
	PolicyTwoChoices Policy = "two-choices"
)

// Valid tells whether the policy is known.
func (p Policy) Valid() bool {
	switch p {
	case PolicyAffinity, PolicyRoundRobin, PolicyLeast, PolicyTwoChoices:
		return true
	}
	return false
}

// Candidate is an upstream that may take the request. The slice of candidates is
// flat, and choices are indices into it.
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
	Slowness    float64       // time per token relative to the pool's; 0: as the pool
	Excluded    bool          // tried already, leaving or ejected
}

// HashID returns the hash of an upstream's id.
func HashID(id string) uint64 { return xxhash.Sum64String(id) }

// Prompt is what the router knows of a prompt. Hash 0 means none.
type Prompt struct {
	Shared       uint64 // prefix that many callers share
	SharedTokens int
	Conversation          uint64 // prefix that stays the same through the conversation
	ReusableTokens     int    // tokens that an upstream which had the last turn would have cached
	Tokens       int
	MaxTokens    int
	Batch        bool // may wait, so money counts in full
}

// Options sets a router. Rates are the pool's, as an estimate.
type Options struct {
	Policy      Policy
	PrefillPerToken     time.Duration // per token not cached
	ServiceTime     time.Duration // of one request in a slot, on average
	SetSize      int           // fixed size of the set that holds a shared prefix; 0: by its share of the work
	CostWeight  float64       // milliseconds of delay that one unit of money is worth
	TokenWeight float64       // milliseconds of delay that one recomputed token is worth, beside its prefill
}

// Reason says what decided.
type Reason string

// The reasons.
const (
	ReasonHome     Reason = "home"     // where the conversation is likely cached
	ReasonSpill    Reason = "spill"    // home was too loaded or too dear
	ReasonBaseline Reason = "baseline" // a policy that knows no homes
	ReasonNone     Reason = "none"     // no candidate
)

// Choice is the outcome. Index is -1 when there is nobody.
type Choice struct {
	Index  int
	Reason Reason
	Cost   float64 // milliseconds
}

// Router chooses for one pool. It isn't safe for concurrent use.
type Router struct {
	o       Options
	offset    int
	state  uint64
	inSet   []bool             // by index, of the last Pick
	weights []uint64           // scratch
	work    map[uint64]float64 // recent work by shared prefix
	total   float64
}

// The values of options that are left out.
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

// Weigh sets the weights of the workspace that the next choices are for.
func (r *Router) SetWeights(cost, token float64) { r.o.CostWeight, r.o.TokenWeight = cost, token }

// serviceGain weighs a new measurement of the service time.
const serviceGain = 0.02

// Learn takes in how long a request held its slot.
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

// A request away from home is computed again when the next turn is at home, so home
// is worth this share of the prompt's prefill, beside a bonus in milliseconds that
// settles ties.
const (
	homeBonus = 1.0
	homePrefillShare = 0.5
)

// atNext is the share of what a conversation could reuse that is expected at an
// upstream of its set that isn't home. All of it is expected at home: taking off
// for the turns that went elsewhere was measured and lost.
const setReuseShare = 0.1

// cached is the number of tokens that a candidate has cached, as far as can be
// guessed.
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
	// headroom makes a set larger than its share of the work needs on average.
	setHeadroom = 8
	minSetSize = 1
	// workLimit ages the work counted: when so many tokens have been counted, all
	// counts are halved.
	maxCountedWork = 2e6
)

// setSize is the number of upstreams that hold a shared prefix.
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

// answerWeight is what a token of the answer takes of an upstream, in tokens of
// prefill.
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

// homes ranks the candidates for the shared prefix, keeps the first Spread as the
// set (left in r.inSet), and picks the conversation's home out of it.
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

// threshold returns the weight that the n highest candidates reach.
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

// liveMoney is how much of its cost weight a workspace applies to live requests:
// in full, they would queue for the cheap upstreams beyond their latency target.
const liveCostShare = 0.1

const (
	msPerHour = 3600 * 1000
	// A full pool of equal upstreams ties; the queue's length in services then
	// decides, with a little weight on slots in use so that idle ones fill evenly.
	busyWeight = 0.004
)

func (r *Router) cost(p *Prompt, c *Candidate, cached, cheapest float64) float64 {
	missing := float64(p.Tokens) - cached
	prefill := missing * ms(r.o.PrefillPerToken)
	slow := slowness(c)
	service := ms(r.o.ServiceTime) * slow
	prefill *= slow
	cost := r.wait(c)*slow + prefill + 2*ms(c.Distance) + missing*r.o.TokenWeight + service - ms(r.o.ServiceTime)
	// A reclaim during this request loses the prompt and half the answer.
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

// wait estimates the time until a slot is free. Reported load is out of date by
// its age: what this node sent since is added, and an old report says less, so it
// fades towards what this node sees itself.
func (r *Router) wait(c *Candidate) float64 {
	known := float64(c.Load) + float64(c.SinceReport)
	fade := loadHalfAge / (loadHalfAge + c.LoadAge.Seconds())
	load := known*fade + math.Max(float64(c.InFlight), known/2)*(1-fade)
	load = math.Max(load, float64(c.InFlight))
	slots := float64(max(c.Slots, 1))
	service := ms(r.o.ServiceTime)
	return service/slots*shortfall(load-slots+1) + busyWeight*service*load/slots
}

// sigma is how far a load may be from the truth, in requests. Letting it grow with
// the age of the report was measured and lost: all upstreams then look alike, and
// conversations leave their homes for nothing.
const loadError = 0.5

// farTail is where the normal error no longer matters.
const tailCutoff = 5

// shortfall is the expected queue when the load is over the slots by x on average,
// with a normal error of sigma: E[max(0, x+e)].
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

// loadHalf is the age, in seconds, at which a load report counts half.
const loadHalfAge = 10.0

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
