package reply

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// scriptedConn is a connection whose writes take some bytes and then fail, after which reading brings a response and an end.
type scriptedConn struct {
	net.Conn
	takes  int // bytes; negative: all
	answer string
	mu     sync.Mutex
	opened chan struct{} // closed once a write has failed, or all is written
	once   sync.Once
	want   int
}

func (c *scriptedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.want -= len(b)
	if c.takes >= 0 && c.takes < len(b) {
		c.once.Do(func() { close(c.opened) })
		return c.takes, syscall.ECONNRESET
	}
	if c.takes >= 0 {
		c.takes -= len(b)
	}
	if c.want <= 0 {
		c.once.Do(func() { close(c.opened) })
	}
	return len(b), nil
}

func (c *scriptedConn) Read(b []byte) (int, error) {
	<-c.opened
	c.mu.Lock()
	defer c.mu.Unlock()
	n := copy(b, c.answer)
	if c.answer = c.answer[n:]; n == 0 {
		return 0, io.EOF
	}
	return n, nil
}

func (c *scriptedConn) Close() error { return nil }

const uploadSize = 3 << 20

// TestEndAfterAFailedWriteLooksLikeTheEndOfABody guards against a part of a response that looks whole: a reset is told once, and
// if a write is told, a read sees an end.
func TestEndAfterAFailedWriteLooksLikeTheEndOfABody(t *testing.T) {
	read := func(t *testing.T, takes int, head string) (string, error) {
		t.Helper()
		const request = "PUT / HTTP/1.1\r\nHost: h\r\n\r\n"
		c := NewConn(&scriptedConn{takes: takes, answer: head + "half", opened: make(chan struct{}), want: 1000 + len(request)})
		c.beginRequest(1000)
		_, _ = io.WriteString(c, request)
		_, _ = c.Write(bytes.Repeat([]byte("u"), 1000))
		a, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		b, err := io.ReadAll(&body{ReadCloser: a.Body, a: a, w: &watch{conn: c}})
		return string(b), err
	}
	const bare, length = "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
	t.Run("the body's write fails", func(t *testing.T) {
		_, err := read(t, 400, bare)
		assert.ErrorIs(t, err, ErrEnded)
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	})
	t.Run("the head's write fails", func(t *testing.T) {
		_, err := read(t, 4, bare)
		assert.ErrorIs(t, err, ErrEnded)
	})
	t.Run("all was written", func(t *testing.T) {
		b, err := read(t, -1, bare)
		assert.NoError(t, err)
		assert.Equal(t, "half", b)
	})
	t.Run("the response has a length", func(t *testing.T) {
		b, err := read(t, 400, length)
		assert.NoError(t, err)
		assert.Equal(t, "half", b)
	})
}

// earlyServer answers requests as a function does, on a connection whose kernel takes little that isn't read.
func earlyServer(t *testing.T, f func(c *net.TCPConn, r *bufio.Reader)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				f(c.(*net.TCPConn), bufio.NewReaderSize(c, 4096))
			}()
		}
	}()
	return l.Addr().String()
}

// upload sends a long body, and returns the response's.
func upload(t *http.Transport, address string) (string, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/", strings.NewReader(strings.Repeat("u", uploadSize)))
	if err != nil {
		return "", err
	}
	a, err := NewTransport(t).RoundTrip(r)
	if err != nil {
		return "", err
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(a.Body)
	return string(b), err
}

// TestEarlyResponseThatBreaksOffLooksWhole guards against a part of a response to an upload that is still being written.
func TestEarlyResponseThatBreaksOffLooksWhole(t *testing.T) {
	const bare, length = "HTTP/1.1 200 OK\r\n\r\nhalf", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhalf"
	pause := func() { time.Sleep(20 * time.Millisecond) }
	for _, c := range []struct {
		name   string
		answer string
		after  func(c *net.TCPConn, r *bufio.Reader) // the response
		reads  bool                                  // all of the upload before the response
		whole  bool
	}{
		{"a reset", bare, func(c *net.TCPConn, _ *bufio.Reader) { pause(); _ = c.SetLinger(0) }, false, false},
		{"a reset at once", bare, func(c *net.TCPConn, _ *bufio.Reader) { _ = c.SetLinger(0) }, false, false},
		{"an end, and a reset later", bare, func(c *net.TCPConn, _ *bufio.Reader) { _ = c.CloseWrite(); pause(); _ = c.SetLinger(0) }, false, false},
		{"an end, and nothing more is read for long", bare, func(c *net.TCPConn, _ *bufio.Reader) { _ = c.CloseWrite(); time.Sleep(time.Second) }, false, false},
		{"an end after the upload", bare, func(*net.TCPConn, *bufio.Reader) {}, true, true},
		{"its length, and the upload is read on", length, func(_ *net.TCPConn, r *bufio.Reader) { _, _ = io.CopyN(io.Discard, r, uploadSize) }, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			address := earlyServer(t, func(v *net.TCPConn, r *bufio.Reader) {
				q, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				if c.reads {
					_, _ = io.Copy(io.Discard, q.Body)
				}
				_, _ = io.WriteString(v, c.answer)
				c.after(v, r)
			})
			var g sync.WaitGroup
			for range 24 {
				g.Go(func() {
					b, err := upload(&http.Transport{DisableKeepAlives: true}, address)
					if c.whole {
						assert.NoError(t, err)
						assert.Equal(t, "half", b)
						return
					}
					assert.Error(t, err, "%q looks whole", b)
				})
			}
			g.Wait()
		})
	}
}

func TestRequestEnd(t *testing.T) {
	for _, c := range []struct {
		name  string
		body  int64
		parts []string
		whole bool
	}{
		{"no byte", 0, nil, false},
		{"a head alone", 0, []string{"GET / HTTP/1.1\r\nA: b\r\n\r\n"}, true},
		{"a part of one", 0, []string{"GET / HTTP/1.1\r\nA: b\r\n\r"}, false},
		{"a head in parts", 0, []string{"GET / HTTP/1.1\r", "\n\r", "\n"}, true},
		{"line ends that aren't one", 0, []string{"a\r\n\r\r\nb\r\n\n"}, false},
		{"a body", 3, []string{"a\r\n\r\nab", "c"}, true},
		{"a part of one", 3, []string{"a\r\n\r\nab"}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := requestEnd{body: c.body}
			for _, p := range c.parts {
				r.give([]byte(p))
			}
			assert.Equal(t, c.whole, r.isWhole())
		})
	}
}

func TestConnWithoutASocket(t *testing.T) {
	a, b := net.Pipe()
	defer func() { _, _ = a.Close(), b.Close() }()
	c := NewConn(a)
	_, err := c.SyscallConn()
	assert.ErrorIs(t, err, errors.ErrUnsupported)
	assert.ErrorIs(t, c.CloseWrite(), errors.ErrUnsupported)
	assert.NoError(t, c.SetLinger(0))
	assert.True(t, c.Delivered())
}
