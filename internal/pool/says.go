package pool

import (
	"time"

	"spurhall.example/spurhall/internal/call"
	"spurhall.example/spurhall/internal/era"
	"spurhall.example/spurhall/internal/limit"
	"spurhall.example/spurhall/internal/retry"
)

// This file is what upstreams say of themselves in their answers, beside what the store says of
// them: that they leave, that they want rest, and how much they take.
//
// All are words of one life, and are kept by it and not by the request or the connection that
// brought them. The list may drop an upstream's entry and take it in again while the store is away,
// and an entry may be older than the word.
//
// That an upstream leaves is a fact of its own, so it stands in the list as the store's word does, and
// goes where the list goes: to the nodes of the hall that ask this one, and to what is ordered. Rest
// is asked of one node, by its sends, and stays with it (retry.Rests). A limit is named for all nodes
// together, and they share it (package limit).

// Lifetime names the life that the entry is of.
func (e Entry) Incarnation() retry.Incarnation { return retry.Incarnation{ID: e.ID, Born: e.Born} }

// Leave takes in that an upstream has said itself that it leaves. It is the word of the life that
// the entry names.
func (l *List) MarkLeaving(e Entry) {
	v, ok := l.items[e.ID]
	if ok && v.Entry.another(e) {
		return
	}
	if !ok {
		e.Leaving = true
		l.noteDropped(Item{Entry: e, Revision: l.dropped[e.ID].Revision})
		return
	}
	v.Entry.Leaving = true
	l.items[e.ID] = v
}

// noteDropped remembers an entry that isn't held any more.
func (l *List) noteDropped(v Item) {
	if len(l.dropped) >= idsKept {
		clear(l.dropped)
	}
	l.dropped[v.Entry.ID] = dropped{v, l.now}
}

// isOfACopy tells whether an entry that isn't held is one that went, as an older copy of the store has
// it: the same write, by a later era. Whoever lives writes again.
func (l *List) isOfACopy(v Item) bool {
	old, ok := l.dropped[v.Entry.ID]
	return ok && old.Revision != 0 && era.Of(v.Revision) > era.Of(old.Revision) && era.Number(v.Revision) == era.Number(old.Revision)
}

// Rest says that an upstream wants nothing from this node for so long, and returns whether that is
// new.
func (p *Pools) StartCooldown(e Entry, d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rests.Start(p.clock.Now(), e.Incarnation(), d)
}

// HearLimit takes in what an upstream's answer, to a request that was sent at a time, says of a rate that it
// takes from all nodes together, and returns whether that is news.
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

// TakeLimits takes in what another node knows of limits, and returns what is news.
func (p *Pools) ApplyLimits(words []limit.Observation) []limit.Observation {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limits.Merge(p.clock.Now(), words)
}

// Limits returns what is known of limits, for other nodes.
func (p *Pools) Limits() []limit.Observation {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limits.Observations(p.clock.Now())
}

// SetSenders says which nodes share limits, and which of them place requests at engines for all others.
func (p *Pools) SetSenders(nodes, placers []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits.SetNodes(nodes, placers)
}

// Ask tells whether an upstream may be asked something beside requests now, and counts the question against its
// limit.
func (p *Pools) AllowQuery(e Entry) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, l, engine := p.clock.Now(), e.Incarnation(), p.service(e.Service).size.Slots > 0
	if p.rests.Wait(now, l) > 0 || p.limits.Wait(now, l, engine) > 0 {
		return false
	}
	p.limits.Take(now, l, engine)
	return true
}

// Leaving tells whether the list has it that the life which an entry names leaves, or that it is
// over.
func (p *Pools) Leaving(e Entry) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	v, ok := p.list.items[e.ID]
	if !ok {
		v := p.list.dropped[e.ID]
		return v.Entry.Leaving && !v.Entry.another(e)
	}
	return v.Entry.Leaving || v.Entry.another(e)
}
