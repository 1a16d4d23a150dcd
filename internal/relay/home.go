package relay

import (
	"time"

	"spurhall.example/spurhall/internal/pair"
)

// This file is what a node relies on of its own relay.

const (
	// digestLifetime is how long after the last digest a node relies on it.
	digestLifetime = 4 * pair.Round
	// idleSpan is the time of two rounds, in which a node without requests reports once: it has nothing to tell but that
	// it is there, and needs no digest for a choice.
	idleSpan = 2*pair.Round - pair.Round/2
)

// Home is the relay that a node reports to. Its zero value is none.
type Home struct {
	name     string
	digestAt time.Time
	covered  map[string]bool
}

// Name returns the relay's name; empty: none has answered yet, or the last one has failed since.
func (h *Home) Name() string { return h.name }

// Set records that a relay has answered, or that the node is a relay itself, and reports whether it is another one.
func (h *Home) Set(name string) (changed bool) {
	changed = h.name != name
	h.name = name
	return changed
}

// Fail records that a relay hasn't answered.
func (h *Home) Fail(name string) {
	if h.name == name {
		h.name = ""
	}
}

// Receive records a digest, and the nodes that it covers.
func (h *Home) Receive(now time.Time, covered map[string]bool) { h.digestAt, h.covered = now, covered }

// IsFresh reports whether the last digest is recent enough to be relied on.
func (h *Home) IsFresh(now time.Time) bool { return now.Sub(h.digestAt) <= digestLifetime }

// Covered returns the nodes that the last digest covers.
func (h *Home) Covered() map[string]bool { return h.covered }

// Hears reports whether a node has reported recently: to some relay, or to this node at the given time.
func (h *Home) Hears(now time.Time, node string, reportedAt time.Time) bool {
	return h.IsFresh(now) && h.covered[node] || now.Sub(reportedAt) <= digestLifetime
}

// IsIdle reports whether a node, whose last request was at the given time, need not report in this round. A relay isn't idle.
func (h *Home) IsIdle(now time.Time, self string, requestAt time.Time) bool {
	return h.name != self && h.name != "" && now.Sub(h.digestAt) < idleSpan && now.Sub(requestAt) > idleSpan
}
