package edge

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/call"
	"spurhall.example/spurhall/internal/limit"
	"spurhall.example/spurhall/internal/pool"
)

// This file applies what upstreams state about themselves in their responses, whichever component of the
// node made the call.

// observeResponse applies a response to a request that was sent at the given time. A response from a process
// other than the addressed upstream says nothing about that upstream. While the store is unavailable,
// responses are the only notice of a leaving upstream.
func (n *Node) observeResponse(e pool.Entry, v call.Response, sent time.Time) {
	if v.Misplaced {
		return
	}
	if v.Leaving && !n.pools.Leaving(e) {
		n.updateList(sourceAnswer, func(_ time.Time, l *pool.List) { l.MarkLeaving(e) })
	}
	if v.Cooldown > 0 && n.pools.StartCooldown(e, v.Cooldown) {
		upstreamEvents.Add("rests", 1)
		n.log.Info("upstream_rests", zap.String("upstream", e.ID), zap.String("service", e.Service), zap.Int64("born", e.Born), zap.Duration("for", v.Cooldown))
	}
	if n.pools.ObserveBrittle(e, v.Brittle, sent) {
		n.logBrittle(e, v.Brittle)
	}
	n.logUnknownNames(e, v.UnknownHeaders)
	if n.pools.ObserveLimit(e, v.Limit, sent) {
		n.logLimit("answer", limit.Observation{Upstream: e.Incarnation(), Rate: v.Limit.Rate, Lifted: v.Limit.Status == call.LimitNone})
	}
}

func (n *Node) logBrittle(e pool.Entry, v call.Brittle) {
	f := []zap.Field{zap.String("service", e.Service), zap.String("upstream", e.ID)}
	if !v.Stated {
		upstreamEvents.Add("brittle_ended", 1)
		n.log.Info("service_sound", f...)
		return
	}
	upstreamEvents.Add("brittle", 1)
	n.log.Info("service_brittle", append(f, zap.Float64("rejections", v.Rejections))...)
}

// maxUnknownNames bounds the names that are logged, each once per service.
const maxUnknownNames = 64

// unknownNames records the names in upstreams' responses that no component reads, by service and name.
type unknownNames struct {
	mu     sync.Mutex
	logged map[[2]string]bool
}

// shouldLog reports whether a name hasn't been logged yet.
func (u *unknownNames) shouldLog(service, name string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	k := [2]string{service, name}
	if u.logged[k] || len(u.logged) >= maxUnknownNames {
		return false
	}
	if u.logged == nil {
		u.logged = make(map[[2]string]bool)
	}
	u.logged[k] = true
	return true
}

// logUnknownNames logs names that no component reads: the upstream requests something that won't happen.
func (n *Node) logUnknownNames(e pool.Entry, names []string) {
	for _, name := range names {
		upstreamEvents.Add("words_unread", 1)
		if n.unknownNames.shouldLog(e.Service, name) {
			n.log.Warn("word_unread", zap.String("name", name), zap.String("service", e.Service), zap.String("upstream", e.ID))
		}
	}
}
