package tunnel

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"spurhall.example/spurhall/internal/timer"
)

// serveVariable makes the test's program a process that serves tunnels.
const serveVariable = "TUNNEL_TEST_SERVE"

func TestMain(m *testing.M) {
	if os.Getenv(serveVariable) == "" {
		os.Exit(m.Run())
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		os.Exit(1)
	}
	fmt.Println(l.Addr())
	_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, err := net.Dial("tcp", r.Host)
		if err != nil {
			RejectDial(w, err)
			return
		}
		_ = Serve(context.Background(), w, r, c, ServeOptions{Clock: timer.Real(), AckTimeout: time.Second})
	}))
}

// startServer starts a process that serves tunnels.
func startServer(t *testing.T) (p *os.Process, address string) {
	t.Helper()
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), serveVariable+"=1")
	out, err := c.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, c.Start())
	t.Cleanup(func() { _ = c.Process.Kill(); _ = c.Wait() })
	line, err := bufio.NewReader(out).ReadString('\n')
	require.NoError(t, err)
	return c.Process, strings.TrimSpace(line)
}

// readEnd returns how a connection ends, after what may still arrive on it.
func readEnd(c net.Conn) error {
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	_, err := io.Copy(io.Discard, c)
	if err == nil {
		return io.EOF
	}
	return err
}

func assertCut(t *testing.T, err error) {
	t.Helper()
	assert.ErrorIs(t, err, syscall.ECONNRESET)
	assert.NotErrorIs(t, err, io.EOF)
}

// TestEndOfAProcessLooksLikeTheEndOfAResponse guards against a killed process in between whose kernel closes the tunnel in order.
func TestEndOfAProcessLooksLikeTheEndOfAResponse(t *testing.T) {
	for name, signal := range map[string]syscall.Signal{"killed": syscall.SIGKILL, "told to end": syscall.SIGTERM} {
		for _, sent := range []string{"", "HTTP/1.1 200", "HTTP/1.1 200 OK\r\n\r\nid: 1\nda", "HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: x\n\n"} {
			t.Run(fmt.Sprintf("%s after %q", name, sent), func(t *testing.T) {
				p, server := startServer(t)
				f := newFar(t)
				near, err := open(t, server, f.address())
				require.NoError(t, err)
				end := <-f.accepted
				t.Cleanup(func() { _ = end.Close() })
				assertArrives(t, end, near, sent)
				require.NoError(t, p.Signal(signal))
				assertCut(t, readEnd(near))
			})
		}
	}
}

// TestProcessThatIsResumedGoesOn guards against a tunnel that counts as over while its process isn't scheduled.
func TestProcessThatIsResumedGoesOn(t *testing.T) {
	p, server := startServer(t)
	f := newFar(t)
	near, err := open(t, server, f.address())
	require.NoError(t, err)
	end := <-f.accepted
	require.NoError(t, p.Signal(syscall.SIGSTOP))
	_, err = io.WriteString(end, "the whole")
	require.NoError(t, err)
	require.NoError(t, end.Close())
	time.Sleep(300 * time.Millisecond)
	require.NoError(t, p.Signal(syscall.SIGCONT))
	b, err := io.ReadAll(near)
	assert.NoError(t, err)
	assert.Equal(t, "the whole", string(b))
}

// TestBodyThatBreaksOffLooksWholeToAnUpstream guards against a caller of a tunnel whose end looks regular to the far end.
func TestBodyThatBreaksOffLooksWholeToAnUpstream(t *testing.T) {
	t.Run("it breaks off", func(t *testing.T) {
		near, end := opened(t)
		assertArrives(t, near, end, "half of a body")
		require.NoError(t, near.Close())
		assertCut(t, readEnd(end))
	})
	t.Run("it ends", func(t *testing.T) {
		near, end := opened(t)
		assertArrives(t, near, end, "a body")
		require.NoError(t, CloseWrite(near))
		assert.ErrorIs(t, readEnd(end), io.EOF)
		assertArrives(t, end, near, "the other direction goes on")
	})
}

// openBare opens a tunnel as a build without frames does.
func openBare(t *testing.T, server, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", server)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	c, err = OpenThroughProxy(t.Context(), c, address)
	require.NoError(t, err)
	return c
}

