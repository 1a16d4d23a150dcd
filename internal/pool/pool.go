package pool

import (
	"sync"
	"time"

	"spurhall.example/spurhall/internal/brittle"
	"spurhall.example/spurhall/internal/capacity"
	"spurhall.example/spurhall/internal/limit"
	"spurhall.example/spurhall/internal/retry"
	"spurhall.example/spurhall/internal/timer"
)

// Results of a request at an upstream.
const (
	ResultGood         Result = iota
	ResultFailed              // no complete response, or a response that states a failure
	ResultEndless             // a response longer than any may be
	ResultRejected            // the upstream did not execute the request
	ResultUnreachable         // no connection could be established
	ResultMisplaced           // another upstream uses its address
	ResultInconclusive        // it ended for reasons on the caller's side
	ResultWithheld            // this node sent nothing after all
)

// Load is the load of one node at one upstream.
type Load struct {
	Upstream string
	Running  int
	Queued   float64 // prompt tokens waiting for their first token
	Reserved float64 // tokens of memory
}

// Placement states that an upstream has read a prompt prefix.
type Placement struct {
	Prefix   uint64
	Upstream string
}

const (
	// prefixTTL is how long a prefix is believed to stay cached after its last use. Under load, an engine
	// replaces its whole memory in about that time.
	prefixTTL = 30 * time.Second
	// peerReportTTL is the age at which another node's report no longer counts.
	peerReportTTL = 3 * time.Second
	// fullTTL is how long an upstream that rejected a request as full is believed to be full: the duration
	// of a few requests.
	fullTTL = 150 * time.Millisecond
	// unreachableTTL is how long an upstream is believed to be unreachable: a partition lasts seconds, and
	// each attempt during one costs a connection time-out.
	unreachableTTL = time.Second
	// partitionAfter is the number of unreachable upstreams of a hall after which the hall is considered
	// partitioned off: a single one may just have crashed.
	partitionAfter = 2
	// outlierShare is the maximum share of a pool that is ejected.
	outlierShare    = 0.34
	failureGain     = 0.12 // weight of the newest result in the share of failures
	lagGain         = 0.2  // weight of the newest first event's delay
	responseGain    = 0.05 // weight of the newest response in a service's averages
	responsePriorMs = 30.0 // assumed until a plain service has responded
	durationPriorMs = 1000 // milliseconds, assumed until a request has ended
	// mergeEvery is how often the values that the nodes have learned are merged, which is as often as
	// reports arrive.
	mergeEvery    = 250 * time.Millisecond
	maxPlacements = 1024 // bounds the placements kept for reports
	// pruneInterval is how often prefixes that are no longer believed to be cached are dropped. A choice
	// checks their age itself, and scanning all of them with each report takes a noticeable share of a
	// small VM's core (BenchmarkReport).
	pruneInterval = 5 * time.Second
	// placementTTL is how long a placement is included in reports: a few rounds, since a report may be
	// lost.
	placementTTL = time.Second
)

// member is one upstream with what this node knows of it.
type member struct {
	entry         Entry
	coldUntil     time.Time
	load          Load
	hash          uint64 // of the id
	keepHash      uint64
	kept          bool    // it is sent to nodes of this hall that don't watch the store
	peers         loadSum // load that other nodes reported at it, as of the last choice (Pools.peerLoad)
	failures      float64
	pace          pace
	speed         memberSpeed
	fullAt        time.Time
	unreachableAt time.Time            // when it was last unreachable, for this node or several others
	failedAt      time.Time            // when it was last unreachable for this node
	lostAt        time.Time            // when it was last unreachable for several nodes
	lostSince     time.Time            // since when it has been unreachable for several nodes
	respondedAt   time.Time            // when it last responded to this node
	silentAt      time.Time            // when a request of this node last found it silent for too long; zero: it has been heard since
	misplaced     bool                 // another upstream uses its address: this incarnation has ended
	prefixes      map[uint64]time.Time // nil: none
	rank          int                  // among the upstreams of a roll-out's target; notRanked: not one of them
}

