package reply

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"

	"github.com/joomcode/errorx"

	"spurhall.example/spurhall/internal/fault"
)

var errs = errorx.NewNamespace("reply")

// errEnded matches io.ErrUnexpectedEOF, too.
var errEnded = errors.Join(ErrEnded, io.ErrUnexpectedEOF)

// ErrEnded means that a connection ended whose end isn't that of a body: not all of the request had reached the other side.
var ErrEnded = errs.NewType("ended").New("the connection ended before all of the request had arrived")

// requestConn is a connection of this package, or one that embeds it.
type requestConn interface {
	beginRequest(body int64)
	endedAnswered() bool
}

// RoundTrip sends a request over a transport whose connections are of this package, and checks the response.
func RoundTrip(t http.RoundTripper, r *http.Request) (*http.Response, error) {
	var w watch
	w.body = max(0, r.ContentLength)
	a, err := t.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: w.gotConn, Got1xxResponse: w.checkInterim})))
	if err != nil {
		return nil, err
	}
	if err := Check(a); err != nil {
		_ = a.Body.Close()
		return nil, err
	}
	if a.Body != http.NoBody {
		a.Body = &body{ReadCloser: a.Body, a: a, w: &w}
	}
	return a, nil
}

// Transport is a round tripper whose responses are checked.
type Transport struct {
	next *http.Transport
}

// NewTransport returns a transport that checks the responses of another one, whose connections it wraps.
func NewTransport(t *http.Transport) *Transport {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = wrapDial(dial)
	return &Transport{next: t}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) { return RoundTrip(t.next, r) }

// CloseIdleConnections closes the connections that no request uses, as http.Client's does.
func (t *Transport) CloseIdleConnections() { t.next.CloseIdleConnections() }

// watch follows the connections of one request: usually one, more if the transport found a reused connection broken.
type watch struct {
	body int64 // length of the request's
	mu   sync.Mutex
	conn requestConn // the last one; nil: none of this package

	interim int // responses before the final one, which are read one after the other
}

func (w *watch) gotConn(i httptrace.GotConnInfo) {
	c, ok := i.Conn.(requestConn)
	if !ok {
		return
	}
	c.beginRequest(w.body)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conn = c
}

func (w *watch) endedAnswered() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.conn == nil || w.conn.endedAnswered()
}

// body is the body of a response whose end is checked.
type body struct {
	io.ReadCloser
	a *http.Response
	w *watch
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF { //nolint:errorlint // an end is never wrapped
		err = b.checkEnd()
	}
	return n, err
}

// checkEnd returns io.EOF if the body has ended as it should.
func (b *body) checkEnd() error {
	if !framed(b.a) && !b.w.endedAnswered() {
		return errEnded
	}
	if err := CheckFields(http.Header(b.a.Trailer)); err != nil {
		return err
	}
	return io.EOF
}

// maxInterim bounds the responses before the final one. net/http bounds their bytes together, unless somebody looks at them: then
// it bounds those of each alone.
const maxInterim = 100

// checkInterim checks the head of a response before the final one. An error ends the exchange.
func (w *watch) checkInterim(_ int, h textproto.MIMEHeader) error {
	if w.interim++; w.interim > maxInterim {
		return fault.Because(ErrMalformed, "more than %d responses came before the final one", maxInterim)
	}
	return CheckFields(http.Header(h))
}

// framed reports whether a response has a length or chunks.
func framed(a *http.Response) bool { return a.ContentLength >= 0 || len(a.TransferEncoding) > 0 }

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// wrapDial wraps the connections that a function opens.
func wrapDial(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
}
