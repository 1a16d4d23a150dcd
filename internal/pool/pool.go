package pool

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"spurhall.example/spurhall/internal/capacity"
	"spurhall.example/spurhall/internal/limit"
	"spurhall.example/spurhall/internal/retry"
	"spurhall.example/spurhall/internal/timer"
)

// The results.
const (
	ResultGood        Result = iota
	ResultFailed             // no whole answer, or an answer that says it failed
	ResultRejected            // the upstream didn't run it
	ResultUnreachable        // no connection could be made
	ResultMisplaced               // another upstream has its address
	ResultInconclusive            // it ended for reasons of the caller
)

// Load is what one node has at one upstream.
type Load struct {
	Upstream string
	Running  int
	Queued   float64 // prompt tokens without a first token
	Reserved     float64 // tokens of memory
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
	lagGain      = 0.2  // weight of the newest first event's lag
	answerGain   = 0.05 // weight of the newest answer in the time of a plain service's
	answerPrior  = 30.0 // milliseconds, until a plain service has answered
	lastsPrior   = 1000 // milliseconds, until a request has ended
	// mergeEvery is how often what the nodes have learned is joined: reports come so often.
	mergeEvery  = 250 * time.Millisecond
	placedLimit = 1024 // placements kept for reports
	// forgetEvery is how often prefixes are dropped that are no longer believed to be cached:
	// a choice looks at their age itself, and to look through all with each report takes a part
	// of a small VM's core (BenchmarkReport).
	forgetEvery = 5 * time.Second
	// placedFor is how long a placement is reported: some rounds, since a report may be
	// lost.
	placedFor = time.Second
)

// member is one upstream with what this node knows of it.
type member struct {
	entry     Entry
	coldTill  time.Time
	load      Load
	others    othersLoad // as of the last choice
	failures  float64
	pace      pace
	refused   time.Time
	silent    time.Time // when it last couldn't be reached, by this node or several others
	failed    time.Time // the same, by this node
	lost      time.Time // the same, by several nodes
	lostSince time.Time // from when on they couldn't
	answered  time.Time // when it last answered this node
	gone      bool      // another upstream has its address: this life is over
	prefixes  map[uint64]time.Time
	rank      int // among the target's upstreams of a roll-out; notRanked: none of these
}

type peerReport struct {
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
	peers    map[string]peerReport
	shares   []shareLoad
	covered  map[string]bool // the nodes that the shares tell of
	shared   time.Time       // when they came
	pending  []pending
	known    map[string]*service
	placed   []placing
	forgot   time.Time                       // when prefixes were last dropped
	reached  map[string]time.Time            // when an upstream last answered, by hall
	told     map[string]time.Time            // when the hall's other nodes found a hall cut off
	splits   map[string]Split                // by service
	versions map[string]map[string]time.Time // when each was first seen, by service
	filled   bool                            // the list has been read
	rests    *retry.Cooldowns                    // that upstreams have asked of this node
	limits   *limit.Tracker                     // that upstreams name for all nodes together
}

// service is what is known of one service.
type service struct {
	size    capacity.Size
	work    capacity.Work // sent since the start
	untaken capacity.Work // of it: that no upstream took, and that isn't made up for yet
	learner capacity.Learner
	engine  capacity.Engine // as all nodes have learned it
	merged  time.Time
	reads   float64     // prompt tokens of a request that aren't cached
	answer  float64     // milliseconds to an answer's head
	lasts   float64     // milliseconds that a request takes, to its end
	usual   float64     // time to a first event over the one expected, as answers lately had it; 0: none yet
	lag     float64     // milliseconds by which first events lately come later than expected
	turns   retry.ReturnSchedule // of callers that are turned away while no upstream takes anything
}

type placing struct {
	at time.Time
	Placement
}

// New returns empty pools as a node of that name and hall sees them.
func New(clock *timer.Service, node, hall string) *Pools {
	return &Pools{
		clock: clock, hall: hall, start: clock.Now(), list: NewList(), members: make(map[string]*member),
		services: make(map[string][]*member), outliers: make(map[string]*retry.Outliers),
		peers: make(map[string]peerReport), known: make(map[string]*service), reached: make(map[string]time.Time),
		told: make(map[string]time.Time), splits: make(map[string]Split), versions: make(map[string]map[string]time.Time), rests: retry.NewCooldowns(), limits: limit.NewTracker(node),
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
func (p *Pools) LastChange() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.list.LastChange()
}

// Missing returns the upstreams that are believed though the store doesn't have them, and how many
// there are in all.
func (p *Pools) Missing() ([]Missing, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.list.Missing(), p.list.Len()
}

func (p *Pools) rebuild() []Change {
	var changes []Change
	ended, seen := p.list.endedLives(), make(map[string]bool)
	services := make(map[string][]*member)
	p.list.Items(func(v Item) {
		e := v.Entry
		seen[e.ID] = true
		m := p.members[e.ID]
		if m != nil && (ended[e.ID] || m.entry.another(e)) {
			changes = append(changes, Change{m.entry, "gone"})
			p.forgetMember(m)
			m = nil
		}
		switch {
		case m == nil:
			p.noteVersion(p.clock.Now(), e)
			m = &member{entry: e, rank: notRanked, prefixes: make(map[uint64]time.Time), coldTill: p.clock.Now().Add(e.WarmUp)}
			p.members[e.ID] = m
			changes = append(changes, Change{e, "listed"})
		case e.Leaving && !m.entry.Leaving:
			changes = append(changes, Change{e, "leaving"})
		}
		m.entry = e
		services[e.Service] = append(services[e.Service], m)
	})
	for id := range ended {
		p.forgetWords(id)
	}
	for id, m := range p.members {
		if !seen[id] {
			changes = append(changes, Change{m.entry, "gone"})
			p.forgetMember(m)
		}
	}
	for _, l := range services { // an order that all plays of a seed have
		slices.SortFunc(l, func(a, b *member) int { return cmp.Compare(a.entry.ID, b.entry.ID) })
	}
	p.services, p.filled = services, len(seen) > 0
	for name := range p.splits {
		p.rank(name)
	}
	return changes
}

// forgetMember drops what is known of one life of an upstream. What still runs there ends on
// its own.
func (p *Pools) forgetMember(m *member) {
	delete(p.members, m.entry.ID)
	if o := p.outliers[m.entry.Service]; o != nil {
		o.Forget(m.entry.ID)
	}
	for _, v := range p.peers {
		delete(v.loads, m.entry.ID)
	}
}

// forgetWords drops what a life has asked for that named no birth and is over: the next one may have its name.
func (p *Pools) forgetWords(id string) {
	p.rests.Forget(retry.Incarnation{ID: id})
	p.limits.Forget(retry.Incarnation{ID: id})
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
	if now.Sub(p.forgot) < forgetEvery {
		return
	}
	p.forgot = now
	for _, m := range p.members {
		for h, t := range m.prefixes {
			if now.Sub(t) > prefixKeeps {
				delete(m.prefixes, h)
			}
		}
	}
}

// TakeIn takes in another node's report.
func (p *Pools) ApplyReport(node string, loads []Load, placed []Placement, engines map[string]capacity.Engine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	m := make(map[string]Load, len(loads))
	for _, l := range loads {
		m[l.Upstream] = l
	}
	p.peers[node] = peerReport{at: now, loads: m, engines: engines}
	p.learnPlaced(now, placed)
}

func (p *Pools) learnPlaced(now time.Time, placed []Placement) {
	for _, v := range placed {
		if u := p.members[v.Upstream]; u != nil {
			u.prefixes[v.Prefix] = now
		}
	}
}
