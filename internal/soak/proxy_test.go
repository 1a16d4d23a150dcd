package soak

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"spurhall.example/spurhall/internal/timer"
)

// echo answers each line with the line.
func echo(t *testing.T) string {
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
				r := bufio.NewReader(c)
				for {
					line, err := r.ReadString('\n')
					if err != nil {
						_ = c.Close()
						return
					}
					_, _ = c.Write([]byte(line))
				}
			}()
		}
	}()
	return l.Addr().String()
}

func newEchoLink(t *testing.T, source func(net.Conn) string) *Link {
	l, err := NewLink(timer.Real(), "127.0.0.1", echo(t), source)
	require.NoError(t, err)
	t.Cleanup(l.Close)
	return l
}

func dial(t *testing.T, l *Link) net.Conn {
	c, err := net.Dial("tcp", l.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// assertPasses checks whether a line comes back soon.
func assertPasses(t *testing.T, c net.Conn, want bool) {
	t.Helper()
	d := 10 * time.Second
	if !want {
		d = 100 * time.Millisecond
	}
	require.NoError(t, c.SetDeadline(time.Now().Add(d)))
	_, err := c.Write([]byte("x\n"))
	require.NoError(t, err)
	_, err = c.Read(make([]byte, 8))
	assert.Equal(t, want, err == nil, "%v", err)
}

func TestLinks(t *testing.T) {
	t.Run("what is held back passes later", func(t *testing.T) {
		for _, m := range []Mode{{Silent: true}, {OneWay: true}} {
			l := newEchoLink(t, nil)
			c := dial(t, l)
			assertPasses(t, c, true)
			end := l.Add(m)
			assertPasses(t, c, false)
			end()
			assertPasses(t, c, true)
		}
	})
	t.Run("open connections alone", func(t *testing.T) {
		l := newEchoLink(t, nil)
		old := dial(t, l)
		assertPasses(t, old, true)
		defer l.Add(Mode{Old: time.Now().Add(time.Millisecond)})()
		time.Sleep(2 * time.Millisecond)
		assertPasses(t, old, false)
		assertPasses(t, dial(t, l), true)
	})
	t.Run("some sources alone", func(t *testing.T) {
		for _, who := range []string{"a", "b"} {
			l := newEchoLink(t, func(net.Conn) string { return who })
			defer l.Add(Mode{Sources: map[string]bool{"a": true}})()
			assertPasses(t, dial(t, l), who == "b")
		}
	})
	t.Run("resets", func(t *testing.T) {
		l := newEchoLink(t, nil)
		c := dial(t, l)
		assertPasses(t, c, true)
		l.Reset()
		_, err := c.Read(make([]byte, 1))
		assert.ErrorContains(t, err, "reset")
	})
	t.Run("modes of several faults hold together", func(t *testing.T) {
		l := newEchoLink(t, nil)
		c := dial(t, l)
		first, second := l.Add(Mode{Silent: true}), l.Add(Mode{Silent: true})
		first()
		assertPasses(t, c, false)
		second()
		assertPasses(t, c, true)
	})
}

// TestSource: the process at the other end of a connection is found by what the kernel knows.
func TestSource(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	near, err := l.Accept()
	require.NoError(t, err)
	i, err := peerSocket(near)
	require.NoError(t, err)
	found := false
	fds, err := os.ReadDir("/proc/self/fd")
	require.NoError(t, err)
	for _, f := range fds {
		to, err := os.Readlink(filepath.Join("/proc/self/fd", f.Name()))
		found = found || err == nil && to == fmt.Sprintf("socket:[%d]", i)
	}
	assert.True(t, found)
}

func TestJournal(t *testing.T) {
	path := filepath.Join(t.TempDir(), "events")
	none, err := ReadJournal(path)
	require.NoError(t, err)
	assert.Empty(t, none)
	j, err := OpenJournal(path)
	require.NoError(t, err)
	require.NoError(t, j.Note(Event{What: Began, ID: "a"}))
	f, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
	require.NoError(t, err)
	_, err = f.WriteString(`{"what":"beg`)
	require.NoError(t, err)
	list, err := ReadJournal(path)
	require.NoError(t, err)
	assert.Equal(t, []Event{{What: Began, ID: "a"}}, list)
}

// TestWhatWasResetIsntPassedOn guards against bytes that reach an upstream although their sender had reset the connection
// while a link held them.
func TestWhatWasResetIsntPassedOn(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	l, err := NewLink(timer.Real(), "127.0.0.1", listener.Addr().String(), nil)
	require.NoError(t, err)
	t.Cleanup(l.Close)
	near := dial(t, l)
	far, err := listener.Accept()
	require.NoError(t, err)
	over := l.Add(Mode{Silent: true})
	_, err = near.Write([]byte("given up\n"))
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond) // it is at the link
	require.NoError(t, near.(*net.TCPConn).SetLinger(0))
	require.NoError(t, near.Close())
	time.Sleep(50 * time.Millisecond)
	over()
	require.NoError(t, far.SetReadDeadline(time.Now().Add(5*time.Second)))
	b := make([]byte, 16)
	n, err := far.Read(b)
	assert.Error(t, err, "%q", b[:n])
}
