// Package upstream sends requests to upstreams over net/http, and determines after a
// failure whether any byte of the request may have reached the upstream. The caller may
// be told that a request was not run only if none has.
//
// Four properties of net/http's transport matter for this:
//
//   - It resends a request when a reused connection breaks, if it considers the request
//     idempotent. A POST with an Idempotency-Key header and no body counts as such, which
//     would run a proof approval twice. So a request that must not be repeated always
//     has a body that the transport can't rewind (see oneShotBody).
//   - It returns when the context is cancelled although its writer may be about to
//     write. So after a failure the connection is sealed before the writes on it are
//     counted.
//   - It keeps a connection on which more has arrived than the response, and the next
//     request can get it before the transport looks at what is left, which then counts
//     as that request's response. So a request on a reused connection is written only
//     once the transport reads on (see conn.awaitRead), and not at all if the response
//     to it has begun before.
//   - It doesn't follow redirects when used as a transport. That is intended: a redirect
//     is returned to the caller.
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
	"spurhall.example/spurhall/internal/reply"
	"spurhall.example/spurhall/internal/timer"
)

var errs = errorx.NewNamespace("upstream")

var (
	// ErrNotSent means that no byte of the request was sent to the upstream.
	ErrNotSent = errs.NewType("not_sent").New("no byte of the request reached the upstream")
	// ErrWithheld is ErrNotSent where the sender's own check, just before the first byte, found a reason.
	ErrWithheld = fault.Because(ErrNotSent, "it was withheld")
	// ErrRejected means that the upstream rejected the request without running it.
	ErrRejected = errs.NewType("refused").New("the upstream refused the request before running it")
	// ErrMayHaveRun means that the upstream may have run the request.
	ErrMayHaveRun = errs.NewType("lost").New("the upstream gave no whole answer, the request may have run")
	// ErrSevered is ErrMayHaveRun for a connection that the upstream's side closed or reset, as
	// happens when its process ends. It doesn't cover an unresponsive upstream, whether it hangs
	// or is behind a network partition.
	ErrSevered = fault.Because(ErrMayHaveRun, "the upstream closed or reset the connection")
	// ErrRequestMismatch means that the upstream's response has another request's id.
	ErrRequestMismatch = errs.NewType("foreign").New("the upstream's answer belongs to another request")
	// ErrOffset means that a stream started or continued at a wrong offset.
	ErrOffset = errs.NewType("offset").New("the upstream's stream is at a wrong offset")
	// ErrStalled means that the upstream sent nothing for too long.
	ErrStalled = errs.NewType("stalled").New("the upstream was silent for too long")
)

var errSealed = errors.New("connection sealed")

// conn counts each write before it starts, and can be sealed against further writes. It records whether
// its peer has closed or reset the connection.
type conn struct {
	*reply.Conn
	mu      sync.Mutex
	writes  int
	sealed  bool
	severed bool
	closed  bool
	check   func() error // called before the next write; nil: none
	refused error        // of that call
	reading bool         // a Read is in progress
	unread  bool         // the transport hasn't read on since the last response, of which more may have arrived
	changed sync.Cond    // of mu: sealed, closed or unread has changed
}

func newConn(v net.Conn) *conn {
	c := &conn{Conn: reply.NewConn(v)}
	c.changed.L = &c.mu
	return c
}

// Read records that the peer has closed or reset the connection. The transport then closes its own end
// and may be about to write; it returns the error of that write, which doesn't show which end closed
// the connection.
func (c *conn) Read(b []byte) (int, error) {
	c.setReading(true)
	n, err := c.Conn.Read(b)
	c.setReading(false)
	if err != nil && Severed(err) {
		c.mu.Lock()
		c.severed = true
		c.mu.Unlock()
	}
	return n, err
}

func (c *conn) setReading(v bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = v
	if v && c.unread {
		c.unread = false
		c.changed.Broadcast()
	}
}

// awaitRead lets the next write wait until the transport reads on. It reads only when it has nothing left, and closes the
// connection or begins a response when it has.
func (c *conn) awaitRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unread = !c.reading
}

func (c *conn) wasSevered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.severed
}

func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	for c.unread && !c.sealed && !c.closed {
		c.changed.Wait()
	}
	if err := c.begin(); err != nil {
		c.mu.Unlock()
		return 0, err
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// begin returns an error if nothing may be written any more. The connection's lock is held.
func (c *conn) begin() error {
	if c.sealed {
		return errSealed
	}
	if c.closed {
		return net.ErrClosed
	}
	if c.check == nil {
		return nil
	}
	c.refused, c.check = c.check(), nil
	c.sealed = c.refused != nil
	return c.refused
}

// expect sets the check before the next write.
func (c *conn) expect(check func() error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.check = check
}

// refusal returns the error of the check, if it prevented a write.
func (c *conn) refusal() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused
}

// Close resets the connection. After an ordinary close, the kernel continues to deliver the buffered bytes
// of an aborted request: after a network partition, it would reach the upstream when the partition heals,
// seconds after the caller got its response. A request whose response was read completely has arrived, so
// a reset loses nothing.
func (c *conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.changed.Broadcast()
	c.mu.Unlock()
	return errors.Join(SetLinger(c.Conn, 0), c.Conn.Close())
}

func (c *conn) writeCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal prevents further writes and returns the number of writes that have started.
func (c *conn) seal() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	c.changed.Broadcast()
	return c.writes
}

// sealUnless prevents further writes unless one has started after the first n, and reports whether it has sealed.
func (c *conn) sealUnless(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes > n {
		return false
	}
	c.sealed = true
	c.changed.Broadcast()
	return true
}

