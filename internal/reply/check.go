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
	return CheckFields(a.Header)
}

// hasThreeDigits reports whether a status line's status begins with a number of three digits.
func hasThreeDigits(status string) bool {
	code, _, _ := strings.Cut(status, " ")
	return len(code) == 3 && strings.Trim(code, "0123456789") == ""
}

// CheckFields returns ErrMalformed if a field of a head or a trailer has a name or a value that is none.
func CheckFields(h http.Header) error {
	for name, values := range h {
		if !isToken(name) {
			return fault.Because(ErrMalformed, "it has a field named %q", shorten(name))
		}
		for _, v := range values {
			if strings.ContainsFunc(v, isControl) {
				return fault.Because(ErrMalformed, "the value of its field %s has a control byte", shorten(name))
			}
		}
	}
	return nil
}

// isToken reports whether a field may have a name.
func isToken(name string) bool {
	for i := range len(name) {
		c := name[i]
		letter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
		if !letter && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(c)) {
			return false
		}
	}
	return name != ""
}

// isControl reports whether a rune is a control character that a value may not have.
func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

// maxQuoted bounds what is quoted of a head in an error, in bytes.
const maxQuoted = 64

func shorten(s string) string { return s[:min(len(s), maxQuoted)] }
