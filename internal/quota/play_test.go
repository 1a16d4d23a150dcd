package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// This file plays the load of one workspace at the nodes of a fleet whose reports take two hops, and asks beside it an
// exact limiter, which knows all charges at once and admits what the operators' bound leaves room for.

// operators is the bound of the played deployments.
var operators = struct {
	Window         time.Duration
	Overage, Slack float64
}{8 * time.Second, 0.1, 110_000}

// window is a sum of charges over the operators' window.
type window struct {
	list []charge
	sum  float64
}

func (w *window) expire(now time.Time) {
	for len(w.list) > 0 && now.Sub(w.list[0].at) >= operators.Window {
		w.sum -= w.list[0].tokens
		w.list = w.list[1:]
	}
}

func (w *window) add(now time.Time, tokens float64) {
	w.list = append(w.list, charge{now, tokens})
	w.sum += tokens
}

// play is one played load. Zero values leave a part out.
type play struct {
	nodes    int
	limit    Limit
	demand   float64 // relative to the rate; from jumpAt on jump
	jump     float64
	jumpAt   time.Duration
	weight   func(at time.Duration, node int) float64 // of a node in the demand; nil: even
	cut      func(at time.Duration, node int) int     // nodes on the same side reach each other; nil: all do
	unlisted bool                                     // nodes on side 0 take those of other sides out of their lists after a while
	lost     float64                                  // share of reports that don't arrive
	killAt   time.Duration                            // when all processes are killed
	stored   bool                                     // the levels are stored
	churn    bool                                     // nodes restart in turn, one each half second
	starts   func(at time.Duration, node int) bool    // a new process starts, which can't read the registry; nil: none
	halls    []int                                    // of the nodes, where starts is set
	lowerAt  time.Duration                            // when the limit is lowered to 0.4 of it
	duration time.Duration
}

// result is what callers got.
type result struct {
	requests, owedRefused int
	refused               int
	tokens, due, asked    float64
	worst                 float64       // largest part of the bound that was used in a window
	worstAt               time.Duration // the end of that window
	longest               time.Duration
}

func (r *result) add(o result) {
	r.requests += o.requests
	r.owedRefused += o.owedRefused
	r.refused += o.refused
	r.tokens += o.tokens
	r.due += o.due
	r.asked += o.asked
	r.worst = max(r.worst, o.worst)
	r.longest = max(r.longest, o.longest)
}

const (
	pairNodes = 13 // up to which all pairs exchange in each round, and no relay is needed
	playStep  = 10 * time.Millisecond
	playRound = 250 * time.Millisecond
)

// drawSize returns the tokens of a request: most are short, some are long prompts.
func drawSize(r *rand.Rand) float64 {
	if r.Float64() < 0.02 {
		return 9000 + 31_000*r.Float64()
	}
	u := r.Float64()
	return 200 + 8800*u*u*u
}

const drawMean = 0.98*(200+8800/4) + 0.02*(9000+15_500)

// state is what a node says in one report.
type state struct {
	charged     map[string]float64
	incarnation string
	startedAt   time.Time
	sequence    uint64
	at          time.Time
}

// player is the state of a play.
type player struct {
	play
	r          *rand.Rand
	q          []*Quotas
	names      []string
	life       []int
	startedAt  []time.Time
	history    [][]state // by node, newest last
	known      []bool    // the node knows its peers
	blind      []bool    // its process couldn't read the registry
	heard      [][]string
	storedAt   time.Time
	levels     map[string]Level
	exact      window
	real       window
	loweredAt  time.Time
	after      window // charges since the limit was lowered
	exactAfter window
	lastIn     time.Time
}

func bound(l Limit) float64 {
	return (l.Rate*operators.Window.Seconds()+l.Burst)*(1+operators.Overage) + operators.Slack
}

func (p *player) newQuotas(now time.Time, first bool) *Quotas {
	q := New(now, first)
	return q
}

func (p *player) start() {
	p.history = make([][]state, p.nodes)
	for i := range p.nodes {
		p.names = append(p.names, fmt.Sprint("n", i))
		p.startedAt = append(p.startedAt, start)
	}
	p.life, p.known = make([]int, p.nodes), make([]bool, p.nodes)
	p.blind, p.heard = make([]bool, p.nodes), make([][]string, p.nodes)
	for range p.nodes {
		q := p.newQuotas(start, true)
		q.SetLimits(start, map[string]Limit{"w": p.limit})
		p.q = append(p.q, q)
	}
}

