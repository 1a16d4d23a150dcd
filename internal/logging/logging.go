// Package logging builds the process's logger: zap, one line of key=value pairs
// for each event.
package logging

import (
	"os"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a logger to standard error at the level named ("debug", "info",
// "warn", "error").
func New(level, node string) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	core := zapcore.NewCore(encoder(), zapcore.Lock(os.Stderr), l)
	return zap.New(core).With(zap.String("node", node)), nil
}
