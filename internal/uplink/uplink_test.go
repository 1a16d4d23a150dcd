package uplink

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/egress"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/timer"
	"spurhall.example/spurhall/internal/upstream"
)

// node is an uplink and the address where it serves tunnels.
type node struct {
	*Uplink
	peer egress.Peer
}

// world is some nodes in front of one upstream.
type world struct {
	t     *testing.T
	entry pool.Entry
}

func newWorld(t *testing.T) *world {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
		}
	}()
	return &world{t: t, entry: pool.Entry{ID: "u", Service: "s", Address: l.Addr().String(), Hall: "h"}}
}

// start starts a node whose own network is given by a function; nil: it reaches the upstream.
func (w *world) start(name string, direct upstream.DialFunc, peers ...*node) *node {
	return w.startLate(name, direct, 0, peers...)
}

// startLate is start for a node that runs late.
func (w *world) startLate(name string, direct upstream.DialFunc, late time.Duration, peers ...*node) *node {
	pools := pool.New(timer.Real(), name, "h")
	pools.Update(func(l *pool.List) { l.Put(pool.Item{Entry: w.entry, Revision: 1}) })
	n := &node{}
	n.Uplink = New(Options{
		Clock: timer.Real(), Log: zap.NewNop(), Pools: pools, Dial: upstream.DialOptions{ConnectTimeout: time.Second, AckTimeout: time.Second}, Direct: direct,
		Peers: func(pool.Entry) (list []egress.Peer) {
			for _, p := range peers {
				list = append(list, p.peer)
			}
			return list
		},
		Late:   func() time.Duration { return late },
		OnLost: func() {}, Leaving: func() bool { return false }, Count: func(string) {},
	})
	s := httptest.NewServer(n)
	w.t.Cleanup(s.Close)
	n.peer = egress.Peer{Name: name, Address: s.Listener.Addr().String(), Hall: "h"}
	return n
}

func refused(context.Context, string) (net.Conn, error) {
	return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
}

func silent(context.Context, string) (net.Conn, error) {
	return nil, &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
}

func (w *world) assertOpens(n *node, want bool) {
	w.t.Helper()
	c, err := n.Dial(w.t.Context(), w.entry)
	assert.Equal(w.t, want, err == nil, "%v", err)
	if err == nil {
		_ = c.Close()
	}
}

func TestConnectionsGoThroughANodeThatReachesTheUpstream(t *testing.T) {
	for name, direct := range map[string]upstream.DialFunc{"refused": refused, "silent": silent} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			sound, cut := w.start("sound", nil), w.start("cut", refused)
			for range 20 { // the nodes are asked in random order
				w.assertOpens(w.start("n", direct, sound, cut), true)
			}
		})
	}
}

func TestUpstreamThatNobodyReaches(t *testing.T) {
	w := newWorld(t)
	n := w.start("n", refused, w.start("a", refused), w.start("b", refused))
	w.assertOpens(n, false)
	assert.False(t, n.paths.MayUsePeer(time.Now(), "u"), "the others needn't be asked again at once")
}

// TestUnansweredTunnelCountsAgainstNobody guards against a busy node that isn't asked any more.
func TestUnansweredTunnelCountsAgainstNobody(t *testing.T) {
	w := newWorld(t)
	busy := w.start("busy", nil)
	delay := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		<-delay
		busy.ServeHTTP(rw, r)
	}))
	t.Cleanup(s.Close)
	busy.peer.Address = s.Listener.Addr().String()
	n := w.start("n", refused, busy)
	w.assertOpens(n, false)
	close(delay)
	w.assertOpens(n, true)
}

func TestNodeThatIsCutOffItselfSaysSo(t *testing.T) {
	w := newWorld(t)
	cut := w.start("cut", refused, w.start("sound", nil))
	w.assertOpens(cut, true) // through the sound one
	n := w.start("n", refused, cut)
	w.assertOpens(n, false)
	assert.True(t, n.paths.MayUsePeer(time.Now(), "u"), "it isn't the upstream's fault")
}

// TestOwnLatenessIsTakenForALostConnection guards against tunnels and suspicions for connections that were answered while this
// process wasn't scheduled: more work for a node that runs late.
func TestOwnLatenessIsTakenForALostConnection(t *testing.T) {
	const late = 600 * time.Millisecond
	t.Run("it is opened again directly", func(t *testing.T) {
		w := newWorld(t)
		sound, dials := w.start("sound", nil), 0
		n := w.startLate("n", func(ctx context.Context, address string) (net.Conn, error) {
			if dials++; dials == 1 {
				return silent(ctx, address)
			}
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		}, late, sound)
		w.assertOpens(n, true)
		assert.Equal(t, 2, dials)
		assert.Zero(t, sound.Served())
	})
	t.Run("nobody is asked, and nothing suspected", func(t *testing.T) {
		w := newWorld(t)
		n := w.startLate("n", silent, late, w.start("sound", nil))
		w.assertOpens(n, false)
		assert.False(t, n.paths.Failed("u"))
		assert.False(t, n.Lost())
	})
	t.Run("a refusal is still one", func(t *testing.T) {
		w := newWorld(t)
		w.assertOpens(w.startLate("n", refused, late, w.start("sound", nil)), true)
	})
	t.Run("others aren't told that the upstream is out of reach", func(t *testing.T) {
		w := newWorld(t)
		n := w.start("n", refused, w.startLate("busy", silent, late))
		w.assertOpens(n, false)
		assert.True(t, n.paths.MayUsePeer(time.Now(), "u"))
	})
}

func TestTunnelsGoToListedUpstreamsOnly(t *testing.T) {
	w := newWorld(t)
	sound := w.start("sound", nil)
	n := w.start("n", refused, sound)
	other := w.entry
	other.Address = "127.0.0.1:1"
	_, err := n.Dial(t.Context(), other)
	assert.ErrorIs(t, err, syscall.ECONNREFUSED, "its own network's error")
	assert.Zero(t, sound.Served())
}
