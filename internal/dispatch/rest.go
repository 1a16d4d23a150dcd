package dispatch

import (
	"time"

	"spurhall.example/spurhall/internal/retry"
)

// This file is what a pool tells callers when no upstream can take their request, since upstreams
// that refuse may ask for rest. Without it 12 of 20 chats were sent to an engine that had asked for
// 20 s, and their callers told to come back after one.

// returnsAfter is when a caller is told to come back where nobody takes its request and no upstream
// has said when it will.
const returnsAfter = time.Second

// nobody is the refusal where no upstream can take a request, with the time to the end of the first
// one's rest where all of them rest.
func (p *pool) nobody() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]retry.Lifetime, len(p.list))
	for i := range p.list {
		list[i] = retry.Lifetime{ID: p.list[i].ID}
	}
	after := p.rests.Soonest(p.d.o.Clock.Now(), list)
	if after == 0 {
		after = returnsAfter
	}
	return &Refusal{cause: errNobody.Error(), after: after, nobody: true}
}
