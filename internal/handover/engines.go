package handover

import (
	"context"
	"math"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/capacity"
	"spurhall.example/spurhall/internal/logging"
)

// This file stores the measured engine figures. Without them, new processes can't estimate the load for two to
// three seconds, in which caches are cold and all callers reconnect at once.

// EnginesRecord holds the engine figures, by service.
var EnginesRecord = Record{Name: "learned", Key: "spurhall/learned"}

// minEngineChange is the fraction by which a figure has to change to be written again: smaller changes don't
// affect the number of upstreams, and each write is a call.
const minEngineChange = 0.25

// Engines stores the engine figures for the holder of the duties.
type Engines struct {
	written map[string]capacity.Engine
}

// Restore passes on what the previous holder has written.
func (v *Engines) Restore(ctx context.Context, s *Store, restore func(service string, e capacity.Engine)) {
	v.written = make(map[string]capacity.Engine)
	if !s.Read(ctx, EnginesRecord, &v.written) {
		v.written = make(map[string]capacity.Engine)
		return
	}
	for name, e := range v.written {
		restore(name, e)
		s.Log.Info("learned_found", zap.String("service", name), logging.Hundredths("reading", e.Reading),
			logging.Hundredths("first_ms", e.First), logging.Hundredths("token_ms", e.Token))
	}
}

// Write stores the current figures if they have changed.
func (v *Engines) Write(ctx context.Context, s *Store, token int64, now map[string]capacity.Engine) {
	for name, e := range now {
		if engineChanged(v.written[name], e) {
			if s.Write(ctx, EnginesRecord, token, now) {
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
