// Package capacity learns what an engine carries from what its answers show.
//
// An engine reads prompts in pieces between the tokens of the requests that run, has so
// many slots, and so much memory. Which of the three is used up first differs from engine
// to engine by more than a factor of five, and none of the configurations says how fast
// one reads. So each node fits three figures per service to the requests that it sent:
//
//	first event  after  First + (tokens read before it) / Reading
//	last event   after  Token x (most tokens to go out) more
//
// and what a request takes of an engine follows from them: time in which it reads, time
// in a slot, memory held over that time.
//
// Weighed: feedback on the share of answers in time. It needs no model, but an answer is
// late for many reasons that more engines don't mend, and it tells of too few engines only
// once callers are hurt, by when more take a boot to help. Counting the slots taken at the
// moment: requests stuck at engines that can't be reached count as load there.
//
// The package is pure: time comes in.
package capacity

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Engine is what is known of a service's engines. Its zero value is one that nothing is
// known of.
type Engine struct {
	Reading float64 // prompt tokens read in a millisecond; 0: unknown
	First   float64 // milliseconds to a first event without anything to read
	Token   float64 // milliseconds a token that a request may at most put out; 0: unknown
	Samples int     // first events that the figures rest on
}

// Known tells whether the figures can be planned with.
func (e Engine) Known() bool { return e.Reading > 0 && e.Token > 0 }

// What is taken for granted until something is known. Only choices between engines go by
// it, never orders: there it is the weight of a prompt against a place in a queue, and a
// wrong one costs balance for some seconds.
const (
	priorPrefillRate = 30.0 // tokens a millisecond; engines in use read 20 to 160
	priorBaseDelay   = 50.0 // milliseconds
)

// FirstEvent is when a first event is due, in milliseconds after the send, if so many
// tokens are read before it.
func (e Engine) FirstEventDelay(tokens float64) float64 {
	if e.Reading <= 0 {
		return priorBaseDelay + tokens/priorPrefillRate
	}
	return e.First + tokens/e.Reading
}

// Read is how many milliseconds reading so many tokens takes.
func (e Engine) PrefillTime(tokens float64) float64 {
	if e.Reading <= 0 {
		return tokens / priorPrefillRate
	}
	return tokens / e.Reading
}

// Work is what requests take of engines, in engines kept busy for a second each.
type Work struct {
	Prefill float64 // seconds of reading
	Slots   float64 // seconds of a slot, over the slots of an engine
	Memory  float64 // tokens held for a second, over the tokens that an engine holds
}

// Plus returns the sum of both.
func (w Work) Add(v Work) Work {
	return Work{Prefill: w.Prefill + v.Prefill, Slots: w.Slots + v.Slots, Memory: w.Memory + v.Memory}
}

// Times returns x times as much.
func (w Work) Scale(x float64) Work {
	return Work{Prefill: x * w.Prefill, Slots: x * w.Slots, Memory: x * w.Memory}
}

// Resource is what an engine runs out of first.
type Resource int

// The resources.
const (
	ResourcePrefill Resource = iota
	ResourceSlots
	ResourceMemory
)

// String returns the resource's name for logs.
func (r Resource) String() string {
	return [...]string{"reading", "slots", "memory"}[r]
}

// Engines is how many engines carry work that comes each second if each is used up to the
// shares given, and what they would run out of first.
//
// An engine that reads for a part of its time makes the tokens of what runs in the rest of
// it, so requests stay in their slots for longer by that part: the engines that read and
// those whose slots are taken add up. The larger of both alone is too few engines where both
// bind, as in a wave of reclaims.
func (w Work) Engines(shares Work) (float64, Resource) {
	n, binds := w.Prefill/shares.Prefill, ResourcePrefill
	if v := w.Prefill + w.Slots/shares.Slots; v > n {
		n, binds = v, ResourceSlots
	}
	if v := w.Prefill + w.Memory/shares.Memory; v > n {
		n, binds = v, ResourceMemory
	}
	return n, binds
}

// mostReading bounds the part of the time that engines are taken to read: past it, what
// was measured is a queue and no speed.
const maxPrefillShare = 0.8

// Unhurried is the work as it would be on engines that did nothing else, where it was
// measured on so many engines: what they read has held up what ran there.
func (w Work) Uncontended(engines int) Work {
	if engines == 0 {
		return w
	}
	free := 1 - min(w.Prefill/float64(engines), maxPrefillShare)
	return Work{Prefill: w.Prefill, Slots: w.Slots * free, Memory: w.Memory * free}
}

// Size is what an engine has, as configured. 0: unknown, and taken for no bound.
type Size struct {
	Slots  int
	Memory float64 // tokens
	Fetch  float64 // cached tokens that it takes from another engine in a millisecond
}

// Work is what a request is expected to take: read tokens of its prompt aren't cached, and
// at most so many go out.
func (e Engine) Work(read, output float64, s Size) Work {
	if !e.Known() {
		return Work{}
	}
	w := Work{Prefill: e.PrefillTime(read) / 1000}
	held := (e.FirstEventDelay(read) + e.Token*output) / 1000
	if s.Slots > 0 {
		w.Slots = held / float64(s.Slots)
	}
	if s.Memory > 0 {
		w.Memory = held * (read + output) / s.Memory
	}
	return w
}

