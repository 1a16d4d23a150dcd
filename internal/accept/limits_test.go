package accept

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/catalog"
	"spurhall.example/spurhall/internal/timer"
)

// newLimitedServer serves a listener with some limits, on a real clock.
func newLimitedServer(t *testing.T, v catalog.Limits) *Listener {
	t.Helper()
	l := New(listenTCP(t), timer.Real(), zap.NewNop(), 0)
	l.SetLimits(v)
	s := &http.Server{ConnState: l.ObserveState, ConnContext: l.ConnContext, ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute, Handler: l.Handler(http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
		_, _ = io.Copy(io.Discard, q.Body)
	}))}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l
}

func dialTo(t *testing.T, l *Listener, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, text)
	require.NoError(t, err)
	return c
}

// TestConfiguredLimitsOfHeadsAreIgnored guards against a head that is larger, or takes longer, than the configuration allows.
func TestConfiguredLimitsOfHeadsAreIgnored(t *testing.T) {
	const whole = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	headOf := func(size int) string {
		return partOfAHead + "x: " + strings.Repeat("x", size-len(partOfAHead)-7) + "\r\n\r\n"
	}
	t.Run("a head beyond the limit", func(t *testing.T) {
		l := newLimitedServer(t, catalog.Limits{MaxHeaderBytes: 16 << 10})
		assertClosed(t, dialTo(t, l, headOf(24<<10)))
	})
	t.Run("the largest head", func(t *testing.T) {
		l := newLimitedServer(t, catalog.Limits{MaxHeaderBytes: 16 << 10})
		assertAnswered(t, dialTo(t, l, headOf(16<<10)))
	})
	t.Run("a small head with a large body", func(t *testing.T) {
		l := newLimitedServer(t, catalog.Limits{MaxHeaderBytes: 1 << 10})
		assertAnswered(t, dialTo(t, l, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("x", 100_000)))
	})
	t.Run("a head that doesn't come to its end", func(t *testing.T) {
		t.Parallel()
		l := newLimitedServer(t, catalog.Limits{HeaderTimeout: 100 * time.Millisecond})
		assertClosed(t, dialTo(t, l, partOfAHead))
	})
	t.Run("the second head on a connection", func(t *testing.T) {
		t.Parallel()
		l := newLimitedServer(t, catalog.Limits{HeaderTimeout: 100 * time.Millisecond})
		c := dialTo(t, l, whole)
		assertAnswered(t, c)
		_, err := io.WriteString(c, partOfAHead)
		require.NoError(t, err)
		assertClosed(t, c)
	})
	t.Run("a body has none of a head's time", func(t *testing.T) {
		t.Parallel()
		l := newLimitedServer(t, catalog.Limits{HeaderTimeout: 100 * time.Millisecond})
		c := dialTo(t, l, partOfABody)
		time.Sleep(headLate + time.Second)
		_, err := io.WriteString(c, "9")
		require.NoError(t, err)
		assertAnswered(t, c)
	})
	t.Run("a connection without a request has none of it, either", func(t *testing.T) {
		t.Parallel()
		l := newLimitedServer(t, catalog.Limits{HeaderTimeout: 100 * time.Millisecond})
		unused, idle := dialTo(t, l, ""), dialTo(t, l, whole)
		assertAnswered(t, idle)
		time.Sleep(headLate + time.Second)
		for _, c := range []net.Conn{unused, idle} {
			_, err := io.WriteString(c, whole)
			require.NoError(t, err)
			assertAnswered(t, c)
		}
	})
	t.Run("limits that change", func(t *testing.T) {
		l := newLimitedServer(t, catalog.Limits{})
		c := dialTo(t, l, headOf(24<<10))
		assertAnswered(t, c)
		l.SetLimits(catalog.Limits{MaxHeaderBytes: 16 << 10})
		_, err := io.WriteString(c, headOf(24<<10))
		require.NoError(t, err)
		assertClosed(t, c)
	})
}
