package measure

import (
	"container/heap"
	"math"
	"math/rand"
	"sort"
	"time"

	"spurhall.example/spurhall/internal/route"
)

// turn is one request of the traffic.
type turn struct {
	at      float64 // seconds
	chat    int
	last    bool
	shared  int // id of the shared prefix
	sharedN int // its tokens
	history int // tokens of earlier turns, shared prefix included; 0 on the first turn
	fresh   int // tokens new in this turn
	answer  int
	batch   bool
}

func (t *turn) prompt() int { return max(t.history, t.sharedN) + t.fresh }

// reusable is what an upstream with the best possible cache needn't compute.
func (t *turn) reusable(seen map[int]bool) int {
	if t.history > 0 {
		return t.history
	}
	if seen[t.shared] {
		return t.sharedN
	}
	return 0
}

// traffic is many-turn chats of five workspaces, catalogues with long shared
// prefixes, and one burst of monthly reviews, over so many seconds.
func traffic(seed int64, rate, seconds float64) []turn {
	r := rand.New(rand.NewSource(seed))
	var list []turn
	chat := 0
	begin := func(at float64, shared, sharedN, turns, fresh, answer int, think float64, batch bool) {
		chat++
		history := 0
		for i := 0; i < turns; i++ {
			n := fresh/2 + r.Intn(fresh)
			list = append(list, turn{at: at, chat: chat, last: i == turns-1, shared: shared, sharedN: sharedN, history: history, fresh: n, answer: answer, batch: batch})
			history = max(history, sharedN) + n + answer
			at += 6 + r.ExpFloat64()*think
		}
	}
	for at := 0.0; at < seconds; at += r.ExpFloat64() / rate {
		if r.Intn(4) > 0 {
			w := []int{0, 0, 0, 1, 1, 2, 3, 4}[r.Intn(8)] // a few workspaces are large
			begin(at, w, 400, 2+r.Intn(8), 120, 100, 15, false)
		} else {
			begin(at, 10+r.Intn(12), 2500, 1, 200, 150, 0, true)
		}
	}
	for i := 0; i < int(rate*15); i++ {
		begin(seconds/2+r.Float64()*5, 40, 800, 3, 2500, 200, 5, true)
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].at < list[j].at })
	return list
}

// machine is one engine.
type machine struct {
	slots   int
	slow    float64
	price   float64
	rate    float64 // reclaims an hour
	running int
	queue   []*job
	cache   *cache
	loads   []sample
	work    float64 // slot seconds
}

type sample struct {
	at   float64
	load int
}

type job struct {
	t       *turn
	node    int
	engine  int
	arrived float64
	first   float64
	started float64
}

// cache keeps prefixes by key, least recently used out first, up to a number of
// tokens.
type cache struct {
	limit, size, tick int
	held              map[int][2]int // key to tokens and tick
}

func newCache(limit int) *cache { return &cache{limit: limit, held: make(map[int][2]int)} }

func (c *cache) get(k int) int {
	v, ok := c.held[k]
	if ok {
		c.tick++
		c.held[k] = [2]int{v[0], c.tick}
	}
	return v[0]
}

func (c *cache) put(k, tokens int) {
	c.tick++
	c.size += tokens - c.held[k][0]
	c.held[k] = [2]int{tokens, c.tick}
	for c.size > c.limit {
		oldest, at := 0, math.MaxInt
		for k, v := range c.held {
			if v[1] < at {
				oldest, at = k, v[1]
			}
		}
		c.size -= c.held[oldest][0]
		delete(c.held, oldest)
	}
}

const sharedKey = -1000 // shared prefixes are keyed below it

func (m *machine) cached(t *turn) int {
	if n := m.cache.get(t.chat); n > 0 {
		return min(n, t.history)
	}
	if m.cache.get(sharedKey-t.shared) > 0 {
		return t.sharedN
	}
	return 0
}

