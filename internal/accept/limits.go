package accept

import (
	"time"

	"spurhall.example/spurhall/internal/catalog"
)

// This file holds callers to what the operators' configuration says of heads. The server's own limits hold besides, and alone until
// there is a configuration.
//
// Alternatives considered: to close what is idle for longer than the configuration has it. Idle connections give way when places run
// short; before that, to close one helps nobody, and a request that a slow network brings late would cross the close.

// headLate is how much later than its caller sent it a part of a head may arrive: segments are sent again, and links are slow.
const headLate = 5 * time.Second

// headSlack is how many bytes behind a head may be read with it, as net/http does.
const headSlack = 4 << 10

// SetLimits sets the limits from now on; where one is 0, the server's holds alone.
func (l *Listener) SetLimits(v catalog.Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits = v
}

// beyondLimit reports whether so many bytes are more than a head may have.
func (l *Listener) beyondLimit(bytes int64) bool {
	return l.limits.MaxHeaderBytes > 0 && bytes > int64(l.limits.MaxHeaderBytes+headSlack)
}

// within returns a deadline that the server sets, or when a head that is on its way has to be whole, if that is earlier. A deadline
// that bounds nothing, or interrupts a read, stays as it is.
func (l *Listener) within(c *callerConn, t time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.standing.phase != phaseHead || l.limits.HeaderTimeout == 0 || t.IsZero() || !t.After(longAgo) {
		return t
	}
	if v := l.clock.Wall().Add(l.limits.HeaderTimeout + headLate); v.Before(t) {
		return v
	}
	return t
}
