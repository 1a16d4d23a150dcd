package dispatch

import (
	"fmt"
	"maps"
	"sync"

	"spurhall.example/spurhall/internal/member"
	"spurhall.example/spurhall/internal/retry"
	"spurhall.example/spurhall/internal/upstream"
)

// This file decides what happens while an engine is silent. A sound one may fall silent and go on, so that an attempt isn't
// ended for its silence alone: another engine is chosen first, which has a free slot and which the retry budget allows. Until
// there is one, the silent engine is waited for as long as the caller allows.
//
// Alternatives considered: both attempts at once, as for requests that are forwarded (package forward). A record takes its
// tokens from one attempt at a time, and the silence that counts is long here.

// silence looks for the successor of an attempt whose engine is silent.
type silence struct {
	p       *pool
	request *Chat
	t       target
	tried   *attempts // those before this one

	mu    sync.Mutex
	over  bool // the attempt has ended
	borne bool // it has been logged
	next  *target
}

// giveUp reports whether the attempt is to end: there is a successor, which is reserved, or the engine's process is known to
// have ended.
func (s *silence) giveUp() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over || s.next != nil || s.p.d.hasEnded(&s.t.fact) {
		return true
	}
	s.next = s.p.replacement(s.request, s.tried, &s.t)
	if s.next == nil && !s.borne {
		s.borne = true
		s.p.d.o.Event("silence_borne", s.request.Record.ID(), s.t.fact.ID+": no other upstream can take it")
	}
	return s.next != nil
}

// end ends the search when the attempt has ended, and returns the successor that it reserved, if any.
func (s *silence) end() *target {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.over = true
	return s.next
}

// hasEnded reports whether an upstream's process is known to have ended since the fact.
func (d *Dispatcher) hasEnded(f *member.Fact) bool {
	now, ok := d.o.Table.Get(f.ID)
	return !ok || now.Status == member.StatusGone || now.Incarnation != f.Incarnation
}

// replacement reserves an upstream for a request whose upstream is silent, and charges the retry budget; nil if there is
// none with a free slot, or no retry is allowed.
func (p *pool) replacement(c *Chat, tried *attempts, silent *target) *target {
	all := &attempts{reachedBy: maps.Clone(tried.reachedBy), search: tried.search}
	all.record(silent.fact.ID, upstream.ErrStalled, 0)
	if p.d.recheckQuarantine(c.identity) != nil || p.d.crashedElsewhere(c.identity, all) || all.search.Next() == retry.ScopeNone {
		return nil
	}
	for {
		t, ok := p.pick(c.Service, &c.Prompt, all)
		if !ok {
			return nil
		}
		if !p.hasRoom(&t) {
			p.release(&t)
			all.reachedBy[t.fact.ID] = false // looked at
			continue
		}
		if !p.mayRetry(all, retry.Attempt{Repeatable: true, MayHaveRun: true, TimeLeft: c.Deadline.Sub(p.d.o.Clock.Now())}) {
			p.release(&t)
			return nil
		}
		p.d.o.Event("silence_ended", c.Record.ID(), fmt.Sprintf("%s: goes on at %s", silent.fact.ID, t.fact.ID))
		return &t
	}
}

// hasRoom reports whether a reserved upstream has a free slot, as far as this node knows.
func (p *pool) hasRoom(t *target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	slots := t.fact.Slots
	if slots == 0 {
		slots = defaultPlainSlots
	}
	return t.fact.Running+t.fact.Queued+p.inFlight[t.fact.ID].sinceReport <= slots
}

// release ends the reservation of an upstream that is sent nothing.
func (p *pool) release(t *target) {
	if t != nil {
		p.recordOutcome(t.fact.ID, upstream.ErrWithheld, false)
	}
}
