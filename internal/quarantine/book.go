package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Proof is how many upstreams have to have ended under a request. Two aren't enough: a
	// request whose upstream ended by chance is sent again at once, in a wave to one that is
	// about to end.
	CrashThreshold = 3
	// holdFirst is how long a request is held back for the first time, and holdLongest at
	// most; each end after that doubles it. With spread it stays under a minute for one that
	// is held back wrongly.
	holdFirst   = 45 * time.Second
	holdLongest = time.Hour
	// spread is the span over which the nodes let a request through again, each at its own
	// moment, so that the others know of the first one before it is their turn.
	spread = 15 * time.Second
	// trialTakes is how long all wait for the end of one such request before another one is
	// let through: longer than a request waits at an upstream before it runs.
	trialTakes = 5 * time.Second
	// sameWithin is how far apart words of one end may be: they bear an age, and grow younger
	// by what a message takes. An upstream needs some seconds to come back.
	sameWithin = 2 * time.Second
	// suspectKeeps is how long ends are remembered that prove nothing yet, heldKeeps how long
	// after its time a request is remembered that was held back.
	suspectKeeps = 30 * time.Minute
	heldKeeps    = time.Hour
	// clearedKeeps is how long an answer is remembered: words of ends before it come no later.
	clearedKeeps = time.Minute
	// suspectsLimit bounds the requests remembered (some 300 bytes each), endsLimit the ends
	// of one. suspectsRoom is made at once when there are too many.
	suspectsLimit = 2048
	suspectsRoom  = suspectsLimit / 8
	endsLimit     = 32
)

// End is the end of an upstream, as one request saw it.
type Crash struct {
	Fingerprint    Fingerprint
	Upstream string
	At       time.Time // when the request's connection broke
}

// same tells whether both are one end of one upstream. An upstream may come back under its
// id, and end again.
func (e Crash) same(o Crash) bool {
	return e.Upstream == o.Upstream && e.At.Sub(o.At).Abs() < sameWithin
}

// suspect is a request under which upstreams ended.
type suspect struct {
	ends    []Crash     // by time
	changed time.Time // when the newest of this was learned
	cleared time.Time // when it was last answered; ends from before don't count
	until   time.Time // it is held back until then; zero: it isn't
	tried   time.Time // when a repeat was last let through, here or at another node
}

// Book is what one process knows of such requests.
type Tracker struct {
	node string
	size atomic.Int64 // suspects, readable without the lock

	mu       sync.Mutex
	suspects map[Fingerprint]*suspect
	families map[Shape]*family
	alike    []Change // of what is held back by its shape, not returned yet
	held     int64    // changes of what is held back
	stale    bool     // ends changed that may hold a request back, since it was last derived
}

// NewBook returns an empty book of a node.
func NewTracker(node string) *Tracker {
	return &Tracker{node: node, suspects: make(map[Fingerprint]*suspect), families: make(map[Shape]*family)}
}

// Change is that a request is held back from now on, or isn't any more.
type Change struct {
	Fingerprint     Fingerprint
	Quarantined      bool
	Until     time.Time
	Upstreams []string // that ended under it
	ByShape     bool     // all requests of its shape, and not just it
}

// Knows tells whether ends were seen under a request of that shape. Most processes know of
// none, which costs no lock.
func (b *Tracker) HasCrashes(r func() Shape) bool {
	if b.size.Load() == 0 {
		return false
	}
	s := r()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.families[s] != nil
}

// Ends returns how many ends were seen under a request.
func (b *Tracker) CrashCount(p Fingerprint) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.suspects[p]; s != nil {
		return len(s.ends)
	}
	return 0
}

// Broke takes in an end that this process saw.
func (b *Tracker) ObserveCrash(now time.Time, e Crash) []Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(now, e)
	return b.settle()
}

