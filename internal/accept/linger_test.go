package accept

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

const requestWithID = "GET / HTTP/1.1\r\nHost: h\r\nId: r7\r\n\r\n"

func newCrossingRig(t *testing.T) (*drainRig, *observer.ObservedLogs) {
	t.Helper()
	r := newDrainRig(t)
	core, logs := observer.New(zap.InfoLevel)
	r.l.log = zap.New(core)
	r.l.Identify = func(h http.Header) string { return h.Get("Id") }
	return r, logs
}

// keep returns a connection that has had a response.
func (r *drainRig) keep() net.Conn {
	r.t.Helper()
	c := r.connect()
	r.write(c, wholeRequest)
	<-r.running
	r.respond <- struct{}{}
	r.assertResponse(c)
	return c
}

func TestRequestThatCrossesACloseHasNoLine(t *testing.T) {
	for _, k := range []struct{ name, text, id string }{{"whole", requestWithID, "r7"}, {"broken off", requestWithID[:20], ""}} {
		t.Run(k.name, func(t *testing.T) {
			r, logs := newCrossingRig(t)
			c := r.keep()
			require.NoError(t, r.l.Drain())
			r.assertClosed(c)
			r.write(c, k.text)
			r.assertDrained()
			all := logs.FilterMessage("request_crossed").All()
			require.Len(t, all, 1)
			f := all[0].ContextMap()
			assert.Equal(t, k.id, f["request"])
			assert.Equal(t, c.LocalAddr().String(), f["caller"])
			assert.EqualValues(t, 1, f["responses"])
			assert.Empty(t, r.running, "a request without a connection for its response must not run")
		})
	}
}

func TestCrossingIsReset(t *testing.T) {
	r, _ := newCrossingRig(t)
	c := r.keep()
	require.NoError(t, r.l.Drain())
	r.assertClosed(c)
	for range 3 {
		r.write(c, requestWithID)
		time.Sleep(10 * time.Millisecond)
	}
}

// TestHeadWithoutEndThatCrossesACloseIsHeld guards against a caller's head that is held however long it is.
func TestHeadWithoutEndThatCrossesACloseIsHeld(t *testing.T) {
	r, logs := newCrossingRig(t)
	c := r.keep()
	require.NoError(t, r.l.Drain())
	r.assertClosed(c)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\n")
	for lines := bytes.Repeat([]byte("A: a\r\n"), 10_000); err == nil; {
		_, err = c.Write(lines)
	}
	r.assertDrained()
	runtime.ReadMemStats(&after)
	assert.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(8<<20))
	assert.Equal(t, 1, logs.FilterMessage("request_crossed").Len())
}

func TestCallerThatNeverClosesHoldsUpAStop(t *testing.T) {
	r, logs := newCrossingRig(t)
	r.keep()
	require.NoError(t, r.l.Drain())
	at := time.Now()
	r.assertDrained()
	assert.Less(t, time.Since(at), time.Second)
	assert.Empty(t, logs.FilterMessage("request_crossed").All())
}

func TestLingerEndsWithItsCaller(t *testing.T) {
	r, logs := newCrossingRig(t)
	c := r.keep()
	require.NoError(t, r.l.Drain())
	r.assertClosed(c)
	require.NoError(t, c.Close())
	r.assertDrained()
	assert.Empty(t, logs.FilterMessage("request_crossed").All())
}
