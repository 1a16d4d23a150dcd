package accept

import (
	"bufio"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/upstream"
)

// This file reads on for a while behind the close of a connection in a planned stop. A request that its caller sent before it
// saw the close gets no response, since there is none left to send it on; the line says which one it was, and that it
// reached nobody.

const (
	// lingerTime is how long a closed connection is read on: several round trips, and over before a stop may end.
	lingerTime = 300 * time.Millisecond
	// maxCrossedHead is how many bytes of what arrives are looked at for a request's id.
	maxCrossedHead = 16 << 10
)

// beginLinger reports whether the connection is one that this node closes between two requests in a planned stop, the first
// time.
func (c *callerConn) beginLinger() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.lingers || c.ending != EndingNone || !c.isClosing() {
		return false
	}
	c.lingers = true
	return true
}

// linger closes the direction to the caller, reads until the caller closes its own or the time is over, and closes.
func (c *callerConn) linger() {
	l := c.listener
	at := l.clock.Now()
	_ = c.CloseWrite()                                         // fails only if the connection is gone
	_ = c.Conn.SetReadDeadline(l.clock.Wall().Add(lingerTime)) // likewise
	r := bufio.NewReader(io.LimitReader(c.Conn, maxCrossedHead))
	if _, err := r.Peek(1); err == nil {
		callersCrossed.Add(1)
		d, w := l.clock.Since(at), upstream.SinceArrival(c.Conn)
		l.log.Info("request_crossed", zap.Stringer("caller", c.RemoteAddr()), zap.String("request", l.identify(r)), zap.Duration("after", d), zap.Duration("waited", w), zap.Int("responses", c.responses))
		_, _ = io.Copy(io.Discard, c.Conn) // a reset would end the caller's write of the rest
	}
	_ = c.close() // nobody is left to tell
}

// identify returns the id of a request whose head can be read; empty if it can't, or nobody knows ids.
func (l *Listener) identify(r *bufio.Reader) string {
	q, err := http.ReadRequest(r)
	if err != nil || l.Identify == nil {
		return ""
	}
	return l.Identify(q.Header)
}
