package forward

import (
	"context"
	"net/http"
	"slices"
	"sync"

	"github.com/go-kit/kit/endpoint"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/quarantine"
)

// This file keeps requests that crash upstreams from reaching more of them, both on arrival and while they
// wait at an upstream.

// errQuarantined means that a request is not sent again because upstreams crashed under it.
var errQuarantined = errs.NewType("ends_upstreams").New("requests like this end the upstreams that run them")

// suspectShape reports whether upstreams have crashed under requests of this shape. Only then is the
// request's body read for a fingerprint.
func (s *Server) suspectShape(q *request) bool {
	return s.o.Quarantine.HasCrashes(func() []quarantine.Shape { return quarantine.ShapesOf(q.identity()) })
}

// quarantineError returns the final error for a request in progress that is quarantined, or nil.
func (s *Server) quarantineError(q *request) error {
	wait := s.partWait(q)
	if s.suspectShape(q) {
		wait = max(wait, s.o.Quarantine.Remaining(s.o.Clock.Now(), q.fingerprintOf()))
	}
	switch {
	case wait == 0:
		return nil
	case q.mayHaveRun:
		return &rejection{status: http.StatusBadGateway, reason: errQuarantined.Error()}
	}
	return &rejection{status: http.StatusServiceUnavailable, reason: errQuarantined.Error(), retry: wait}
}

// allowsRepeat reports whether a request that has reached an upstream may be sent again, given what is known of
// other copies of it: once a copy has crashed an upstream, second attempts would crash as many again.
func (s *Server) allowsRepeat(q *request) bool {
	if q.arrivals == 0 {
		return true
	}
	if s.o.Quarantine.HasPartCrashes() && !s.o.Quarantine.MayRetryParts(q.promptOf(), q.fingerprintOf().RequestKey()) {
		return false
	}
	return !s.suspectShape(q) || s.o.Quarantine.MayRetry(q.fingerprintOf(), func(u string) bool { return slices.Contains(q.severedBy, u) })
}

// rejectQuarantined rejects a quarantined request before it is charged. The request has not run, and the
// response states when to retry; sending each repeat instead would crash an upstream and break off all
// requests running there.
func (s *Server) rejectQuarantined(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, v any) (any, error) {
		q := v.(*request)
		if err := s.checkParts(q); err != nil {
			return nil, err
		}
		if !s.suspectShape(q) {
			return next(ctx, q)
		}
		r := s.o.Quarantine.Check(s.o.Clock.Now(), q.fingerprintOf())
		switch {
		case r.Quarantined:
			count("withheld", 1)
			s.o.Log.Info("request_withheld", zap.String("request", q.meta.ID), zap.Stringer("print", q.fingerprintOf()), zap.Int("upstreams", r.Upstreams), zap.Bool("alike", r.ByShape), zap.Duration("wait", r.Wait))
			return nil, &rejection{status: http.StatusServiceUnavailable, reason: errQuarantined.Error(), retry: r.Wait}
		case r.Probe:
			s.o.Log.Info("request_let_through", zap.String("request", q.meta.ID), zap.Stringer("print", q.fingerprintOf()), zap.Int("upstreams", r.Upstreams), zap.Bool("alike", r.ByShape))
		}
		return next(ctx, q)
	}
}

// ApplyQuarantine logs changes of the quarantine, received from the node named source (empty: observed by
// this node), and cancels the attempts with newly quarantined requests that wait at an upstream.
func (s *Server) ApplyQuarantine(changes []quarantine.Change, source string) {
	for _, c := range changes {
		if c.Parts != nil {
			s.applyPartQuarantine(c, source)
			continue
		}
		if c.ByShape {
			s.applyShapeQuarantine(c, source)
			continue
		}
		if !c.Quarantined {
			count("released", 1)
			s.o.Log.Info("request_released", zap.Stringer("print", c.Fingerprint), zap.String("source", source))
			continue
		}
		count("held", 1)
		s.o.Log.Info("request_held", zap.Stringer("print", c.Fingerprint), zap.Strings("upstreams", c.Upstreams),
			zap.Duration("for", c.Until.Sub(s.o.Clock.Now())), zap.String("source", source))
		s.pending.cancelIf(func(q *request) bool {
			return quarantine.ShapeOf(q.identity()) == c.Fingerprint.Shape() && quarantine.FingerprintOf(q.identity()).ID() == c.Fingerprint.ID()
		})
	}
}

// applyShapeQuarantine logs that all requests of a shape are quarantined, or are no longer. Those in progress
// continue: most requests of a shape are harmless, and a response to one of them releases the others.
func (s *Server) applyShapeQuarantine(c quarantine.Change, source string) {
	f := []zap.Field{zap.Uint64("shape", uint64(c.Fingerprint.Shape())), zap.Stringer("print", c.Fingerprint), zap.String("source", source)}
	if !c.Quarantined {
		count("shapes_released", 1)
		s.o.Log.Info("shape_released", f...)
		return
	}
	count("shapes_held", 1)
	s.o.Log.Info("shape_held", append(f, zap.Strings("upstreams", c.Upstreams), zap.Duration("for", c.Until.Sub(s.o.Clock.Now())))...)
}

// attemptSet is the set of attempts that have received nothing yet.
type attemptSet struct {
	mu       sync.Mutex
	attempts map[*attempt]*request
}

func newAttemptSet() attemptSet { return attemptSet{attempts: make(map[*attempt]*request)} }

func (f *attemptSet) add(a *attempt, q *request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.attempts[a] = q
}

func (f *attemptSet) remove(a *attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.attempts, a)
}

// cancelIf ends attempts whose requests are quarantined: upstreams drop a queued request when its connection closes.
func (f *attemptSet) cancelIf(quarantined func(q *request) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for a, q := range f.attempts {
		if quarantined(q) {
			a.cancel(errQuarantined)
			count("withdrawn", 1)
		}
	}
}
