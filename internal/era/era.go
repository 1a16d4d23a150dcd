// Package era orders what is known of a store that may come back from an older copy of itself.
//
// The store counts its changes by revisions. When it comes back from a copy, what was written since
// is gone, and revisions are given out again; it says so by an era that is one higher, in all its
// answers. A revision then tells nothing without its era, and comparing two of different eras is how
// old words come to count as new ones.
//
// So inside the system a revision has its era in it, before the store's own number. Everything that
// compares revisions (lists, watches, fencing tokens, what nodes tell each other) is in order over
// eras without knowing of them, and a token never falls. The way to the store is the only place that
// takes them apart: a number of an earlier era isn't sent there.
//
// Weighed for tokens: a number of our own that never falls, kept by the nodes and asked of the cloud's
// refusals. It takes a refusal to learn it, which needs a call, and where all nodes are lost it is
// another's token first.
package era

import (
	"sync"

	"github.com/joomcode/errorx"
)

var errs = errorx.NewNamespace("era")

var (
	// ErrPast says that an answer is of an earlier era: it tells nothing of the store as it is.
	ErrEarlierEra = errs.NewType("past").New("the answer is of an earlier era of the store")
	// ErrRange says that an era or a revision is too large to be ordered.
	ErrRange = errs.NewType("range").New("the store's era or revision can't be ordered")
)

// bits is the part of a revision that is the store's own number: at 400 writes a second, the most that
// the platform's stores take, it lasts for 1,400 years. What is left is enough for half a million eras.
const (
	numberBits    = 44
	maxEra = 1<<(63-numberBits) - 1 // era
)

// Revision puts an era before a store's own number. Without an era it is the number: stores that say
// none are as they were.
func Revision(era, number int64) (int64, error) {
	if era < 0 || era > maxEra || number < 0 || number >= 1<<numberBits {
		return 0, ErrRange
	}
	return era<<numberBits | number, nil
}

// Of returns the era of a revision.
func Of(revision int64) int64 { return max(0, revision) >> numberBits }

// Number returns the store's own number of a revision.
func Number(revision int64) int64 { return revision & (1<<numberBits - 1) }

// Rise is a store's coming back from a copy.
type Rise struct {
	From, To int64
	LastNumber   int64 // newest of the store's numbers that was seen in the era before
}

// Clock knows a store's era. It is safe for concurrent use.
type Tracker struct {
	mu     sync.Mutex
	current    int64
	newest int64 // of the store's numbers in this era
	onRise   []func(Rise)
}

// NewClock returns a clock of a store that hasn't said its era.
func NewTracker() *Tracker { return &Tracker{} }

// OnRise names what is told of each rise, once. It is set before anything is heard. The era that the
// first answer says is no rise.
func (c *Tracker) OnRise(f func(Rise)) { c.onRise = append(c.onRise, f) }

// Now returns the newest era that was heard; 0: none.
func (c *Tracker) Current() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// Hear takes in the era that an answer says; 0: it says none, and counts as one of the era that is
// known. An answer of an earlier era is ErrPast.
func (c *Tracker) Observe(era int64) error {
	if era < 0 || era > maxEra {
		return ErrRange
	}
	c.mu.Lock()
	if era != 0 && era < c.current {
		c.mu.Unlock()
		return ErrEarlierEra
	}
	r := Rise{From: c.current, To: max(era, c.current), LastNumber: c.newest}
	if r.To > r.From {
		c.current, c.newest = r.To, 0
	}
	c.mu.Unlock()
	if r.To > r.From && (r.From != 0 || r.LastNumber > 0) {
		for _, f := range c.onRise {
			f(r)
		}
	}
	return nil
}

// See notes a revision that an answer of the store says.
func (c *Tracker) ObserveRevision(revision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if Of(revision) == c.current {
		c.newest = max(c.newest, Number(revision))
	}
}

// Within returns the store's own number of a revision, if it is one of that era. 0, which stands for
// absence, is one of each.
func NumberIn(era, revision int64) (int64, bool) {
	if revision == 0 {
		return 0, true
	}
	return Number(revision), Of(revision) == era
}
