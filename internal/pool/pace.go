package pool

import (
	"math"
	"time"
)

// This file estimates how slow an upstream is compared with the others of its service.
//
// A response time is divided by the expected one, and the ratio compared with the ratios of the service's
// recent responses, since the expectation may be off for all upstreams. Only an upstream's own responses
// count, and they count less as they age: an upstream that is avoided for its slowness could otherwise
// never show that it has become faster.
//
// Alternatives considered: normalizing the pool's mean to 1. Each response that is faster than expected
// would then make every upstream without a recent response look slower, and on a quiet service one
// upstream would get all requests.

const (
	paceGain = 0.1 // weight of the newest response
	// paceHalfLife is the time after which half of an estimate is forgotten. An upstream that is four
	// times as slow as the others is used again after about five seconds if the others are idle, at the
	// cost of a few slow responses.
	paceHalfLife = 2 * time.Second
	// maxSlowness and minSlowness bound the effect of one response and of all of them.
	maxSlowness = 4.0
	minSlowness = 0.5
)

// pace is the slowness of one upstream.
type pace struct {
	offset float64 // difference from 1, the usual value, at that time
	at     time.Time
}

// observe records a response that took x times as long as usual.
func (p *pace) observe(now time.Time, x float64) {
	v := p.value(now)
	p.offset, p.at = v+paceGain*(min(maxSlowness, x)-v)-1, now
}

func (p *pace) value(now time.Time) float64 {
	return 1 + p.offset*math.Exp2(-float64(now.Sub(p.at))/float64(paceHalfLife))
}

// slowness returns how many times as long as usual the upstream's responses take.
func (p *pace) slowness(now time.Time) float64 { return max(minSlowness, p.value(now)) }

// relativeToUsual records the ratio of a response time to the expected one, and returns it relative to the
// usual ratio.
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