const (
	prefillMS = 0.2  // per token
	decodeMS  = 20.0 // per token, of an engine with one request
	crowding  = 1.0  // how much slower with all slots taken
)

func (m *machine) between() float64 {
	return m.slow * decodeMS * (1 + crowding*float64(m.running)/float64(m.slots))
}

type event struct {
	at  float64
	job *job
	end bool
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	o := *e
	x := o[len(o)-1]
	*e = o[:len(o)-1]
	return x
}

// scenario is what a replay runs against.
type scenario struct {
	engines int
	nodes   int
	lag     float64 // seconds, of load reports
	slow    int     // engines that are three times slower
	prices  bool    // two classes at 1 and 3
	learnt  bool    // nodes have measured how slow each engine is
	rate    float64
	seconds float64
	weights [2]float64
}

type result struct {
	recomputed, reusable, tokens       float64
	first, between, money, answerToken float64
	firsts, betweens                   []float64
}

// policy chooses an engine for a turn at a node.
type policy func(s *state, node int, t *turn) int

type state struct {
	sc      scenario
	now     float64
	m       []*machine
	routers []*route.Router
	sent    [][][]float64 // node, engine: times of dispatch
	flight  [][]int32
	cands   []route.Candidate
}

func replay(sc scenario, seed int64, p policy, o route.Options) result {
	s := &state{sc: sc}
	for i := 0; i < sc.engines; i++ {
		m := &machine{slots: 8, slow: 1, price: 1, cache: newCache(60000)}
		if i < sc.slow {
			m.slow = 3
		}
		if sc.prices && i%2 == 0 {
			m.price = 3
		} else if sc.prices {
			m.rate = 0.5
		}
		s.m = append(s.m, m)
		s.cands = append(s.cands, route.Candidate{ID: string(rune('a' + i)), Hash: route.HashID(string(rune('a' + i))), Slots: 8, Price: m.price, ReclaimRate: m.rate})
		if sc.learnt {
			s.cands[i].Slowness = m.slow
		}
	}
	for n := 0; n < sc.nodes; n++ {
		s.routers = append(s.routers, route.New(o))
		s.sent = append(s.sent, make([][]float64, sc.engines))
		s.flight = append(s.flight, make([]int32, sc.engines))
	}
	return s.run(traffic(seed, sc.rate, sc.seconds), rand.New(rand.NewSource(seed+99)), p)
}

func (s *state) run(list []turn, r *rand.Rand, p policy) result {
	var q events
	var out result
	seen := make(map[int]bool)
	for i := range list {
		heap.Push(&q, event{at: list[i].at, job: &job{t: &list[i], node: r.Intn(s.sc.nodes), arrived: list[i].at}})
	}
	for q.Len() > 0 {
		e := heap.Pop(&q).(event)
		s.now = e.at
		if e.end {
			s.finish(&q, e.job, &out)
			continue
		}
		t := e.job.t
		i := p(s, e.job.node, t)
		e.job.engine = i
		m := s.m[i]
		n := m.cached(t)
		out.reusable += float64(t.reusable(seen))
		out.recomputed += math.Max(0, float64(t.reusable(seen)-n))
		out.tokens += float64(t.prompt())
		seen[t.shared] = true
		s.flight[e.job.node][i]++
		s.sent[e.job.node][i] = append(s.sent[e.job.node][i], s.now)
		m.cache.put(t.chat, t.prompt())
		m.cache.put(sharedKey-t.shared, t.sharedN)
		e.job.first = float64(t.prompt()-n) * prefillMS * m.slow / 1000
		if m.running < m.slots {
			s.startJob(&q, m, e.job, &out)
		} else if m.queue = append(m.queue, e.job); !t.batch {
			sort.SliceStable(m.queue, func(a, b int) bool { return !m.queue[a].t.batch && m.queue[b].t.batch })
		}
		m.loads = append(m.loads, sample{s.now, m.running + len(m.queue)})
	}
	out.first, out.between = quantile(out.firsts, 0.95), quantile(out.betweens, 0.95)
	return out
}

