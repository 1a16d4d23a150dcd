package pool

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"spurhall.example/spurhall/internal/call"
	"spurhall.example/spurhall/internal/capacity"
	"spurhall.example/spurhall/internal/retry"
	"spurhall.example/spurhall/internal/timer"
)

// The results.
const (
	ResultGood        Result = iota
	ResultFailed             // no whole answer, or an answer that says it failed
	ResultRefused            // the upstream didn't run it
	ResultUnreachable        // no connection could be made
	ResultUnclear            // it ended for reasons of the caller
)

// Load is what one node has at one upstream.
type Load struct {
	Upstream string
	Running  int
	Queued   float64 // prompt tokens without a first token
	Held     float64 // tokens of memory
}

// Placement says that an upstream read a prompt prefix.
type Placement struct {
	Prefix   uint64
	Upstream string
}

const (
	// prefixKeeps is how long a prefix is taken to stay cached after its last use. Under
	// load, an engine takes in its whole memory anew in about so long.
	prefixKeeps = 30 * time.Second
	// peerKeeps is the age at which another node's load says nothing any more.
	peerKeeps = 3 * time.Second
	// refusedKeeps is how long "full" is believed: some requests' work.
	refusedKeeps = 150 * time.Millisecond
	// unreachableKeeps is how long "can't be reached" is believed: a cut lasts seconds, and
	// each try against one costs the time-out of a connection.
	unreachableKeeps = time.Second
	// cutAfter is the number of upstreams of a hall that can't be reached after which the
	// hall is taken for cut off: one may just have died.
	cutAfter = 2
	// outlierShare bounds the share of a pool that is ejected.
	outlierShare = 0.34
	failureGain  = 0.12 // weight of the newest result in the share of failures
	speedGain    = 0.1  // weight of the newest time in the average
	answerGain   = 0.05 // weight of the newest answer in the time of a plain service's
	answerPrior  = 30.0 // milliseconds, until a plain service has answered
	lastsPrior   = 1000 // milliseconds, until a request has ended
	// mergeEvery is how often what the nodes have learned is joined: reports come so often.
	mergeEvery  = 250 * time.Millisecond
	placedLimit = 1024 // placements kept for reports
	// placedFor is how long a placement is reported: some rounds, since a report may be
	// lost.
	placedFor = time.Second
)

// member is one upstream with what this node knows of it.
type member struct {
	entry    Entry
	coldTill time.Time
	load     Load
	others   othersLoad // as of the last choice
	failures float64
	speed    float64 // average time over expected time
	refused  time.Time
	silent   time.Time // when it last couldn't be reached
	prefixes map[uint64]time.Time
}

type peerLoad struct {
	at      time.Time
	loads   map[string]Load
	engines map[string]capacity.Engine
}

// Pools is the upstreams of all services. It is safe for concurrent use.
type Pools struct {
	mu       sync.Mutex
	clock    *timer.Service
	hall     string
	start    time.Time
	list     *List
	members  map[string]*member
	services map[string][]*member
	outliers map[string]*retry.Outliers
	peers    map[string]peerLoad
	shares   []shareLoad
	covered  map[string]bool // the nodes that the shares tell of
	shared   time.Time       // when they came
	pending  []pending
	known    map[string]*service
	placed   []placing
	reached  map[string]time.Time // when an upstream last answered, by hall
}

// service is what is known of one service.
type service struct {
	size    capacity.Size
	work    capacity.Work // sent since the start
	learner capacity.Learner
	engine  capacity.Engine // as all nodes have learned it
	merged  time.Time
	reads   float64 // prompt tokens of a request that aren't cached
	answer  float64 // milliseconds to an answer's head
	lasts   float64 // milliseconds that a request takes, to its end
}

type placing struct {
	at time.Time
	Placement
}

// New returns empty pools as a node of that hall sees them.
func New(clock *timer.Service, hall string) *Pools {
	return &Pools{
		clock: clock, hall: hall, start: clock.Now(), list: NewList(), members: make(map[string]*member),
		services: make(map[string][]*member), outliers: make(map[string]*retry.Outliers),
		peers: make(map[string]peerLoad), known: make(map[string]*service), reached: make(map[string]time.Time),
	}
}

// Change is what an update did to one upstream.
type Change struct {
	Entry Entry
	Event string // listed, leaving or gone
}

// Update lets f change the list, and returns what became different.
func (p *Pools) Update(f func(l *List)) []Change {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.list)
	return p.rebuild()
}

// Revision returns the store's revision up to which the list holds.
func (p *Pools) Revision() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.list.Revision()
}

// Change returns the store's revision of the list's newest change.
func (p *Pools) Change() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.list.Change()
}

