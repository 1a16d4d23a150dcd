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
		m.Ends = append(m.Ends, &wire.End{Print: e.Fingerprint[:], Upstream: e.Upstream, AgeMs: now.Sub(e.At).Milliseconds()})
	}
	for _, a := range u.Responses {
		m.Answers = append(m.Answers, &wire.Answered{Print: a.Fingerprint[:], AgeMs: now.Sub(a.At).Milliseconds()})
	}
	for _, t := range u.Probes {
		m.Trials = append(m.Trials, &wire.Answered{Print: t.Fingerprint[:], AgeMs: now.Sub(t.At).Milliseconds()})
	}
	return m
}

// UpdateFromWire is the inverse of ToWire. It skips fingerprints of another length, which a node of
// another version may send.
func UpdateFromWire(now time.Time, m *wire.Suspicions) Update {
	var u Update
	for _, e := range m.GetEnds() {
		if len(e.Print) == len(Fingerprint{}) {
			u.Crashes = append(u.Crashes, Crash{Fingerprint: Fingerprint(e.Print), Upstream: e.Upstream, At: now.Add(-time.Duration(e.AgeMs) * time.Millisecond)})
		}
	}
	for _, a := range m.GetAnswers() {
		if len(a.Print) == len(Fingerprint{}) {
			u.Responses = append(u.Responses, Response{Fingerprint: Fingerprint(a.Print), At: now.Add(-time.Duration(a.AgeMs) * time.Millisecond)})
		}
	}
	for _, t := range m.GetTrials() {
		if len(t.Print) == len(Fingerprint{}) {
			u.Probes = append(u.Probes, Probe{Fingerprint: Fingerprint(t.Print), At: now.Add(-time.Duration(t.AgeMs) * time.Millisecond)})
		}
	}
	return u
}
