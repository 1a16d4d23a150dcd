package reply

import (
	"net/http"
	"strings"

	"spurhall.example/spurhall/internal/fault"
)

// This file says what the head of a response is (RFC 9112, sections 4 and 5, and RFC 9110, sections 5 and 15), where net/http
// takes more for one.

// ErrMalformed means that what came in place of a response isn't one.
var ErrMalformed = errs.NewType("malformed").New("what came isn't a response")

// The statuses that end an exchange.
const (
	minStatus = 200
	maxStatus = 599
)

// Check returns ErrMalformed for the head of a final response that is none. 101 isn't one either: nobody here asks for another
// protocol.
func Check(a *http.Response) error {
	switch {
	case a.ProtoMajor != 1:
		return fault.Because(ErrMalformed, "its protocol is %q", a.Proto)
	case a.StatusCode < minStatus || a.StatusCode > maxStatus || !hasThreeDigits(a.Status):
		return fault.Because(ErrMalformed, "its status is %q", shorten(a.Status))
	}
	return nil
}

// hasThreeDigits reports whether a status line's status begins with a number of three digits.
func hasThreeDigits(status string) bool {
	code, _, _ := strings.Cut(status, " ")
	return len(code) == 3 && strings.Trim(code, "0123456789") == ""
}

// maxQuoted bounds what is quoted of a head in an error, in bytes.
const maxQuoted = 64

func shorten(s string) string { return s[:min(len(s), maxQuoted)] }
