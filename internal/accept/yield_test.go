package accept

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/timer"
)

// twoPlaces are the descriptors of a process that has places for two callers.
const twoPlaces = reservedDescriptors + 5

// phaseUnread is phaseBody, of a body that isn't read.
const phaseUnread = phase(-1)

// beyondBuffers is the size of a response that the kernel doesn't take as a whole, in bytes.
const beyondBuffers = 64 << 20

// yieldRig is a server with two places, whose handler waits for a word if the request's path is /held.
type yieldRig struct {
	t     *testing.T
	clock *timer.Manual
	l     *Listener
	held  chan struct{}
}

func newYieldRig(t *testing.T) *yieldRig {
	t.Helper()
	in, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := &yieldRig{t: t, clock: timer.NewManual(time.Unix(1000, 0)), held: make(chan struct{})}
	r.l = New(in, r.clock.Service(), zap.NewNop(), twoPlaces)
	require.Equal(t, 2, r.l.maxOpen)
	s := &http.Server{ConnState: r.l.ObserveState, ConnContext: r.l.ConnContext, ReadHeaderTimeout: time.Minute, Handler: r.l.Handler(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/unread" {
			<-r.held
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			if q.URL.Path == "/lingers" {
				<-r.held
			}
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if q.URL.Path == "/held" {
			<-r.held
		}
		if q.URL.Path == "/large" {
			_, _ = w.Write(make([]byte, beyondBuffers)) // its caller may not read it
		}
	}))}
	go func() { _ = s.Serve(r.l) }()
	t.Cleanup(func() { _ = s.Close() })
	return r
}

// send opens a connection, sends a text and waits until the listener is as far with it.
func (r *yieldRig) send(text string, reaches phase) net.Conn {
	r.t.Helper()
	c, err := net.Dial("tcp", r.l.Addr().String())
	require.NoError(r.t, err)
	r.t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, text)
	require.NoError(r.t, err)
	address := c.LocalAddr().String()
	require.Eventually(r.t, func() bool {
		r.l.mu.Lock()
		defer r.l.mu.Unlock()
		for v := range r.l.callers {
			if v.RemoteAddr().String() == address {
				s := v.standing
				return reaches == phaseUnread && s.phase == phaseBody && !s.reading || s.phase == reaches && (reaches != phaseBody || s.reading)
			}
		}
		return false
	}, 10*time.Second, time.Millisecond, "phase %d", reaches)
	return c
}

const (
	partOfAHead = "GET / HTTP/1.1\r\nHost: h\r\n"
	partOfABody = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n12345678"
	largeAnswer = "GET /large HTTP/1.1\r\nHost: h\r\n\r\n"
	heldRequest = "GET /held HTTP/1.1\r\nHost: h\r\n\r\n"
	request     = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n1"
)

// assertClosed checks that a connection ends without a response.
func assertClosed(t *testing.T, c net.Conn) {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	b, err := io.ReadAll(c)
	assert.False(t, err != nil && err.(interface{ Timeout() bool }).Timeout(), "it is open")
	assert.Empty(t, b)
}

// assertAnswered checks that a connection gets a response of 200.
func assertAnswered(t *testing.T, c net.Conn) {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, a.StatusCode)
}