type peerReport struct {
	at      time.Time
	loads   map[string]Load
	engines map[string]capacity.Engine
}

// Pools holds the upstreams of all services. It is safe for concurrent use.
type Pools struct {
	mu            sync.Mutex
	clock         *timer.Service
	hall          string
	start         time.Time
	list          *List
	members       map[string]*member
	services      map[string][]*member      // sorted by id
	halls         map[hallService][]*member // those of one hall, sorted by the hash of the id
	holders       map[uint64][]*member      // upstreams that may have cached a prefix, the latest ones
	counts        map[Group]int             // upstreams by group
	listHash      uint64                    // of the ids of all upstreams
	keptHash      uint64                    // of the ids of the upstreams that are kept (keep.go)
	parts         map[hallService]*part
	busy          map[*member]struct{} // upstreams with requests of this node in progress, listed or not
	suspects      map[*member]struct{} // upstreams that were recently unreachable for any node, and misplaced ones
	caching       map[*member]struct{} // upstreams with prefixes
	outliers      map[string]*retry.Outliers
	reports       map[string]peerReport
	peerLoads     []receivedLoad
	peerLoaded    []*member       // upstreams with reported load, as of the last choice
	anywhere      loadSum         // load of other nodes that counts at each upstream, as of the last choice
	covered       map[string]bool // the nodes included in peerLoads
	peerLoadsAt   time.Time       // when peerLoads were received
	pending       []pending
	serviceStats  map[string]*service
	placements    []timedPlacement
	prunedAt      time.Time                       // when prefixes were last dropped
	lastResponse  map[string]time.Time            // when an upstream last responded, by hall
	partitionedAt map[string]time.Time            // when the other nodes of this hall last found a hall partitioned off
	splits        map[string]Split                // by service
	versions      map[string]map[string]time.Time // when each was first seen, by service
	versionsLost  map[string]map[string]time.Time // when the last upstream of each was dropped, by service
	listRead      bool                            // the list has been read
	cooldowns     *retry.Cooldowns                // that upstreams asked this node for
	limits        *limit.Tracker                  // that upstreams state for all nodes together
	brittle       *brittle.Tracker                // upstreams that fall over when they reject too much
	speeds        speeds
}

// service is what is known of one service.
type service struct {
	size           capacity.Size
	work           capacity.Work // sent since the start of the process
	notExecuted    capacity.Work // part of work that no upstream executed and that is not yet offset by later work
	learner        capacity.Learner
	engine         capacity.Engine // as learned by all nodes
	mergedAt       time.Time
	uncachedTokens float64              // average number of uncached prompt tokens of a request
	responseMs     float64              // milliseconds to the response header
	durationMs     float64              // milliseconds from the start of a request to its end
	usualRatio     float64              // recent ratio of actual to expected time to a first event; 0: none yet
	lagMs          float64              // milliseconds by which first events recently came later than expected
	returns        retry.ReturnSchedule // of callers that are rejected while no upstream accepts requests
}

type timedPlacement struct {
	at time.Time
	Placement
}

// New returns empty pools for a node with the given name and hall.
func New(clock *timer.Service, node, hall string) *Pools {
	return &Pools{
		clock: clock, hall: hall, start: clock.Now(), list: NewList(), members: make(map[string]*member),
		services: make(map[string][]*member), halls: make(map[hallService][]*member), parts: make(map[hallService]*part), holders: make(map[uint64][]*member), counts: make(map[Group]int), busy: make(map[*member]struct{}), suspects: make(map[*member]struct{}), caching: make(map[*member]struct{}), outliers: make(map[string]*retry.Outliers),
		reports: make(map[string]peerReport), serviceStats: make(map[string]*service), lastResponse: make(map[string]time.Time),
		partitionedAt: make(map[string]time.Time), splits: make(map[string]Split), versions: make(map[string]map[string]time.Time), versionsLost: make(map[string]map[string]time.Time), cooldowns: retry.NewCooldowns(), limits: limit.NewTracker(node), brittle: brittle.NewTracker(node), speeds: newSpeeds(),
	}
}

