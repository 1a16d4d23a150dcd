package quarantine

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// This file and part_evaluate.go track parts of prompts that crash upstreams. A part is what callers name to share what an
// engine has read: a system prompt, a document. Requests with a bad part may differ in all else, their bodies too, and
// requests without it may share all else with them, so that neither a fingerprint nor a shape tells them apart.
//
// The evidence is a PartCrash: a request whose response hadn't begun, or had just begun, when its upstream crashed. All of
// its shared parts were aboard. An answer to any request with a part clears the part of all crashes before it, since a bad
// part is never answered; what remains of a crash are the parts that can have caused it.
//
// A part is quarantined once upstreams crashed under it again and again while requests of its service without it were
// answered. Upstreams that crash faster than they come back answer nothing, so that where none is answered, a part is
// quarantined, too, if more upstreams crashed, and all under it. It may not be the cause: a request is let through soon, and
// others later, until one is answered. Where parts were together at each of these crashes, nobody knows which of them it is: refused are requests that
// have all of them. Of requests with some of them one at a time goes through, and clears these or crashes one more
// upstream, under which the others weren't.
//
// A part that stands beside a bad one is explained by it: crashes at which a request had both don't count against it.
// Which of two is explained is decided by the number of crashes, then by the number of requests: a bad part that all of the
// crashes have in common is in fewer requests than a sound one that is everywhere.
//
// Alternatives considered: each part by itself (a rare sound part beside a bad one would be refused as long as it); the
// part whose requests crash upstreams more often than others do, by shares (sound requests aboard crash as often, and there
// are more of them); trying the parts of a suspected request one by one (each try is a crash); the first part alone, as for
// routing (the bad part may be any).

const (
	// partCrashThreshold is how many crashes in as many bursts, from as many requests, quarantine a part; from one request
	// less it takes one burst more. Two are not enough: in a wave of reclaims a request is sent again and meets a second one.
	partCrashThreshold = 3
	// weakPartThreshold is the same where another request was closer to the crash: it had a head and no event, as one that
	// crashes an upstream when it begins to answer, and this one was waiting or had events.
	weakPartThreshold = 6
	// unprovedPartThreshold is how many upstreams, all that crashed, quarantine a part while nothing is answered: a failure
	// of a whole service looks the same.
	unprovedPartThreshold = 6
	// partBurst is the span in which crashes count as one.
	partBurst = 250 * time.Millisecond
	// partShare is the least share of all crashes, from the first under a part to the last, that were under it. In a wave
	// a rare part is aboard at few of them; three bad parts at once have a third each.
	partShare = 1.0 / 3
	// firstPartProbe and nextPartProbe are how long after the last crash a part is let through for the first and the second
	// time. There is no third: the operators bound how many such requests reach upstreams for good.
	firstPartProbe = time.Minute
	nextPartProbe  = time.Hour
	maxPartProbes  = 2
	// unprovedPartProbe is the time to the first one while nothing is answered: about what an upstream takes to come back.
	// Each further one comes after twice the time, firstPartProbe at most, and there is no last one.
	unprovedPartProbe = 5 * time.Second
	maxPartDoublings  = 4
	// partProbeWait is what a caller is told to wait where another node admits the probe.
	partProbeWait = 10 * time.Second
	// Of requests with some of the parts that are quarantined together, the process that may admit probes admits one at
	// once. The others wait for partSplitWait, and each for a part of partSplitSpread: with few requests none may come to
	// the first, and those of nodes that don't know of each other yet would all reach an upstream.
	partSplitWait   = 5 * time.Second
	partSplitSpread = 15 * time.Second
	// heldPartTTL is how long after the last crash a part stays quarantined.
	heldPartTTL = 24 * time.Hour
	// maxPromptParts bounds the parts of one prompt that are looked at, maxPartCrashes the crashes remembered and
	// maxPartRefs the parts of all of them together, 8 bytes each. The answers to maxPartAnswers parts are remembered, some
	// 100 bytes each, with at most maxEventParts parts.
	maxPromptParts = 512
	maxPartCrashes = 512
	maxPartRefs    = 16384
	maxPartAnswers = 4096
	maxEventParts  = 64
	// partAnswerStep is the shortest time between two answers to a part that are recorded.
	partAnswerStep = 50 * time.Millisecond
)

// Prompt tells which parts a request's prompt may have in common with others.
type Prompt struct {
	service   uint64
	workspace uint64
	parts     []uint64 // sorted
}

// NewPrompt returns the prompt of a request with the ids of its shared parts.
func NewPrompt(service, workspace string, parts []uint64) Prompt {
	return Prompt{service: xxhash.Sum64String(service), workspace: xxhash.Sum64String(workspace), parts: sortedParts(parts)}
}

// sortedParts returns the parts of a prompt that are looked at, each once.
func sortedParts(parts []uint64) []uint64 {
	list := slices.Clone(parts[:min(len(parts), maxPromptParts)])
	slices.Sort(list)
	return slices.Compact(list)
}

