// Package era keeps store revisions comparable when the store is restored from an older copy of itself.
//
// The store counts its changes by revisions. When it is restored from a copy, later writes are lost and
// their revisions are assigned again; the store then reports an era that is one higher in all its
// responses. A revision means nothing without its era: comparing revisions of two eras would take
// outdated data for new.
//
// So inside the system a revision holds its era in front of the store's own number. All code that
// compares revisions (lists, watches, fencing tokens, the state that nodes exchange) is in order across
// eras without knowing of them, and a fencing token never falls. Only the store's client splits
// revisions again; it does not send numbers of an earlier era to the store.
//
// Alternatives considered, for fencing tokens: a monotonic number of the nodes' own, kept by the nodes
// and learned from the cloud's rejections. Learning it takes a rejection, and so a call; where all
// nodes are lost, the first number tried may be another holder's token.
package era

import (
	"sync"

	"github.com/joomcode/errorx"
)

var errs = errorx.NewNamespace("era")

var (
	// ErrEarlierEra reports that a response is of an earlier era and does not describe the store's
	// present state.
	ErrEarlierEra = errs.NewType("past").New("the response is of an earlier era of the store")
	// ErrRange reports that an era or a revision is negative or too large to be encoded.
	ErrRange = errs.NewType("range").New("the store's era or revision is out of range")
)

// numberBits is the width of the store's own number in a revision: at 400 writes a second, the most
// that the platform's stores accept, it lasts for 1,400 years. The remaining bits hold half a million
// eras.
const (
	numberBits = 44
	maxEra     = 1<<(63-numberBits) - 1 // the largest era that fits
)

// Revision puts an era in front of a store's own number. For era 0, of stores that report no era, the
// result is the number itself.
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

// Rise describes a restore of the store from a copy.
type Rise struct {
	From, To   int64
	LastNumber int64 // highest of the store's numbers seen in the era before
}

// Tracker keeps a store's era. It is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	current int64
	newest  int64 // highest of the store's numbers in this era
	onRise  []func(Rise)
}

// NewTracker returns a tracker of a store whose era isn't known.
func NewTracker() *Tracker { return &Tracker{} }

// OnRise adds a callback that is called once for each rise. It must be called before the first Observe.
// The first era that is observed is no rise.
func (c *Tracker) OnRise(f func(Rise)) { c.onRise = append(c.onRise, f) }

// Current returns the newest era that was observed; 0: none.
func (c *Tracker) Current() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// Observe records the era of a response. Era 0 means that the response states none; it counts as one of
// the era that is known. For a response of an earlier era it returns ErrEarlierEra.
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

// ObserveRevision records a revision that a response of the store states.
func (c *Tracker) ObserveRevision(revision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if Of(revision) == c.current {
		c.newest = max(c.newest, Number(revision))
	}
}

// NumberIn returns the store's own number of a revision, and whether the revision is of that era.
// Revision 0, which stands for absence, is of every era.
func NumberIn(era, revision int64) (int64, bool) {
	if revision == 0 {
		return 0, true
	}
	return Number(revision), Of(revision) == era
}
