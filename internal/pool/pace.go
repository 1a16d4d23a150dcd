package pool

import (
	"math"
	"time"
)

// This file is how slow an upstream is believed to be, compared with the others of its service.
//
// An answer's time is a part of what was expected, and that part is compared with what the service's
// answers lately had: what is expected may be wrong for all of them. Only an upstream's own answers
// tell of it, and they tell less the longer ago they were: one that isn't used for its slowness would
// never show that it has become faster.
//
// Weighed: a mean over the pool that is held at 1. Each answer that is faster than expected then makes
// all others slower of whom nothing was heard, and on a quiet service one upstream gets everything.

const (
	paceGain = 0.1 // weight of the newest answer
	// paceHalf is the time in which half of what was believed is forgotten. One that is four times as slow
	// as the others is tried again after some five seconds where they are idle, at the price of a few answers.
	paceHalfLife = 2 * time.Second
	// slowest and fastest bound what one answer, or all, can say.
	maxSlowness = 4.0
	minSlowness = 0.5
)

// pace is how slow one upstream is.
type pace struct {
	offset float64 // by how much it differs from 1, the usual, as of then
	at     time.Time
}

// take takes in an answer that took so many times as long as usual.
func (p *pace) observe(now time.Time, x float64) {
	v := p.value(now)
	p.offset, p.at = v+paceGain*(min(maxSlowness, x)-v)-1, now
}

func (p *pace) value(now time.Time) float64 {
	return 1 + p.offset*math.Exp2(-float64(now.Sub(p.at))/float64(paceHalfLife))
}

// slowness is how many times as long as usual its answers take.
func (p *pace) slowness(now time.Time) float64 { return max(minSlowness, p.value(now)) }

// relative takes in an answer's time over the one expected, and returns it over what is usual.
func (s *service) relativeToUsual(x float64) float64 {
	if s.usualRatio == 0 {
		s.usualRatio = x
	}
	s.usualRatio += responseGain * (min(x, maxSlowness*s.usualRatio) - s.usualRatio)
	if s.usualRatio <= 0 {
		return 1
	}
	return x / s.usualRatio
}
