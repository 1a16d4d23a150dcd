package quarantine

import (
	"time"

	"spurhall.example/spurhall/internal/wire"
)

// This file turns what books tell each other into messages, and back.

// ToWire returns the message that tells the words; nil: there is nothing to tell. Clocks differ
// between VMs, so times go as ages.
func (w Update) ToWire(now time.Time) *wire.Suspicions {
	if w.Empty() {
		return nil
	}
	m := &wire.Suspicions{}
	for _, e := range w.Crashes {
		m.Ends = append(m.Ends, &wire.End{Print: e.Fingerprint[:], Upstream: e.Upstream, AgeMs: now.Sub(e.At).Milliseconds()})
	}
	for _, a := range w.Responses {
		m.Answers = append(m.Answers, &wire.Answered{Print: a.Fingerprint[:], AgeMs: now.Sub(a.At).Milliseconds()})
	}
	for _, t := range w.Probes {
		m.Trials = append(m.Trials, &wire.Answered{Print: t.Fingerprint[:], AgeMs: now.Sub(t.At).Milliseconds()})
	}
	return m
}

// WordsFromWire is the inverse of ToWire. It passes over prints of another length, which a node
// of another version may tell.
func UpdateFromWire(now time.Time, m *wire.Suspicions) Update {
	var w Update
	for _, e := range m.GetEnds() {
		if len(e.Print) == len(Fingerprint{}) {
			w.Crashes = append(w.Crashes, Crash{Fingerprint: Fingerprint(e.Print), Upstream: e.Upstream, At: now.Add(-time.Duration(e.AgeMs) * time.Millisecond)})
		}
	}
	for _, a := range m.GetAnswers() {
		if len(a.Print) == len(Fingerprint{}) {
			w.Responses = append(w.Responses, Response{Fingerprint: Fingerprint(a.Print), At: now.Add(-time.Duration(a.AgeMs) * time.Millisecond)})
		}
	}
	for _, t := range m.GetTrials() {
		if len(t.Print) == len(Fingerprint{}) {
			w.Probes = append(w.Probes, Probe{Fingerprint: Fingerprint(t.Print), At: now.Add(-time.Duration(t.AgeMs) * time.Millisecond)})
		}
	}
	return w
}