// connUse records the connections that one request used: usually one, more if the transport
// found a reused connection broken.
type connUse struct {
	mu           sync.Mutex
	conns        []*conn
	writesBefore []int
	seal         bool
	early        bool // a response began before the request was written
	check        func() error
}

func (u *connUse) gotConn(i httptrace.GotConnInfo) {
	c, ok := i.Conn.(*conn)
	if !ok {
		return
	}
	n := c.writeCount()
	c.expect(u.check)
	if i.Reused {
		c.awaitRead()
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.conns = append(u.conns, c)
	u.writesBefore = append(u.writesBefore, n)
}

// gotFirstByte keeps a request from being written if its response has begun before: it is another request's, or nobody's.
func (u *connUse) gotFirstByte() {
	u.mu.Lock()
	defer u.mu.Unlock()
	last := len(u.conns) - 1
	if last >= 0 {
		u.early = u.conns[last].sealUnless(u.writesBefore[last])
	}
}

func (u *connUse) gotEarly() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.early
}

// wrote seals all connections used, and reports whether a write of this request has started
// on any of them.
func (u *connUse) wrote() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	started := false
	for i, c := range u.conns {
		n := c.writeCount()
		if u.seal {
			n = c.seal()
		}
		started = started || n > u.writesBefore[i]
	}
	return started
}

// severed reports whether the peer has closed or reset a connection of this request.
func (u *connUse) severed() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.ContainsFunc(u.conns, (*conn).wasSevered)
}

// refusal returns the error of the check that prevented the request from being written, if it did.
func (u *connUse) refusal() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.conns {
		if err := c.refusal(); err != nil {
			return err
		}
	}
	return nil
}

// maxResponseHeader bounds the header of a response, in bytes, as nodes bound that of a request.
const maxResponseHeader = 64 << 10

// Client sends requests to upstreams.
type Client struct {
	transport *http.Transport
	clock     *timer.Service
	// The measures against resent requests and late writes (see the package comment); tests switch each off
	// to show its effect.
	guardReplay bool
	guardSeal   bool
}

// Options configures a Client.
type Options struct {
	ConnectTimeout time.Duration // for the default of Dial
	IdlePerHost    int
	IdleTimeout    time.Duration // 0: half a minute
	Dial           DialFunc      // opens the connections; nil: over the node's own network
}

// NewClient returns a client.
func NewClient(clock *timer.Service, o Options) *Client {
	if o.Dial == nil {
		o.Dial = NewDialFunc(DialOptions{ConnectTimeout: o.ConnectTimeout})
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = 30 * time.Second
	}
	t := &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			c, err := o.Dial(ctx, address)
			if err != nil {
				return nil, err
			}
			return newConn(c), nil
		},
		MaxIdleConnsPerHost: o.IdlePerHost,
		IdleConnTimeout:     o.IdleTimeout,
		DisableCompression:  true, // bodies pass through as they are
		// What an upstream in trouble sends instead of a header may not end.
		MaxResponseHeaderBytes: maxResponseHeader,
	}
	return &Client{transport: t, clock: clock, guardReplay: true, guardSeal: true}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// RefusesConnections reports whether an address refuses connections, so that no process listens there. It
// is false if the address doesn't respond, as in a network partition.
func (c *Client) RefusesConnections(ctx context.Context, address string) bool {
	v, err := c.transport.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = v.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// Reachable reports whether an address accepts connections. It sends no data.
func (c *Client) Reachable(ctx context.Context, address string) bool {
	v, err := c.transport.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = v.Close()
	return true
}

// oneShotBody is a body that the transport can neither rewind nor treat as absent.
type oneShotBody struct{ io.Reader }

func (oneShotBody) Close() error { return nil }

// Do sends a request once. Its error is ErrNotSent or ErrMayHaveRun; a nil error means
// that the header of a response arrived.
func (c *Client) Do(r *http.Request, repeatable bool) (*http.Response, error) {
	return c.DoChecked(r, repeatable, nil)
}

// DoChecked is Do with a check that is called just before the first byte is written, when a connection is open. If it
// returns an error, nothing is written, and the error is ErrWithheld with its reason. It may be called more than once.
func (c *Client) DoChecked(r *http.Request, repeatable bool, check func() error) (*http.Response, error) {
	u := connUse{seal: c.guardSeal, check: check}
	s := r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: u.gotConn, GotFirstResponseByte: u.gotFirstByte}))
	if !repeatable && c.guardReplay {
		b := s.Body
		if b == nil {
			b = http.NoBody
		}
		s.Body, s.GetBody = oneShotBody{b}, nil
	}
	a, err := reply.RoundTrip(c.transport, s)
	if err == nil && u.gotEarly() {
		_ = a.Body.Close()
		return nil, fault.Because(ErrNotSent, "a response was there before the request")
	}
	if err == nil {
		return a, nil
	}
	wrote := u.wrote()
	if v := u.refusal(); v != nil && !wrote {
		return nil, fault.Because(ErrWithheld, "%v", v)
	}
	switch {
	case !wrote:
		return nil, fault.Because(ErrNotSent, "%v", err)
	case errors.Is(err, net.ErrClosed) && u.severed():
		return nil, fault.Because(ErrSevered, "%v", err)
	}
	return nil, sentError(err)
}

// sentError returns the error for a request that was sent when its connection failed with err.
func sentError(err error) error {
	if Severed(err) {
		return fault.Because(ErrSevered, "%v", err)
	}
	return fault.Because(ErrMayHaveRun, "%v", err)
}

// Severed reports whether an error of a connection means that the peer closed or reset it.
func Severed(err error) bool {
	for _, e := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
