package forward

import (
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/fault"
	"spurhall.example/spurhall/internal/quarantine"
)

// This file deals with the parts of prompts that requests share: requests with a part that crashes upstreams reach no more
// of them (package quarantine).

const (
	// soundAfter is how long after the first event an answer shows that the parts of its prompt crash no upstream which
	// begins to answer, and until when a request may have been the cause of a crash.
	soundAfter = 500 * time.Millisecond
	// soundWithin is until when it shows that: an answer that began long ago tells nothing of a part that has become bad
	// since, by another version of the upstreams' software.
	soundWithin = 2 * time.Second
	// maxLoggedParts bounds the parts of one log line.
	maxLoggedParts = 16
)

// sharedParts returns the ids of the parts of the request's prompt that others may have too: all but the last.
func (q *request) sharedParts() []uint64 {
	if len(q.meta.Parts) < 2 {
		return nil
	}
	list := make([]uint64, len(q.meta.Parts)-1)
	for i := range list {
		list[i] = q.meta.Parts[i].ID
	}
	return list
}

// promptOf returns what the request states of its prompt, for the quarantine.
func (q *request) promptOf() quarantine.Prompt {
	if q.prompt == nil {
		p := quarantine.NewPrompt(q.service, q.workspaceName(), q.sharedParts())
		q.prompt = &p
	}
	return *q.prompt
}

// originFields returns the log fields for what a request may have in common with others: workspace, route and the
// shared parts of its prompt, in the spelling of the caller.
func originFields(q *request) []zap.Field {
	list := q.sharedParts()
	return []zap.Field{zap.String("workspace", q.workspaceName()), zap.String("route", q.route.Name()), partsField(list), zap.Int("shared_parts", len(list))}
}

func partsField(list []uint64) zap.Field {
	names := make([]string, min(len(list), maxLoggedParts))
	for i := range names {
		names[i] = strconv.FormatUint(list[i], 16)
	}
	return zap.Strings("parts", names)
}

// checkParts returns the rejection of an arriving request whose parts are quarantined, or nil.
func (s *Server) checkParts(q *request) error {
	if !s.o.Quarantine.HasPartCrashes() {
		return nil
	}
	v := s.o.Quarantine.CheckParts(s.o.Clock.Now(), q.promptOf(), s.o.MayProbe())
	f := []zap.Field{zap.String("request", q.meta.ID), zap.String("workspace", q.workspaceName()), partsField(v.Parts), zap.Int("upstreams", v.Upstreams)}
	switch {
	case v.Quarantined:
		count("withheld", 1)
		s.o.Log.Info("request_withheld", append(f, zap.Duration("wait", v.Wait))...)
		return &rejection{status: http.StatusServiceUnavailable, reason: errQuarantined.Error(), retry: v.Wait}
	case v.Probe:
		q.probe = true
		s.o.Log.Info("request_let_through", f...)
	}
	return nil
}

// partWait returns how much longer a request in progress is quarantined for its parts; 0: it is not, or it is a probe that
// no upstream has run.
func (s *Server) partWait(q *request) time.Duration {
	if q.probe && len(q.severedBy) == 0 || !s.o.Quarantine.HasPartCrashes() {
		return 0
	}
	return s.o.Quarantine.PartWait(s.o.Clock.Now(), q.promptOf())
}

// checkPartsBeforeSend returns errWithheld if the request's parts have been quarantined since its upstream was chosen.
func (s *Server) checkPartsBeforeSend(q *request) error {
	if s.partWait(q) == 0 {
		return nil
	}
	return fault.Because(errWithheld, "%s", errQuarantined.Error())
}

// partCrash returns the crash of an attempt's upstream as evidence against the parts of the request's prompt; nil: it has
// none, or the answer had begun well before.
func (q *request) partCrash(a *attempt, now time.Time) *quarantine.PartCrash {
	if len(q.meta.Parts) < 2 || a.eventsPassed > 0 && now.Sub(a.firstEventAt) >= soundAfter {
		return nil
	}
	return &quarantine.PartCrash{Prompt: q.promptOf(), Request: q.fingerprintOf().RequestKey(), Upstream: a.use.Entry().ID, Begun: a.progress() == progressHead, At: now}
}

// recordSound records that the parts of a request's prompt were answered.
func (s *Server) recordSound(q *request) {
	if len(q.meta.Parts) < 2 || !s.o.Quarantine.HasPartCrashes() {
		return
	}
	s.ApplyQuarantine(s.o.Quarantine.ObservePartAnswer(s.o.Clock.Now(), q.promptOf()), "")
}

// recordProgress records once that a stream has come far enough to show that its parts are sound.
func (t *stream) recordProgress() {
	since := t.lastEventAt.Sub(t.a.firstEventAt)
	if t.a.shownSound || since < soundAfter || since > soundWithin || !t.s.o.Quarantine.HasPartCrashes() {
		return
	}
	t.a.shownSound = true
	t.s.recordSound(t.q)
}

// recordEnd records that a stream is complete.
func (t *stream) recordEnd() {
	if t.lastEventAt.Sub(t.a.firstEventAt) <= soundWithin {
		t.s.recordSound(t.q)
	}
}

// applyPartQuarantine logs that requests with certain parts are quarantined, or are no longer, and cancels the attempts of
// those that wait at an upstream.
func (s *Server) applyPartQuarantine(c quarantine.Change, source string) {
	f := []zap.Field{partsField(c.Parts), zap.Strings("upstreams", c.Upstreams), zap.Int("requests", c.Requests), zap.Duration("since", c.Since), zap.Bool("one_workspace", c.OneWorkspace), zap.Bool("unproved", c.Unproved), zap.String("source", source)}
	if !c.Quarantined {
		count("parts_released", 1)
		s.o.Log.Info("part_released", f...)
		return
	}
	count("parts_held", 1)
	s.o.Log.Info("part_held", append(f, zap.Duration("for", c.Until.Sub(s.o.Clock.Now())))...)
	s.pending.cancelIf(func(q *request) bool { return s.partWait(q) > 0 })
}