func (p *Pools) rebuild() []Change {
	var changes []Change
	seen := make(map[string]bool)
	services := make(map[string][]*member)
	p.list.Items(func(v Item) {
		e := v.Entry
		seen[e.ID] = true
		m := p.members[e.ID]
		switch {
		case m == nil:
			m = &member{entry: e, speed: 1, prefixes: make(map[uint64]time.Time), coldTill: p.clock.Now().Add(e.WarmUp)}
			p.members[e.ID] = m
			changes = append(changes, Change{e, "listed"})
		case e.Leaving && !m.entry.Leaving:
			changes = append(changes, Change{e, "leaving"})
		}
		m.entry = e
		services[e.Service] = append(services[e.Service], m)
	})
	for id, m := range p.members {
		if !seen[id] {
			changes = append(changes, Change{m.entry, "gone"})
			delete(p.members, id)
			if o := p.outliers[m.entry.Service]; o != nil {
				o.Forget(id)
			}
		}
	}
	for _, l := range services { // an order that all plays of a seed have
		slices.SortFunc(l, func(a, b *member) int { return cmp.Compare(a.entry.ID, b.entry.ID) })
	}
	p.services = services
	return changes
}

// SetSize says what an engine of a service has.
func (p *Pools) SetSize(service string, s capacity.Size) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.service(service).size = s
}

func (p *Pools) service(name string) *service {
	s := p.known[name]
	if s == nil {
		s = &service{answer: answerPrior, lasts: lastsPrior}
		p.known[name] = s
	}
	return s
}

func (p *Pools) outlier(service string) *retry.Outliers {
	o := p.outliers[service]
	if o == nil {
		o = retry.NewOutliers(outlierShare)
		p.outliers[service] = o
	}
	return o
}

// oldest is the age of the oldest report that still counts.
func (p *Pools) oldest(now time.Time) time.Duration {
	d := time.Duration(0)
	for name, v := range p.peers {
		if age := now.Sub(v.at); age <= peerKeeps && !p.covers(now, name) {
			d = max(d, age)
		}
	}
	for _, v := range p.currentShares(now) {
		d = max(d, now.Sub(v.at))
	}
	return d
}

// chosen is an upstream chosen for a request.
type chosen struct {
	member *member
	engine capacity.Engine
	choice Choice
	reads  float64 // prompt tokens that it has to read
	fetch  string  // address of the upstream that it takes cached parts from
}

// choose chooses an upstream, if there is one.
func (p *Pools) choose(now time.Time, n Need) (chosen, bool) {
	members, list, unseen := p.candidates(now, n)
	s, e := p.service(n.Service), p.engine(now, n.Service)
	i := Pick(n, Service{Engine: e, Answer: s.answer, Unseen: unseen}, list)
	if i < 0 {
		return chosen{}, false
	}
	return p.weigh(now, n, members[i], &list[i], len(list)), true
}

// weigh is what a request takes of a candidate.
func (p *Pools) weigh(now time.Time, n Need, m *member, c *Candidate, candidates int) chosen {
	v := chosen{member: m, engine: p.engine(now, n.Service), reads: max(0, n.Prompt-c.Cached)}
	v.choice = Choice{Candidates: candidates, Running: int(c.Running), Queued: c.Queued, Cached: c.Cached, Revision: p.list.Revision(), Oldest: p.oldest(now)}
	if c.fetches(v.engine) {
		v.choice.Fetched, v.fetch = c.Fetch, c.Source
		v.reads = max(0, v.reads-c.Fetch)
	}
	return v
}

// Pick chooses an upstream and counts the request there. It returns nil if there is
// none. The caller ends the use by End.
func (p *Pools) Pick(n Need) *Use {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	v, ok := p.choose(now, n)
	if !ok {
		return nil
	}
	return p.use(now, n, v)
}

// PickAt counts a request at an upstream that a relay has placed it at, or chooses another
// one if that can't take it.
func (p *Pools) PickAt(n Need, id string) *Use {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	members, list, _ := p.candidates(now, n)
	for i, m := range members {
		if m.entry.ID == id && !list[i].Unreachable && !list[i].Refused {
			v := p.weigh(now, n, m, &list[i], len(list))
			v.choice.ByRelay = true
			return p.use(now, n, v)
		}
	}
	v, ok := p.choose(now, n)
	if !ok {
		return nil
	}
	return p.use(now, n, v)
}

// use counts a request at the upstream chosen.
func (p *Pools) use(now time.Time, n Need, v chosen) *Use {
	m, s := v.member, p.service(n.Service)
	p.outlier(n.Service).Sending(m.entry.ID)
	u := &Use{p: p, m: m, entry: m.entry, choice: v.choice, begun: now, engine: n.Engine, prompt: v.reads, fetch: v.fetch}
	u.held = n.Prompt + n.Output
	u.output, u.reads = n.Output, v.choice.Queued+u.prompt
	u.expect = v.engine.FirstEvent(u.reads)
	m.load.Running++
	m.load.Held += u.held
	if n.Engine {
		m.load.Queued += u.prompt
		s.reads += answerGain * (u.prompt - s.reads)
		s.work = s.work.Plus(v.engine.Work(u.prompt, n.Output, s.size))
	}
	p.place(now, m, n.Parts)
	return u
}

