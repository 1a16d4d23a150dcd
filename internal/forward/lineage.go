package forward

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/lineage"
	"spurhall.example/spurhall/internal/pool"
)

// This file keeps a stream at the software version that began it (package lineage): within one answer, and over its
// caller's attempts.

// Lineage connects streams with what the nodes know of them.
type Lineage struct {
	// Tell makes the version that began a stream known to other nodes.
	Tell func(r lineage.Record)
	// Find returns the version that began a stream which is to go on at a service, if a node knows it. What others know of the
	// service's versions is known here from then on.
	Find func(ctx context.Context, k lineage.Key, service string) lineage.Found
	// Sight returns what this node has seen of the versions that may have begun streams.
	Sight func() lineage.Sight
	// AwaitVersions waits for a moment until it is known which versions served before this process started, and reports
	// whether it is.
	AwaitVersions func(ctx context.Context) bool
}

// lineageSlack is for how long beyond its caller's deadline a stream is remembered: the caller's clock may be a little behind.
const lineageSlack = time.Second

// retryAfterLost is when a caller may come back with a stream of which no node knows the version: coming back sooner won't
// help it, and a node that was away may be back then.
const retryAfterLost = 2 * time.Second

// tellPause is the time between two times at which streams are told of whose service has one version. A version may arrive
// while this node is frozen or has ended, after which nobody would know of them. A pause of this length makes it few messages;
// the streams of the last one are lost then.
const tellPause = time.Second

// streamSet is the set of resumable streams in progress.
type streamSet struct {
	mu     sync.Mutex
	open   map[*request]bool // whether it has been told of
	toldAt time.Time
}

func newStreamSet() streamSet { return streamSet{open: make(map[*request]bool)} }

func (t *streamSet) add(q *request, told bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open[q] = told
}

func (t *streamSet) remove(q *request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, q)
}

// resumesStream reports whether the caller takes up a stream that an earlier attempt began.
func (q *request) resumesStream() bool { return q.meta.LastEvent != "" && q.route.Resumable() }

// streamKey returns the key of the request's stream.
func (q *request) streamKey() lineage.Key {
	if q.resumesStream() && q.meta.Resumes != "" {
		return lineage.KeyOf(q.workspaceName(), q.meta.Resumes)
	}
	return lineage.KeyOf(q.workspaceName(), q.meta.ID)
}

// streamTime is for how long from now on a stream may be taken up: until its caller gives up, which may be long after its
// route's time-out has ended this attempt.
func (q *request) streamTime(now time.Time) time.Duration {
	left := q.deadline.Sub(now)
	if q.meta.WaitLimit > 0 {
		left = max(left, q.arrived.Add(q.meta.WaitLimit).Sub(now))
	}
	return min(left+lineageSlack, lineage.MaxTime)
}

// bindVersion binds a stream that its caller takes up to the version that began it. Where one version alone is known, that is
// knowledge only if this node can't have missed another one since the stream began. Else it asks those who remember the stream.
func (s *Server) bindVersion(ctx context.Context, q *request) error {
	if !q.resumesStream() {
		return nil
	}
	complete := s.o.Lineage.AwaitVersions(ctx)
	sight := s.o.Lineage.Sight()
	known, used := s.o.Pools.StreamVersions(q.service)
	b := binding{complete: complete, sight: sight, known: known, used: used}
	b.sight.Whole = sight.Whole && complete
	if b.sight.Whole && len(known) == 0 {
		return s.giveUp(q, noUpstream(q), nil)
	}
	if v, alone := lineage.OnlyVersion(b.sight, known); alone {
		q.version, q.onlyVersion = v, true // another one may arrive before its last attempt
		b.version, b.by = v, lineage.ByItself
		s.logBinding(q, b)
		return nil
	}
	return s.bindUnseen(ctx, q, b)
}

// binding is a decision which version a stream that is taken up goes on at, and what it rests on.
type binding struct {
	version     string
	by          lineage.By
	complete    bool // it is known which versions served before this process
	sight       lineage.Sight
	found       lineage.Found
	known, used []string
}

// bindUnseen binds a stream that may have begun at a version which this node doesn't know.
func (s *Server) bindUnseen(ctx context.Context, q *request, b binding) error {
	b.found = lineage.Found{Lost: true}
	if q.meta.Resumes != "" {
		b.found = s.o.Lineage.Find(ctx, q.streamKey(), q.service)
		b.known, b.used = s.o.Pools.StreamVersions(q.service) // others may have known of more
	}
	b.version, b.by = b.found.Version, lineage.ByRecord
	if !b.found.Known {
		b.version, b.by = "", lineage.ByNothing
		if b.complete {
			b.version, b.by = lineage.LikelyVersion(b.sight, b.found.Denied, b.known, b.used)
		}
	}
	s.logBinding(q, b)
	if b.by == lineage.ByNothing {
		count("versions_unknown", 1)
		r := &rejection{status: http.StatusServiceUnavailable, reason: "nobody knows which version of the service began the stream", retry: retryAfterFailure}
		if b.found.Lost {
			r.retry = retryAfterLost
		}
		return r
	}
	q.version = b.version
	s.tell(q, q.version) // for as long as its caller may come again, also where this attempt is refused
	return nil
}

