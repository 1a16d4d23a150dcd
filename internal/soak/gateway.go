package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"spurhall.example/spurhall/internal/timer"
)

// This file implements a daemon's proxy to its upstreams, by the method CONNECT of HTTP (RFC 9110, section 9.3.6). Unlike a
// link, it can refuse a connection or not answer before the connection is established, as when the network cuts one VM off
// from addresses that others reach.

var errCut = errors.New("the daemon is cut off")

// NewGateway returns a gateway that listens at an address of its own and dials from another. Behind an address that it
// dials may stand a link, which accepts connections whatever listens behind it: behind returns the address of that, or an
// empty string.
func NewGateway(clock *timer.Service, listen, from string, behind func(address string) string) (*Link, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(listen, "0"))
	if err != nil {
		return nil, err
	}
	v := &Link{clock: clock, listener: l, modes: make(map[*Mode]bool), change: make(chan struct{}), open: make(map[*conn]bool)}
	d := &net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	v.connect = func(near net.Conn) (net.Conn, error) { return v.handshake(near, d, behind) }
	go v.accept()
	return v, nil
}

// handshake reads which address is asked for, and opens a connection to it.
func (l *Link) handshake(near net.Conn, d *net.Dialer, behind func(string) string) (net.Conn, error) {
	_ = near.SetReadDeadline(l.clock.Wall().Add(dialTimeout))
	q, err := http.ReadRequest(bufio.NewReader(near)) // the daemon sends nothing more before the answer
	if err != nil {
		return nil, err
	}
	_ = near.SetReadDeadline(time.Time{})
	if l.holdsNew() {
		return nil, answer(near, http.StatusBadGateway, errCut)
	}
	if err := checkListens(behind(q.Host)); err != nil {
		return nil, answer(near, http.StatusBadGateway, err)
	}
	far, err := d.Dial("tcp", q.Host)
	if err != nil {
		return nil, answer(near, http.StatusBadGateway, err)
	}
	if err := answer(near, http.StatusOK, nil); err != nil {
		_ = far.Close()
		return nil, err
	}
	return far, nil
}

// checkListens returns an error if an address refuses connections.
func checkListens(address string) error {
	if address == "" {
		return nil
	}
	c, err := net.DialTimeout("tcp", address, dialTimeout)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return err
	}
	if err == nil {
		_ = c.Close()
	}
	return nil // what else is wrong shows on the connection itself
}

// holdsNew waits while new connections hang, and reports whether they are refused.
func (l *Link) holdsNew() bool {
	for {
		l.mu.Lock()
		hang, refused, change := false, false, l.change
		for m := range l.modes {
			hang, refused = hang || m.NewHang, refused || m.NewRefused
		}
		l.mu.Unlock()
		if !hang {
			return refused
		}
		<-change
	}
}

// answer tells the daemon what became of its connection, ends it if there is a cause, and returns that.
func answer(near net.Conn, status int, cause error) error {
	_, err := io.WriteString(near, fmt.Sprintf("HTTP/1.1 %d %s\r\n\r\n", status, http.StatusText(status)))
	if cause != nil {
		err = errors.Join(cause, err, near.Close())
	}
	return err
}