// candidates returns the upstreams that may take a request, and what others have sent to
// one unseen. Those that are ejected are left out unless nobody else is left.
func (p *Pools) candidates(now time.Time, n Need) ([]*member, []Candidate, float64) {
	o := p.outlier(n.Service)
	var members, spare []*member
	for _, m := range p.services[n.Service] {
		switch {
		case m.entry.Leaving || n.Excluded[m.entry.ID]:
		case o.Usable(now.Sub(p.start), m.entry.ID):
			members = append(members, m)
		default:
			spare = append(spare, m)
		}
	}
	if len(members) == 0 {
		members = spare
	}
	chain := Chain(n.Parts)
	unseen := p.gatherOthers(now, n.Service, p.engine(now, n.Service))
	cut := p.cutHalls(now)
	list := make([]Candidate, len(members))
	for i, m := range members {
		list[i] = p.candidate(now, m, n, chain)
		list[i].Unreachable = cut[m.entry.Hall] || now.Sub(m.silent) < unreachableKeeps
	}
	if rate := p.service(n.Service).size.Fetch; rate > 0 {
		sources(rate, members, list)
	}
	return members, list, unseen
}

// cutHalls returns the halls that are taken for cut off from this node.
func (p *Pools) cutHalls(now time.Time) map[string]bool {
	silent := make(map[string]int)
	for _, m := range p.members {
		h := m.entry.Hall
		if now.Sub(m.silent) < unreachableKeeps && m.silent.After(p.reached[h]) {
			silent[h]++
		}
	}
	cut := make(map[string]bool, len(silent))
	for h, n := range silent {
		cut[h] = n >= cutAfter
	}
	return cut
}

func (p *Pools) candidate(now time.Time, m *member, n Need, chain []uint64) Candidate {
	c := Candidate{
		ID: m.entry.ID, Slots: m.entry.Slots, SameHall: m.entry.Hall == p.hall,
		Running: float64(m.load.Running) + m.others.running, Queued: m.load.Queued + m.others.queued, Held: m.load.Held + m.others.held, Memory: p.service(n.Service).size.Memory,
		Slowness: max(0.5, m.speed), Failures: m.failures,
		Refused: now.Sub(m.refused) < refusedKeeps, Cold: now.Before(m.coldTill),
	}
	for i, h := range chain {
		if !m.keeps(now, h) && !m.keeps(now, heldKey(n.Parts[i].ID)) {
			break
		}
		c.Cached += float64(n.Parts[i].Tokens)
	}
	return c
}

// keeps tells whether a prefix is taken to be cached still.
func (m *member) keeps(now time.Time, prefix uint64) bool {
	t, ok := m.prefixes[prefix]
	return ok && now.Sub(t) <= prefixKeeps
}

func (p *Pools) place(now time.Time, m *member, parts []call.Part) {
	chain := Chain(parts)
	for i, h := range chain {
		m.prefixes[h] = now
		if i < len(chain)-1 && len(p.placed) < placedLimit {
			p.placed = append(p.placed, placing{now, Placement{Prefix: h, Upstream: m.entry.ID}})
		}
	}
}

// Items returns the upstreams as the store told them.
func (p *Pools) Items() []Item {
	p.mu.Lock()
	defer p.mu.Unlock()
	var r []Item
	p.list.Items(func(v Item) { r = append(r, v) })
	return r
}

// Report returns this node's loads, and its newest placements.
func (p *Pools) Report() ([]Load, []Placement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var loads []Load
	for id, m := range p.members {
		if m.load.Running == 0 {
			continue
		}
		l := m.load
		l.Upstream = id
		loads = append(loads, l)
	}
	p.forget()
	placed := make([]Placement, 0, len(p.placed))
	for _, v := range p.placed {
		placed = append(placed, v.Placement)
	}
	return loads, placed
}

// forget drops placements that were reported, and prefixes that are no longer believed
// to be cached.
func (p *Pools) forget() {
	now := p.clock.Now()
	old := 0
	for old < len(p.placed) && now.Sub(p.placed[old].at) > placedFor {
		old++
	}
	p.placed = append(p.placed[:0], p.placed[old:]...)
	for _, m := range p.members {
		for h, t := range m.prefixes {
			if now.Sub(t) > prefixKeeps {
				delete(m.prefixes, h)
			}
		}
	}
}

// TakeIn takes in another node's report.
func (p *Pools) TakeIn(node string, loads []Load, placed []Placement, engines map[string]capacity.Engine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	m := make(map[string]Load, len(loads))
	for _, l := range loads {
		m[l.Upstream] = l
	}
	p.peers[node] = peerLoad{at: now, loads: m, engines: engines}
	p.learnPlaced(now, placed)
}

func (p *Pools) learnPlaced(now time.Time, placed []Placement) {
	for _, v := range placed {
		if u := p.members[v.Upstream]; u != nil {
			u.prefixes[v.Prefix] = now
		}
	}
}
