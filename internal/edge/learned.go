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
var learnedRecord = record{name: "learned", key: "spurhall/learned"}

// learnedChange is the part by which a figure has to change to be written again: less
// changes no count of upstreams, and each write is a call.
const learnedChange = 0.25

// learned is the holder's side of it.
type learned struct {
	written map[string]capacity.Engine
}

// begin takes in what the holder before has written.
func (v *learned) begin(ctx context.Context, n *Node) {
	v.written = make(map[string]capacity.Engine)
	if !learnedRecord.read(ctx, n, &v.written) {
		v.written = make(map[string]capacity.Engine)
		return
	}
	for s, e := range v.written {
		n.pools.RestoreEngine(s, e)
		n.log.Info("learned_found", zap.String("service", s), zap.Float64("reading", hundredths(e.Reading)),
			zap.Float64("first_ms", hundredths(e.First)), zap.Float64("token_ms", hundredths(e.Token)))
	}
}

// write puts what is known now into the store if it differs.
func (v *learned) write(ctx context.Context, n *Node, token int64, now map[string]capacity.Engine) {
	for s, e := range now {
		if differs(v.written[s], e) {
			if learnedRecord.write(ctx, n, token, now) {
				v.written = now
			}
			return
		}
	}
}

func differs(a, b capacity.Engine) bool {
	far := func(x, y float64) bool { return math.Abs(x-y) > learnedChange*math.Max(x, y) }
	return far(a.Reading, b.Reading) || far(a.Token, b.Token)
}
