package pool

import (
	"time"

	"spurhall.example/spurhall/internal/call"
	"spurhall.example/spurhall/internal/era"
	"spurhall.example/spurhall/internal/limit"
	"spurhall.example/spurhall/internal/retry"
)

// This file handles what upstreams state about themselves in their responses, beside what the store states
// of them: that they leave, that they ask for a cooldown, and the rate that they accept.
//
// Each statement is about one incarnation and is stored by it, not by the request or connection that
// delivered it. The list may drop an upstream's entry and add it again during an outage of the store, and
// an entry may be older than the statement.
//
// Leaving is recorded in the list, like the store's own data, and is propagated with the list: to the
// nodes of the hall that ask this one, and to the code that orders new upstreams. A cooldown applies to
// one node, for the requests it sent, and stays there (retry.Cooldowns). A limit applies to all nodes
// together, and they share it (package limit).

// Incarnation identifies the incarnation that the entry is of.
func (e Entry) Incarnation() retry.Incarnation { return retry.Incarnation{ID: e.ID, Born: e.Born} }

// MarkLeaving records that an upstream has stated in a response that it is leaving. e identifies its
// incarnation.
func (l *List) MarkLeaving(e Entry) {
	v, ok := l.items[e.ID]
	if ok && v.Entry.isOtherIncarnation(e) {
		return
	}
	if !ok {
		e.Leaving = true
		l.recordDropped(Item{Entry: e, Revision: l.dropped[e.ID].Revision})
		return
	}
	v.Entry.Leaving = true
	l.items[e.ID] = v
	l.touched[e.ID] = true
}

// recordDropped remembers an entry that is no longer listed.
func (l *List) recordDropped(v Item) {
	if len(l.dropped) >= maxIDs {
		clear(l.dropped)
	}
	l.dropped[v.Entry.ID] = dropped{v, l.now}
}

// isFromOlderCopy reports whether an entry that isn't listed is a dropped one, restored from an older copy
// of the store: the same write, in a later era. A running upstream writes its entry again.
func (l *List) isFromOlderCopy(v Item) bool {
	old, ok := l.dropped[v.Entry.ID]
	return ok && old.Revision != 0 && era.Of(v.Revision) > era.Of(old.Revision) && era.Number(v.Revision) == era.Number(old.Revision)
}

// StartCooldown records that an upstream must not be sent requests by this node for the given time, and
// reports whether it had no cooldown before.
func (p *Pools) StartCooldown(e Entry, d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cooldowns.Start(p.clock.Now(), e.Incarnation(), d)
}

// ObserveLimit records what an upstream's response, to a request sent at the given time, states about the
// rate that it accepts from all nodes together. It reports whether that is new.
func (p *Pools) ObserveLimit(e Entry, l call.Limit, sent time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch l.Status {
	case call.LimitNamed:
		return p.limits.ObserveRate(p.clock.Now(), sent, e.Incarnation(), l.Rate)
	case call.LimitNone:
		return p.limits.ObserveNoRate(p.clock.Now(), sent, e.Incarnation())
	case call.LimitUnclear, call.LimitNoResponse:
	}
	return false
}

// ApplyLimits applies the limits that another node knows of, and returns those that are new.
func (p *Pools) ApplyLimits(list []limit.Observation) []limit.Observation {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limits.Merge(p.clock.Now(), list)
}

// Limits returns the known limits, for other nodes.
func (p *Pools) Limits() []limit.Observation {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limits.Observations(p.clock.Now())
}

// HasLimits reports whether any limit is known.
func (p *Pools) HasLimits() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.limits.IsEmpty()
}

// SetSenders sets which nodes share limits, and which of them place requests at engines for all others.
func (p *Pools) SetSenders(nodes, placers []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits.SetNodes(nodes, placers)
}

// AllowQuery reports whether an upstream may be sent a query other than a request now, and counts the
// query against its limit.
func (p *Pools) AllowQuery(e Entry) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, l, engine := p.clock.Now(), e.Incarnation(), p.service(e.Service).size.Slots > 0
	if p.cooldowns.Wait(now, l) > 0 || p.limits.Wait(now, l, engine) > 0 {
		return false
	}
	p.limits.Take(now, l, engine)
	return true
}

// Leaving reports whether, according to the list, the incarnation of an entry is leaving or has ended.
func (p *Pools) Leaving(e Entry) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	v, ok := p.list.items[e.ID]
	if !ok {
		v := p.list.dropped[e.ID]
		return v.Entry.Leaving && !v.Entry.isOtherIncarnation(e)
	}
	return v.Entry.Leaving || v.Entry.isOtherIncarnation(e)
}
