// Package tunnel opens connections through another process, by the method CONNECT of HTTP (RFC 9110, section 9.3.6),
// and serves them. A tunnel carries bytes both ways until one end is over; an end is forwarded as what it was, so that
// whoever uses a tunnel can tell a reset from a close, also when the process in between is killed.
//
//	tunnel.go  opens and serves tunnels
//	frame.go   marks the regular end of a tunnel's bytes
package tunnel

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/joomcode/errorx"

	"spurhall.example/spurhall/internal/fault"
	"spurhall.example/spurhall/internal/reply"
	"spurhall.example/spurhall/internal/timer"
	"spurhall.example/spurhall/internal/upstream"
)

var errs = errorx.NewNamespace("tunnel")

var (
	// ErrUnavailable means that the other process opens no tunnel, whatever the address.
	ErrUnavailable = errs.NewType("unavailable").New("the process opens no tunnel")
	// ErrNoAnswer means that the other process didn't answer in time: it or the address may be slow, or silent.
	ErrNoAnswer = errs.NewType("no_answer").New("the process has not answered in time")
	// ErrUnreachable means that the other process couldn't reach the address.
	ErrUnreachable = errs.NewType("unreachable").New("the address can't be reached through the process")
	// ErrRefused means that the address refused the other process's connection. It matches syscall.ECONNREFUSED, too.
	ErrRefused = errs.NewType("refused").New("the address refuses connections")
	// ErrCut means that the connection to the other process ended, and the tunnel's bytes didn't. It matches
	// syscall.ECONNRESET, too.
	ErrCut = errs.NewType("cut").New("the tunnel broke off")
	// ErrLate means that what the caller of a tunnel sent waited in this process for too long.
	ErrLate = errs.NewType("late").New("what the caller sent waited unread for too long")
)

// The statuses of an answer to CONNECT.
const (
	statusRefused     = http.StatusBadGateway
	statusUnreachable = http.StatusGatewayTimeout
	statusUnavailable = http.StatusServiceUnavailable
)

const (
	bufferSize        = 16 << 10
	maxHead           = 16 << 10 // bytes of an answer to CONNECT
	established       = "HTTP/1.1 200 Connection established\r\n\r\n"
	establishedFrames = "HTTP/1.1 200 Connection established\r\n" + framesHeader + ": " + framesValue + "\r\n\r\n"
)

// Open asks the node at the other end of a connection for a tunnel to an address. It closes the connection if it fails.
// The context bounds the time until the tunnel is open. A node of a build that sends no frames can't say what ended the
// tunnel's bytes: each end counts as broken off then, since a part of a response mustn't look whole.
func Open(ctx context.Context, c net.Conn, address string) (net.Conn, error) {
	r, header, err := handshake(ctx, c, "CONNECT "+address+" HTTP/1.1\r\nHost: "+address+"\r\n"+framesHeader+": "+framesValue+"\r\n\r\n")
	if err != nil {
		return nil, err
	}
	if header.Get(framesHeader) != framesValue {
		return &conn{Conn: c, r: r, endsCut: true}, nil
	}
	return &framedConn{Conn: c, r: r}, nil
}

// OpenThroughProxy is Open for a proxy that isn't a node: its end of a connection counts as the address's.
func OpenThroughProxy(ctx context.Context, c net.Conn, address string) (net.Conn, error) {
	r, _, err := handshake(ctx, c, "CONNECT "+address+" HTTP/1.1\r\nHost: "+address+"\r\n\r\n")
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, r: r}, nil
}

// handshake sends the head of a request for a tunnel, and closes the connection unless the tunnel is open in time.
func handshake(ctx context.Context, c net.Conn, head string) (*bufio.Reader, http.Header, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	r, header, err := exchange(c, head)
	if !stop() {
		err = fault.Because(ErrNoAnswer, "%v", context.Cause(ctx))
	}
	if err != nil {
		_ = c.Close()
		return nil, nil, err
	}
	return r, header, nil
}

func exchange(c net.Conn, head string) (*bufio.Reader, http.Header, error) {
	if _, err := io.WriteString(c, head); err != nil {
		return nil, nil, fault.Because(ErrUnavailable, "%v", err)
	}
	l := &io.LimitedReader{R: c, N: maxHead}
	r := bufio.NewReader(l)
	a, err := http.ReadResponse(r, &http.Request{Method: http.MethodConnect})
	if err != nil {
		return nil, nil, fault.Because(ErrUnavailable, "%v", err)
	}
	if err := reply.Check(a); err != nil {
		return nil, nil, fault.Because(ErrUnavailable, "%v", err)
	}
	l.N = math.MaxInt64 // what follows is the tunnel's
	switch a.StatusCode {
	case http.StatusOK:
		return r, a.Header, nil
	case statusRefused:
		return nil, nil, errors.Join(ErrRefused, syscall.ECONNREFUSED)
	case statusUnreachable:
		return nil, nil, ErrUnreachable
	}
	return nil, nil, fault.Because(ErrUnavailable, "it answered %d", a.StatusCode)
}

