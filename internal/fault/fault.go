// Package fault adds a reason to a sentinel error. The sentinels are errorx values,
// each of its own type and namespace. errorx's own Decorate hides its cause from
// errors.Is (in v0.8.0 both errors.Is and errors.Unwrap see nothing behind it), and
// callers here decide by errors.Is, so the wrapping is done by fmt.
package fault

import "fmt"

// Because returns an error that reads "sentinel: reason" and for which
// errors.Is(err, sentinel) holds.
func Because(sentinel error, format string, a ...any) error {
	return fmt.Errorf("%w: %s", sentinel, fmt.Sprintf(format, a...))
}
