package accept

import (
	"context"
	"errors"
	"io"
	"os"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
)

// ErrEndOfStop ends the requests that are still in progress when a node's time to stop is over: their callers are told
// whether they may have run.
var ErrEndOfStop = errorx.NewNamespace("accept").NewType("end_of_stop").New("the node's time to stop is over")

// This file tells who or what ended a caller's connection. net/http ends a request's context for each failure to read its
// connection alike, and a planned stop ends it too, so that an ended context doesn't say that the caller has left.

// Ending is who or what ended a caller's connection.
type Ending int

// The endings of a connection. The first one that is seen counts.
const (
	EndingNone     Ending = iota // it is open
	EndingClosed                 // the caller closed it, or its own direction of it
	EndingReset                  // the caller, or the network, reset it
	EndingLost                   // the caller's host no longer acknowledges
	EndingDeadline               // a deadline of this node passed
	EndingFailed                 // a read or write failed otherwise
	EndingHere                   // this node closed it
)

// String returns the name used in logs.
func (e Ending) String() string {
	return [...]string{"open", "caller_closed", "caller_reset", "caller_lost", "deadline", "failed", "node_closed"}[e]
}

// CallerLeft reports whether the caller was seen to leave: nobody reads a response.
func (e Ending) CallerLeft() bool {
	return e == EndingClosed || e == EndingReset || e == EndingLost
}

// endingOf returns what an error of a read or write says.
func endingOf(err error) Ending {
	switch {
	case err == nil:
		return EndingNone
	case errors.Is(err, io.EOF):
		return EndingClosed
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return EndingReset
	case errors.Is(err, syscall.ETIMEDOUT), errors.Is(err, syscall.EHOSTUNREACH), errors.Is(err, syscall.ENETUNREACH):
		return EndingLost
	case errors.Is(err, os.ErrDeadlineExceeded):
		return EndingDeadline
	}
	return EndingFailed
}

// recordEnding records what a read's or write's error says of the connection's end.
func (c *callerConn) recordEnding(err error) {
	if c.ending == EndingNone && !c.closed {
		c.ending = endingOf(err)
	}
}

// recordReadEnding is recordEnding for a read. One that was interrupted by its deadline being set into the past says nothing.
func (c *callerConn) recordReadEnding(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) && (c.interrupts() || c.isClosing()) {
		return
	}
	c.recordEnding(err)
}

// interrupts reports whether the deadline that the server has set is to interrupt a read, not to bound it.
func (c *callerConn) interrupts() bool { return c.deadline.IsZero() || !c.deadline.After(longAgo) }

// EndingOf returns how the connection of the request with this context has ended, and whether that is known.
func EndingOf(ctx context.Context) (e Ending, known bool) {
	c, ok := ctx.Value(connKey{}).(*callerConn)
	if !ok {
		return EndingNone, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending, true
}

// setCancel keeps the function that ends the contexts of the connection's requests.
func (c *callerConn) setCancel(f context.CancelCauseFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel = f
}

// interrupt ends the contexts of the connection's requests.
func (c *callerConn) interrupt(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancel != nil {
		c.cancel(cause)
	}
}

// interruptWait bounds how long Interrupt waits for the responses of requests whose handlers have nothing to wait for any
// more.
const interruptWait = 200 * time.Millisecond

// Interrupt ends the contexts of all requests in progress, has the listener drain, and waits until each request has its
// response, or for a short time.
func (l *Listener) Interrupt(cause error) {
	_ = l.Drain() // fails only if it is closed: then it has drained
	for _, c := range l.open() {
		c.interrupt(cause)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer l.clock.AfterFunc(interruptWait, cancel)()
	_ = l.wait(ctx) // what isn't closed by then is cut, and logged so
}
