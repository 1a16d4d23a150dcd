// Package reclaim plans what happens to the streams on an upstream that will be reclaimed within
// seconds. It is pure.
//
// A stream that will end by itself in time stays. Each of the others can resume elsewhere at once,
// where its prompt and output are computed again; or its KV cache can be exported first, which takes
// transfer time out of the notice that all streams share. So the exports are ordered by the computation
// that they save per second of transfer, live requests first, and stop when the notice is used up.
//
// Alternatives considered: first come, first served, which spends the notice on whichever stream is
// longest.
package reclaim

import (
	"sort"
	"time"
)

// Action is what to do with a stream.
type Action int

// The actions.
const (
	ActionStay   Action = iota // it ends in time
	ActionExport               // export its KV cache, then resume elsewhere
	ActionResume               // resume elsewhere, which computes it again
)

// Stream is a stream on the leaving upstream.
type Stream struct {
	Live         bool
	Tokens       int           // in its KV cache
	MaxRemaining int           // maximum number of tokens still to come
	TokenTime    time.Duration // time between its tokens; 0: not known
	Weight       float64       // value of a recomputed token to its workspace
}

// Step is one action of a plan.
type Step struct {
	Index  int
	Action Action
}

// Options configures a plan.
type Options struct {
	Notice    time.Duration
	Transfer  time.Duration // per exported token
	Overhead  time.Duration // per export
	FirstCome bool          // baseline: export in the given order
	NoExports bool          // baseline: all streams are recomputed
}

const (
	defaultTransfer = 10 * time.Microsecond
	defaultOverhead = 5 * time.Millisecond
	// usableShare is the part of the notice that exports may use; the rest is for the streams to resume
	// elsewhere.
	usableShare = 0.8
	// minExportTokens is the size of a KV cache below which an export is slower than its prefill.
	minExportTokens = 16
)

// Plan returns one step for each stream, in the order in which to run them.
func Plan(list []Stream, o Options) []Step {
	if o.Transfer == 0 {
		o.Transfer = defaultTransfer
	}
	if o.Overhead == 0 {
		o.Overhead = defaultOverhead
	}
	order := make([]int, 0, len(list))
	steps := make([]Step, 0, len(list))
	budget := time.Duration(usableShare * float64(o.Notice))
	for i := range list {
		s := &list[i]
		if s.TokenTime > 0 && s.TokenTime*time.Duration(s.MaxRemaining) < budget {
			steps = append(steps, Step{i, ActionStay})
			continue
		}
		order = append(order, i)
	}
	if !o.FirstCome {
		sort.SliceStable(order, func(a, b int) bool { return before(&list[order[a]], &list[order[b]], &o) })
	}
	var resumed []Step
	for _, i := range order {
		cost := o.transfer(&list[i])
		if o.NoExports || list[i].Tokens < minExportTokens || cost > budget {
			resumed = append(resumed, Step{i, ActionResume})
			continue
		}
		budget -= cost
		steps = append(steps, Step{i, ActionExport})
	}
	// Streams that can't be exported resume elsewhere at once, before the exports start.
	return append(resumed, steps...)
}

func (o *Options) transfer(s *Stream) time.Duration {
	return o.Overhead + time.Duration(s.Tokens)*o.Transfer
}

// before orders live requests first, then by the value saved per second of transfer.
func before(a, b *Stream, o *Options) bool {
	if a.Live != b.Live {
		return a.Live
	}
	x := a.Weight * float64(a.Tokens) / float64(o.transfer(a))
	y := b.Weight * float64(b.Tokens) / float64(o.transfer(b))
	return x > y
}