// TestCallersWithoutAWholeRequestKeepTheirPlaces guards against places that are held for ever without a whole request.
func TestCallersWithoutAWholeRequestKeepTheirPlaces(t *testing.T) {
	for _, v := range []struct {
		name, text string
		reaches    phase
	}{
		{"a part of a head", partOfAHead, phaseHead},
		{"a part of a body", partOfABody, phaseBody},
		{"nothing", "", phaseUnused},
		{"a connection that was used", request, phaseIdle},
	} {
		t.Run(v.name, func(t *testing.T) {
			r := newYieldRig(t)
			whole := r.send(heldRequest, phaseWhole)
			first := r.send(v.text, v.reaches)
			if v.reaches == phaseIdle {
				assertAnswered(t, first)
			}
			r.clock.Advance(2 * yieldGrace)
			assertAnswered(t, r.send(request, phaseIdle))
			assertClosed(t, first)
			close(r.held)
			assertAnswered(t, whole)
		})
	}
	t.Run("the longest gives way", func(t *testing.T) {
		r := newYieldRig(t)
		first := r.send(partOfABody, phaseBody)
		r.clock.Advance(yieldGrace)
		second := r.send(partOfAHead, phaseHead)
		r.clock.Advance(yieldGrace)
		r.send(request, phaseIdle)
		assertClosed(t, first)
		_, err := fmt.Fprint(second, "\r\n")
		require.NoError(t, err)
		assertAnswered(t, second)
	})
	t.Run("not one whose body waits for room at this node", func(t *testing.T) {
		r := newYieldRig(t)
		c := r.send("POST /unread HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n12345678", phaseUnread)
		r.send(heldRequest, phaseWhole)
		r.clock.Advance(2 * yieldGrace)
		assert.False(t, r.l.makePlace())
		close(r.held)
		_, err := io.WriteString(c, "9")
		require.NoError(t, err)
		assertAnswered(t, c)
	})
	t.Run("not one that has just begun", func(t *testing.T) {
		r := newYieldRig(t)
		r.send(partOfABody, phaseBody)
		r.send(partOfAHead, phaseHead)
		c, err := net.Dial("tcp", r.l.Addr().String())
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
		assertClosed(t, c)
		assert.Equal(t, 2, r.l.Open())
	})
}

// TestHeadsOfManyFieldsAreHeldWithoutABound guards against heads that take many times their size, in as many connections as come.
func TestHeadsOfManyFieldsAreHeldWithoutABound(t *testing.T) {
	r := newYieldRig(t)
	r.l.SetHeadMemory(headCost * 300)
	first := r.send(partOfAHead+"a: "+fmt.Sprintf("%0200d", 0), phaseHead)
	r.clock.Advance(2 * yieldGrace)
	second := r.send(heldRequest, phaseWhole)
	third, err := net.Dial("tcp", r.l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = third.Close() }()
	_, err = io.WriteString(third, partOfAHead+"a: "+fmt.Sprintf("%0200d", 0)+"\r\n\r\n")
	require.NoError(t, err)
	assertClosed(t, first)
	assertAnswered(t, third)
	close(r.held)
	assertAnswered(t, second)
	r.l.mu.Lock()
	defer r.l.mu.Unlock()
	assert.LessOrEqual(t, r.l.held, int64(headCost*300))
}

// TestHeadsOfClosedConnectionsCountForEver guards against bytes that were read just as their connection was closed.
func TestHeadsOfClosedConnectionsCountForEver(t *testing.T) {
	r := newYieldRig(t)
	r.l.SetHeadMemory(headCost * 100)
	r.send(partOfAHead, phaseHead)
	c := r.l.open()[0]
	require.NoError(t, c.close())
	assert.Empty(t, r.l.count(c, 99))
	r.l.mu.Lock()
	defer r.l.mu.Unlock()
	assert.Zero(t, r.l.held)
}

// TestBytesOfAConnectionThatGivesWayAreGivenBackTwice guards against more room than there is, after bytes that were read, or a second
// choice, between the choice of a connection and its close.
func TestBytesOfAConnectionThatGivesWayAreGivenBackTwice(t *testing.T) {
	r := newYieldRig(t)
	r.l.SetHeadMemory(headCost * 1000)
	r.send(partOfAHead, phaseHead)
	c := r.l.open()[0]
	r.l.mu.Lock()
	r.l.markYield(c, shortOfHeads)
	r.l.markYield(c, shortOfPlaces)
	r.l.mu.Unlock()
	assert.Empty(t, r.l.count(c, 99))
	r.l.mu.Lock()
	assert.Equal(t, r.l.held, r.l.leaving)
	r.l.mu.Unlock()
	require.NoError(t, c.close())
	r.l.mu.Lock()
	defer r.l.mu.Unlock()
	assert.Zero(t, r.l.held)
	assert.Zero(t, r.l.leaving)
}

