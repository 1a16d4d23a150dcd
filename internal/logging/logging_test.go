package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"spurhall.example/spurhall/internal/timer"
)

// stuck is a reader of the log that takes nothing until it is let go.
type stuck struct {
	mu  sync.Mutex
	b   bytes.Buffer
	let chan struct{}
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.let
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(b)
}

func TestLinesHaveNoUnwrittenValue(t *testing.T) {
	var b bytes.Buffer
	r := NewRing(&b)
	l, err := NewBounded("info", "n1", r)
	require.NoError(t, err)
	l.Info("usage_reported", Counts("counts", map[string]int64{"b": 2, "a": 10}), zap.Duration("after", time.Second), zap.String("cause", "two words"))
	r.Close(timer.Real())
	assert.Contains(t, b.String(), `msg=usage_reported node=n1 counts=a:10,b:2 after=1s cause="two words"`)
}

// TestBurst writes ten times what the ring holds while nobody reads.
func TestBurst(t *testing.T) {
	s := &stuck{let: make(chan struct{})}
	r := NewRing(s)
	l, err := NewBounded("info", "n1", r)
	require.NoError(t, err)
	before, begun := droppedLines.Value(), time.Now()
	const lines = 10 * ringLines
	for range lines {
		l.Info("request_done", zap.String("outcome", "answered"))
	}
	assert.Less(t, time.Since(begun), 20*time.Second, "whoever logs never waits")
	close(s.let)
	r.Close(timer.Real())
	written := strings.Count(s.b.String(), "\n")
	assert.Equal(t, int64(lines-written), droppedLines.Value()-before, "every line is written or counted")
	assert.LessOrEqual(t, written, ringLines+2*batchBytes/len("msg=request_done"))
	assert.GreaterOrEqual(t, written, ringLines)
}

func TestLinesOfTheStandardLoggerAreEvents(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	Standard(zap.New(core), "http").Print("a line\n")
	l := logs.FilterMessage("http").All()
	require.Len(t, l, 1)
	assert.Equal(t, "a line", l[0].ContextMap()["text"])
}

func TestClosedRing(t *testing.T) {
	t.Run("a line that comes later", func(t *testing.T) {
		var b bytes.Buffer
		r := NewRing(&b)
		r.Close(timer.Real())
		assert.NotPanics(t, func() { _, _ = r.Write([]byte("late\n")) })
		assert.Empty(t, b.String())
	})
	t.Run("that nobody reads", func(t *testing.T) {
		s := &stuck{let: make(chan struct{})}
		t.Cleanup(func() { close(s.let) })
		r := NewRing(s)
		_, _ = r.Write([]byte("a line\n"))
		r.Close(timer.Real())
	})
}
