package dispatch

import (
	"time"

	"spurhall.example/spurhall/internal/retry"
)

// This file determines the retry time when no upstream can take a request. Upstreams that reject requests may
// ask for a cooldown; callers that retry sooner are rejected again.

// defaultRetryAfter is the retry time if no upstream can take a request and none has asked for a cooldown.
const defaultRetryAfter = time.Second

// rejectNoUpstream returns the rejection for a request that no upstream can take. If all upstreams are in
// cooldown, it states when it is the caller's turn. How fast such a rejection is returned says nothing about
// how long requests take.
func (p *pool) rejectNoUpstream(id string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.admission.MarkUnserved(id)
	list := make([]retry.Incarnation, len(p.list))
	for i := range p.list {
		list[i] = retry.Incarnation{ID: p.list[i].ID}
	}
	now, after := p.d.o.Clock.Now(), defaultRetryAfter
	if cooldown := p.cooldowns.ShortestWait(now, list); cooldown > 0 {
		slots, perSecond := p.admission.Capacity()
		after = p.turns.Next(now, cooldown, slots, perSecond)
	}
	return &Rejection{cause: errNoUpstream.Error(), after: after, noUpstream: true}
}
