// Package upstream sends requests to upstreams over net/http, and knows after a
// failure whether any byte of the request may have reached them. "Not run" may
// only be told when none has.
//
// Three habits of net/http's transport stand in the way, and each has its guard
// here:
//
//   - It sends a request again by itself when a reused connection breaks, if it
//     takes the request for idempotent. A POST with an Idempotency-Key header and
//     no body counts as such, which would run a proof approval twice. So a request
//     that may not be repeated always carries a body of a kind the transport can't
//     rewind (see once).
//   - It returns on a cancelled context while its writer may be just about to
//     write. So after a failure the connection is sealed first, and only then
//     asked whether a write had begun.
//   - It follows no redirects by itself when used as a transport, which is wanted:
//     an upstream's redirect is the caller's to follow.
package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/joomcode/errorx"

	"spurhall.example/spurhall/internal/fault"
	"spurhall.example/spurhall/internal/timer"
)

var errs = errorx.NewNamespace("upstream")

var (
	// ErrNotSent says that no byte of the request left for the upstream.
	ErrNotSent = errs.NewType("not_sent").New("no byte of the request reached the upstream")
	// ErrRefused says that the upstream itself refused before running the request.
	ErrRejected = errs.NewType("refused").New("the upstream refused the request before running it")
	// ErrLost says that the upstream may have run the request.
	ErrMayHaveRun = errs.NewType("lost").New("the upstream gave no whole answer, the request may have run")
	// ErrSevered is ErrLost where the upstream's end of the connection was closed or reset, as
	// it is when its process ends. Silence, of a way that was cut or of an upstream that
	// hangs, isn't that.
	ErrSevered = fault.Because(ErrMayHaveRun, "the upstream closed or reset the connection")
	// ErrForeign says that the upstream answered with another request's id.
	ErrRequestMismatch = errs.NewType("foreign").New("the upstream's answer belongs to another request")
	// ErrOffset says that a stream began or went on at a wrong offset.
	ErrOffset = errs.NewType("offset").New("the upstream's stream is at a wrong offset")
	// ErrStalled says that the upstream was silent for too long.
	ErrStalled = errs.NewType("stalled").New("the upstream was silent for too long")
)

var errSealed = errors.New("connection sealed")

// conn notes each write before it begins, and can be sealed against further ones. It remembers that
// its other end has ended it.
type conn struct {
	net.Conn
	mu      sync.Mutex
	writes  int
	sealed  bool
	severed bool
}

// Read notes that the other end has closed or reset the connection. The transport closes its own end
// then, and may be about to write: what it returns is that write's error, which tells nothing of who
// ended the connection.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil && Severed(err) {
		c.mu.Lock()
		c.severed = true
		c.mu.Unlock()
	}
	return n, err
}

func (c *conn) wasSevered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.severed
}

func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// Close resets the connection. One that is closed goes on delivering what the kernel holds of a request
// that was given up: over a way that was cut, it reaches its upstream when the cut heals, seconds after its
// caller was answered. An answer that was read whole shows that its request had arrived, so nothing is lost.
func (c *conn) Close() error {
	var e error
	if t, ok := c.Conn.(*net.TCPConn); ok {
		e = t.SetLinger(0)
	}
	return errors.Join(e, c.Conn.Close())
}

func (c *conn) writeCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal forbids further writes and returns how many had begun.
func (c *conn) seal() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes
}

// use is one request's use of connections: usually one, more if the transport
// found that a reused one was dead.
type connUse struct {
	mu    sync.Mutex
	conns []*conn
	writesBefore  []int
	seal  bool
}

func (u *connUse) gotConn(i httptrace.GotConnInfo) {
	c, ok := i.Conn.(*conn)
	if !ok {
		return
	}
	n := c.writeCount()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.conns = append(u.conns, c)
	u.writesBefore = append(u.writesBefore, n)
}

// wrote seals every connection used and tells whether a write of this request had
// begun on any.
func (u *connUse) wrote() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	any := false
	for i, c := range u.conns {
		n := c.writeCount()
		if u.seal {
			n = c.seal()
		}
		any = any || n > u.writesBefore[i]
	}
	return any
}

// severed tells whether the other end of a connection in use has ended it.
func (u *connUse) severed() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.ContainsFunc(u.conns, (*conn).wasSevered)
}

// Client sends to upstreams.
type Client struct {
	transport *http.Transport
	clock     *timer.Service
	// The guards of the habits above; a test takes each out to show what it is for.
	guardReplay bool
	guardSeal bool
}

// Options sets a client.
type Options struct {
	ConnectTimeout time.Duration
	IdlePerHost    int
	IdleTimeout    time.Duration // 0: half a minute
	// Silence is how long a peer's kernel may leave bytes or probes unacknowledged
	// before its connections count as broken; 0: the system's own, many minutes.
	AckTimeout time.Duration
}

// NewClient returns a client.
func NewClient(clock *timer.Service, o Options) *Client {
	d := &net.Dialer{Timeout: o.ConnectTimeout}
	if o.AckTimeout > 0 {
		d.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}
		d.Control = setUserTimeout(o.AckTimeout)
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = 30 * time.Second
	}
	t := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := d.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: c}, nil
		},
		MaxIdleConnsPerHost: o.IdlePerHost,
		IdleConnTimeout:     o.IdleTimeout,
		DisableCompression:  true, // bodies pass through as they are
	}
	return &Client{transport: t, clock: clock, guardReplay: true, guardSeal: true}
}

// userTimeout sets how long sent bytes may stay unacknowledged: a VM that lost power or
// is cut off says nothing, and a connection to it would hang.
func setUserTimeout(d time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var err error
		e := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
		})
		return errors.Join(e, err)
	}
}

// tcpUserTimeout is TCP_USER_TIMEOUT of tcp(7), which package syscall doesn't name.
const tcpUserTimeout = 18

// Close ends the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Refuses tells whether an address refuses connections: nobody listens there. Silence, of a way
// that is cut, isn't that.
func (c *Client) RefusesConnections(ctx context.Context, address string) bool {
	v, err := c.transport.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = v.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// Reachable tells whether a connection can be made to an address. It sends nothing.
func (c *Client) Reachable(ctx context.Context, address string) bool {
	v, err := c.transport.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = v.Close()
	return true
}

// once is a body that the transport can't rewind or take for absent.
type oneShotBody struct{ io.Reader }

func (oneShotBody) Close() error { return nil }

// Do sends a request once. Its error is ErrNotSent or ErrLost; a nil error means
// that an answer's header arrived.
func (c *Client) Do(r *http.Request, repeatable bool) (*http.Response, error) {
	u := connUse{seal: c.guardSeal}
	s := r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: u.gotConn}))
	if !repeatable && c.guardReplay {
		b := s.Body
		if b == nil {
			b = http.NoBody
		}
		s.Body, s.GetBody = oneShotBody{b}, nil
	}
	a, err := c.transport.RoundTrip(s)
	if err == nil {
		return a, nil
	}
	switch {
	case !u.wrote():
		return nil, fault.Because(ErrNotSent, "%v", err)
	case errors.Is(err, net.ErrClosed) && u.severed():
		return nil, fault.Because(ErrSevered, "%v", err)
	}
	return nil, sentError(err)
}

// lost is what a connection's error means for a request that was sent.
func sentError(err error) error {
	if Severed(err) {
		return fault.Because(ErrSevered, "%v", err)
	}
	return fault.Because(ErrMayHaveRun, "%v", err)
}

// Severed tells whether an error of a connection means that its other end was closed or
// reset.
func Severed(err error) bool {
	for _, e := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