func (p *player) peersOf(i int) []string {
	r := make([]string, 0, p.nodes)
	for j, n := range p.names {
		if j != i {
			r = append(r, n)
		}
	}
	return r
}

// unlistedAfter is how long after the beginning of a cut a node's registration has lapsed.
const unlistedAfter = 4 * time.Second

// listedBy returns the other nodes as the registry has them, or had them when they were last read.
func (p *player) listedBy(at time.Duration, i int) []string {
	list := p.peersOf(i)
	if !p.unlisted {
		return list
	}
	return slices.DeleteFunc(list, func(n string) bool {
		j := slices.Index(p.names, n)
		return at >= unlistedAfter && p.cut(at, j) != 0 && p.cut(at-unlistedAfter, j) != 0
	})
}

// knows lets a node that couldn't read the registry know those that it can hear.
func (p *player) knows(now time.Time, at time.Duration, i int) {
	names, sizes := []string{}, map[int]int{p.halls[i]: 1}
	for j, n := range p.names {
		if j != i && len(p.history[j]) > 0 && (p.cut == nil || p.cut(at, i) == p.cut(at, j)) || slices.Contains(p.heard[i], n) {
			names = append(names, n)
			sizes[p.halls[j]]++
		}
	}
	p.heard[i] = names
	if now.Sub(p.startedAt[i]) < time.Second {
		return // many are assumed until then
	}
	p.q[i].SetKnownPeers(now, names, unnamed(p.halls, sizes))
}

// unnamed estimates how many nodes aren't known, as package roster does.
func unnamed(halls []int, sizes map[int]int) int {
	missing, largest := 0, 0
	for h := range slices.Max(halls) + 1 {
		largest = max(largest, sizes[h])
		if sizes[h] == 0 {
			missing++
		}
	}
	return missing * largest
}

// report lets a node build its report, and apply what its relay has of the others.
func (p *player) report(now time.Time, at time.Duration, i int) {
	q := p.q[i]
	switch {
	case p.blind[i]:
		p.knows(now, at, i)
	case !p.known[i] || p.unlisted && p.cut(at, i) == 0:
		p.known[i] = true
		q.SetPeers(now, p.listedBy(at, i))
	}
	var sequence uint64 = 1
	if h := p.history[i]; len(h) > 0 {
		sequence = h[len(h)-1].sequence + 1
	}
	p.history[i] = append(p.history[i], state{q.Charged(), fmt.Sprint(p.life[i]), p.startedAt[i], sequence, now})
	if n := len(p.history[i]); n > 8 {
		p.history[i] = p.history[i][n-8:]
	}
	if p.r.Float64() >= p.lost {
		for j := range p.nodes {
			if j != i && (p.cut == nil || p.cut(at, i) == p.cut(at, j)) {
				p.apply(now, i, j)
			}
		}
	}
	switch {
	case p.nodes <= pairNodes:
		q.StartRound(now, playRound, 0)
	case at%(2*playRound) < playRound:
		q.StartRound(now, 2*playRound, 3*playRound)
	}
}

// apply lets node i apply what its relay has of node j: with a small fleet the last report, else one that is up to
// two rounds older. A node hears of the age of the relay's knowledge, not of the report's.
func (p *player) apply(now time.Time, i, j int) {
	h := p.history[j]
	back := 0
	if p.nodes > pairNodes {
		back = int(p.r.Float64() * 2.4)
	}
	if len(h) <= back {
		return
	}
	s := h[len(h)-1-back]
	if now.Sub(s.at) > time.Second {
		return
	}
	p.q[i].ApplyUpdate(now, Update{
		Node: p.names[j], Incarnation: s.incarnation, Sequence: s.sequence, Uptime: now.Sub(s.startedAt),
		Age: min(now.Sub(s.at), time.Duration(back)*playRound/2), Charged: s.charged,
	})
}

// restart replaces a node's process.
func (p *player) restart(now time.Time, i int) {
	q := p.newQuotas(now, false)
	q.SetLimits(now, map[string]Limit{"w": p.limit})
	if p.stored && p.levels != nil {
		q.Restore(now, now.Sub(p.storedAt), 500*time.Millisecond, p.levels)
	}
	p.q[i], p.startedAt[i], p.known[i], p.history[i] = q, now, false, nil
	p.life[i]++
}

