// Package capacity estimates the capacity of an engine from its responses.
//
// An engine reads prompts (prefill) in pieces between the tokens of the running requests, and has a
// limited number of slots and a limited memory. Which of the three is used up first differs from engine
// to engine by more than a factor of five, and no configuration states how fast an engine reads. So
// each node fits three figures per service to the requests that it sent:
//
//	first event  after  First + (tokens read before it) / Reading
//	last event   after  Token x (maximum number of output tokens) more
//
// From these follows what a request takes of an engine: reading time, time in a slot, and memory held
// over that time.
//
// Alternatives considered: feedback on the share of responses in time. It needs no model, but a
// response is late for many reasons that more engines don't cure, and it shows a lack of engines only
// once callers are affected, when more engines help only after a boot. Counting the slots in use at the
// moment: requests stuck at unreachable engines count as load there.
//
// The package is pure: time is passed in.
package capacity

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Engine is what is known of a service's engines. Its zero value stands for an unknown engine. It is
// stored under the names of its fields.
type Engine struct {
	Reading float64 // prompt tokens read in a millisecond; 0: unknown
	First   float64 // milliseconds to a first event without tokens to read
	Token   float64 // milliseconds for each token of the maximum output; 0: unknown
	Samples int     // first events that the figures are based on
}

// Known reports whether the figures are sufficient for planning.
func (e Engine) Known() bool { return e.Reading > 0 && e.Token > 0 }

// Figures used until an engine is known. Only choices between engines use them, never orders: in a choice they
// weigh a prompt against a place in a queue, and a wrong figure costs balance for some seconds.
const (
	priorPrefillRate = 30.0 // tokens a millisecond; engines in use read 20 to 160
	priorBaseDelay   = 50.0 // milliseconds
)

// FirstEventDelay is the expected time from the send to the first event, in milliseconds, if so many
// tokens are read before it.
func (e Engine) FirstEventDelay(tokens float64) float64 {
	if e.Reading <= 0 {
		return priorBaseDelay + tokens/priorPrefillRate
	}
	return e.First + tokens/e.Reading
}

// PrefillTime is the time that reading so many tokens takes, in milliseconds.
func (e Engine) PrefillTime(tokens float64) float64 {
	if e.Reading <= 0 {
		return tokens / priorPrefillRate
	}
	return tokens / e.Reading
}

// Work is what requests take of engines, in engines kept busy for a second each.
type Work struct {
	Prefill float64 // seconds of reading
	Slots   float64 // seconds of a slot, divided by the slots of an engine
	Memory  float64 // tokens held for a second, divided by the tokens that an engine holds
}

// Add returns the sum of both.
func (w Work) Add(v Work) Work {
	return Work{Prefill: w.Prefill + v.Prefill, Slots: w.Slots + v.Slots, Memory: w.Memory + v.Memory}
}

// Scale returns the work multiplied by x.
func (w Work) Scale(x float64) Work {
	return Work{Prefill: x * w.Prefill, Slots: x * w.Slots, Memory: x * w.Memory}
}

// Resource is a resource that an engine can run out of.
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

// Engines returns how many engines carry work that arrives each second if each engine is used up to the
// given shares, and which resource is used up first.
//
// An engine that reads for a part of its time generates the tokens of the running requests in the rest
// of it, so requests stay in their slots for longer by that part: the engines that read and those whose
// slots are in use add up. The maximum of the two alone gives too few engines where both resources are
// short, as in a wave of reclaims.
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

// maxPrefillShare bounds the part of the time that engines are assumed to read: above it, the measured
// value is a queue and not a speed.
const maxPrefillShare = 0.8

// Uncontended returns the work as it would be on engines that did nothing else, if it was measured on
// so many engines: their reading has delayed what ran there.
func (w Work) Uncontended(engines int) Work {
	if engines == 0 {
		return w
	}
	free := 1 - min(w.Prefill/float64(engines), maxPrefillShare)
	return Work{Prefill: w.Prefill, Slots: w.Slots * free, Memory: w.Memory * free}
}

// Size is the configured size of an engine. 0: unknown, and treated as no bound.
type Size struct {
	Slots  int
	Memory float64 // tokens
	Fetch  float64 // cached tokens that it fetches from another engine in a millisecond
}

// Work returns what a request is expected to take: read is the number of prompt tokens that aren't
// cached, output the maximum number of output tokens.
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
	// maxSamples is the number of newest first events that a node fits to: some seconds of a busy node.
	maxSamples = 64
	// minSamples is the number of samples from which a fit is used. With fewer, a single request that
	// waited in a queue unknown to the node distorts the line.
	minSamples = 16
	// maxSampleAge is the age above which a sample isn't used: engines are replaced by others.
	maxSampleAge = 20 * time.Second
	// minSpread is the difference between two prompts, as a share of the longest, from which the line
	// through them is used for the reading rate.
	minSpread = 0.2
	// fitInterval is how often a line is fitted: a fit costs some 0.3 ms of a core.
	fitInterval = time.Second
	// fitHalfLife is the time in which the weight of earlier fits halves.
	fitHalfLife = 5 * time.Second
	// tokenGain is the weight of the newest response in the time of a token.
	tokenGain = 1.0 / 100
)

type sample struct {
	at     time.Time
	tokens float64
	ms     float64
}

// Learner fits the figures of one service's engines to what one node observes. Its zero value knows
// nothing. It isn't safe for concurrent use.
type Learner struct {
	ring         []sample // the newest samples, in no order
	next         int
	lastAttempt  time.Time // when a fit was last attempted
	lastFit      time.Time // zero: no fit was made
	engine       Engine
	outputTime   float64 // milliseconds after first events, exponentially weighted
	outputTokens float64 // maximum output tokens in that time, exponentially weighted
}

// ObserveFirst records a first event: tokens is the number of tokens to be read before it, as known
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

// ObserveRest records the time from the first event of a response to its last, for a request of at most
// so many output tokens.
func (l *Learner) ObserveRest(output float64, after time.Duration) {
	if output <= 0 {
		return
	}
	l.outputTime += tokenGain * (float64(after)/float64(time.Millisecond) - l.outputTime)
	l.outputTokens += tokenGain * (output - l.outputTokens)
	l.engine.Token = l.outputTime / l.outputTokens
}

// Restore sets the figures stored by an earlier process, unless this one has learned its own. The first
// fit replaces them.
func (l *Learner) Restore(e Engine) {
	if l.engine.Reading == 0 {
		l.engine.Reading, l.engine.First = e.Reading, e.First
	}
	if l.engine.Token == 0 {
		l.engine.Token = e.Token
	}
}

// Engine returns the figures learned up to now.
func (l *Learner) Engine(now time.Time) Engine {
	if now.Sub(l.lastAttempt) >= fitInterval {
		l.lastAttempt = now
		l.fit(now)
	}
	return l.engine
}

// fit fits a new line and moves the known figures towards it.
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

// line fits ms = base + slope x tokens by the weighted median of the slopes between pairs: up to a
// quarter of the samples may have waited for something else without distorting it.
//
// Alternatives considered: least squares, where one response that waited two seconds outweighs all the
// others.
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

// median returns the weighted median, or 0 for an empty list.
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

// Merge combines what several nodes learned: for each figure the median, weighted by the samples that
// it is based on. A node whose links are bad doesn't move it.
func Merge(l []Engine) Engine {
	var e Engine
	var reading, first, token []weighted
	for _, v := range l {
		w := float64(v.Samples + 1) // restored figures are based on no samples
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
