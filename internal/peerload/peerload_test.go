package peerload

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"spurhall.example/spurhall/internal/timer"
)

// newMeter returns a meter whose process uses some processor time in each interval, and its lines.
func newMeter(used time.Duration) (*Meter, *observer.ObservedLogs) {
	core, lines := observer.New(zap.InfoLevel)
	m := New(timer.Real(), zap.New(core))
	total := time.Duration(0)
	m.processor = func() time.Duration { total += used; return total }
	return m, lines
}

func TestCallsAreMeasuredAtBothEnds(t *testing.T) {
	m, lines := newMeter(50 * time.Millisecond)
	s := httptest.NewServer(m.Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 5000))
	})))
	defer s.Close()
	c := &http.Client{Transport: m.Transport(http.DefaultTransport)}
	for range notedCalls / 2 {
		a, err := c.Post(s.URL+"/edge/Follow", "text/plain", strings.NewReader("abc"))
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, a.Body)
		require.NoError(t, err)
		require.NoError(t, a.Body.Close())
	}
	m.note()
	require.Equal(t, 1, lines.Len())
	f := lines.All()[0].ContextMap()
	assert.Equal(t, int64(notedCalls), f["calls"])
	assert.Equal(t, int64(notedCalls/2*5003), f["sent_bytes"])
	assert.Equal(t, int64(notedCalls/2*5003), f["received_bytes"])
	assert.Equal(t, 50*time.Millisecond, f["processor"])
	assert.Equal(t, "Follow:20/100000/60,ownFollow:20/60/100000", f["most"])
}

func TestCalmSecondsHaveNoLine(t *testing.T) {
	m, lines := newMeter(0)
	m.count("Follow", Figures{Calls: notedCalls - 1, Sent: notedBytes - 1})
	m.note()
	assert.Zero(t, lines.Len())
	m.count("Follow", Figures{Calls: notedCalls - 1})
	m.note()
	assert.Zero(t, lines.Len(), "each second by itself")
}
