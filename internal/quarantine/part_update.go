package quarantine

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// This file selects what messages and the store tell of parts, and merges what others have told (update.go tells how
// updates spread).

const (
	// maxUpdatePartCrashes and maxUpdateParts bound the crashes of one message, some 60 bytes each, and the parts of all of
	// them, 8 bytes each; maxUpdatePartEvents bounds the answers and the probes, some 40 bytes each.
	maxUpdatePartCrashes = 48
	maxUpdateParts       = 512
	maxUpdatePartEvents  = 24
	// maxWitnesses bounds the crashes that are told of one quarantined set for as long as it is.
	maxWitnesses = 12
)

// buildParts adds to an update what is to be told of parts now. It removes what has expired.
func (t *Tracker) buildParts(now time.Time, u *Update) {
	p := t.parts
	if p.size.Load() == 0 {
		return
	}
	p.expire(now)
	t.pendingChanges = append(t.pendingChanges, t.evaluateParts(now)...)
	list := p.witnesses()
	for _, c := range p.crashes {
		if now.Sub(c.learnedAt) <= announceFor && len(c.Prompt.parts) > 0 && !slices.Contains(list, c) {
			list = append(list, c)
		}
	}
	u.PartCrashes = t.selectPartCrashes(list)
	u.PartAnswers = t.selectPartEvents(p.answers, now)
	u.PartProbes = t.selectPartEvents(p.probes, now)
	u.PartSplits = t.selectPartEvents(p.splits, now)
}

// witnesses returns crashes from which another process derives the same quarantined sets.
func (p *partTracker) witnesses() []*knownCrash {
	var list []*knownCrash
	for _, q := range p.held {
		for _, c := range q.witnesses() {
			if !slices.Contains(list, c) {
				list = append(list, c)
			}
		}
	}
	return list
}

// witnesses returns crashes that suffice to quarantine the set, that have no other part in common, and the last one.
func (q *partQuarantine) witnesses() []*knownCrash {
	var list []*knownCrash
	common := len(q.crashes[0].Prompt.parts) + 1
	requests := make(map[uint64]bool)
	workspaces := make(map[uint64]bool)
	for i, c := range q.crashes {
		with := append(slices.Clone(list), c)
		narrower := countCommon(with) < common
		useful := narrower || countPartBursts(with) > countPartBursts(list) && len(list) < maxWitnesses/2 ||
			q.unproved && !c.weak && countClusters(with) > countClusters(list) && len(list) < unprovedPartThreshold ||
			!requests[c.Request] && len(requests) < partCrashThreshold || !workspaces[c.Prompt.workspace] && len(workspaces) < 2
		if i < len(q.crashes)-1 && (!useful || len(list) >= maxWitnesses-1) {
			continue
		}
		list, common = with, countCommon(with)
		requests[c.Request], workspaces[c.Prompt.workspace] = true, true
	}
	return list
}

// countCommon returns how many parts crashes have in common.
func countCommon(list []*knownCrash) int {
	n := 0
	for _, x := range list[0].Prompt.parts {
		if !slices.ContainsFunc(list, func(c *knownCrash) bool { return !c.Prompt.has(x) }) {
			n++
		}
	}
	return n
}

// selectPartCrashes returns the crashes that a message has room for: those that are evidence for a quarantine first, among
// equals in each message others.
func (t *Tracker) selectPartCrashes(list []*knownCrash) []PartCrash {
	turns := make(map[*knownCrash]uint64, len(list))
	for _, c := range list {
		turns[c] = t.turnOf(uint64(c.Origin))
	}
	weight := func(c *knownCrash) int {
		if c.held {
			return 0
		}
		return 1
	}
	slices.SortFunc(list, func(x, y *knownCrash) int {
		return cmp.Or(cmp.Compare(weight(x), weight(y)), cmp.Compare(turns[x], turns[y]))
	})
	var selected []PartCrash
	parts := 0
	for _, c := range list {
		if len(selected) == maxUpdatePartCrashes {
			break
		}
		if parts += len(c.Prompt.parts); parts > maxUpdateParts && len(selected) > 0 {
			break
		}
		selected = append(selected, c.PartCrash)
	}
	return selected
}

// selectPartEvents returns the answers or probes that a message has room for: those that are new, and those without which
// a quarantined set isn't known elsewhere.
func (t *Tracker) selectPartEvents(all map[PartKey]*knownEvent, now time.Time) []PartEvent {
	chosen := make(map[Origin]PartEvent)
	for k, e := range all {
		if now.Before(e.toldUntil) || t.parts.isHeld(k) {
			chosen[e.Origin] = e.PartEvent
		}
	}
	list := slices.SortedFunc(maps.Values(chosen), func(x, y PartEvent) int { return cmp.Compare(t.turnOf(uint64(x.Origin)), t.turnOf(uint64(y.Origin))) })
	parts := 0
	for i, e := range list {
		if parts += len(e.Parts); i == maxUpdatePartEvents || parts > maxUpdateParts && i > 0 {
			return list[:i]
		}
	}
	return list
}

// isHeld reports whether a quarantined set has a part, or is of a service.
func (p *partTracker) isHeld(k PartKey) bool {
	return slices.ContainsFunc(p.held, func(q *partQuarantine) bool {
		return q.service == k.Service && (k.Any || slices.Contains(q.parts, k.Part))
	})
}

// turnOf orders facts of equal weight, in each message another way. The tracker's lock is held.
func (t *Tracker) turnOf(id uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], id)
	binary.LittleEndian.PutUint64(b[8:], t.updates)
	return xxhash.Sum64(b[:])
}

// mergeParts applies what another process told of parts and returns the changes. The tracker's lock is held.
func (t *Tracker) mergeParts(now time.Time, u Update) []Change {
	for _, e := range u.PartAnswers {
		e.At = t.place(now, e.Origin, e.At)
		t.parts.answered(now, e)
	}
	for _, c := range u.PartCrashes {
		c.At = t.place(now, c.Origin, c.At)
		t.parts.add(now, c)
	}
	for _, e := range u.PartProbes {
		e.At = t.place(now, e.Origin, e.At)
		if t.parts.admitted(now, t.parts.probes, e) {
			t.parts.revision++
		}
	}
	for _, e := range u.PartSplits {
		e.At = t.place(now, e.Origin, e.At)
		t.parts.admitted(now, t.parts.splits, e)
	}
	return t.evaluateParts(now)
}

// PartEvidence returns from what the quarantined parts follow, and a revision that rises with each change of them.
func (t *Tracker) PartEvidence() (Update, int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var u Update
	for _, c := range t.parts.witnesses() {
		u.PartCrashes = append(u.PartCrashes, c.PartCrash)
	}
	for k, e := range t.parts.answers {
		if k.Any && t.parts.isHeld(k) {
			u.PartAnswers = append(u.PartAnswers, e.PartEvent)
		}
	}
	probes := make(map[Origin]bool)
	for k, e := range t.parts.probes {
		if t.parts.isHeld(k) && !probes[e.Origin] {
			probes[e.Origin] = true
			u.PartProbes = append(u.PartProbes, e.PartEvent)
		}
	}
	return u, t.parts.revision
}
