package accept

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"
)

// This file follows what has been read from a caller's connection and not been responded to, so that a connection
// that is closed under a request is logged with who closed it.

// callerConn is a caller's connection, which counts until it is closed.
type callerConn struct {
	net.Conn
	listener *Listener

	mu         sync.Mutex
	closed     bool
	callerLeft bool      // a read has failed: the caller closed or reset the connection
	unanswered int       // bytes read since the last byte was written
	readAt     time.Time // when the first of them was read
	responses  int       // times that a response was begun
}

// Read reads what the caller sends.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 && c.unanswered == 0 {
		c.readAt = c.listener.clock.Now()
	}
	c.unanswered += n
	if err != nil && !c.closed && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.callerLeft = true
	}
	return n, err
}

// Write writes a part of a response.
func (c *callerConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 && c.unanswered > 0 {
		c.unanswered = 0
		c.responses++
	}
	return n, err
}

// Close closes the connection.
func (c *callerConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.closed = true
		callersOpen.Set(c.listener.open.Add(-1))
		c.logCut()
	}
	return c.Conn.Close()
}

// logCut logs that the connection closes under a request to which no byte of a response was written.
func (c *callerConn) logCut() {
	if c.unanswered == 0 {
		return
	}
	callersCut.Add(1)
	l := c.listener
	l.log.Info("caller_cut", zap.Stringer("caller", c.RemoteAddr()), zap.Bool("caller_left", c.callerLeft), zap.Int("bytes", c.unanswered),
		zap.Duration("after", l.clock.Since(c.readAt)), zap.Int("responses", c.responses))
}
