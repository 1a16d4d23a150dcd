package retry

import "time"

// Cooldowns holds the cooldowns that upstreams asked for when they rejected requests. An upstream gets no
// request from this node during its cooldown. An upstream asks each node separately, in its responses to
// that node, so cooldowns are not shared between nodes.
//
// Alternatives considered: keeping such an upstream among the candidates at a high cost, like a full one.
// An upstream that asks for a cooldown rejects every request, and operators allow at most two sends.
type Cooldowns struct {
	until map[Incarnation]time.Time
}

// Incarnation identifies one run of an upstream process. A cooldown does not apply to the next
// incarnation.
type Incarnation struct {
	ID   string
	Born int64 // start time, Unix milliseconds; 0: unknown
}

// NewCooldowns returns an empty set of cooldowns.
func NewCooldowns() *Cooldowns { return &Cooldowns{until: make(map[Incarnation]time.Time)} }

// Start starts a cooldown of the given length, and reports whether the upstream had none before. Of two
// overlapping cooldowns the one that ends later applies, since responses may arrive out of order.
func (c *Cooldowns) Start(now time.Time, i Incarnation, d time.Duration) bool {
	for k, until := range c.until {
		if !now.Before(until) {
			delete(c.until, k)
		}
	}
	old, active := c.until[i]
	if until := now.Add(d); until.After(old) {
		c.until[i] = until
	}
	return !active
}

// Forget drops the cooldown of an incarnation that has ended. It is needed where the next incarnation may
// have the same identity.
func (c *Cooldowns) Forget(i Incarnation) { delete(c.until, i) }

// Wait returns how long an upstream must not be sent requests; 0 if it may be sent one now.
func (c *Cooldowns) Wait(t time.Time, i Incarnation) time.Duration { return max(0, c.until[i].Sub(t)) }

// ShortestWait returns the time until the first of the listed upstreams may be sent requests. It is 0
// if one may be now, or if the list is empty.
func (c *Cooldowns) ShortestWait(now time.Time, list []Incarnation) time.Duration {
	least := time.Duration(0)
	for _, i := range list {
		d := c.Wait(now, i)
		if d == 0 {
			return 0
		}
		if least == 0 || d < least {
			least = d
		}
	}
	return least
}
