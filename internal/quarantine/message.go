package quarantine

import (
	"time"

	"spurhall.example/spurhall/internal/wire"
)

// This file converts updates between trackers to wire messages and back.

// ToWire returns the message for an update, or nil if the update is empty. It carries ages instead of
// times, because clocks differ between VMs.
func (u Update) ToWire(now time.Time) *wire.Suspicions {
	if u.Empty() {
		return nil
	}
	m := &wire.Suspicions{}
	for _, e := range u.Crashes {
		id, prefixes := e.Fingerprint.toWire()
		m.Ends = append(m.Ends, &wire.End{Print: id, Prefixes: prefixes, Upstream: e.Upstream, AgeMs: now.Sub(e.At).Milliseconds(), Origin: uint64(e.Origin)})
	}
	for _, a := range u.Responses {
		m.Answers = append(m.Answers, answeredToWire(now, a.Fingerprint, a.At, a.Origin))
	}
	for _, t := range u.Probes {
		m.Trials = append(m.Trials, answeredToWire(now, t.Fingerprint, t.At, t.Origin))
	}
	for _, c := range u.PartCrashes {
		m.PromptEnds = append(m.PromptEnds, &wire.PromptEnd{
			Service: c.Prompt.service, Workspace: c.Prompt.workspace, Parts: c.Prompt.parts, Request: c.Request, Upstream: c.Upstream,
			AgeMs: now.Sub(c.At).Milliseconds(), Origin: uint64(c.Origin), Begun: c.Begun,
		})
	}
	m.PartAnswers, m.PartProbes, m.PartSplits = partEventsToWire(now, u.PartAnswers), partEventsToWire(now, u.PartProbes), partEventsToWire(now, u.PartSplits)
	return m
}

func partEventsToWire(now time.Time, list []PartEvent) []*wire.PartsSeen {
	var r []*wire.PartsSeen
	for _, e := range list {
		r = append(r, &wire.PartsSeen{Service: e.Service, Parts: e.Parts, AgeMs: now.Sub(e.At).Milliseconds(), Origin: uint64(e.Origin), Count: int32(e.Count)})
	}
	return r
}

func partEventsFromWire(now time.Time, list []*wire.PartsSeen) []PartEvent {
	var r []PartEvent
	for _, e := range list {
		r = append(r, PartEvent{Service: e.Service, Parts: sortedParts(e.Parts), Count: int(e.Count), At: now.Add(-time.Duration(e.AgeMs) * time.Millisecond), Origin: Origin(e.Origin)})
	}
	return r
}

func answeredToWire(now time.Time, p Fingerprint, at time.Time, o Origin) *wire.Answered {
	id, prefixes := p.toWire()
	return &wire.Answered{Print: id, Prefixes: prefixes, AgeMs: now.Sub(at).Milliseconds(), Origin: uint64(o)}
}

func (p Fingerprint) toWire() (id []byte, prefixes []uint64) {
	for _, s := range p.Prefixes() {
		prefixes = append(prefixes, uint64(s))
	}
	return p.id[:], prefixes
}

// fingerprintFromWire reports false for an id of another length, which a node of another version may send.
func fingerprintFromWire(id []byte, prefixes []uint64) (Fingerprint, bool) {
	if len(id) != len(ID{}) {
		return Fingerprint{}, false
	}
	var list []Shape
	for _, s := range prefixes {
		list = append(list, Shape(s))
	}
	return NewFingerprint(ID(id), list), true
}

// UpdateFromWire is the inverse of ToWire.
func UpdateFromWire(now time.Time, m *wire.Suspicions) Update {
	var u Update
	for _, e := range m.GetEnds() {
		if p, ok := fingerprintFromWire(e.Print, e.Prefixes); ok {
			u.Crashes = append(u.Crashes, Crash{Fingerprint: p, Upstream: e.Upstream, At: now.Add(-time.Duration(e.AgeMs) * time.Millisecond), Origin: Origin(e.Origin)})
		}
	}
	for _, a := range m.GetAnswers() {
		if p, ok := fingerprintFromWire(a.Print, a.Prefixes); ok {
			u.Responses = append(u.Responses, Response{Fingerprint: p, At: now.Add(-time.Duration(a.AgeMs) * time.Millisecond), Origin: Origin(a.Origin)})
		}
	}
	for _, t := range m.GetTrials() {
		if p, ok := fingerprintFromWire(t.Print, t.Prefixes); ok {
			u.Probes = append(u.Probes, Probe{Fingerprint: p, At: now.Add(-time.Duration(t.AgeMs) * time.Millisecond), Origin: Origin(t.Origin)})
		}
	}
	for _, c := range m.GetPromptEnds() {
		u.PartCrashes = append(u.PartCrashes, PartCrash{
			Prompt:  Prompt{service: c.Service, workspace: c.Workspace, parts: sortedParts(c.Parts)},
			Request: c.Request, Upstream: c.Upstream, At: now.Add(-time.Duration(c.AgeMs) * time.Millisecond), Origin: Origin(c.Origin), Begun: c.Begun,
		})
	}
	u.PartAnswers, u.PartProbes, u.PartSplits = partEventsFromWire(now, m.GetPartAnswers()), partEventsFromWire(now, m.GetPartProbes()), partEventsFromWire(now, m.GetPartSplits())
	return u
}
