package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"spurhall.example/spurhall/internal/upstream"
)

// silenceBorne is how long a sound VM may be silent: a second or so.
const silenceBorne = 1500 * time.Millisecond

// brokenAt returns when Linux gives up a connection on which bytes last arrived at 0 and whose peer neither gets nor sends
// anything in a span; 0: never. At each probe it gives up if the last bytes are as old as the user time-out and a probe
// has gone unanswered, whatever the number of probes (tcp(7), TCP_USER_TIMEOUT).
func brokenAt(from, to, userTimeout time.Duration) time.Duration {
	last, unanswered := time.Duration(0), false
	for now := upstream.ProbeAfter; now < time.Minute; {
		if unanswered && now-last >= userTimeout {
			return now
		}
		if now >= from && now < to {
			unanswered = true
			now += upstream.ProbeInterval
			continue
		}
		if now >= to {
			return 0 // answered: the silence is over
		}
		last = now
		now += upstream.ProbeAfter
	}
	return 0
}

// TestASilentSecondBreaksNoConnection guards against a user time-out that gives a connection up at the second probe.
func TestASilentSecondBreaksNoConnection(t *testing.T) {
	limit := DialOptions().AckTimeout
	assert.Greater(t, limit, silenceBorne, "bytes that are sent during the silence")
	for from := time.Duration(0); from < 3*time.Second; from += 10 * time.Millisecond {
		for long := 100 * time.Millisecond; long <= silenceBorne; long += 100 * time.Millisecond {
			assert.Zero(t, brokenAt(from, from+long, limit), "silent for %v from %v on", long, from)
		}
	}
	assert.NotZero(t, brokenAt(0, time.Hour, limit), "a VM that is gone")
}
