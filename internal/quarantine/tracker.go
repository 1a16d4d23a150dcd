package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// CrashThreshold is how many upstreams must have crashed under a request to quarantine it. Two are
	// not enough: a request whose upstream stopped by chance is retried at once, and in a wave of
	// reclaims the retry meets an upstream that is about to stop, too.
	CrashThreshold = 3
	// initialQuarantine is how long a request is quarantined the first time. Each further crash doubles
	// it, up to maxQuarantine. Together with probeSpread the first quarantine of a harmless request stays
	// within a minute.
	initialQuarantine = 45 * time.Second
	maxQuarantine     = time.Hour
	// probeSpread is the span over which the nodes admit a request again, each at its own moment, so that
	// the others know of the first probe before their own turn.
	probeSpread = 15 * time.Second
	// probeTimeout is how long all nodes wait for the outcome of a probe before another one is admitted.
	// It is longer than a request waits at an upstream before it runs.
	probeTimeout = 5 * time.Second
	// sameCrashWindow is how far apart two observations of one crash may be: each is placed in time by its age, which
	// omits the time that the first message of it took. An upstream needs some seconds to restart.
	sameCrashWindow = 2 * time.Second
	// suspectTTL is how long crashes below the threshold are remembered, quarantinedTTL how long a
	// request is remembered after its quarantine.
	suspectTTL     = 30 * time.Minute
	quarantinedTTL = time.Hour
	// clearedTTL is how long a response is remembered. Reports of crashes before it do not arrive later
	// than that.
	clearedTTL = time.Minute
	// maxSuspects bounds the requests remembered (some 300 bytes each), maxCrashes the crashes of one
	// request. When there are too many requests, evictionBatch of them are evicted at once.
	maxSuspects   = 2048
	evictionBatch = maxSuspects / 8
	maxCrashes    = 32
)

// Crash is the crash of an upstream, as observed by one request.
type Crash struct {
	Fingerprint Fingerprint
	Upstream    string
	At          time.Time // when the request's connection broke
	Origin      Origin
}

// same reports whether both are the same crash. An upstream may restart under its ID and crash again.
func (e Crash) same(o Crash) bool {
	window := sameCrashWindow
	if e.Origin == 0 || o.Origin == 0 {
		window = unknownOriginWindow
	}
	return e.Upstream == o.Upstream && e.At.Sub(o.At).Abs() < window
}

// suspect is a request under which upstreams crashed.
type suspect struct {
	print     Fingerprint
	crashes   []Crash   // sorted by time
	updatedAt time.Time // when this last learned something new
	cleared   Response  // the last complete response; earlier crashes don't count
	until     time.Time // end of the quarantine; zero: not quarantined
	probe     Probe     // the last one that this node or another one admitted
}

// Tracker holds what one process knows of requests that crash upstreams.
type Tracker struct {
	node string
	size atomic.Int64 // number of suspects, readable without the lock

	mu             sync.Mutex
	suspects       map[ID]*suspect
	shapes         map[Shape]*shapeState
	parts          *partTracker
	pendingChanges []Change              // not yet returned
	telling        map[Shape]*shapeState // of which messages may have to tell; most shapes have nothing new
	revision       int64                 // rises with each change of the quarantined requests
	stale          bool                  // crashes that can quarantine a request have changed since the last evaluation
	updates        uint64                // number of messages built
	observed       uint64                // number of this process's own observations
	origins        map[Origin]placed
}

// NewTracker returns an empty tracker for a node.
func NewTracker(node string) *Tracker {
	return &Tracker{node: node, suspects: make(map[ID]*suspect), shapes: make(map[Shape]*shapeState), telling: make(map[Shape]*shapeState), parts: newPartTracker(), origins: make(map[Origin]placed)}
}

// Change reports that a request is quarantined, or no longer is.
type Change struct {
	Fingerprint Fingerprint
	Quarantined bool
	Until       time.Time
	Upstreams   []string // that crashed under it
	ByShape     bool     // concerns all requests of the shape
	// Of requests whose prompts have all of these parts; nil: the change concerns others.
	Parts        []uint64
	Requests     int           // under which the upstreams crashed
	Since        time.Duration // the first of these crashes
	Unproved     bool          // no other request of the service was answered since
	OneWorkspace bool          // only the requests of the workspace under which the upstreams crashed are concerned
}

// HasCrashes reports whether crashes were observed under a request of one of the shapes. Most processes know of
// none; for these it takes no lock.
func (t *Tracker) HasCrashes(r func() []Shape) bool {
	if t.size.Load() == 0 {
		return false
	}
	list := r()
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(list, func(s Shape) bool { return t.shapes[s] != nil })
}

// CrashCount returns how many crashes were observed under a request.
func (t *Tracker) CrashCount(p Fingerprint) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.suspects[p.id]; s != nil {
		return len(s.crashes)
	}
	return 0
}

// ObserveCrash records a crash that this process observed.
func (t *Tracker) ObserveCrash(now time.Time, e Crash) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.Origin = t.originOf(e.At)
	t.addCrash(now, e)
	return t.evaluate()
}

