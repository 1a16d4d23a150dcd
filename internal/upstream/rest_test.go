package upstream

import (
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestCooldown(t *testing.T) {
	read := func(status int, h ...string) time.Duration {
		a := &http.Response{StatusCode: status, Header: http.Header{}}
		for i := 0; i+1 < len(h); i += 2 {
			a.Header.Set(h[i], h[i+1])
		}
		return Cooldown(a)
	}
	for v, want := range map[string]time.Duration{
		"3": 3 * time.Second, "0.25": 250 * time.Millisecond, " 2 ": 2 * time.Second, "1e300": maxCooldown, "+Inf": maxCooldown,
		"0": 0, "-1": 0, "NaN": 0, "soon": 0, "": 0, "Wed, 21 Oct 2015 07:28:05 GMT": 5 * time.Second, "Wed, 21 Oct 2015 07:27:00 GMT": 0,
	} {
		assert.Equal(t, want, read(503, "Retry-After", v, "Date", "Wed, 21 Oct 2015 07:28:00 GMT"), v)
	}
	assert.Zero(t, read(503, "Retry-After", "Wed, 21 Oct 2015 07:28:05 GMT"), "a date without the answer's own says nothing")
	assert.Equal(t, time.Second, read(429, "Retry-After", "1"))
	assert.Zero(t, read(200, "Retry-After", "1"), "no refusal")
	t.Run("several lines or a list: none of them is passed over", func(t *testing.T) {
		lines := func(v ...string) time.Duration {
			return Cooldown(&http.Response{StatusCode: 503, Header: http.Header{"Retry-After": v, "Date": {"Wed, 21 Oct 2015 07:28:00 GMT"}}})
		}
		assert.Equal(t, 3*time.Second, lines("1", "3"))
		assert.Equal(t, 3*time.Second, lines("3", "1"))
		assert.Equal(t, 3*time.Second, lines("1, 3"))
		assert.Equal(t, 2*time.Second, lines("soon", "2"))
		assert.Equal(t, 5*time.Second, lines("1", "Wed, 21 Oct 2015 07:28:05 GMT"))
	})
	t.Run("an error carries it", func(t *testing.T) {
		a := &http.Response{StatusCode: 503, Header: http.Header{"Retry-After": {"2"}}}
		err := fmt.Errorf("a chat: %w", Rejected(a, "busy"))
		assert.True(t, errors.Is(err, ErrRejected))
		assert.Equal(t, 2*time.Second, CooldownOf(err))
		assert.Zero(t, CooldownOf(ErrRejected))
	})
}
