package edge

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/call"
	"spurhall.example/spurhall/internal/limit"
	"spurhall.example/spurhall/internal/pool"
)

// This file takes in what upstreams say of themselves in their answers, whichever part of the node
// asked them.

// heard takes in one answer, to what was sent at a time. Who has the address of another upstream doesn't speak for that one.
// While the store is away, an answer is the only word of an upstream that leaves.
func (n *Node) heard(e pool.Entry, v call.Response, sent time.Time) {
	if v.Misplaced {
		return
	}
	if v.Leaving && !n.pools.Leaving(e) {
		n.update("answer", func(_ time.Time, l *pool.List) { l.MarkLeaving(e) })
	}
	if v.Cooldown > 0 && n.pools.StartCooldown(e, v.Cooldown) {
		upstreamEvents.Add("rests", 1)
		n.log.Info("upstream_rests", zap.String("upstream", e.ID), zap.String("service", e.Service), zap.Int64("born", e.Born), zap.Duration("for", v.Cooldown))
	}
	n.noteUnread(e, v.UnknownHeaders)
	if n.pools.ObserveLimit(e, v.Limit, sent) {
		n.noteLimit("answer", limit.Observation{Upstream: e.Incarnation(), Rate: v.Limit.Rate, Lifted: v.Limit.Status == call.LimitNone})
	}
}

// wordsNoted bounds the words that are told of: each is told once for each service.
const wordsNoted = 64

// unreadWords is what upstreams say that nothing reads, by service and name.
type unreadWords struct {
	mu   sync.Mutex
	told map[[2]string]bool
}

// first tells whether a word hasn't been told of yet.
func (u *unreadWords) first(service, name string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	k := [2]string{service, name}
	if u.told[k] || len(u.told) >= wordsNoted {
		return false
	}
	if u.told == nil {
		u.told = make(map[[2]string]bool)
	}
	u.told[k] = true
	return true
}

// noteUnread tells of words that nothing reads: upstreams ask for something, and nobody does it.
func (n *Node) noteUnread(e pool.Entry, names []string) {
	for _, name := range names {
		upstreamEvents.Add("words_unread", 1)
		if n.unreadWords.first(e.Service, name) {
			n.log.Warn("word_unread", zap.String("name", name), zap.String("service", e.Service), zap.String("upstream", e.ID))
		}
	}
}
