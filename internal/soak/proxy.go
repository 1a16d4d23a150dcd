package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"spurhall.example/spurhall/internal/timer"
)

// Mode is how a link treats what passes, as long as one fault is in force.
type Mode struct {
	Delay   time.Duration
	Silent  bool            // nothing passes
	Old     time.Time       // nothing passes on connections that were open then; zero: none
	OneWay  bool            // nothing comes back
	Sources map[string]bool // nothing passes from these, by the names of their processes; nil: none
	// NewHang and NewRefused say what becomes of attempts to connect; gateways alone can tell.
	NewHang    bool
	NewRefused bool
}

func (m *Mode) holds(c *conn, back bool) bool {
	return m.Silent || m.OneWay && back || c.opened.Before(m.Old) || m.Sources[c.source]
}

// Link is a proxy to one address. What it holds back passes once the fault is over, as what a network has lost is
// sent again; an end that it holds back isn't seen either.
type Link struct {
	clock    *timer.Service
	listener net.Listener
	source   func(c net.Conn) string // who dials; nil: nobody asks
	connect  func(near net.Conn) (net.Conn, error)

	mu     sync.Mutex
	modes  map[*Mode]bool // in force
	change chan struct{}  // closed when they change
	open   map[*conn]bool
	far    *Bandwidth // of the VM that the link leads to; nil: no bound
	near   *Bandwidth // of the one that dials
}

// conn is one connection through a link.
type conn struct {
	near, far net.Conn
	opened    time.Time
	source    string
}

// NewLink returns a link that listens at an address of its own.
func NewLink(clock *timer.Service, listen, to string, source func(net.Conn) string) (*Link, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(listen, "0"))
	if err != nil {
		return nil, err
	}
	v := &Link{clock: clock, listener: l, source: source, modes: make(map[*Mode]bool), change: make(chan struct{}), open: make(map[*conn]bool)}
	v.connect = func(net.Conn) (net.Conn, error) { return net.DialTimeout("tcp", to, dialTimeout) }
	go v.accept()
	return v, nil
}

// Address is where the link listens.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Add puts a mode in force beside those that are, until the returned function is called.
func (l *Link) Add(m Mode) (end func()) {
	l.alter(func() { l.modes[&m] = true })
	return func() { l.alter(func() { delete(l.modes, &m) }) }
}

func (l *Link) alter(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
	close(l.change)
	l.change = make(chan struct{})
}

// Reset resets the connections that are open.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		c.reset()
	}
}

// Close ends the link and all that passes.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.Reset()
	l.alter(func() { clear(l.modes) })
}

func (c *conn) reset() {
	for _, v := range []net.Conn{c.near, c.far} {
		if t, ok := v.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = v.Close()
	}
}

const dialTimeout = 5 * time.Second

func (l *Link) accept() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return // closed
		}
		go l.serve(near)
	}
}

func (l *Link) serve(near net.Conn) {
	c := &conn{near: near, opened: l.clock.Now()}
	if l.source != nil {
		c.source = l.source(near)
	}
	far, err := l.connect(near)
	if err != nil {
		c.far = near
		c.reset() // as whoever listens nowhere answers
		return
	}
	c.far = far
	l.mu.Lock()
	l.open[c] = true
	l.mu.Unlock()
	var w sync.WaitGroup
	w.Go(func() { l.pump(c, near, far, false) })
	w.Go(func() { l.pump(c, far, near, true) })
	w.Wait()
	l.mu.Lock()
	delete(l.open, c)
	l.mu.Unlock()
	_ = near.Close()
	_ = far.Close()
}

const chunk = 16 << 10

// pump passes one direction on. An end is passed on as what it was.
func (l *Link) pump(c *conn, from, to net.Conn, back bool) {
	b := make([]byte, chunk)
	bounds := l.bandwidths()
	for {
		n, err := from.Read(b)
		l.pace(bounds, n, back)
		l.wait(c, back)
		if n > 0 && wasReset(from) {
			c.reset()
			return
		}
		if n > 0 {
			if _, e := to.Write(b[:n]); e != nil {
				c.reset()
				return
			}
		}
		if err == io.EOF {
			if t, ok := to.(*net.TCPConn); ok {
				_ = t.CloseWrite()
			}
			return
		}
		if err != nil {
			c.reset()
			return
		}
	}
}

// wasReset reports whether a connection's peer has reset it: what it sent before is lost, and mustn't be passed on.
func wasReset(c net.Conn) bool {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return false
	}
	r, err := t.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = r.Control(func(fd uintptr) {
		i, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && i.State == unix.BPF_TCP_CLOSE
	})
	return err == nil && closed
}

// wait holds something back as long as the modes say.
func (l *Link) wait(c *conn, back bool) {
	for {
		l.mu.Lock()
		held, late, change := false, time.Duration(0), l.change
		for m := range l.modes {
			held = held || m.holds(c, back)
			late = max(late, m.Delay)
		}
		l.mu.Unlock()
		if held {
			<-change
			continue
		}
		if late > 0 {
			_ = l.clock.Sleep(context.Background(), late) // never ends early
		}
		return
	}
}
