// Package logging builds the process's logger: zap, one line of key=value pairs
// for each event.
package logging

import (
	"os"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
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
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	c.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zaplogfmt.NewEncoder(c), zapcore.Lock(os.Stderr), l)
	return zap.New(core).With(zap.String("node", node)), nil
}
