package retry

import "time"

// MaxReturnSpread bounds how long after the end of a cooldown callers are told to return: few callers can
// wait longer, and the duration of requests is an estimate. Return times beyond it wrap around to the end
// of the cooldown, so that these callers are spread evenly, too, instead of all returning at the bound.
const MaxReturnSpread = 5 * time.Second

// ReturnSchedule assigns return times to callers that are rejected while no upstream of a service accepts
// requests, because all are in a cooldown or have used up their limits.
//
// Every node rejects all its requests for some seconds in that case. If all callers were told the end of
// the cooldown, they would return at the same moment; most would find no free slot and queue up, and delay
// new requests. Instead, as many callers as there are free slots return at the end of the cooldown, the
// others at the rate at which requests finish. A node uses its own share of the slots and of the rate,
// since it cannot ask the other nodes before it responds.
type ReturnSchedule struct {
	next time.Time
}

// Next returns how long the next caller must wait before it returns. cooldown is the time until the first
// upstream accepts requests; slots is how many requests can start then, and perSecond the rate at which
// more can start from then on.
func (s *ReturnSchedule) Next(now time.Time, cooldown time.Duration, slots, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return cooldown
	}
	end := now.Add(cooldown)
	pace := time.Duration(float64(time.Second) / perSecond)
	if s.next.Before(end) {
		s.next = end
	}
	at := s.next.Add(-time.Duration(max(0, slots-1)) * pace) // one caller per slot returns at once
	s.next = s.next.Add(pace)
	return cooldown + max(0, at.Sub(end))%MaxReturnSpread
}