const (
	// samplesKept is the number of newest first events that a node fits to: some seconds
	// of a busy node.
	maxSamples = 64
	// samplesLeast is the number from which a fit is believed. Of fewer, one that waited in
	// a queue nobody knew of bends the line.
	minSamples = 16
	// samplesAge is the age from which one isn't fitted to: engines are replaced by others.
	maxSampleAge = 20 * time.Second
	// leastSpread is how far two prompts have to lie apart, as a share of the longest, for
	// the line through them to tell of the reading.
	minSpread = 0.2
	// fitEvery is how often a line is drawn: it costs some 0.3 ms of a core.
	fitInterval = time.Second
	// fitHalf is the time in which the weight of what was learned before halves.
	fitHalfLife = 5 * time.Second
	// tokenGain is the weight of the newest answer in the time of a token.
	tokenGain = 1.0 / 100
)

type sample struct {
	at     time.Time
	tokens float64
	ms     float64
}

// Learner fits one service's engines to what one node sees. Its zero value knows nothing.
// It isn't safe for concurrent use.
type Learner struct {
	ring   []sample // the newest, in no order
	next   int
	lastAttempt time.Time // when a fit was last tried
	lastFit time.Time // zero: no fit was made
	engine Engine
	outputTime  float64 // milliseconds after first events, fading
	outputTokens float64 // tokens that could have gone out in them, fading
}

// First takes in a first event: so many tokens were to be read before it, by what was known
// when the request was sent.
func (l *Learner) ObserveFirst(now time.Time, tokens float64, after time.Duration) {
	v := sample{now, tokens, float64(after) / float64(time.Millisecond)}
	if len(l.ring) < maxSamples {
		l.ring = append(l.ring, v)
		return
	}
	l.ring[l.next] = v
	l.next = (l.next + 1) % maxSamples
}

// Last takes in the whole rest of an answer, of which at most so many tokens could go out.
func (l *Learner) ObserveRest(output float64, after time.Duration) {
	if output <= 0 {
		return
	}
	l.outputTime += tokenGain * (float64(after)/float64(time.Millisecond) - l.outputTime)
	l.outputTokens += tokenGain * (output - l.outputTokens)
	l.engine.Token = l.outputTime / l.outputTokens
}

// Recall takes in what was known before this process began, unless it has learned by itself.
// The first fit takes its place.
func (l *Learner) Restore(e Engine) {
	if l.engine.Reading == 0 {
		l.engine.Reading, l.engine.First = e.Reading, e.First
	}
	if l.engine.Token == 0 {
		l.engine.Token = e.Token
	}
}

// Engine returns what was learned up to now.
func (l *Learner) Engine(now time.Time) Engine {
	if now.Sub(l.lastAttempt) >= fitInterval {
		l.lastAttempt = now
		l.fit(now)
	}
	return l.engine
}

// fit draws the line anew and moves what was known towards it.
func (l *Learner) fit(now time.Time) {
	fresh := slices.DeleteFunc(slices.Clone(l.ring), func(v sample) bool { return now.Sub(v.at) > maxSampleAge })
	l.engine.Samples = len(fresh)
	if len(fresh) < minSamples {
		return
	}
	slope, base, ok := line(fresh)
	if !ok {
		return
	}
	age := now.Sub(l.lastFit)
	known := !l.lastFit.IsZero()
	l.lastFit = now
	if !known {
		l.engine.Reading, l.engine.First = 1/slope, base
		return
	}
	gain := 1 - math.Exp2(-float64(age)/float64(fitHalfLife))
	l.engine.Reading = 1 / (1/l.engine.Reading + gain*(slope-1/l.engine.Reading))
	l.engine.First += gain * (base - l.engine.First)
}

type weighted struct{ value, weight float64 }

// line fits ms = base + slope x tokens by the weighted median of the slopes between pairs:
// up to a quarter of the samples may have waited for something else without bending it.
// Least squares was tried on paper only: one answer that waited two seconds outweighs all
// the others.
func line(l []sample) (slope, base float64, ok bool) {
	longest := 0.0
	for _, v := range l {
		longest = max(longest, v.tokens)
	}
	var slopes []weighted
	for i, a := range l {
		for _, b := range l[:i] {
			if d := math.Abs(a.tokens - b.tokens); d > minSpread*longest {
				slopes = append(slopes, weighted{(a.ms - b.ms) / (a.tokens - b.tokens), d})
			}
		}
	}
	slope = median(slopes)
	if slope <= 0 {
		return 0, 0, false
	}
	bases := make([]weighted, len(l))
	for i, v := range l {
		bases[i] = weighted{v.ms - slope*v.tokens, 1}
	}
	return slope, max(0, median(bases)), true
}

// median returns the weighted median, 0 of nothing.
func median(l []weighted) float64 {
	slices.SortFunc(l, func(a, b weighted) int { return cmp.Compare(a.value, b.value) })
	all := 0.0
	for _, v := range l {
		all += v.weight
	}
	sum := 0.0
	for _, v := range l {
		sum += v.weight
		if sum >= all/2 {
			return v.value
		}
	}
	return 0
}

// Merge joins what several nodes learned: of each figure the median, by the samples that
// each rests on. A node whose links are bad doesn't move it.
func Merge(l []Engine) Engine {
	var e Engine
	var reading, first, token []weighted
	for _, v := range l {
		w := float64(v.Samples + 1) // what was recalled rests on none
		if v.Reading > 0 {
			reading, first = append(reading, weighted{v.Reading, w}), append(first, weighted{v.First, w})
		}
		if v.Token > 0 {
			token = append(token, weighted{v.Token, w})
		}
		e.Samples += v.Samples
	}
	e.Reading, e.First, e.Token = median(reading), median(first), median(token)
	return e
}