func (s *state) startJob(q *events, m *machine, j *job, out *result) {
	m.running++
	j.started = s.now
	b := m.between()
	wait := s.now - j.arrived
	if !j.t.batch {
		out.firsts = append(out.firsts, 1000*(wait+j.first)+b)
		out.betweens = append(out.betweens, b)
	}
	d := j.first + b*float64(j.t.answer)/1000
	m.work += d
	out.money += d / float64(m.slots) * m.price / 3600
	out.answerToken += float64(j.t.answer)
	heap.Push(q, event{at: s.now + d, job: j, end: true})
}

func (s *state) finish(q *events, j *job, out *result) {
	m := s.m[j.engine]
	m.running--
	s.flight[j.node][j.engine]--
	s.routers[j.node].ObserveService(time.Duration((s.now - j.started) * float64(time.Second)))
	m.cache.put(j.t.chat, j.t.prompt()+j.t.answer)
	if len(m.queue) > 0 {
		n := m.queue[0]
		m.queue = m.queue[1:]
		s.startJob(q, m, n, out)
	}
	m.loads = append(m.loads, sample{s.now, m.running + len(m.queue)})
}

// look gives a node its view of the engines: loads as reported, its own requests as
// they are.
func (s *state) look(node int) []route.Candidate {
	at := s.now - s.sc.lag
	for i, m := range s.m {
		c := &s.cands[i]
		k := sort.Search(len(m.loads), func(j int) bool { return m.loads[j].at > at })
		c.Load = 0
		if k > 0 {
			c.Load = int32(m.loads[k-1].load)
		}
		c.LoadAge = time.Duration(s.sc.lag * float64(time.Second))
		l := s.sent[node][i]
		c.SinceReport = int32(len(l) - sort.SearchFloat64s(l, at))
		c.InFlight = s.flight[node][i]
	}
	return s.cands
}

func promptOf(t *turn) *route.Prompt {
	return &route.Prompt{
		Shared: uint64(t.shared)*2654435761 + 1, SharedTokens: t.sharedN, Conversation: uint64(t.chat)*0x9e3779b97f4a7c15 + 7,
		ReusableTokens: max(t.history, t.sharedN), Tokens: t.prompt(), MaxTokens: t.answer, Batch: t.batch,
	}
}

// ours is the daemon's own router, under whatever policy its options say.
func ours(s *state, node int, t *turn) int {
	p := promptOf(t)
	list := s.look(node)
	r := s.routers[node]
	if s.sc.weights != [2]float64{} {
		r.SetWeights(s.sc.weights[0], s.sc.weights[1])
	}
	return r.Pick(p, list).Index
}

// index knows what every engine caches, and the loads as reported.
func index(s *state, node int, t *turn) int {
	list := s.look(node)
	return s.best(t, func(i int) int { return int(list[i].Load + list[i].SinceReport) })
}

// knowing knows everything as it is.
func knowing(s *state, _ int, t *turn) int {
	return s.best(t, func(i int) int { return s.m[i].running + len(s.m[i].queue) })
}

func (s *state) best(t *turn, load func(i int) int) int {
	best, cost := 0, math.Inf(1)
	for i, m := range s.m {
		l := float64(load(i))
		c := float64(t.prompt()-m.cached(t))*prefillMS*m.slow + 40*l/8*m.slow
		if l >= 8 {
			c += 3000 * m.slow * (l - 7) / 8
		}
		if c < cost {
			best, cost = i, c
		}
	}
	return best
}

func quantile(v []float64, q float64) float64 {
	if len(v) == 0 {
		return 0
	}
	s := append([]float64(nil), v...)
	sort.Float64s(s)
	return s[min(len(s)-1, int(q*float64(len(s))))]
}
