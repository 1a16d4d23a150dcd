package claim

import (
	"context"
	"time"
)

// This file drops marks whose lifetime is over.

const expireInterval = time.Minute

// expireLoop drops marks that are older than the longest lifetime of any key. Most marks are removed long
// before, by a release or by becoming claims; the loop removes those whose release was lost.
func (b *Manager) expireLoop(ctx context.Context) {
	b.o.Clock.Every(ctx, expireInterval, b.expire)
}

func (b *Manager) expire(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.markedSince
	b.markedSince = make(map[uint64]time.Time)
	for _, k := range b.machine.Marked() {
		since, ok := old[k]
		if !ok {
			since = now
		}
		if now.Sub(since) > b.maxLifetime {
			b.machine.Forget(k)
			continue
		}
		b.markedSince[k] = since
	}
}
