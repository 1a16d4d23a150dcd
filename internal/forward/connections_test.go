package forward

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/timer"
)

// countingUpstream is an upstream that counts its connections.
type countingUpstream struct {
	entry pool.Entry
	opens atomic.Int64
}

func newCountingUpstream(t *testing.T) *countingUpstream {
	v := &countingUpstream{}
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	s.Config.ConnState = func(_ net.Conn, c http.ConnState) {
		if c == http.StateNew {
			v.opens.Add(1)
		}
	}
	s.Start()
	t.Cleanup(s.Close)
	v.entry = pool.Entry{ID: "a", Address: s.Listener.Addr().String()}
	return v
}

func (v *countingUpstream) call(t *testing.T, l *Connections) {
	t.Helper()
	r, err := http.NewRequest(http.MethodGet, "http://"+v.entry.Address+"/", http.NoBody)
	require.NoError(t, err)
	a, err := l.get(v.entry).Do(r, true)
	require.NoError(t, err)
	_, _ = io.Copy(io.Discard, a.Body)
	_ = a.Body.Close()
}

// TestIdleConnections guards against reusing a connection that its upstream is about to close: whether a request that
// crosses that close has run is unknown.
func TestIdleConnections(t *testing.T) {
	const wait = 450 * time.Millisecond
	for name, v := range map[string]struct {
		says  time.Duration
		opens int64
	}{
		"idle time-out less margin shorter than the pause": {time.Second, 2},
		"no idle time-out stated":                          {0, 1},
		"idle time-out longer than the pause":              {5 * time.Second, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u, l := newCountingUpstream(t), NewConnections(timer.Real(), nil)
			u.call(t, l)
			l.setIdleLimit(u.entry, v.says)
			u.call(t, l)
			first := u.opens.Load() // connections opened before the limit was set are not reused
			time.Sleep(wait)
			u.call(t, l)
			assert.Equal(t, v.opens, 1+u.opens.Load()-first)
		})
	}
}

// TestNoRequestFailsWhileIdleConnectionsClose guards against the close of a connection that a request has just taken.
func TestNoRequestFailsWhileIdleConnectionsClose(t *testing.T) {
	v := newCountingUpstream(t)
	l := NewConnections(timer.Real(), nil)
	var callers sync.WaitGroup
	var called atomic.Int64
	for range 8 {
		callers.Go(func() {
			for range 300 {
				v.call(t, l)
				called.Add(1)
			}
		})
	}
	const total = 8 * 300
	for i := 0; called.Load() < total && !t.Failed(); i++ {
		switch i % 3 {
		case 0:
			l.setIdleLimit(v.entry, time.Duration(1+i%7)*time.Second)
		case 1:
			l.CloseIdle()
		case 2:
			l.Forget(v.entry.ID)
		}
		time.Sleep(50 * time.Microsecond)
	}
	callers.Wait()
	assert.EqualValues(t, total, called.Load())
	assert.Greater(t, v.opens.Load(), int64(8), "connections were closed")
}
