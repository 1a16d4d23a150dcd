// Package speed estimates how fast each upstream of a service is, relative to the service's other upstreams, from
// what all nodes together see of it.
//
// It answers a fleet whose upstreams differ lastingly: all that one of them does takes, say, 0.6 or 1.6 times as
// long as at another, while a single node of a large fleet sees each of them a few times in ten seconds.
//
// Each node divides the time of a response by the time that was expected, with the queue that it knew of. The
// ratio is noisy, and mostly in one direction: a request may have waited behind others that the node didn't know
// of, or while the upstream was slow for a moment, but it can't have been served faster than the upstream works.
// So a low quantile of the ratios is compared, not their mean (Observer). A ratio counts relative to the node's own
// usual one, at all upstreams, so that a node behind a slow link says nothing about upstreams; and a node's weight
// at one upstream is bounded, so that a faulty node alone can't change what is believed (Joiner).
//
// Nodes report what they have seen in the form of decayed histograms: the newest report of a node replaces its
// former one, so lost, repeated and reordered reports do no harm. A Joiner adds the histograms of the nodes that
// report to it. Joiners send each other the estimates of their own nodes (Part), and all nodes the resulting
// figures (Figure). The weight of everything halves every ten seconds; what isn't seen any more is the usual again.
//
// A figure leaves the usual only if it differs by more than the ratios' own spread explains, and by a fixed share:
// equal upstreams remain equal.
//
// Alternatives considered: the mean of the ratios, which a queue that is unknown to the nodes moves as much as the
// speed does; the time per token after the first event, alone or as well, which finds the speeds no better and depends
// on how much an engine reads beside it and on how many of its tokens a response has (docs/design/speed.md).
// Counting responses at the relays alone: relays don't see responses.
//
// The package is pure: time is passed in.
package speed

import (
	"math"
	"time"

	"spurhall.example/spurhall/internal/retry"
)

const (
	// halfLife is the time in which the weight of what was seen halves: long enough for the responses of a busy
	// upstream to outweigh their noise, short enough for a figure to be forgotten within a minute.
	halfLife = 10 * time.Second
	// quantile is the quantile of the ratios that is compared: of responses that hardly waited.
	quantile = 0.3
	// lowQuantile and highQuantile are the quantiles around it that its error is derived from.
	lowQuantile, highQuantile = 0.15, 0.45
	// nodeWeight is the greatest weight of one node at one upstream, in responses, and nodeFactor the greatest in
	// upper quartiles of the weights of all nodes there.
	nodeWeight = 12
	nodeFactor = 2
	// minNodes is the least number of nodes that must have seen an upstream that differs, at all joiners.
	minNodes = 3
	// nodeTTL is how long what a node has seen counts at a joiner that it doesn't report to any more.
	nodeTTL = 2 * time.Second
	// silentTTL is how long a node or receiver that isn't heard is remembered.
	silentTTL = time.Minute
	// minWeight is the weight from which a figure may leave the usual. No two nodes have it.
	minWeight = 25
	// keptWeight is the weight below which a figure that has left the usual returns to it, gradually from minWeight on.
	// No single node has it.
	keptWeight = 15
	// priorWeight is the weight of the usual that each estimate is averaged with.
	priorWeight = 2
	// band is the natural logarithm of the least ratio that counts as a difference, about a sixth, and bandErrors the
	// number of standard errors that it must exceed as well.
	band       = 0.16
	bandErrors = 4.0
	// lastingAfter is how long the evidence must say that an upstream differs. Queues that nodes don't know of last, so
	// that ratios which follow each other err alike.
	lastingAfter = 5 * time.Second
	// keptShare is the share of these limits within which a figure returns to the usual.
	keptShare = 0.4
	// minSpread is the least spread of ratios that is assumed, as a logarithm: equal times show no error.
	minSpread = 0.3
	// maxLog bounds figures: an upstream counts as at most that much faster or slower.
	maxLog = 1.1
	// minUsual is the weight of a node's ratios from which its usual one is known.
	minUsual = 10
	// leastWeight is the weight below which what was seen is dropped.
	leastWeight = 0.2
	// changedBy is the difference of a figure's logarithm from which it is sent again.
	changedBy = 0.04
	// refreshEvery is how often an unchanged figure or part is sent again; receivers keep a figure for FigureTTL.
	refreshEvery = 8 * time.Second
	// FigureTTL is how long a figure counts that isn't sent again.
	FigureTTL = 40 * time.Second
	// partEvery is how often the part of an upstream is sent to another joiner at most, and partTTL how long it
	// counts there. Its weight halves as everything's does.
	partEvery = 2 * time.Second
	partTTL   = 40 * time.Second
	// centreEvery is the time in which all figures are computed anew in turn, for those that fade.
	centreEvery = 3 * time.Second
	// combineEvery is how often an upstream's figure is computed anew at most.
	combineEvery = time.Second
	// reportedFor is how long what a node saw of an upstream is part of its reports: a few rounds.
	reportedFor = 700 * time.Millisecond
	// maxSeen, maxParts and maxFigures bound one message, and maxUpstreams and maxHistograms what is kept.
	maxSeen       = 64
	maxParts      = 32
	maxFigures    = 64
	maxUpstreams  = 12_000
	maxHistograms = 16_000
	maxNodes      = 1000 // in a part
)

// Seen is what one node has seen of an upstream.
type Seen struct {
	Upstream retry.Incarnation
	Ratios   Histogram
}

// Part is what the nodes of one joiner have seen of an upstream.
type Part struct {
	Upstream retry.Incarnation
	Log      float64 // logarithm of the ratio
	Spread   float64 // of the ratios: the error of Log is Spread over the root of Weight
	Weight   float64 // in responses
	Nodes    int     // that have seen it; 0: none does any more
}

// Figure is what all nodes together know of an upstream.
type Figure struct {
	Upstream retry.Incarnation
	Speed    float64 // times as fast as usual; 1: not known to differ
	Weight   float64 // evidence, in responses
}

// Usual reports whether the upstream isn't known to differ from the usual.
func (f Figure) Usual() bool { return f.Speed == 1 }

// Valid returns the figure with its values bounded, as for one from a faulty node.
func (f Figure) Valid() Figure {
	if !(f.Speed > 0) || math.IsInf(f.Speed, 0) {
		f.Speed = 1
	}
	f.Speed = min(max(f.Speed, math.Exp(-maxLog)), math.Exp(maxLog))
	if !(f.Weight > 0) || math.IsInf(f.Weight, 0) {
		f.Weight = 0
	}
	return f
}

// valid reports whether a part's values are possible ones.
func (p Part) valid() bool {
	return math.Abs(p.Log) <= 2*histogramLimit && p.Spread > 0 && p.Spread < 100 && p.Weight > 0 && p.Weight < 1e6 && p.Nodes > 0 && p.Nodes <= maxNodes
}

// decay returns the share of a weight that is left after a time.
func decay(d time.Duration) float64 { return math.Exp2(-float64(d) / float64(halfLife)) }
