package claim

import (
	"context"
	"time"
)

// This file drops the claims whose lifetime is over.

const expireEvery = time.Minute

// expireLoop forgets marks that have outlived every key's lifetime. Most go long before,
// by a release or by turning into claims; this is for those whose release was lost.
func (b *Manager) expireLoop(ctx context.Context) {
	b.o.Clock.Every(ctx, expireEvery, b.expire)
}

func (b *Manager) expire(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.marked
	b.marked = make(map[uint64]time.Time)
	for _, k := range b.machine.Marked() {
		since, ok := old[k]
		if !ok {
			since = now
		}
		if now.Sub(since) > b.longest {
			b.machine.Forget(k)
			continue
		}
		b.marked[k] = since
	}
}
