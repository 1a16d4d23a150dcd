package dispatch

import (
	"time"

	"spurhall.example/spurhall/internal/retry"
)

// This file is what a pool tells callers when no upstream can take their request, since upstreams
// that refuse may ask for rest: sooner, callers come back in vain.

// returnsAfter is when a caller is told to come back where nobody takes its request and no upstream
// has said when it will.
const returnsAfter = time.Second

// nobody is the refusal where no upstream can take a request, with the time until its caller's turn where all of
// them rest. How soon it comes says nothing of how long requests last.
func (p *pool) nobody(id string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.admission.MarkUnserved(id)
	list := make([]retry.Incarnation, len(p.list))
	for i := range p.list {
		list[i] = retry.Incarnation{ID: p.list[i].ID}
	}
	now, after := p.d.o.Clock.Now(), returnsAfter
	if rest := p.rests.ShortestWait(now, list); rest > 0 {
		slots, perSecond := p.admission.Capacity()
		after = p.turns.Next(now, rest, slots, perSecond)
	}
	return &Rejection{cause: errNobody.Error(), after: after, nobody: true}
}
