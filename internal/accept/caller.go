package accept

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/reply"
	"spurhall.example/spurhall/internal/upstream"
)

// This file follows how far a caller's connection is with its requests, so that a planned stop closes it only between
// two of them.
//
// net/http takes a connection for idle until it has parsed a request's head, and its Shutdown closes idle ones: also
// one of which a request has just been read. Here a request is in progress from its first byte until the server
// reports that its response is written. A connection without one is ended by its read deadline, so that the goroutine
// that reads either has bytes of a request, which is then responded to, or ends the connection.

// longAgo is a deadline that ends a wait at once.
var longAgo = time.Unix(1, 0)

// callerConn is a caller's connection, which counts until it is closed.
type callerConn struct {
	net.Conn
	listener *Listener
	standing standing // guarded by the listener's lock

	mu         sync.Mutex
	closed     bool
	lingers    bool
	ending     Ending                  // who or what ended the connection
	cancel     context.CancelCauseFunc // ends the contexts of its requests; nil: the server has none
	inProgress bool                    // a byte of a request has been read, and its response isn't complete
	answered   bool                    // a byte of that response has been written
	deadline   time.Time               // for reads, as the server has set it
	look       look                    // when it has passed
	bytes      int                     // read of the request in progress
	readAt     time.Time               // when the first of them was read
	waited     time.Duration           // that it had waited in the kernel by then
	responses  int                     // begun on this connection
}

// Read reads what the caller sends.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for errors.Is(err, os.ErrDeadlineExceeded) && c.looksAgain() {
		n, err = c.Conn.Read(b)
	}
	c.recordRead(n, err)
	for _, v := range c.listener.count(c, n) {
		v.giveWay()
	}
	c.checkHandshake(err)
	return n, err
}

// looksAgain reports whether a read is repeated whose deadline has passed: a connection that is to close is looked at again,
// and each other one when its deadline passes.
func (c *callerConn) looksAgain() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	var waiting any // a caller that sends slowly isn't waited for without end
	if c.isClosing() {
		waiting = c.Conn
	} else if c.interrupts() {
		return false
	}
	if !c.look.next(c.listener.clock.Now(), waiting) {
		return false
	}
	_ = c.Conn.SetReadDeadline(c.listener.clock.Wall().Add(lastLook)) // fails only if it is closed
	return true
}

// isClosing reports whether the connection is to close and has no request.
func (c *callerConn) isClosing() bool { return c.listener.draining.Load() && !c.inProgress }

func (c *callerConn) recordRead(n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordReadEnding(err)
	if n == 0 {
		return
	}
	if !c.inProgress {
		c.begin()
		c.waited = upstream.SinceArrival(c.Conn)
	}
	c.bytes += n
}

// begin records that a request has begun to arrive, whose bytes are read until the server's own deadline.
func (c *callerConn) begin() {
	c.look = look{}
	c.inProgress, c.answered, c.bytes, c.readAt, c.waited = true, false, 0, c.listener.clock.Now(), 0
	c.listener.set(c, phaseHead)
	c.deadline = c.listener.within(c, c.deadline)
	_ = c.Conn.SetReadDeadline(c.deadline) // fails only if it is closed
}

// beginBuffered records that a request has begun, also one of which all bytes were read with the request before it.
func (c *callerConn) beginBuffered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inProgress {
		c.begin()
	}
}

// SetReadDeadline sets the deadline of reads, except of a connection that is to close.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline, c.look = c.listener.within(c, t), look{}
	if c.isClosing() {
		return nil
	}
	return c.Conn.SetReadDeadline(c.deadline)
}

// Write writes a part of a response.
func (c *callerConn) Write(b []byte) (int, error) {
	if !c.listener.beginWrite(c) {
		return 0, errGaveWay
	}
	n, err := c.Conn.Write(b)
	for t := (&Taking{c: c}); errors.Is(err, os.ErrDeadlineExceeded) && t.goesOn(); {
		var k int
		k, err = c.Conn.Write(b[n:])
		n += k
	}
	c.listener.endWrite(c)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordEnding(err)
	if n > 0 && c.inProgress && !c.answered {
		c.answered = true
		c.responses++
	}
	return n, err
}

// CloseWrite closes the direction to the caller, so that a reset that follows can't overtake the response.
func (c *callerConn) CloseWrite() error {
	if v, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return v.CloseWrite()
	}
	return nil
}

// SetLinger sets how a close treats bytes that aren't sent yet.
func (c *callerConn) SetLinger(sec int) error { return upstream.SetLinger(c.Conn, sec) }

// SetKeepAliveConfig sets how the kernel looks for an other end that is gone.
func (c *callerConn) SetKeepAliveConfig(k net.KeepAliveConfig) error {
	if v, ok := c.Conn.(interface {
		SetKeepAliveConfig(k net.KeepAliveConfig) error
	}); ok {
		return v.SetKeepAliveConfig(k)
	}
	return nil
}

// SyscallConn implements syscall.Conn.
func (c *callerConn) SyscallConn() (syscall.RawConn, error) { return reply.Socket(c.Conn) }

// completeResponse records that the response is written. If the server already has the first byte of another request,
// the last look finds the rest.
func (c *callerConn) completeResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inProgress = false
	c.listener.set(c, phaseIdle)
	c.closeIfIdle()
}

// drain closes the connection if it has no request, or else once that has its response.
func (c *callerConn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeIfIdle()
}

// closeIfIdle ends the wait for a request if the listener drains.
func (c *callerConn) closeIfIdle() {
	if c.isClosing() {
		_ = c.Conn.SetReadDeadline(longAgo) // fails only if it is closed
	}
}

// Close closes the connection. One that a planned stop closes between two requests is read on for a while.
func (c *callerConn) Close() error {
	if c.beginLinger() {
		go c.linger()
		return nil
	}
	return c.close()
}

func (c *callerConn) close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.closed = true
		c.listener.remove(c)
		if c.ending == EndingNone {
			c.ending = EndingHere
		}
		c.logCut()
		if c.cancel != nil {
			c.cancel(nil)
		}
	}
	return c.Conn.Close()
}

// logCut logs that the connection closes under a request to which no byte of a response was written.
func (c *callerConn) logCut() {
	if !c.inProgress || c.answered {
		return
	}
	callersCut.Add(1)
	l := c.listener
	l.log.Info("caller_cut", zap.Stringer("caller", c.RemoteAddr()), zap.Stringer("ended_by", c.ending), zap.Bool("caller_left", c.ending.CallerLeft()), zap.Int("bytes", c.bytes),
		zap.Duration("waited", c.waited), zap.Duration("after", l.clock.Since(c.readAt)), zap.Int("responses", c.responses))
}

// ObserveState is the http.Server.ConnState of the server on this listener.
func (l *Listener) ObserveState(c net.Conn, s http.ConnState) {
	v, ok := c.(*callerConn)
	switch {
	case !ok:
	case s == http.StateActive:
		v.beginBuffered()
	case s == http.StateIdle:
		v.completeResponse()
	case s == http.StateHijacked:
		l.hijack(v)
	}
}
