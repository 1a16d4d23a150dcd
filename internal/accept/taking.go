package accept

import (
	"context"
	"sync"
	"time"

	"spurhall.example/spurhall/internal/upstream"
)

// This file tells whether a caller takes its response, by what its kernel has acknowledged. What is written to a connection says
// less: the kernel takes some MB ahead, and then nothing until a third of them is read, also from a caller who reads all the time.

const (
	// patience is how long a caller may take hardly anything of a response before it is given up, once its deadline has passed or
	// when others need the memory: a segment that was lost three times is sent again within it (0.2, 0.6 and 1.4 s after the
	// first time).
	patience = 2 * time.Second
	// hardly is how many bytes are hardly anything within that time: 64 kbit/s.
	hardly = 16 << 10
	// takingPause is how often a caller is looked at whose deadline has passed.
	takingPause = patience / 4
)

// Taking is how a caller takes one response. It is safe for concurrent use.
type Taking struct {
	c *callerConn

	mu    sync.Mutex
	acked uint64    // when it was last seen to take something
	since time.Time // and when that was, or of the first look; zero: nobody has looked
}

// TakingOf begins to look at the caller of the request with this context; nil: nobody can tell.
func TakingOf(ctx context.Context) *Taking {
	c, ok := ctx.Value(connKey{}).(*callerConn)
	if !ok {
		return nil
	}
	return &Taking{c: c}
}

// Hardly looks at the caller, and returns for how long it has taken hardly anything since the first look; 0: not for patience. A
// process that stood still meanwhile does no harm to it: its acknowledgements count all the same.
func (t *Taking) Hardly() time.Duration {
	d, _ := t.look()
	return d
}

// look is Hardly; known is false if nobody can tell.
func (t *Taking) look() (hardlyFor time.Duration, known bool) {
	acked, more, known := upstream.Acked(t.c.Conn)
	if !known {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.c.listener.clock.Now()
	if t.since.IsZero() || !more || acked-t.acked >= hardly {
		t.acked, t.since = acked, now
	}
	if d := now.Sub(t.since); d >= patience {
		return d, true
	}
	return 0, true
}

// GiveUp closes the connection, so that others get what its response takes.
func (t *Taking) GiveUp() {
	l := t.c.listener
	l.mu.Lock()
	l.markYield(t.c, shortOfResponses)
	l.mu.Unlock()
	t.c.giveWay()
}

// goesOn reports whether a write goes on whose deadline has passed, and until when: its caller takes something.
func (t *Taking) goesOn() bool {
	if d, known := t.look(); !known || d > 0 {
		return false
	}
	return t.c.Conn.SetWriteDeadline(t.c.listener.clock.Wall().Add(takingPause)) == nil
}
