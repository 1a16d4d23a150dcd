package upstream

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// This file parses the time after which an upstream that rejected a request accepts requests again.

const headerRetryAfter = "Retry-After"

// maxCooldown bounds the cooldown that an upstream may ask for: a longer one makes no sense for an
// upstream on a reclaimable VM, and an absurd number must not disable an upstream for good.
const maxCooldown = time.Hour

// Cooldown returns how long the upstream asks for no further requests in a response that rejects one;
// 0: it doesn't ask. The value is a number of seconds, with a fraction or without, or a date (RFC 9110,
// section 10.2.3), which is taken relative to the response's own date, since the clocks of two VMs differ.
// Values that can't be parsed are ignored. The longest of several values applies: waiting too long costs
// less than a request during the cooldown.
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

// parseRetryAfter parses one header line. Seconds may be in a list, since a proxy may have joined lines.
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
		if err == nil && s > longest { // false for NaN
			longest = s
		}
	}
	return time.Duration(min(longest, maxCooldown.Seconds()) * float64(time.Second))
}

// rejection is ErrRejected with the cooldown that the upstream asks for.
type rejection struct {
	cause    string
	cooldown time.Duration
}

// Error returns the cause.
func (r *rejection) Error() string { return r.cause }

// Is makes errors.Is(err, ErrRejected) true.
func (r *rejection) Is(target error) bool { return target == ErrRejected } //nolint:errorlint // sentinel

// Rejected returns ErrRejected for a response that states that the upstream didn't run the request.
func Rejected(a *http.Response, detail string) error {
	return &rejection{cause: fmt.Sprintf("%v: status %d %s", ErrRejected, a.StatusCode, detail), cooldown: Cooldown(a)}
}

// CooldownOf returns the cooldown that an upstream asked for in the rejection behind err; 0: none.
func CooldownOf(err error) time.Duration {
	var r *rejection
	if errors.As(err, &r) {
		return r.cooldown
	}
	return 0
}
