package forward

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/quarantine"
	"spurhall.example/spurhall/internal/upstream"
)

// This file handles attempts whose upstream broke the connection: how far the response had come, and what
// the failure implies about the request (package quarantine).

// progress is how much of a response an attempt had received.
type progress int

const (
	progressNone progress = iota // the request may still have been queued at the upstream
	progressHead                 // of a stream: the request had started to run
	progressEvents
)

// String returns the name used in logs and metrics.
func (v progress) String() string { return [...]string{"nothing", "head", "events"}[v] }

func (a *attempt) progress() progress {
	switch {
	case a.eventsPassed > 0:
		return progressEvents
	case a.head != nil:
		return progressHead
	}
	return progressNone
}

// severed reports whether an attempt failed because its upstream closed or reset the connection, rather
// than because this node canceled it.
func (a *attempt) severed(ctx context.Context, err error) bool {
	return ctx.Err() == nil && context.Cause(a.ctx) == nil && errors.Is(err, errSevered)
}

// quarantined reports whether the attempt was canceled because its request is quarantined.
func (a *attempt) quarantined() bool { return errors.Is(context.Cause(a.ctx), errQuarantined) }

// readError classifies a failure to read a response as errSevered or errIncompleteResponse.
func readError(err error) error {
	if errors.Is(err, errSevered) || errors.Is(err, upstream.ErrSevered) || upstream.Severed(err) {
		return errSevered
	}
	return errIncompleteResponse
}

// fingerprintOf returns the request's fingerprint. Computing it reads the whole body, so it is cached.
func (q *request) fingerprintOf() quarantine.Fingerprint {
	if q.fingerprint == nil {
		p := quarantine.FingerprintOf(q.identity())
		q.fingerprint = &p
	}
	return *q.fingerprint
}

func (q *request) identity() quarantine.Request {
	return quarantine.Request{Method: q.http.Method, Host: q.http.Host, Target: q.http.RequestURI, Workspace: q.workspaceName(), Body: q.body}
}

// recordSevered records that an upstream broke the connection under a request, and returns the log fields
// for it. Several upstreams logged with the same fingerprint, or with the same part of a prompt, distinguish
// requests that crash upstreams from those that were running by coincidence.
func (s *Server) recordSevered(ctx context.Context, q *request, a *attempt) []zap.Field {
	now, v := s.o.Clock.Now(), a.progress()
	q.severedBy = append(q.severedBy, a.use.Entry().ID)
	count("broken_"+v.String(), 1)
	observe("broken_after_ms", now.Sub(a.sentAt))
	if p := q.fingerprintOf(); !a.use.Leaving() { // an upstream that announced its shutdown has not crashed
		o := observation{upstream: a.use.Entry(), crash: quarantine.Crash{Fingerprint: p, Upstream: a.use.Entry().ID, At: now}, part: q.partCrash(a, now)}
		if s.o.Quarantine.CrashCount(p) == 0 {
			go s.recordCrash(context.WithoutCancel(ctx), o) // bounded by the time-outs of the two checks
		} else {
			s.recordCrash(ctx, o)
		}
	}
	f := []zap.Field{zap.Stringer("print", q.fingerprintOf()), zap.Stringer("shown", v), zap.Duration("since_sent", now.Sub(a.sentAt))}
	return append(f, originFields(q)...)
}

// observation is the crash of an upstream as one attempt saw it.
type observation struct {
	upstream pool.Entry
	crash    quarantine.Crash
	part     *quarantine.PartCrash // nil: the parts of its prompt can't be the cause
}

// recordCrash records that an upstream crashed under a request, unless the upstream still listens: then it
// has only lost the response, and counting resets by running upstreams would quarantine a harmless request.
// Nor is it a crash if the upstream's hall is unreachable: a partition that resets connections ends idle
// ones to several upstreams in a row. Each check takes a round trip, or a time-out during a partition, so
// only a request that already has a crash on record waits for them before its next attempt.
func (s *Server) recordCrash(ctx context.Context, o observation) {
	u := o.upstream
	if !s.o.Connections.get(u).RefusesConnections(ctx, u.Address) || !s.o.HallReachable(ctx, u.Hall) {
		return
	}
	s.o.Log.Info("upstream_ended", zap.String("upstream", u.ID), zap.Stringer("print", o.crash.Fingerprint), zap.Bool("parts_suspect", o.part != nil))
	now := s.o.Clock.Now()
	s.ApplyQuarantine(s.o.Quarantine.ObserveCrash(now, o.crash), "")
	if o.part != nil {
		s.ApplyQuarantine(s.o.Quarantine.ObservePartCrash(now, *o.part), "")
	}
}

// recordComplete records that a request received a complete response.
func (s *Server) recordComplete(q *request) {
	if s.suspectShape(q) {
		s.ApplyQuarantine(s.o.Quarantine.ObserveResponse(s.o.Clock.Now(), q.fingerprintOf()), "")
	}
}
