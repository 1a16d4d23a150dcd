package edge

import (
	"context"
	"math"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/capacity"
)

// This file preserves the measured engine figures over the loss of all processes. Without them, new
// processes can't estimate the load for two to three seconds, in which caches are cold and all callers
// reconnect at once.

// enginesRecord holds the engine figures, by service.
var enginesRecord = record{name: "learned", key: "spurhall/learned"}

// minEngineChange is the fraction by which a figure has to change to be written again: smaller changes don't
// affect the number of upstreams, and each write is a call.
const minEngineChange = 0.25

// enginesWriter stores the engine figures for the holder of the duties.
type enginesWriter struct {
	written map[string]capacity.Engine
}

// restore applies what the previous holder has written.
func (v *enginesWriter) restore(ctx context.Context, n *Node) {
	v.written = make(map[string]capacity.Engine)
	if !enginesRecord.read(ctx, n, &v.written) {
		v.written = make(map[string]capacity.Engine)
		return
	}
	for s, e := range v.written {
		n.pools.RestoreEngine(s, e)
		n.log.Info("learned_found", zap.String("service", s), zap.Float64("reading", roundHundredths(e.Reading)),
			zap.Float64("first_ms", roundHundredths(e.First)), zap.Float64("token_ms", roundHundredths(e.Token)))
	}
}

// write stores the current figures if they have changed.
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
