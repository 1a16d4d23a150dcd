package logging

import (
	"expvar"
	"io"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"spurhall.example/spurhall/internal/timer"
)

// Ring hands lines to a writer by a goroutine of its own. When the writer is slower
// than the lines come, the newest are dropped and counted: whoever logs never waits.
type Ring struct {
	lines  chan []byte
	ending chan struct{}
	done   chan struct{}
	w      io.Writer
}

// ringLines bounds the memory that waiting lines take, at some 300 bytes each.
const ringLines = 4096

var droppedLines = expvar.NewInt("log_lines_dropped")

// NewRing starts a ring in front of w.
func NewRing(w io.Writer) *Ring {
	r := &Ring{lines: make(chan []byte, ringLines), ending: make(chan struct{}), done: make(chan struct{}), w: w}
	go r.run()
	return r
}

func (r *Ring) run() {
	defer close(r.done)
	for {
		select {
		case l := <-r.lines:
			r.write(l)
		case <-r.ending:
			for len(r.lines) > 0 {
				r.write(<-r.lines)
			}
			return
		}
	}
}

// write writes a line and those that wait behind it, as many as fit a batch.
func (r *Ring) write(l []byte) {
	b := append(make([]byte, 0, 2*len(l)), l...)
	for n := len(r.lines); n > 0 && len(b) < batchBytes; n-- {
		b = append(b, <-r.lines...)
	}
	_, _ = r.w.Write(b) // nobody is left to tell
}

// batchBytes bounds what one write takes: few writes for many lines.
const batchBytes = 32 << 10

// Write takes one line. It never fails and never waits.
func (r *Ring) Write(b []byte) (int, error) {
	l := append(make([]byte, 0, len(b)), b...)
	select {
	case r.lines <- l:
	default:
		droppedLines.Add(1)
	}
	return len(b), nil
}

// Sync does nothing: lines are written as soon as they can be.
func (r *Ring) Sync() error { return nil }

// lastWait is how long the lines that wait at the end may take to be written.
const lastWait = time.Second

// Close writes what is waiting, unless nobody reads it. Lines that come later aren't written.
func (r *Ring) Close(clock *timer.Service) {
	close(r.ending)
	c, stop := clock.After(lastWait)
	defer stop()
	select {
	case <-r.done:
	case <-c:
	}
}

// NewBounded returns a logger of key=value lines to a ring.
func NewBounded(level, node string, r *Ring) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	return zap.New(zapcore.NewCore(encoder(), r, l)).With(zap.String("node", node)), nil
}

func encoder() zapcore.Encoder {
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	c.EncodeDuration = zapcore.StringDurationEncoder
	return zaplogfmt.NewEncoder(c)
}