// conn is the near end of a tunnel without frames.
type conn struct {
	net.Conn
	r       *bufio.Reader // may hold bytes that arrived with the answer to CONNECT
	endsCut bool          // each end counts as broken off
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.r.Read(b)
	if c.endsCut {
		err = cutAtEOF(err)
	}
	return n, err
}

// SetLinger sets how a close treats bytes that aren't sent yet.
func (c *conn) SetLinger(sec int) error { return upstream.SetLinger(c.Conn, sec) }

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) { return reply.Socket(c.Conn) }

// CloseWrite ends the direction to the far end.
func (c *conn) CloseWrite() error { return CloseWrite(c.Conn) }

// Reject answers a request for a tunnel that this process doesn't open.
func Reject(w http.ResponseWriter, reason string) { http.Error(w, reason, statusUnavailable) }

// RejectDial answers a request for a tunnel whose address couldn't be reached.
func RejectDial(w http.ResponseWriter, err error) {
	status := statusUnreachable
	if errors.Is(err, syscall.ECONNREFUSED) {
		status = statusRefused
	}
	http.Error(w, err.Error(), status)
}

// ServeOptions configures a served tunnel.
type ServeOptions struct {
	Clock      *timer.Service
	AckTimeout time.Duration // for which a caller may leave bytes unacknowledged before it counts as gone
	// MaxWait is how long what the caller sends may wait here because this process isn't scheduled: what it was sent by
	// may have changed since, and it is dropped with the tunnel. 0: for ever.
	MaxWait time.Duration
}

// Serve connects the caller of a request for a tunnel with the connection to its address, until one of them is over, or
// what the caller sends has waited for too long (ErrLate). It closes both. When the context ends, it resets both: a
// process that ends without that closes them in order, which a build without frames takes for a regular end.
func Serve(ctx context.Context, w http.ResponseWriter, r *http.Request, far net.Conn, o ServeOptions) error {
	raw, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		_ = far.Close()
		return err
	}
	var near net.Conn = &conn{Conn: raw, r: buffered.Reader}
	head := established
	if r.Header.Get(framesHeader) == framesValue {
		near, head = &framedConn{Conn: raw, r: buffered.Reader}, establishedFrames
	}
	err = upstream.DetectSilence(raw, o.AckTimeout)
	if err == nil {
		_, err = io.WriteString(raw, head)
	}
	if err != nil {
		reset(near, far)
		return err
	}
	far = reply.NewConn(far)
	defer context.AfterFunc(ctx, func() { reset(near, far) })()
	var g sync.WaitGroup
	var late error
	g.Go(func() { late = pump(near, far, &wait{o: o, conn: raw}) })
	g.Go(func() { _ = pump(far, near, nil) }) // nothing waits too long without a bound
	g.Wait()
	return errors.Join(late, near.Close(), far.Close())
}

// wait measures how long what a connection sends waits unread; nil measures nothing.
type wait struct {
	o     ServeOptions
	conn  net.Conn
	began time.Time
}

// begin records that the connection is about to be read. What arrived before waited for this process to be done with what
// came before it, and is on time: the other end takes it slowly.
func (w *wait) begin() {
	if w != nil {
		w.began = w.o.Clock.Now()
	}
}

// check returns ErrLate if what was just read waited for longer than it may.
func (w *wait) check() error {
	if w == nil || w.o.MaxWait == 0 {
		return nil
	}
	if d := min(upstream.SinceArrival(w.conn), w.o.Clock.Since(w.began)); d > w.o.MaxWait {
		return fault.Because(ErrLate, "%v", d.Round(time.Millisecond))
	}
	return nil
}

// pump copies what arrives on one connection to the other, and then forwards the end. It fails only with ErrLate, and
// has then dropped both.
func pump(from, to net.Conn, v *wait) error {
	b := make([]byte, bufferSize)
	for {
		v.begin()
		k, err := from.Read(b)
		if k > 0 {
			if late := v.check(); late != nil {
				reset(from, to)
				return late
			}
			if _, e := to.Write(b[:k]); e != nil {
				reset(from, to)
				return nil
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			if endAfter(from, to) != nil { // it can't be told, or is over: the tunnel is over, too
				reset(from, to)
			}
			return nil
		case err != nil:
			reset(from, to)
			return nil
		}
	}
}

// endAfter ends a direction whose other connection has ended. It isn't a regular end if not all that was sent there had arrived:
// a reset that a write was told of looks like an end to a read.
func endAfter(from, to net.Conn) error {
	v, asks := from.(*reply.Conn)
	f, frames := to.(*framedConn)
	if asks && frames && !v.Delivered() {
		return CloseWrite(f.Conn)
	}
	return CloseWrite(to)
}

// CloseWrite ends the direction to the peer, as (*net.TCPConn).CloseWrite does; errors.ErrUnsupported: the connection
// can't end one direction alone.
func CloseWrite(c net.Conn) error {
	if v, ok := c.(interface{ CloseWrite() error }); ok {
		return v.CloseWrite()
	}
	return errors.ErrUnsupported
}

// reset closes both connections without sending what is buffered: a request that its sender has given up mustn't arrive.
func reset(list ...net.Conn) {
	for _, c := range list {
		_ = upstream.SetLinger(c, 0)
		_ = c.Close()
	}
}