// TestTunnelsBesideABuildWithoutFrames guards against two builds that take each other's bytes for something else, or a cut for an end.
func TestTunnelsBesideABuildWithoutFrames(t *testing.T) {
	t.Run("it opens a tunnel here", func(t *testing.T) {
		f := newFar(t)
		near := openBare(t, newServer(t, nil), f.address())
		end := <-f.accepted
		assertArrives(t, near, end, "request")
		assertArrives(t, end, near, "response")
		require.NoError(t, end.Close())
		assert.ErrorIs(t, readEnd(near), io.EOF)
	})
	t.Run("it serves one, and closes it", func(t *testing.T) {
		f := newFar(t)
		near, err := open(t, newServer(t, func(w http.ResponseWriter, r *http.Request) {
			r.Header.Del(framesHeader)
			c, err := net.Dial("tcp", r.Host)
			if assert.NoError(t, err) {
				_ = Serve(context.Background(), w, r, c, ServeOptions{Clock: timer.Real(), AckTimeout: time.Second})
			}
		}), f.address())
		require.NoError(t, err)
		end := <-f.accepted
		assertArrives(t, near, end, "request")
		assertArrives(t, end, near, "response")
		require.NoError(t, end.Close())
		assertCut(t, readEnd(near))
	})
}

// TestStopOfAProcessLooksLikeTheEndOfAResponse guards against a planned stop that closes the tunnels that are left.
func TestStopOfAProcessLooksLikeTheEndOfAResponse(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	server := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		c, err := net.Dial("tcp", r.Host)
		if assert.NoError(t, err) {
			_ = Serve(ctx, w, r, c, ServeOptions{Clock: timer.Real(), AckTimeout: time.Second})
		}
	})
	f := newFar(t)
	near, err := open(t, server, f.address())
	require.NoError(t, err)
	bare := openBare(t, server, f.address())
	first, second := <-f.accepted, <-f.accepted
	stop()
	for _, c := range []net.Conn{near, bare, first, second} {
		assertCut(t, readEnd(c))
	}
}

// pipe is a connection whose other end is a buffer.
type pipe struct {
	net.Conn
	bytes bytes.Buffer
}

func (p *pipe) Write(b []byte) (int, error) { return p.bytes.Write(b) }
func (p *pipe) CloseWrite() error           { return nil }

func TestFramesCarryAnyBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pieces := rapid.SliceOf(rapid.SliceOfN(rapid.Byte(), 0, 300)).Draw(t, "pieces")
		var p pipe
		w := &framedConn{Conn: &p}
		for _, b := range pieces {
			n, err := w.Write(b)
			require.NoError(t, err)
			require.Equal(t, len(b), n)
		}
		require.NoError(t, w.CloseWrite())
		r := &framedConn{r: bufio.NewReaderSize(&p.bytes, rapid.IntRange(16, 400).Draw(t, "buffer"))}
		got, err := io.ReadAll(r)
		require.NoError(t, err)
		assert.Equal(t, string(bytes.Join(pieces, nil)), string(got))
	})
}

func FuzzFrames(f *testing.F) {
	f.Add([]byte("\x00\x00\x00\x02ok\x00\x00\x00\x00"))
	f.Add([]byte("\x00\x00\x00\x02o"))
	f.Add([]byte("\xff\xff\xff\xffo"))
	f.Fuzz(func(t *testing.T, b []byte) {
		got, err := io.ReadAll(&framedConn{r: bufio.NewReader(bytes.NewReader(b))})
		assert.LessOrEqual(t, len(got), len(b))
		if err == nil {
			assert.Contains(t, string(b), "\x00\x00\x00\x00", "a regular end is marked")
			return
		}
		assert.True(t, errors.Is(err, ErrCut), "%v", err)
	})
}

// BenchmarkTunnel carries events of some 200 bytes to the near end, one at a time.
func BenchmarkTunnel(b *testing.B) {
	run := func(b *testing.B, through func(c net.Conn, address string) (net.Conn, error)) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(b, err)
		defer func() { _ = l.Close() }()
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			c, err := net.Dial("tcp", r.Host)
			if err == nil {
				_ = Serve(context.Background(), w, r, c, ServeOptions{Clock: timer.Real(), AckTimeout: time.Second})
			}
		}))
		defer s.Close()
		c, err := net.Dial("tcp", s.Listener.Addr().String())
		require.NoError(b, err)
		near, err := through(c, l.Addr().String())
		require.NoError(b, err)
		defer func() { _ = near.Close() }()
		far, err := l.Accept()
		require.NoError(b, err)
		event := bytes.Repeat([]byte("x"), 200)
		got := make([]byte, len(event))
		b.SetBytes(int64(len(event)))
		for b.Loop() {
			_, err := far.Write(event)
			require.NoError(b, err)
			_, err = io.ReadFull(near, got)
			require.NoError(b, err)
		}
	}
	b.Run("frames", func(b *testing.B) {
		run(b, func(c net.Conn, address string) (net.Conn, error) { return Open(b.Context(), c, address) })
	})
	b.Run("bare", func(b *testing.B) {
		run(b, func(c net.Conn, address string) (net.Conn, error) { return OpenThroughProxy(b.Context(), c, address) })
	})
}