func (p *player) step(at time.Duration) {
	now := start.Add(at)
	if p.killAt > 0 && at == p.killAt {
		for i := range p.q {
			p.restart(now, i)
		}
	}
	for i := range p.q {
		if p.starts != nil && p.starts(at, i) {
			p.restart(now, i)
			p.blind[i], p.heard[i] = true, nil
		}
	}
	if p.churn && at > 0 && at%(500*time.Millisecond) == 0 {
		p.restart(now, int(at/(500*time.Millisecond))%p.nodes)
	}
	if p.lowerAt > 0 && at == p.lowerAt {
		p.loweredAt = now
		p.limit = Limit{Rate: 0.4 * p.limit.Rate, Burst: 0.4 * p.limit.Burst}
		for _, q := range p.q {
			q.SetLimits(now, map[string]Limit{"w": p.limit})
		}
	}
	for i := range p.q {
		if (at+time.Duration(i%25)*playStep)%playRound == 0 {
			p.report(now, at, i)
		}
	}
	if at%(2*playRound) == 0 && p.q[0].startedAt.Equal(start) {
		p.levels, p.storedAt = p.q[0].Levels(now), now
	}
}

// room is what the operators' bound leaves to an exact limiter. A lower limit binds the windows that begin after it.
func (p *player) room(now time.Time, before Limit, whole, after *window) float64 {
	whole.expire(now)
	after.expire(now)
	if p.loweredAt.IsZero() {
		return bound(p.limit) - whole.sum
	}
	x := bound(p.limit) - after.sum
	if now.Sub(p.loweredAt) < operators.Window {
		x = min(x, bound(before)-whole.sum)
	}
	return x
}

// run plays the load and returns what callers got.
func (p play) run(seed uint64) result {
	v := &player{play: p, r: rand.New(rand.NewPCG(seed, 11))}
	before := p.limit
	rate := p.limit.Rate
	v.start()
	var res result
	cumulative := make([]float64, p.nodes)
	for at := time.Duration(0); at < p.duration; at += playStep {
		now := start.Add(at)
		v.step(at)
		sum := 0.0
		for i := range cumulative {
			x := 1.0
			if p.weight != nil {
				x = p.weight(at, i)
			}
			sum += x
			cumulative[i] = sum
		}
		demand := p.demand
		if p.jumpAt > 0 && at >= p.jumpAt {
			demand = p.jump
		}
		mean := demand * rate * playStep.Seconds() / drawMean
		for x := v.r.ExpFloat64(); x < mean; x += v.r.ExpFloat64() {
			v.request(now, before, pick(cumulative, v.r.Float64()*sum), &res)
		}
	}
	return res
}

func pick(cumulative []float64, x float64) int {
	for i, c := range cumulative {
		if x < c {
			return i
		}
	}
	return len(cumulative) - 1
}

func (p *player) request(now time.Time, before Limit, i int, res *result) {
	n := drawSize(p.r)
	due := p.room(now, before, &p.exact, &p.exactAfter) >= n
	if due {
		p.exact.add(now, n)
		res.due += n
		if !p.loweredAt.IsZero() {
			p.exactAfter.add(now, n)
		}
	}
	res.requests++
	res.asked += n
	v := p.q[i].Charge(now, "w", n)
	if !v.Allowed {
		res.refused++
		if due {
			res.owedRefused++
		}
		return
	}
	if p.lastIn.IsZero() {
		p.lastIn = now
	}
	res.longest = max(res.longest, now.Sub(p.lastIn))
	p.lastIn = now
	room := p.room(now, before, &p.real, &p.after)
	p.real.add(now, n)
	if !p.loweredAt.IsZero() {
		p.after.add(now, n)
	}
	res.tokens += n
	if w := 1 - (room-n)/bound(p.limit); w > res.worst {
		res.worst, res.worstAt = w, now.Sub(start)
	}
}

// unevenly gives a tenth of the nodes most of the demand.
func unevenly(_ time.Duration, node int) float64 {
	if node%10 == 0 {
		return 30
	}
	return 1
}

// moving moves most of the demand to another sixth of the nodes every five seconds.
func moving(at time.Duration, node int) float64 {
	if node%6 == int(at/(5*time.Second))%6 {
		return 30
	}
	return 1
}

// thirdCut cuts a third of the nodes off for 12 s.
func thirdCut(at time.Duration, node int) int {
	if at >= 4*time.Second && at < 16*time.Second && node%3 == 0 {
		return 1
	}
	return 0
}

// relayLost cuts the nodes of a lost relay off, each by itself, for a second and a half.
func relayLost(at time.Duration, node int) int {
	if at >= 6*time.Second && at < 7500*time.Millisecond && node%6 == 0 {
		return 1 + node
	}
	return 0
}