// add takes in an end, and tells whether it is news.
func (b *Tracker) add(now time.Time, e Crash) bool {
	s := b.suspects[e.Fingerprint]
	if s == nil {
		s = b.open(now, e.Fingerprint)
	}
	if e.At.Before(s.cleared.Add(sameWithin)) {
		return false // it may be an end from before the answer, told late
	}
	if slices.ContainsFunc(s.ends, e.same) {
		return false
	}
	s.ends = append(s.ends, e)
	slices.SortFunc(s.ends, func(a, b Crash) int { return a.At.Compare(b.At) })
	if len(s.ends) > endsLimit {
		s.ends = slices.Delete(s.ends, 0, 1)
	}
	b.touch(now, s)
	b.addAlike(e)
	return true
}

// addAlike counts an end against all requests of its shape.
func (b *Tracker) addAlike(e Crash) {
	f := b.families[e.Fingerprint.Shape()]
	if !f.add(e) {
		return
	}
	c := Change{Fingerprint: e.Fingerprint, Quarantined: true, Until: f.until(), ByShape: true}
	for _, v := range f.ends {
		c.Upstreams = append(c.Upstreams, v.Upstream)
	}
	b.alike = append(b.alike, c)
}

// touch notes that something was learned of a request.
func (b *Tracker) touch(now time.Time, s *suspect) {
	s.changed = now
	b.stale = b.stale || len(s.ends) >= CrashThreshold || !s.until.IsZero()
}

// open begins to remember a request, in the place of the one that says least if need be.
func (b *Tracker) open(now time.Time, p Fingerprint) *suspect {
	if len(b.suspects) >= suspectsLimit {
		b.evict(now)
	}
	s := &suspect{}
	b.suspects[p] = s
	f := b.families[p.Shape()]
	if f == nil {
		f = &family{}
		b.families[p.Shape()] = f
	}
	f.suspects++
	b.size.Store(int64(len(b.suspects)))
	return s
}

// evict makes room: it forgets what has lapsed and, if that is too little, the requests that
// have the fewest ends, of these the ones that were heard of the longest ago.
func (b *Tracker) evict(now time.Time) {
	list := make([]Fingerprint, 0, len(b.suspects))
	for p, s := range b.suspects {
		if s.lapsed(now) {
			b.drop(p)
			continue
		}
		list = append(list, p)
	}
	slices.SortFunc(list, func(x, y Fingerprint) int {
		v, w := b.suspects[x], b.suspects[y]
		return cmp.Or(cmp.Compare(len(v.ends), len(w.ends)), v.changed.Compare(w.changed))
	})
	for _, p := range list[:max(0, len(list)-suspectsLimit+suspectsRoom)] {
		b.drop(p)
	}
}

func (s *suspect) lapsed(now time.Time) bool {
	switch {
	case len(s.ends) == 0:
		return now.Sub(s.cleared) > clearedKeeps
	case !s.until.IsZero():
		return now.Sub(s.until) > heldKeeps
	}
	return now.Sub(s.changed) > suspectKeeps
}

func (b *Tracker) drop(p Fingerprint) {
	delete(b.suspects, p)
	f := b.families[p.Shape()]
	if f.suspects--; f.suspects == 0 {
		delete(b.families, p.Shape())
	}
	b.size.Store(int64(len(b.suspects)))
}

// Answered takes in that a request was answered whole: whatever ended before, it wasn't its
// doing.
func (b *Tracker) ObserveResponse(now time.Time, p Fingerprint) []Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.clear(now, p, now)
	b.clearAlike(Response{p, now})
	return b.settle()
}

// clearAlike takes in that a request was answered: others of its shape aren't held back for what ended
// before.
func (b *Tracker) clearAlike(a Response) {
	if f := b.families[a.Fingerprint.Shape()]; f != nil && f.answer(a) {
		b.alike = append(b.alike, Change{Fingerprint: a.Fingerprint, ByShape: true})
	}
}

func (b *Tracker) clear(now time.Time, p Fingerprint, at time.Time) bool {
	s := b.suspects[p]
	if s == nil || at.Sub(s.cleared) < sameWithin {
		return false
	}
	s.cleared = at
	b.touch(now, s)
	s.ends = slices.DeleteFunc(s.ends, func(e Crash) bool { return e.At.Before(at.Add(sameWithin)) })
	return true
}