// TestMessagesOfClosedConnectionsAreForgotten guards against messages that are read while those that gave way for them are still held.
func TestMessagesOfClosedConnectionsAreForgotten(t *testing.T) {
	const message = 1000
	post := func(path string, size int) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", path, size)
	}
	r := newYieldRig(t)
	r.l.SetMessageMemory(headCost*200 + messageCost*message)
	first := r.send(post("/lingers", message), phaseBody)
	_, err := io.WriteString(first, strings.Repeat("x", message/2))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return r.heldBytes() >= messageCost*message/2 }, 10*time.Second, time.Millisecond)
	r.clock.Advance(2 * yieldGrace)
	second := r.send(post("/", message*3/2), phaseBody)
	for range 3 {
		_, err = io.WriteString(second, strings.Repeat("x", message/2))
		require.NoError(t, err)
		time.Sleep(100 * time.Millisecond)
	}
	assertClosed(t, first)
	_ = second.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
	_, err = second.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded, "it waits for what the first one's handler holds")
	close(r.held)
	assertAnswered(t, second)
	assert.Eventually(t, func() bool { return r.heldBytes() == 0 }, 10*time.Second, time.Millisecond, "all is given back")
	r.l.mu.Lock()
	defer r.l.mu.Unlock()
	assert.Zero(t, r.l.leaving)
}

func (r *yieldRig) heldBytes() int64 {
	r.l.mu.Lock()
	defer r.l.mu.Unlock()
	return r.l.held
}

// TestConnectionThatGivesWayIsAnswered guards against a response, or an empty 200, on a connection whose request came to its end
// just as it was chosen to give way.
func TestConnectionThatGivesWayIsAnswered(t *testing.T) {
	for name, v := range map[string]struct {
		part, rest string
		reaches    phase
	}{
		"in its head": {partOfAHead, "\r\n", phaseHead},
		"in its body": {partOfABody, "9", phaseBody},
	} {
		t.Run(name, func(t *testing.T) {
			r := newYieldRig(t)
			c := r.send(v.part, v.reaches)
			r.l.mu.Lock()
			for k := range r.l.callers {
				k.standing.yields = true
			}
			r.l.mu.Unlock()
			_, err := io.WriteString(c, v.rest)
			require.NoError(t, err)
			assertClosed(t, c)
		})
	}
}

// waitsWithLargePart reports whether a part of a response waits to be written which isn't the first one: that has some kB, and goes
// out at once.
func (c *callerConn) waitsWithLargePart() bool {
	c.mu.Lock()
	answered := c.answered
	c.mu.Unlock()
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return answered && !c.standing.unread.IsZero()
}

// TestCallersWhoReadNothingKeepTheirPlaces guards against places that are held by responses which nobody reads.
func TestCallersWhoReadNothingKeepTheirPlaces(t *testing.T) {
	unread := func(r *yieldRig) net.Conn {
		c := r.send(largeAnswer, phaseWhole)
		require.Eventually(t, func() bool {
			for _, v := range r.l.open() {
				if v.RemoteAddr().String() == c.LocalAddr().String() {
					return v.waitsWithLargePart()
				}
			}
			return false
		}, 10*time.Second, time.Millisecond, "its response waits")
		return c
	}
	t.Run("the longest gives way", func(t *testing.T) {
		r := newYieldRig(t)
		first := unread(r)
		r.clock.Advance(unreadGrace)
		second := unread(r)
		assertAnswered(t, r.send(request, phaseIdle))
		assertBrokenOff(t, first)
		assertAnswered(t, second)
	})
	t.Run("not at once, nor one that waits for its response", func(t *testing.T) {
		r := newYieldRig(t)
		held := r.send(heldRequest, phaseWhole)
		r.clock.Advance(2 * unreadGrace)
		late := unread(r)
		r.clock.Advance(unreadGrace / 2)
		c, err := net.Dial("tcp", r.l.Addr().String())
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
		assertClosed(t, c)
		assertAnswered(t, late)
		close(r.held)
		assertAnswered(t, held)
	})
}

// assertBrokenOff checks that a connection ends before the end of its response.
func assertBrokenOff(t *testing.T, c net.Conn) {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	n, err := io.Copy(io.Discard, c)
	assert.False(t, err != nil && err.(interface{ Timeout() bool }).Timeout(), "it is open")
	assert.Less(t, n, int64(beyondBuffers))
}
