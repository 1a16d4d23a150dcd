package accept

import (
	"crypto/tls"
	"errors"
	"io"
	"net"

	"go.uber.org/zap"
)

// This file says what is wrong with a TLS handshake, as net/http does for connections whose type it knows.

// plainHint is the response to a caller that doesn't use TLS.
const plainHint = "HTTP/1.0 400 Bad Request\r\n\r\nClient sent an HTTP request to an HTTPS server.\n"

// checkHandshake logs why a connection's handshake failed, if err is of one.
func (c *callerConn) checkHandshake(err error) {
	t, ok := c.Conn.(*tls.Conn)
	if !ok || err == nil || errors.Is(err, io.EOF) || t.ConnectionState().HandshakeComplete {
		return
	}
	if n, ok := errors.AsType[net.Error](err); ok && n.Timeout() {
		return
	}
	c.listener.log.Info("handshake_failed", zap.Stringer("caller", c.RemoteAddr()), zap.String("cause", err.Error()))
	if r, ok := errors.AsType[tls.RecordHeaderError](err); ok && r.Conn != nil {
		_, _ = io.WriteString(r.Conn, plainHint) // a caller that is gone needs none
	}
}
