package edge

import (
	"context"
	"math"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/capacity"
)

// This file keeps what was learned of engines over the loss of all processes. Without it
// the next ones know nothing of the load for two to three seconds, in which caches are cold
// and callers come back all at once.

// learnedRecord is what was learned, by service.
var enginesRecord = record{name: "learned", key: "spurhall/learned"}

// learnedChange is the part by which a figure has to change to be written again: less
// changes no count of upstreams, and each write is a call.
const minEngineChange = 0.25

// learned is the holder's side of it.
type enginesWriter struct {
	written map[string]capacity.Engine
}

// begin takes in what the holder before has written.
func (v *enginesWriter) restore(ctx context.Context, n *Node) {
	v.written = make(map[string]capacity.Engine)
	if !enginesRecord.read(ctx, n, &v.written) {
		v.written = make(map[string]capacity.Engine)
		return
	}
	for s, e := range v.written {
		n.pools.Recall(s, e)
		n.log.Info("learned_found", zap.String("service", s), zap.Float64("reading", roundHundredths(e.Reading)),
			zap.Float64("first_ms", roundHundredths(e.First)), zap.Float64("token_ms", roundHundredths(e.Token)))
	}
}

// write puts what is known now into the store if it differs.
func (v *enginesWriter) write(ctx context.Context, n *Node, token int64, now map[string]capacity.Engine) {
	for s, e := range now {
		if engineChanged(v.written[s], e) {
			if enginesRecord.write(ctx, n, token, now) {
				v.written = now
			}
			return
		}
	}
}

func engineChanged(a, b capacity.Engine) bool {
	far := func(x, y float64) bool { return math.Abs(x-y) > minEngineChange*math.Max(x, y) }
	return far(a.Reading, b.Reading) || far(a.Token, b.Token)
}
