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

// This file keeps requests that end upstreams from reaching more of them: those that come, and
// those that wait at one already.

// errEnds says that a request isn't sent again, since upstreams ended under it.
var errEnds = errs.NewType("ends_upstreams").New("requests like this end the upstreams that run them")

// suspected tells whether upstreams have ended under requests like this one. Only then is its
// body looked at.
func (s *Server) suspected(q *request) bool {
	return s.o.Quarantine.HasCrashes(func() quarantine.Shape { return quarantine.ShapeOf(q.identity()) })
}

// ends returns what a request under way is answered that isn't to be sent again, or nil.
func (s *Server) ends(q *request) error {
	if !s.suspected(q) {
		return nil
	}
	wait := s.o.Quarantine.Remaining(s.o.Clock.Now(), q.printOf())
	switch {
	case wait == 0:
		return nil
	case q.mayRun:
		return &refusal{status: http.StatusBadGateway, reason: errEnds.Error()}
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: errEnds.Error(), retry: wait}
}

// repeats tells whether a request that has reached an upstream may be sent once more for all that is known
// of copies of it that were sent by others: once one has ended an upstream, second tries end as many more.
func (s *Server) repeats(q *request) bool {
	return q.arrivals == 0 || !s.suspected(q) || s.o.Quarantine.MayRetry(q.printOf(), func(u string) bool { return slices.Contains(q.brokenAt, u) })
}

// withhold refuses a request that is held back, before it is charged. It has not run, and says
// when it may come again; each repeat that is sent on instead ends an upstream, and breaks off
// all that runs beside it.
func (s *Server) withhold(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, v any) (any, error) {
		q := v.(*request)
		if !s.suspected(q) {
			return next(ctx, q)
		}
		r := s.o.Quarantine.Check(s.o.Clock.Now(), q.printOf())
		switch {
		case r.Quarantined:
			count("withheld", 1)
			s.o.Log.Info("request_withheld", zap.String("request", q.meta.ID), zap.Stringer("print", q.printOf()), zap.Int("upstreams", r.Upstreams), zap.Bool("alike", r.ByShape), zap.Duration("wait", r.Wait))
			return nil, &refusal{status: http.StatusServiceUnavailable, reason: errEnds.Error(), retry: r.Wait}
		case r.Probe:
			s.o.Log.Info("request_let_through", zap.String("request", q.meta.ID), zap.Stringer("print", q.printOf()), zap.Int("upstreams", r.Upstreams), zap.Bool("alike", r.ByShape))
		}
		return next(ctx, q)
	}
}

// Held takes in what became different of what is held back, as another node told (empty: as
// this one saw), and ends the attempts that wait at an upstream with such a request.
func (s *Server) ApplyQuarantine(changes []quarantine.Change, source string) {
	for _, c := range changes {
		if c.ByShape {
			s.heldAlike(c, source)
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
		s.flight.withdraw(c.Fingerprint)
	}
}

// heldAlike takes in that all requests of a shape are held back, or aren't any more. Those under way go
// on: most requests of a shape are harmless, and an answer to one of them frees the others.
func (s *Server) heldAlike(c quarantine.Change, source string) {
	f := []zap.Field{zap.Uint64("shape", uint64(c.Fingerprint.Shape())), zap.Stringer("print", c.Fingerprint), zap.String("source", source)}
	if !c.Quarantined {
		count("shapes_released", 1)
		s.o.Log.Info("shape_released", f...)
		return
	}
	count("shapes_held", 1)
	s.o.Log.Info("shape_held", append(f, zap.Strings("upstreams", c.Upstreams), zap.Duration("for", c.Until.Sub(s.o.Clock.Now())))...)
}

// flight is the attempts of which nothing has come yet.
type flight struct {
	mu       sync.Mutex
	attempts map[*attempt]*request
}

func newFlight() flight { return flight{attempts: make(map[*attempt]*request)} }

func (f *flight) add(a *attempt, q *request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.attempts[a] = q
}

func (f *flight) remove(a *attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.attempts, a)
}

// withdraw ends the attempts of a request: upstreams drop what waits there when its connection
// closes.
func (f *flight) withdraw(p quarantine.Fingerprint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for a, q := range f.attempts {
		if quarantine.ShapeOf(q.identity()) == p.Shape() && quarantine.FingerprintOf(q.identity()) == p {
			a.stop(errEnds)
			count("withdrawn", 1)
		}
	}
}
