package tunnel

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"syscall"

	"spurhall.example/spurhall/internal/reply"
	"spurhall.example/spurhall/internal/upstream"
)

// This file gives a tunnel's bytes a regular end. When the process in between is killed, its kernel closes both
// connections in order, as if the other end had closed: where a response ends with its connection, a part of it would look
// whole. So both ends of a tunnel send frames: a length of four bytes, big-endian, and as many bytes; a frame without
// bytes ends the direction. A connection that ends without it has broken off.

const (
	// framesHeader asks for frames in a request for a tunnel, and grants them in the response: a build that doesn't know
	// it serves bare bytes.
	framesHeader = "Tunnel-Frames"
	framesValue  = "1"

	frameHeaderSize = 4 // bytes
)

// errCut is ErrCut, which matches syscall.ECONNRESET, too.
var errCut = errors.Join(ErrCut, syscall.ECONNRESET)

// framedConn is one end of a connection that carries frames.
type framedConn struct {
	net.Conn
	r     *bufio.Reader
	left  uint32 // bytes of the current frame that aren't read yet
	ended bool   // the last frame has been read
}

// Read implements net.Conn. It returns io.EOF only after the other end has ended the direction.
func (c *framedConn) Read(b []byte) (int, error) {
	if c.left == 0 {
		if err := c.nextFrame(); err != nil {
			return 0, err
		}
	}
	n, err := c.r.Read(b[:min(len(b), int(c.left))])
	c.left -= uint32(n)
	return n, cutAtEOF(err)
}

// nextFrame reads the length of a frame. A read that is interrupted by a deadline may be repeated.
func (c *framedConn) nextFrame() error {
	if c.ended {
		return io.EOF
	}
	h, err := c.r.Peek(frameHeaderSize)
	if err != nil {
		return cutAtEOF(err)
	}
	c.left = binary.BigEndian.Uint32(h)
	_, _ = c.r.Discard(frameHeaderSize) // they are in the buffer
	if c.left == 0 {
		c.ended = true
		return io.EOF
	}
	return nil
}

// Write implements net.Conn.
func (c *framedConn) Write(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	h := binary.BigEndian.AppendUint32(make([]byte, 0, frameHeaderSize), uint32(len(b)))
	v := net.Buffers{h, b}
	n, err := v.WriteTo(c.Conn)
	return int(max(0, n-frameHeaderSize)), err
}

// CloseWrite ends the direction to the other end.
func (c *framedConn) CloseWrite() error {
	if _, err := c.Conn.Write(make([]byte, frameHeaderSize)); err != nil {
		return err
	}
	return CloseWrite(c.Conn)
}

// SyscallConn implements syscall.Conn.
func (c *framedConn) SyscallConn() (syscall.RawConn, error) { return reply.Socket(c.Conn) }

// SetLinger sets how a close treats bytes that aren't sent yet.
func (c *framedConn) SetLinger(sec int) error { return upstream.SetLinger(c.Conn, sec) }

// cutAtEOF returns an error of reading a connection whose regular end is marked.
func cutAtEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return errCut
	}
	return err
}
