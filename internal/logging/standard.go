package logging

import (
	"bytes"
	"log"

	"go.uber.org/zap"
)

// Standard returns a logger of the standard library, whose lines become the text of an event.
func Standard(l *zap.Logger, event string) *log.Logger {
	return log.New(standardWriter{l, event}, "", 0)
}

type standardWriter struct {
	log   *zap.Logger
	event string
}

func (w standardWriter) Write(b []byte) (int, error) {
	w.log.Info(w.event, zap.ByteString("text", bytes.TrimSuffix(b, []byte("\n"))))
	return len(b), nil
}
