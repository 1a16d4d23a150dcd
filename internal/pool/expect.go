package pool

import "time"

// This file states what is expected of an upstream before a request is sent there.

// Expected is what a request is expected to meet at its upstream. Its zero value stands for an upstream
// about which nothing is expected.
type Expected struct {
	Wait    time.Duration // to read the prompts that wait there already; 0 while nothing is known of the service's engines
	Reading time.Duration // to read the request's own prompt, and to make its first event
}

// Expected returns what the request was expected to meet at its engine when it was chosen. It is zero for
// a plain upstream.
func (u *Use) Expected() Expected {
	if !u.engine {
		return Expected{}
	}
	u.p.mu.Lock()
	defer u.p.mu.Unlock()
	e := u.p.engine(u.p.clock.Now(), u.entry.Service)
	slow := max(1, u.choice.Slowness) / u.speed
	x := Expected{Reading: millis(slow * e.FirstEventDelay(u.prompt))}
	if e.Reading > 0 {
		x.Wait = millis(slow * e.PrefillTime(u.choice.Queued))
	}
	return x
}

// SetOutOfTurn records that the engine doesn't take the request in the order of arrival, so that the time
// until its first event isn't that of reading all that was queued. If it overtakes nearly all others, the time
// is that of reading its own prompt; otherwise others overtake it, and its times teach
// nothing of the engine. It is called before the request is sent.
func (u *Use) SetOutOfTurn(overtakes bool) {
	u.p.mu.Lock()
	defer u.p.mu.Unlock()
	u.overtaken = !overtakes
	if overtakes {
		u.reads = u.prompt
		u.usualMs = u.p.engine(u.p.clock.Now(), u.entry.Service).FirstEventDelay(u.reads)
		u.expectedMs = u.usualMs / u.speed
	}
}

func millis(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }
