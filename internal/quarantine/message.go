package quarantine

import (
	"time"

	"spurhall.example/spurhall/internal/wire"
)

// This file turns what books tell each other into messages, and back.

// ToWire returns the message that tells the words; nil: there is nothing to tell. Clocks differ
// between VMs, so times go as ages.
func (w Words) ToWire(now time.Time) *wire.Suspicions {
	if w.Empty() {
		return nil
	}
	m := &wire.Suspicions{}
	for _, e := range w.Ends {
		m.Ends = append(m.Ends, &wire.End{Print: e.Print[:], Upstream: e.Upstream, AgeMs: now.Sub(e.At).Milliseconds()})
	}
	for _, a := range w.Answers {
		m.Answers = append(m.Answers, &wire.Answered{Print: a.Print[:], AgeMs: now.Sub(a.At).Milliseconds()})
	}
	for _, t := range w.Trials {
		m.Trials = append(m.Trials, &wire.Answered{Print: t.Print[:], AgeMs: now.Sub(t.At).Milliseconds()})
	}
	return m
}

// WordsFromWire is the inverse of ToWire. It passes over prints of another length, which a node
// of another version may tell.
func WordsFromWire(now time.Time, m *wire.Suspicions) Words {
	var w Words
	for _, e := range m.GetEnds() {
		if len(e.Print) == len(Print{}) {
			w.Ends = append(w.Ends, End{Print: Print(e.Print), Upstream: e.Upstream, At: now.Add(-time.Duration(e.AgeMs) * time.Millisecond)})
		}
	}
	for _, a := range m.GetAnswers() {
		if len(a.Print) == len(Print{}) {
			w.Answers = append(w.Answers, Answer{Print: Print(a.Print), At: now.Add(-time.Duration(a.AgeMs) * time.Millisecond)})
		}
	}
	for _, t := range m.GetTrials() {
		if len(t.Print) == len(Print{}) {
			w.Trials = append(w.Trials, Trial{Print: Print(t.Print), At: now.Add(-time.Duration(t.AgeMs) * time.Millisecond)})
		}
	}
	return w
}