func (s *Server) logBinding(q *request, b binding) {
	s.o.Log.Info("stream_version", zap.String("request", q.meta.ID), zap.String("resumes", q.meta.Resumes), zap.String("service", q.service),
		zap.Bool("known", b.by != lineage.ByNothing), zap.String("version", b.version), zap.String("by", string(b.by)), zap.Bool("lost", b.found.Lost), zap.Bool("denied", b.found.Denied), zap.Bool("complete", b.complete),
		zap.Bool("in_step", b.sight.InStep), zap.Bool("steady", b.sight.Steady), zap.Bool("whole", b.sight.Whole), zap.Bool("heard", b.sight.Heard), zap.Strings("versions", b.known), zap.Strings("used", b.used))
}

// startTellDelay is how long after a request was sent its stream's version is told: some round trips, in which an upstream
// rejects what it won't run.
const startTellDelay = 20 * time.Millisecond

// startTell is what a stream's keepers are to be told while the response to its first attempt is waited for. Keepers store it
// meanwhile, so that the version is known when the first event arrives.
type startTell struct {
	state atomic.Int32
	stop  func()
}

const (
	tellOpen int32 = iota
	tellDone
	tellWithdrawn
)

// bindStart binds a stream to the version to which it is about to be sent, while its service has several. It returns nil if
// there is nothing to bind. A request that fails at a version on trial is retried at the one in service, so it isn't bound.
func (s *Server) bindStart(q *request, use *pool.Use) *startTell {
	if q.isCopy || q.onTrial || q.version != "" || q.resumesStream() || !q.route.Resumable() || !s.mixesVersions(q) {
		return nil
	}
	q.version = use.Entry().Version
	r := s.record(q, q.version)
	t := &startTell{}
	t.stop = s.o.Clock.AfterFunc(startTellDelay, func() {
		if t.state.CompareAndSwap(tellOpen, tellDone) {
			s.o.Lineage.Tell(r)
		}
	})
	return t
}

// end is called when the attempt has ended, or has begun the stream. One that failed before it was told of may begin at any
// version. Else the stream stays at its version: what was told may be all that is known of it after a loss of all nodes.
func (t *startTell) end(q *request, begun bool) {
	if t == nil {
		return
	}
	t.stop()
	q.told = !t.state.CompareAndSwap(tellOpen, tellWithdrawn)
	if !q.told && !begun {
		q.version = ""
	}
}

// mixesVersions reports whether streams of a request's service may be of several versions.
func (s *Server) mixesVersions(q *request) bool {
	known, _ := s.o.Pools.StreamVersions(q.service)
	return len(known) > 1
}

// beginStream records a stream whose first event has arrived. It stays at its version.
func (s *Server) beginStream(q *request, a *attempt) {
	if !q.route.Resumable() {
		return
	}
	q.version = a.use.Entry().Version
	mixed := s.mixesVersions(q)
	s.streams.add(q, mixed || q.told)
	if mixed && !q.told {
		s.tell(q, q.version)
	}
}

// TellNewStreams makes known which versions began the streams in progress that haven't been told of, after a pause.
func (s *Server) TellNewStreams(now time.Time) {
	s.streams.mu.Lock()
	defer s.streams.mu.Unlock()
	if now.Sub(s.streams.toldAt) < tellPause {
		return
	}
	s.streams.toldAt = now
	for q, told := range s.streams.open {
		if !told {
			s.streams.open[q] = true
			s.tell(q, q.version)
		}
	}
}

func (s *Server) tell(q *request, version string) {
	s.o.Lineage.Tell(s.record(q, version))
}

func (s *Server) record(q *request, version string) lineage.Record {
	return lineage.Record{Key: q.streamKey(), Version: version, Left: q.streamTime(s.o.Clock.Now())}
}

// TellStreams makes known which versions began the streams of a service that are in progress. It is called when the
// service gets a second version.
func (s *Server) TellStreams(service string) {
	s.streams.mu.Lock()
	defer s.streams.mu.Unlock()
	for q := range s.streams.open {
		if q.service == service {
			s.tell(q, q.version)
		}
	}
}
