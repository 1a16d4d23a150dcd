package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// gateway is one machine's way to the workers, by the method CONNECT. It can be cut: then what is open is reset and what
// is new is refused, while all other machines reach the workers.
type gateway struct {
	listener net.Listener

	mu   sync.Mutex
	cut  bool
	open map[net.Conn]bool
}

func (r *rig) newGateway() *gateway {
	l, err := net.Listen("tcp", r.base+"1:0")
	r.must(err)
	g := &gateway{listener: l, open: make(map[net.Conn]bool)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go g.serve(c)
		}
	}()
	return g
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (g *gateway) serve(near net.Conn) {
	b := bufio.NewReader(near)
	q, err := http.ReadRequest(b)
	if err != nil {
		_ = near.Close()
		return
	}
	g.mu.Lock()
	cut := g.cut
	g.mu.Unlock()
	var far net.Conn
	if !cut {
		far, err = net.DialTimeout("tcp", q.Host, time.Second)
	}
	if cut || err != nil {
		_, _ = io.WriteString(near, "HTTP/1.1 502 Bad Gateway\r\n\r\n") // the connection is refused
		_ = near.Close()
		return
	}
	g.mu.Lock()
	g.open[near], g.open[far] = true, true
	g.mu.Unlock()
	_, _ = io.WriteString(near, "HTTP/1.1 200 Connection established\r\n\r\n")
	var w sync.WaitGroup
	pump := func(to net.Conn, from io.Reader) {
		defer w.Done()
		if _, err := io.Copy(to, from); err != nil { // an end is passed on as what it was
			reset(near)
			reset(far)
			return
		}
		_ = to.(*net.TCPConn).CloseWrite()
	}
	w.Add(2)
	go pump(far, b)
	go pump(near, far)
	w.Wait()
	_ = near.Close()
	_ = far.Close()
	g.mu.Lock()
	delete(g.open, near)
	delete(g.open, far)
	g.mu.Unlock()
}

// cutOff resets what is open and refuses what is new.
func (g *gateway) cutOff() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut = true
	for c := range g.open {
		reset(c)
	}
}

// restore ends the cut.
func (g *gateway) restore() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut = false
}
