// Package fault adds a reason to a sentinel error. The sentinels are errorx values,
// each of its own type and namespace. errorx's own Decorate hides its cause from
// errors.Is (in v0.8.0 both errors.Is and errors.Unwrap see nothing behind it), and
// callers here decide by errors.Is, so the wrapping is done by fmt.
package fault

import (
	"errors"
	"fmt"
)

// because is a sentinel with a reason.
type because struct {
	sentinel error
	reason   string
}

// Error returns "sentinel: reason".
func (b *because) Error() string { return b.sentinel.Error() + ": " + b.reason }

// Unwrap returns the sentinel.
func (b *because) Unwrap() error { return b.sentinel }

// Because returns an error that reads "sentinel: reason" and for which
// errors.Is(err, sentinel) holds.
func Because(sentinel error, format string, a ...any) error {
	return &because{sentinel, fmt.Sprintf(format, a...)}
}

// Reason returns an error's reason without its sentinel's text, or the whole text if it
// has none. It is for passing a reason on under another sentinel.
func Reason(err error) string {
	var b *because
	if errors.As(err, &b) {
		return b.reason
	}
	return err.Error()
}
