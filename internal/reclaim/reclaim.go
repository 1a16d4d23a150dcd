// Package reclaim decides what becomes of the streams on an upstream that has a
// few seconds left. It is pure.
//
// A stream that will end by itself stays. Of the others, each can go on elsewhere
// at once, and have its prompt and answer computed again there; or its KV cache
// can be exported first, which takes transfer time out of the notice that all
// share. So the exports are ordered by what they save per second of transfer, live
// work first, and stop when the notice is used up. First come first served was
// weighed: it spends the notice on whichever stream is longest.
package reclaim

import (
	"sort"
	"time"
)

// Act is what to do with a stream.
type Action int

// The acts.
const (
	ActionStay   Action = iota // it ends in time
	ActionExport            // export its KV cache, then resume elsewhere
	ActionResume            // resume elsewhere, which computes it again
)

// Stream is a stream on the leaving upstream.
type Stream struct {
	Live     bool
	Tokens   int           // in its KV cache
	MaxRemaining     int           // tokens at most still to come
	TokenTime time.Duration // time between its tokens; 0: not known
	Weight   float64       // what a recomputed token is worth to its workspace
}

// Step is one thing to do, in order.
type Step struct {
	Index int
	Action   Action
}

// Options sets the plan.
type Options struct {
	Notice    time.Duration
	Transfer  time.Duration // per exported token
	Overhead  time.Duration // per export
	FirstCome bool          // baseline: in the order given
	NoExports bool          // baseline: all recompute
}

const (
	defaultTransfer = 10 * time.Microsecond
	defaultOverhead = 5 * time.Millisecond
	// usable is the part of the notice that exports may take; the rest is for the
	// streams to find their new place.
	usableShare = 0.8
	// fewTokens is a KV cache not worth exporting: its prefill is quicker.
	minExportTokens = 16
)

// Plan orders the steps.
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
	var late []Step
	for _, i := range order {
		cost := o.transfer(&list[i])
		if o.NoExports || list[i].Tokens < minExportTokens || cost > budget {
			late = append(late, Step{i, ActionResume})
			continue
		}
		budget -= cost
		steps = append(steps, Step{i, ActionExport})
	}
	// What can't be exported leaves at once, before the exports begin.
	return append(late, steps...)
}

func (o *Options) transfer(s *Stream) time.Duration {
	return o.Overhead + time.Duration(s.Tokens)*o.Transfer
}

// before orders live work first, then by worth saved per second of transfer.
func before(a, b *Stream, o *Options) bool {
	if a.Live != b.Live {
		return a.Live
	}
	x := a.Weight * float64(a.Tokens) / float64(o.transfer(a))
	y := b.Weight * float64(b.Tokens) / float64(o.transfer(b))
	return x > y
}