// has reports whether the prompt has a part.
func (p Prompt) has(part uint64) bool {
	_, ok := slices.BinarySearch(p.parts, part)
	return ok
}

// hasAll reports whether the prompt has all of the parts.
func (p Prompt) hasAll(parts []uint64) bool {
	return !slices.ContainsFunc(parts, func(x uint64) bool { return !p.has(x) })
}

// PartKey identifies a part of a service's prompts, or with Any the service's requests whatever parts they have.
type PartKey struct {
	Service uint64
	Part    uint64
	Any     bool
}

// PartCrash is the crash of an upstream, as observed by a request whose response hadn't begun, or had just begun.
type PartCrash struct {
	Prompt   Prompt // without the parts that were answered since
	Request  uint64 // the same for each repeat of the request
	Upstream string
	Begun    bool // the head of the response had come, and no event
	At       time.Time
	Origin   Origin
}

// RequestKey returns the PartCrash.Request of a request.
func (p Fingerprint) RequestKey() uint64 { return xxhash.Sum64(p.id[:]) }

// PartEvent is an answer to a request with these parts, or the admission of one.
type PartEvent struct {
	Service uint64
	Parts   []uint64
	Count   int // of the admissions so far, this one included; 0 for an answer
	At      time.Time
	Origin  Origin
}

// knownCrash is a crash as a tracker has it.
type knownCrash struct {
	PartCrash
	learnedAt time.Time
	held      bool // it is evidence for a quarantine
	weak      bool // another request was closer to the crash
	cluster   int  // index of the upstream's crash, which several requests may have observed
}

// knownEvent is an event as a tracker has it.
type knownEvent struct {
	PartEvent
	toldUntil time.Time // messages tell of it until then
}

// partTracker holds what a process knows of parts under which upstreams crashed. It is guarded by the lock of its Tracker.
type partTracker struct {
	size    atomic.Int64 // number of crashes, readable without the lock
	crashes []*knownCrash
	refs    map[PartKey]int // number of crashes that have the part
	// lastCrash is when an upstream last crashed under requests of a service.
	lastCrash map[uint64]time.Time
	answers   map[PartKey]*knownEvent
	probes    map[PartKey]*knownEvent
	splits    map[PartKey]*knownEvent
	held      []*partQuarantine
	revision  int64 // rises with each change of the quarantined sets
	stale     bool  // crashes have changed since the last evaluation
}

func newPartTracker() *partTracker {
	return &partTracker{refs: make(map[PartKey]int), lastCrash: make(map[uint64]time.Time), answers: make(map[PartKey]*knownEvent), probes: make(map[PartKey]*knownEvent), splits: make(map[PartKey]*knownEvent)}
}

// HasPartCrashes reports whether crashes were observed under any part. Most processes know of none; for these it takes
// no lock.
func (t *Tracker) HasPartCrashes() bool { return t.parts.size.Load() > 0 }

// ObservePartCrash records a crash that this process observed.
func (t *Tracker) ObservePartCrash(now time.Time, e PartCrash) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.Origin = t.originOf(e.At)
	e.At = t.place(now, e.Origin, e.At)
	t.parts.add(now, e)
	return t.evaluateParts(now)
}

// ObservePartAnswer records that a request with these parts was answered: the upstream has begun to answer it and
// hasn't crashed.
func (t *Tracker) ObservePartAnswer(now time.Time, p Prompt) []Change {
	if !t.HasPartCrashes() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if a := t.parts.answers[PartKey{Service: p.service, Any: true}]; a != nil && now.Sub(a.At) < partAnswerStep && !t.parts.concerns(p) {
		return nil
	}
	o := t.originOf(now)
	t.parts.answered(now, PartEvent{Service: p.service, Parts: p.parts, At: t.place(now, o, now), Origin: o})
	return t.evaluateParts(now)
}

// concerns reports whether crashes were observed under a part of the prompt.
func (p *partTracker) concerns(q Prompt) bool {
	return slices.ContainsFunc(q.parts, func(x uint64) bool { return p.refs[PartKey{Service: q.service, Part: x}] > 0 })
}

// add records a crash, without the parts that have been answered since.
func (p *partTracker) add(now time.Time, e PartCrash) {
	e.Prompt.parts = p.unanswered(now, e)
	same := func(c *knownCrash) bool {
		return c.Request == e.Request && c.Upstream == e.Upstream && c.At.Sub(e.At).Abs() < sameCrashWindow
	}
	if slices.ContainsFunc(p.crashes, same) {
		return
	}
	for _, x := range e.Prompt.parts {
		p.refs[PartKey{Service: e.Prompt.service, Part: x}]++
	}
	p.crashes = append(p.crashes, &knownCrash{PartCrash: e, learnedAt: now})
	if e.At.After(p.lastCrash[e.Prompt.service]) {
		p.lastCrash[e.Prompt.service] = e.At
	}
	slices.SortStableFunc(p.crashes, func(a, b *knownCrash) int { return a.At.Compare(b.At) })
	p.stale = true
	p.evict()
	p.size.Store(int64(len(p.crashes)))
}

