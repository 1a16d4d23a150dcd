package relay

import "time"

// This file decides whether a relay is called that has failed to respond. Calling it on costs each of its nodes a
// time-out in each round; leaving it for good would leave a hall without relays after one slow second.

// retryPause is how long a failed relay isn't called unless it reports again.
const retryPause = 5 * time.Second

// IsAvoided reports whether a relay isn't called now, given when it last failed to respond (zero: never) and when its
// last report arrived.
func IsAvoided(now, failedAt, lastSeen time.Time) bool {
	return !failedAt.IsZero() && lastSeen.Before(failedAt) && now.Sub(failedAt) < retryPause
}
