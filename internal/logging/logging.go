// Package logging builds the process's logger: zap, one line of key=value pairs
// for each event.
package logging

import (
	"io"
	"log"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/timer"
)

// Open returns the process's logger, which writes to w through a ring, at the level named ("debug", "info", "warn", "error"), and
// what to call at the process's end. Lines of the standard library's own logger become events, too: it would write them while
// locks are held, and wait for whoever reads them.
func Open(w io.Writer, level, node string, clock *timer.Service) (*zap.Logger, func(), error) {
	r := NewRing(w)
	l, err := NewBounded(level, node, r)
	if err != nil {
		r.Close(clock)
		return nil, nil, err
	}
	log.SetFlags(0)
	log.SetOutput(standardWriter{l, "library"})
	return l, func() { r.Close(clock) }, nil
}
