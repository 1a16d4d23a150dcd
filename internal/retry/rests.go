package retry

import "time"

// Rests is the rest that upstreams ask for when they turn requests away: until it is over they get
// nothing from this node. It is asked of one node, by its sends, and stays with it.
//
// Weighed: to leave an upstream that rests in the choice at a high cost, as one that is full is. One
// that asks for rest turns away all that reaches it, and the operators' bound is two sends.
type Cooldowns struct {
	until map[Incarnation]time.Time
}

// Lifetime names one life of an upstream: rest that one asks for isn't the next one's.
type Incarnation struct {
	ID   string
	Born int64 // 0: unsaid
}

// NewRests returns the rests of upstreams of which none has asked for any.
func NewCooldowns() *Cooldowns { return &Cooldowns{until: make(map[Incarnation]time.Time)} }

// Ask takes in that an upstream wants nothing for so long, and returns whether that is new. Of two
// such words the one that reaches further holds: answers may overtake each other.
func (r *Cooldowns) Start(now time.Time, l Incarnation, d time.Duration) bool {
	for k, until := range r.until {
		if !now.Before(until) {
			delete(r.until, k)
		}
	}
	old, rested := r.until[l]
	if until := now.Add(d); until.After(old) {
		r.until[l] = until
	}
	return !rested
}

// Forget drops what one life has asked for that is over, where its name may be the next one's, too.
func (r *Cooldowns) Forget(l Incarnation) { delete(r.until, l) }

// Left returns how long an upstream is to get nothing; 0: it may be asked.
func (r *Cooldowns) Wait(now time.Time, l Incarnation) time.Duration { return max(0, r.until[l].Sub(now)) }

// Soonest returns how long it takes until the first of some upstreams may be asked; 0: one may be now,
// or there are none.
func (r *Cooldowns) ShortestWait(now time.Time, list []Incarnation) time.Duration {
	least := time.Duration(0)
	for _, l := range list {
		d := r.Wait(now, l)
		if d == 0 {
			return 0
		}
		if least == 0 || d < least {
			least = d
		}
	}
	return least
}
