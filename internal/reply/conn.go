package reply

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// Conn is a client's connection that knows how much of the request has reached the other side when reading ends.
type Conn struct {
	net.Conn
	mu       sync.Mutex
	given    uint64 // bytes of writes that have begun
	writing  int    // writes in progress
	failed   bool   // a write has failed
	request  requestEnd
	answered bool // reading has ended, and all of the request had reached the other side
}

// NewConn returns a connection that wraps another one.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.given += uint64(len(b))
	c.writing++
	c.request.give(b)
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing--
	c.failed = c.failed || err != nil
	return n, err
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.answered = c.request.isWhole() && c.delivered()
	}
	return n, err
}

// Delivered reports whether all that was written has reached the other side. A write that is in progress hasn't.
func (c *Conn) Delivered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.delivered()
}

func (c *Conn) delivered() bool {
	if n, known := acknowledged(c.Conn); known {
		return n >= c.given
	}
	return c.writing == 0 && !c.failed
}

// SetLinger sets how a close treats bytes that aren't sent yet, as (*net.TCPConn).SetLinger does.
func (c *Conn) SetLinger(sec int) error {
	if v, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		return v.SetLinger(sec)
	}
	return nil
}

// CloseWrite ends the direction to the other side. The error is errors.ErrUnsupported if it can't be ended alone.
func (c *Conn) CloseWrite() error {
	if v, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return v.CloseWrite()
	}
	return errors.ErrUnsupported
}

// SyscallConn implements syscall.Conn. The error is errors.ErrUnsupported if there is no socket.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return Socket(c.Conn) }

// Socket returns a connection's socket, for connections that wrap others. The error is errors.ErrUnsupported if it has none.
func Socket(c net.Conn) (syscall.RawConn, error) {
	if v, ok := c.(syscall.Conn); ok {
		return v.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// acknowledged returns how many bytes the other side's kernel has acknowledged, if this one's says so. A connection's start may
// count as one of them.
func acknowledged(c net.Conn) (bytes uint64, known bool) {
	r, err := Socket(c)
	if err != nil {
		return 0, false
	}
	err = r.Control(func(fd uintptr) {
		if i, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			bytes = i.Bytes_acked
		}
	})
	return bytes, err == nil && bytes > 0
}

// beginRequest is called before the first byte of a request is written whose body has a length.
func (c *Conn) beginRequest(body int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request, c.answered = requestEnd{body: body}, false
}

// endedAnswered reports whether reading has ended after all of the request had reached the other side.
func (c *Conn) endedAnswered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answered
}

// requestEnd finds the end of a request in what is written.
type requestEnd struct {
	matched int   // bytes of headEnd that the last written ones match
	body    int64 // bytes of the body that aren't written yet
}

const headEnd = "\r\n\r\n"

func (r *requestEnd) give(b []byte) {
	for len(b) > 0 && r.matched < len(headEnd) {
		switch b[0] {
		case headEnd[r.matched]:
			r.matched++
		case headEnd[0]:
			r.matched = 1
		default:
			r.matched = 0
		}
		b = b[1:]
	}
	r.body -= int64(len(b))
}

func (r *requestEnd) isWhole() bool { return r.matched == len(headEnd) && r.body <= 0 }
