package standin

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"spurhall.example/spurhall/internal/timer"
)

// This file stands in for a process that isn't scheduled in time: what has arrived for it waits in the kernel.

// LateListener is a TCP listener whose connections are read late.
type LateListener struct {
	net.Listener
	clock *timer.Service
	delay atomic.Int64 // of each read, as a time.Duration
}

// NewLateListener returns a listener that isn't late yet.
func NewLateListener(l net.Listener, clock *timer.Service) *LateListener {
	return &LateListener{Listener: l, clock: clock}
}

// SetDelay sets how late each read is that begins from now on.
func (l *LateListener) SetDelay(d time.Duration) { l.delay.Store(int64(d)) }

// Accept implements net.Listener.
func (l *LateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lateConn{TCPConn: c.(*net.TCPConn), listener: l}, nil
}

type lateConn struct {
	*net.TCPConn
	listener *LateListener
}

// Read implements net.Conn.
func (c *lateConn) Read(b []byte) (int, error) {
	_ = c.listener.clock.Sleep(context.Background(), time.Duration(c.listener.delay.Load())) // nothing ends it
	return c.TCPConn.Read(b)
}
