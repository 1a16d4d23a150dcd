package upstream

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// This file reads what a refusal says of when its upstream can be asked again.

const headerRetryAfter = "Retry-After"

// restMost bounds the rest that an upstream may ask for: what is longer is no rest of one that
// lives on a reclaimable VM, and a number that can't be meant mustn't put it out of use for good.
const maxCooldown = time.Hour

// Rest returns how long the upstream that gave an answer wants nothing more, as its refusal says; 0:
// it doesn't. It says so in seconds, with a fraction or without, or by a date (RFC 9110, section
// 10.2.3), which counts from the answer's own date, since clocks of two VMs differ. What can't be
// read counts as not said; of several words the longest holds: who waits too long loses less than who comes
// while it isn't wanted.
func Cooldown(a *http.Response) time.Duration {
	if a.StatusCode != http.StatusServiceUnavailable && a.StatusCode != http.StatusTooManyRequests {
		return 0
	}
	longest := time.Duration(0)
	for _, v := range a.Header.Values(headerRetryAfter) {
		longest = max(longest, parseRetryAfter(v, a.Header.Get("Date")))
	}
	return longest
}

// restOf reads one line. Seconds may stand in a list, as lines that were joined on the way do.
func parseRetryAfter(line, date string) time.Duration {
	if until, err := http.ParseTime(line); err == nil {
		at, err := http.ParseTime(date)
		if err != nil {
			return 0
		}
		return min(max(0, until.Sub(at)), maxCooldown)
	}
	longest := 0.0
	for _, v := range strings.Split(line, ",") {
		s, err := strconv.ParseFloat(strings.TrimSpace(v), 64)
		if err == nil && s > longest { // so that what is no number is none
			longest = s
		}
	}
	return time.Duration(min(longest, maxCooldown.Seconds()) * float64(time.Second))
}

// refusal is ErrRefused with the rest that its upstream asks for.
type rejection struct {
	cause string
	cooldown  time.Duration
}

// Error returns the cause.
func (r *rejection) Error() string { return r.cause }

// Is makes errors.Is(err, ErrRefused) hold.
func (r *rejection) Is(target error) bool { return target == ErrRejected } //nolint:errorlint // sentinel

// Refused returns ErrRefused for an answer by which an upstream says that it didn't run the request.
func Rejected(a *http.Response, detail string) error {
	return &rejection{cause: fmt.Sprintf("%v: status %d %s", ErrRejected, a.StatusCode, detail), cooldown: Cooldown(a)}
}

// RestAsked returns the rest that an upstream asked for with an error; 0: none.
func CooldownOf(err error) time.Duration {
	var r *rejection
	if errors.As(err, &r) {
		return r.cooldown
	}
	return 0
}