// unanswered returns the parts of a crash without those that were answered after it. Of these messages tell again:
// whoever told of the crash doesn't know.
func (p *partTracker) unanswered(now time.Time, e PartCrash) []uint64 {
	list := make([]uint64, 0, len(e.Prompt.parts))
	for _, x := range e.Prompt.parts {
		if a := p.answers[PartKey{Service: e.Prompt.service, Part: x}]; a != nil && a.At.After(e.At) {
			a.toldUntil = now.Add(announceFor)
			continue
		}
		list = append(list, x)
	}
	return list
}

// answered records an answer, which clears its parts of the crashes before. Messages tell of it if it clears any, or is
// the first one after a crash: a part without an answer is suspect from then on.
func (p *partTracker) answered(now time.Time, e PartEvent) {
	a := &knownEvent{PartEvent: e}
	news := false
	if len(e.Parts) > maxEventParts {
		a.Parts = e.Parts[:maxEventParts]
	} else {
		news = p.isFirst(e)
		p.setAnswer(PartKey{Service: e.Service, Any: true}, a)
	}
	for _, x := range e.Parts {
		k := PartKey{Service: e.Service, Part: x}
		p.setAnswer(k, a)
		news = p.clear(k, e.At) || news
	}
	if news {
		a.toldUntil = now.Add(announceFor)
		p.stale = true
	}
}

// isFirst reports whether an answer is the first one after the last crash under requests of its service.
func (p *partTracker) isFirst(e PartEvent) bool {
	last := p.lastCrash[e.Service]
	if !e.At.After(last) {
		return false
	}
	before := p.answers[PartKey{Service: e.Service, Any: true}]
	return before == nil || !before.At.After(last)
}

// setAnswer records the latest answer to a part, or to a service.
func (p *partTracker) setAnswer(k PartKey, a *knownEvent) {
	old := p.answers[k]
	if old != nil && !a.At.After(old.At) {
		return
	}
	if old == nil && len(p.answers) >= maxPartAnswers {
		p.forgetAnswers()
	}
	p.answers[k] = a
}

// clear removes a part from the crashes before a time and reports whether there were any.
func (p *partTracker) clear(k PartKey, at time.Time) bool {
	if p.refs[k] == 0 {
		return false
	}
	cleared := false
	for _, c := range p.crashes {
		if c.Prompt.service != k.Service || !c.At.Before(at) || !c.Prompt.has(k.Part) {
			continue
		}
		c.Prompt.parts = slices.DeleteFunc(slices.Clone(c.Prompt.parts), func(x uint64) bool { return x == k.Part })
		p.release(k)
		cleared = true
	}
	return cleared
}

// release counts one crash less that has a part.
func (p *partTracker) release(k PartKey) {
	if p.refs[k]--; p.refs[k] <= 0 {
		delete(p.refs, k)
	}
}

// forgetAnswers removes the older half of the answers to parts.
func (p *partTracker) forgetAnswers() {
	var list []PartKey
	for k := range p.answers {
		if !k.Any {
			list = append(list, k)
		}
	}
	slices.SortFunc(list, func(x, y PartKey) int { return p.answers[x].At.Compare(p.answers[y].At) })
	for _, k := range list[:len(list)/2] {
		delete(p.answers, k)
	}
}

// evict removes crashes while there are too many: those without a part that is left first, those that are evidence for a
// quarantine last, among equals the oldest.
func (p *partTracker) evict() {
	refs := 0
	for _, n := range p.refs {
		refs += n
	}
	for len(p.crashes) > maxPartCrashes || refs > maxPartRefs {
		i := slices.IndexFunc(p.crashes, func(c *knownCrash) bool { return len(c.Prompt.parts) == 0 })
		if i < 0 || len(p.crashes) <= maxPartCrashes {
			i = max(0, slices.IndexFunc(p.crashes, func(c *knownCrash) bool { return !c.held && len(c.Prompt.parts) > 0 }))
		}
		refs -= len(p.crashes[i].Prompt.parts)
		p.remove(i)
	}
}

func (p *partTracker) remove(i int) {
	c := p.crashes[i]
	for _, x := range c.Prompt.parts {
		p.release(PartKey{Service: c.Prompt.service, Part: x})
	}
	p.crashes = slices.Delete(p.crashes, i, i+1)
	p.stale = true
	p.size.Store(int64(len(p.crashes)))
}

// expire removes what is too old to count.
func (p *partTracker) expire(now time.Time) {
	for i := len(p.crashes) - 1; i >= 0; i-- {
		c := p.crashes[i]
		if age := now.Sub(c.At); age > heldPartTTL || age > suspectTTL && !c.held {
			p.remove(i)
		}
	}
	if len(p.crashes) == 0 {
		clear(p.answers)
		clear(p.lastCrash)
		clear(p.probes)
		clear(p.splits)
	}
}