// Revision returns the store's revision up to which the list is complete.
func (p *Pools) Revision() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.list.Revision()
}

// LastChange returns the store's revision of the list's newest change.
func (p *Pools) LastChange() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.list.LastChange()
}

// Missing returns the upstreams that are kept though the store doesn't have them, and the number of all
// upstreams.
func (p *Pools) Missing() ([]Missing, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.list.Missing(), p.list.Len()
}

// forgetIncarnation drops the cooldown and the limit of an incarnation without a start time that has
// ended: the next one may have the same identity.
func (p *Pools) forgetIncarnation(id string) {
	p.cooldowns.Forget(retry.Incarnation{ID: id})
	p.limits.Forget(retry.Incarnation{ID: id})
}

// SetSize sets the capacity of a service's engines.
func (p *Pools) SetSize(service string, s capacity.Size) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.service(service).size = s
}

func (p *Pools) service(name string) *service {
	s := p.serviceStats[name]
	if s == nil {
		s = &service{responseMs: responsePriorMs, durationMs: durationPriorMs}
		p.serviceStats[name] = s
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

// oldestReport returns the age of the oldest report that still counts.
func (p *Pools) oldestReport(now time.Time) time.Duration {
	d := time.Duration(0)
	for name, v := range p.reports {
		if age := now.Sub(v.at); age <= peerReportTTL && !p.covers(now, name) {
			d = max(d, age)
		}
	}
	for _, v := range p.currentPeerLoads(now) {
		d = max(d, now.Sub(v.at))
	}
	return d
}

// Items returns the upstreams as read from the store.
func (p *Pools) Items() []Item {
	p.mu.Lock()
	defer p.mu.Unlock()
	var r []Item
	p.list.Items(func(v Item) { r = append(r, v) })
	return r
}

// Report returns this node's loads and its recent placements.
func (p *Pools) Report() ([]Load, []Placement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var loads []Load
	for m := range p.busy {
		if p.members[m.entry.ID] != m {
			continue // it is no longer listed
		}
		l := m.load
		l.Upstream = m.entry.ID
		loads = append(loads, l)
	}
	p.prune()
	placed := make([]Placement, 0, len(p.placements))
	for _, v := range p.placements {
		placed = append(placed, v.Placement)
	}
	return loads, placed
}

// HasRequests reports whether requests of this node are in progress at upstreams, or were placed of late.
func (p *Pools) HasRequests() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.busy) > 0 || len(p.placements) > 0
}

// prune drops placements that were reported long enough, and prefixes that are no longer believed to be
// cached.
func (p *Pools) prune() {
	now := p.clock.Now()
	old := 0
	for old < len(p.placements) && now.Sub(p.placements[old].at) > placementTTL {
		old++
	}
	p.placements = append(p.placements[:0], p.placements[old:]...)
	if now.Sub(p.prunedAt) < pruneInterval {
		return
	}
	p.prunedAt = now
	for m := range p.caching {
		for h, t := range m.prefixes {
			if now.Sub(t) > prefixTTL {
				p.removePrefix(m, h)
			}
		}
		if len(m.prefixes) == 0 {
			m.prefixes = nil
			delete(p.caching, m)
		}
	}
}

// ApplyReport applies another node's report.
func (p *Pools) ApplyReport(node string, loads []Load, placed []Placement, engines map[string]capacity.Engine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	m := make(map[string]Load, len(loads))
	for _, l := range loads {
		m[l.Upstream] = l
	}
	p.reports[node] = peerReport{at: now, loads: m, engines: engines}
	p.applyPlacements(now, placed)
}

func (p *Pools) applyPlacements(now time.Time, placed []Placement) {
	for _, v := range placed {
		if m := p.members[v.Upstream]; m != nil {
			p.addPrefix(now, m, v.Prefix)
		}
	}
}
