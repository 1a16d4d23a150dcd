package accept

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"spurhall.example/spurhall/internal/timer"
)

// endingRig is a server whose handler reads the body and then waits until its request's context ends.
type endingRig struct {
	l       *Listener
	s       *http.Server
	logs    *observer.ObservedLogs
	running chan struct{}
	ended   chan Ending // as the handler sees it
}

func newEndingRig(t *testing.T, bodyLimit time.Duration) *endingRig {
	t.Helper()
	core, logs := observer.New(zap.InfoLevel)
	r := &endingRig{l: New(listenTCP(t), timer.Real(), zap.New(core), 0), logs: logs, running: make(chan struct{}, 8), ended: make(chan Ending, 8)}
	r.s = &http.Server{ConnState: r.l.ObserveState, ConnContext: r.l.ConnContext, ReadHeaderTimeout: time.Minute, ReadTimeout: bodyLimit, Handler: http.HandlerFunc(r.handle)}
	go func() { _ = r.s.Serve(r.l) }()
	t.Cleanup(func() { _ = r.s.Close() })
	return r
}

func (r *endingRig) handle(w http.ResponseWriter, q *http.Request) {
	r.running <- struct{}{}
	_, _ = io.Copy(io.Discard, q.Body)
	<-q.Context().Done()
	e, known := EndingOf(q.Context())
	if !known {
		e = -1
	}
	r.ended <- e
	if e.CallerLeft() {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, "done")
}

// send sends a request, and returns when its handler runs.
func (r *endingRig) send(t *testing.T, text string) net.Conn {
	t.Helper()
	c := dial(t, r.l)
	_, err := io.WriteString(c, text)
	require.NoError(t, err)
	<-r.running
	return c
}

// assertCutLogged checks that the end of the connection was logged with this ending.
func (r *endingRig) assertCutLogged(t *testing.T, e Ending) {
	t.Helper()
	lines := func() []observer.LoggedEntry { return r.logs.FilterMessage("caller_cut").All() }
	require.Eventually(t, func() bool { return len(lines()) == 1 }, 10*time.Second, time.Millisecond)
	assert.Equal(t, e.String(), lines()[0].ContextMap()["ended_by"])
	assert.Equal(t, e.CallerLeft(), lines()[0].ContextMap()["caller_left"])
}

func TestConnectionSaysWhoEndedIt(t *testing.T) {
	t.Run("the caller closed it", func(t *testing.T) {
		r := newEndingRig(t, 0)
		require.NoError(t, r.send(t, wholeRequest).Close())
		assert.Equal(t, EndingClosed, <-r.ended)
		r.assertCutLogged(t, EndingClosed)
	})
	t.Run("the caller reset it", func(t *testing.T) {
		r := newEndingRig(t, 0)
		c := r.send(t, wholeRequest)
		require.NoError(t, c.(*net.TCPConn).SetLinger(0))
		require.NoError(t, c.Close())
		assert.Equal(t, EndingReset, <-r.ended)
		r.assertCutLogged(t, EndingReset)
	})
	t.Run("a deadline passed", func(t *testing.T) {
		r := newEndingRig(t, 50*time.Millisecond)
		r.send(t, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n12")
		assert.Equal(t, EndingDeadline, <-r.ended)
	})
	t.Run("this process closed it", func(t *testing.T) {
		r := newEndingRig(t, 0)
		r.send(t, wholeRequest)
		require.NoError(t, r.s.Close())
		assert.Equal(t, EndingHere, <-r.ended)
		r.assertCutLogged(t, EndingHere)
	})
	t.Run("nobody", func(t *testing.T) {
		r := newEndingRig(t, 0)
		c := r.send(t, wholeRequest)
		for _, v := range r.l.open() {
			v.interrupt(errors.New("test"))
		}
		assert.Equal(t, EndingNone, <-r.ended)
		assertStatus(t, c, http.StatusOK)
	})
	t.Run("it isn't known", func(t *testing.T) {
		_, known := EndingOf(context.Background())
		assert.False(t, known)
	})
}

func TestInterruptedRequestsGetTheirResponses(t *testing.T) {
	r := newEndingRig(t, 0)
	c := r.send(t, wholeRequest)
	r.l.Interrupt(errors.New("the time is over"))
	_ = r.s.Close()
	assertStatus(t, c, http.StatusOK)
}

func TestServersEndIsNoResetWhileABodyIsUnread(t *testing.T) {
	l := New(listenTCP(t), timer.Real(), zap.NewNop(), 0)
	serve(t, l)
	c := dial(t, l)
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10000000\r\n\r\nxxx")
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond)
	_, err = io.WriteString(c, strings.Repeat("x", 100_000)) // after the response
	require.NoError(t, err)
	b, err := io.ReadAll(c)
	require.NoError(t, err, "the connection ends, and isn't reset")
	assert.Contains(t, string(b), "done")
}
