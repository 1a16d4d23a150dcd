package quota

import (
	"time"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/pair"
)

// Spans starts the spans of a node's quotas, each once every pair of nodes has had its turn, and logs when the number of nodes that
// share them has changed. Its zero value has started none.
type Spans struct {
	startedAt time.Time
	logged    Sharing
}

// relayedSpan is the span of the quotas while a relay's digest arrives in each round.
const relayedSpan = 2 * pair.Round

// Step starts a span if one is due in a fleet of so many nodes. lag is the greatest age of a node's report that arrives through
// relays; 0: no digest arrives now.
func (s *Spans) Step(now time.Time, log *zap.Logger, q *Quotas, nodes int, lag time.Duration) {
	every := pair.Interval(nodes)
	if lag > 0 {
		every = min(every, relayedSpan)
	}
	if now.Sub(s.startedAt) < every-pair.Round/2 {
		return
	}
	s.startedAt = now
	q.StartRound(now, every, lag)
	if v := q.Sharing(); v != s.logged {
		s.logged = v
		log.Info("quota_shared", zap.Int("nodes", v.Nodes), zap.Int("heard", v.Heard), zap.Int("silent", v.Silent), zap.Int("unnamed", v.Unnamed), zap.Bool("known", v.Known), zap.Stringer("levels", v.Start))
	}
}
