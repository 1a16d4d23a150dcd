package forward

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/timer"
)

// counted is an upstream that counts its connections.
type counted struct {
	entry pool.Entry
	opens atomic.Int64
}

func newCounted(t *testing.T) *counted {
	v := &counted{}
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

func (v *counted) call(t *testing.T, l *Connections) {
	t.Helper()
	r, err := http.NewRequest(http.MethodGet, "http://"+v.entry.Address+"/", http.NoBody)
	require.NoError(t, err)
	a, err := l.get(v.entry).Do(r, true)
	require.NoError(t, err)
	_, _ = io.Copy(io.Discard, a.Body)
	_ = a.Body.Close()
}

// TestIdleConnections: a connection isn't used any more when its upstream is about to close it. A request that crosses
// that close may or may not have run.
func TestIdleConnections(t *testing.T) {
	const wait = 450 * time.Millisecond
	for name, v := range map[string]struct {
		says  time.Duration
		opens int64
	}{
		"an upstream that closes them soon": {time.Second, 2},
		"one that has said nothing":         {0, 1},
		"one that says a later time":        {5 * time.Second, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u, l := newCounted(t), NewConnections(timer.Real())
			u.call(t, l)
			l.learn(u.entry, v.says)
			u.call(t, l)
			first := u.opens.Load() // what was open before the word was heard isn't used any more
			time.Sleep(wait)
			u.call(t, l)
			assert.Equal(t, v.opens, 1+u.opens.Load()-first)
		})
	}
}
