package upstream

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// This file opens connections to upstreams, and detects the ones whose peer no longer answers.

// DialFunc opens a connection to a TCP address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// DialOptions configures the connections that NewDialFunc opens.
type DialOptions struct {
	ConnectTimeout time.Duration
	// AckTimeout is how long a peer's kernel may leave bytes or probes unacknowledged
	// before its connections count as broken; 0: the system's default, many minutes.
	AckTimeout time.Duration
	// ReadBuffer is the size of the kernel's read buffer in bytes; 0: the kernel's own.
	ReadBuffer int
}

// NewDialFunc returns a function that opens connections over the node's own network.
func NewDialFunc(o DialOptions) DialFunc {
	d := &net.Dialer{Timeout: o.ConnectTimeout}
	if o.AckTimeout > 0 {
		d.KeepAliveConfig = keepAlive
	}
	d.Control = func(_, _ string, c syscall.RawConn) error { return o.set(c) }
	return func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
}

// set sets the options of a connection that isn't open yet: its peer is told of the read buffer as it opens.
func (o *DialOptions) set(c syscall.RawConn) error {
	var list []error
	if o.AckTimeout > 0 {
		list = append(list, setUserTimeout(c, o.AckTimeout))
	}
	if o.ReadBuffer > 0 {
		list = append(list, setOption(c, syscall.SOL_SOCKET, syscall.SO_RCVBUF, o.ReadBuffer))
	}
	return errors.Join(list...)
}

// ProbeAfter is how long a connection is idle before it is probed, and ProbeInterval the time between two probes: whole
// seconds, which the kernel counts in.
const (
	ProbeAfter    = time.Second
	ProbeInterval = time.Second
)

// keepAlive probes idle connections. The number of probes has no effect beside the user time-out, by which the kernel
// decides when it gives up (tcp(7)).
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: ProbeAfter, Interval: ProbeInterval, Count: 9}

// DetectSilence makes a connection that was accepted count as broken as those do that NewDialFunc opens.
func DetectSilence(c net.Conn, ackTimeout time.Duration) error {
	t, ok := c.(interface {
		syscall.Conn
		SetKeepAliveConfig(k net.KeepAliveConfig) error
	})
	if !ok {
		return nil
	}
	r, err := t.SyscallConn()
	if errors.Is(err, errors.ErrUnsupported) {
		return nil
	}
	if err != nil {
		return err
	}
	return errors.Join(t.SetKeepAliveConfig(keepAlive), setUserTimeout(r, ackTimeout))
}

// SetLinger sets how a close treats bytes that aren't sent yet, as (*net.TCPConn).SetLinger does.
func SetLinger(c net.Conn, sec int) error {
	if l, ok := c.(interface{ SetLinger(sec int) error }); ok {
		return l.SetLinger(sec)
	}
	return nil
}

// setUserTimeout sets how long sent bytes may stay unacknowledged: a connection to a VM that lost
// power or is partitioned would otherwise hang.
func setUserTimeout(c syscall.RawConn, d time.Duration) error {
	return setOption(c, syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
}

func setOption(c syscall.RawConn, level, name, value int) error {
	var err error
	e := c.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), level, name, value) })
	return errors.Join(e, err)
}

// tcpUserTimeout is TCP_USER_TIMEOUT of tcp(7), which package syscall doesn't define.
const tcpUserTimeout = 18
