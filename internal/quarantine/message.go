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
	return m
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
	return u
}