// addCrash records a crash and reports whether it is new.
func (t *Tracker) addCrash(now time.Time, e Crash) bool {
	e.At = t.place(now, e.Origin, e.At)
	s := t.suspects[e.Fingerprint.id]
	if s == nil {
		s = t.newSuspect(now, e.Fingerprint)
	}
	t.adoptPrefixes(s, e.Fingerprint)
	if e.At.Before(s.cleared.At.Add(sameCrashWindow)) {
		return false // may be a crash from before the response, reported late
	}
	if slices.ContainsFunc(s.crashes, e.same) {
		return false
	}
	s.crashes = append(s.crashes, e)
	slices.SortFunc(s.crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
	if len(s.crashes) > maxCrashes {
		s.crashes = slices.Delete(s.crashes, 0, 1)
	}
	t.touch(now, s)
	t.addToShapes(s, e)
	return true
}

// addToShapes counts a crash against all requests of its shapes, except the route: most requests there are harmless.
// It reports the quarantine of the first of these.
func (t *Tracker) addToShapes(s *suspect, e Crash) {
	var f *shapeState
	for _, x := range s.print.shapes() {
		if x == s.print.route() {
			continue
		}
		v := t.shapes[x]
		extended := v.add(e)
		t.tellOf(x)
		if extended && f == nil && t.countsAgainst(s.print, x) {
			f = v
		}
	}
	if f == nil {
		return
	}
	c := Change{Fingerprint: e.Fingerprint, Quarantined: true, Until: f.until(), ByShape: true}
	for _, v := range f.crashes {
		c.Upstreams = append(c.Upstreams, v.Upstream)
	}
	t.pendingChanges = append(t.pendingChanges, c)
}

// tellOf has messages tell of a shape, as far as there is something to tell.
func (t *Tracker) tellOf(x Shape) {
	if f := t.shapes[x]; f.hasNews() {
		t.telling[x] = f
	}
}

// touch records that something was learned about a request.
func (t *Tracker) touch(now time.Time, s *suspect) {
	s.updatedAt = now
	t.stale = t.stale || len(s.crashes) >= CrashThreshold || !s.until.IsZero()
}

// newSuspect starts tracking a request. If there are too many, it evicts those with the weakest evidence.
func (t *Tracker) newSuspect(now time.Time, p Fingerprint) *suspect {
	if len(t.suspects) >= maxSuspects {
		t.evict(now)
	}
	s := &suspect{print: p}
	t.suspects[p.id] = s
	t.trackShapes(p.shapes())
	t.size.Store(int64(len(t.suspects)))
	return s
}

// trackShapes counts one more suspect of each shape.
func (t *Tracker) trackShapes(list []Shape) {
	for _, x := range list {
		f := t.shapes[x]
		if f == nil {
			f = &shapeState{}
			t.shapes[x] = f
		}
		f.suspects++
	}
}

// adoptPrefixes adds the prefixes of a request that a node of an earlier version told of without them.
func (t *Tracker) adoptPrefixes(s *suspect, p Fingerprint) {
	if list := p.Prefixes(); len(s.print.Prefixes()) == 0 && len(list) > 0 {
		t.trackShapes(list)
		s.print = p
	}
}

// evict makes room: it removes what has expired and, if that is not enough, the requests with the fewest
// crashes, among these the least recently updated ones.
func (t *Tracker) evict(now time.Time) {
	list := make([]ID, 0, len(t.suspects))
	for p, s := range t.suspects {
		if s.expired(now) {
			t.remove(p)
			continue
		}
		list = append(list, p)
	}
	slices.SortFunc(list, func(x, y ID) int {
		v, w := t.suspects[x], t.suspects[y]
		return cmp.Or(cmp.Compare(len(v.crashes), len(w.crashes)), v.updatedAt.Compare(w.updatedAt))
	})
	for _, p := range list[:max(0, len(list)-maxSuspects+evictionBatch)] {
		t.remove(p)
	}
}

func (s *suspect) expired(now time.Time) bool {
	switch {
	case len(s.crashes) == 0:
		return now.Sub(s.cleared.At) > clearedTTL
	case !s.until.IsZero():
		return now.Sub(s.until) > quarantinedTTL
	}
	return now.Sub(s.updatedAt) > suspectTTL
}

func (t *Tracker) remove(p ID) {
	for _, x := range t.suspects[p].print.shapes() {
		f := t.shapes[x]
		if f.suspects--; f.suspects == 0 {
			delete(t.shapes, x)
			delete(t.telling, x)
		}
	}
	delete(t.suspects, p)
	t.size.Store(int64(len(t.suspects)))
}

// ObserveResponse records that a request got a complete response, so it did not cause the crashes before.
func (t *Tracker) ObserveResponse(now time.Time, p Fingerprint) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := Response{p, now, t.originOf(now)}
	t.clear(now, a)
	t.clearShapes(a)
	return t.evaluate()
}

// clearShapes records a response to a request: earlier crashes no longer count against its shapes.
func (t *Tracker) clearShapes(a Response) {
	released := false
	for _, x := range a.Fingerprint.shapes() {
		if f := t.shapes[x]; f != nil {
			released = f.observeResponse(a) || released
			t.tellOf(x)
		}
	}
	if released {
		t.pendingChanges = append(t.pendingChanges, Change{Fingerprint: a.Fingerprint, ByShape: true})
	}
}

// clear records a response to a request and reports whether it is new.
func (t *Tracker) clear(now time.Time, a Response) bool {
	s := t.suspects[a.Fingerprint.id]
	if s == nil || a.At.Sub(s.cleared.At) < sameCrashWindow {
		return false
	}
	s.cleared = a
	t.touch(now, s)
	s.crashes = slices.DeleteFunc(s.crashes, func(e Crash) bool { return e.At.Before(a.At.Add(sameCrashWindow)) })
	return true
}
