package accept

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/timer"
)

// lateListener belongs to a process that isn't scheduled when a look ends.
type lateListener struct {
	*net.TCPListener
	accepts, reads lateHook
}

// lateHook calls a function before an expired deadline is noticed.
type lateHook struct {
	n    atomic.Int32
	call func(n int)
}

func (h *lateHook) check(err error) {
	if h.call != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		h.call(int(h.n.Add(1)))
	}
}

// Accept accepts a connection.
func (l *lateListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	l.accepts.check(err)
	if err != nil {
		return nil, err
	}
	return &lateConn{TCPConn: c.(*net.TCPConn), l: l}, nil
}

type lateConn struct {
	*net.TCPConn
	l *lateListener
}

// Read reads.
func (c *lateConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.l.reads.check(err)
	return n, err
}

// late is how late the process is: also by less than what it notices.
var late = []time.Duration{0, 50 * time.Millisecond}

func serveLate(t *testing.T, l *lateListener) *Listener {
	t.Helper()
	v := New(l, timer.Real(), zap.NewNop(), 0)
	s := &http.Server{ConnState: v.ObserveState, ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		_, _ = io.WriteString(w, "done")
	})}
	go func() { _ = s.Serve(v) }()
	t.Cleanup(func() { _ = s.Close() })
	return v
}

func newLateListener(t *testing.T) *lateListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return &lateListener{TCPListener: l.(*net.TCPListener)}
}

func TestRequestInTheLastLookOfALateProcessIsCut(t *testing.T) {
	for _, d := range late {
		t.Run(d.String(), func(t *testing.T) {
			l := newLateListener(t)
			var c net.Conn
			l.reads.call = func(n int) {
				if n == 2 {
					_, err := io.WriteString(c, wholeRequest)
					assert.NoError(t, err)
					time.Sleep(d)
				}
			}
			v := serveLate(t, l)
			c = dial(t, v)
			require.Eventually(t, func() bool { return v.Open() == 1 }, 10*time.Second, time.Millisecond)
			require.NoError(t, v.Drain())
			(&drainRig{t: t}).assertResponse(c)
		})
	}
}

func TestConnectionInTheLastLookOfALateProcessIsReset(t *testing.T) {
	for _, d := range late {
		t.Run(d.String(), func(t *testing.T) {
			l := newLateListener(t)
			callers := make(chan net.Conn, 1)
			l.accepts.call = func(n int) {
				if n == 2 {
					c := dial(t, l)
					_, err := io.WriteString(c, wholeRequest)
					assert.NoError(t, err)
					time.Sleep(d)
					callers <- c
				}
			}
			v := serveLate(t, l)
			require.NoError(t, v.Drain())
			(&drainRig{t: t}).assertResponse(<-callers)
		})
	}
}

func TestProcessThatIsAlwaysLateNeverDrains(t *testing.T) {
	l := newLateListener(t)
	late := func(int) { time.Sleep(2 * lateLook) }
	l.reads.call, l.accepts.call = late, late
	v := serveLate(t, l)
	c := dial(t, v)
	require.Eventually(t, func() bool { return v.Open() == 1 }, 10*time.Second, time.Millisecond)
	require.NoError(t, v.Drain())
	(&drainRig{t: t}).assertClosed(c)
	require.NoError(t, c.Close())
	assert.Eventually(t, v.Drained, 10*time.Second, time.Millisecond)
}
