package uplink

import (
	"net"
	"slices"
	"sync"
	"syscall"

	"spurhall.example/spurhall/internal/reply"
	"spurhall.example/spurhall/internal/tunnel"
	"spurhall.example/spurhall/internal/upstream"
)

// directConn is a connection over the node's own network. It tells when bytes arrive.
type directConn struct {
	net.Conn
	u *Uplink
}

// Read implements net.Conn.
func (c *directConn) Read(b []byte) (int, error) {
	k, err := c.Conn.Read(b)
	if k > 0 {
		c.u.paths.Heard(c.u.o.Clock.Now())
	}
	return k, err
}

// SyscallConn implements syscall.Conn.
func (c *directConn) SyscallConn() (syscall.RawConn, error) { return reply.Socket(c.Conn) }

// SetLinger sets how a close treats bytes that aren't sent yet.
func (c *directConn) SetLinger(sec int) error { return upstream.SetLinger(c.Conn, sec) }

// CloseWrite ends the direction to the upstream.
func (c *directConn) CloseWrite() error { return tunnel.CloseWrite(c.Conn) }

// peerConn is a connection through another node.
type peerConn struct {
	net.Conn
	closed func()
}

func (u *Uplink) newPeerConn(peer string, c net.Conn) *peerConn {
	u.countUsed(peer, 1)
	return &peerConn{Conn: c, closed: sync.OnceFunc(func() { u.countUsed(peer, -1) })}
}

// SyscallConn implements syscall.Conn.
func (c *peerConn) SyscallConn() (syscall.RawConn, error) { return reply.Socket(c.Conn) }

// SetLinger sets how a close treats bytes that aren't sent yet.
func (c *peerConn) SetLinger(sec int) error { return upstream.SetLinger(c.Conn, sec) }

// Close implements net.Conn.
func (c *peerConn) Close() error {
	c.closed()
	return c.Conn.Close()
}

func (u *Uplink) countUsed(peer string, by int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.used[peer] += by
	if u.used[peer] == 0 {
		delete(u.used, peer)
	}
}

// Uses reports whether a connection goes through one of the nodes.
func (u *Uplink) Uses(nodes []string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.ContainsFunc(nodes, func(n string) bool { return u.used[n] > 0 })
}
