package logging

import (
	"expvar"
	"io"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Ring hands lines to a writer by a goroutine of its own. When the writer is slower
// than the lines come, the newest are dropped and counted: whoever logs never waits.
type Ring struct {
	lines chan []byte
	done  chan struct{}
	w     io.Writer
}

// ringLines bounds the memory that waiting lines take, at some 300 bytes each.
const ringLines = 4096

var droppedLines = expvar.NewInt("log_lines_dropped")

// NewRing starts a ring in front of w.
func NewRing(w io.Writer) *Ring {
	r := &Ring{lines: make(chan []byte, ringLines), done: make(chan struct{}), w: w}
	go r.run()
	return r
}

func (r *Ring) run() {
	defer close(r.done)
	var b []byte
	for l := range r.lines {
		b = append(b[:0], l...)
		for n := len(r.lines); n > 0 && len(b) < batchBytes; n-- {
			b = append(b, <-r.lines...)
		}
		_, _ = r.w.Write(b) // nobody is left to tell
	}
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

// Close writes what is waiting. Nothing may be written afterwards.
func (r *Ring) Close() {
	close(r.lines)
	<-r.done
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
