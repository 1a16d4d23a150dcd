package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestIsAvoided(t *testing.T) {
	failed := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		now, failedAt, lastSeen time.Time
		want                    bool
	}{
		"has never failed":          {failed, time.Time{}, time.Time{}, false},
		"has just failed":           {failed, failed, failed.Add(-time.Second), true},
		"failed a while ago":        {failed.Add(retryPause), failed, failed.Add(-time.Second), false},
		"has reported since":        {failed.Add(time.Second), failed, failed.Add(time.Millisecond), false},
		"failed as it reported":     {failed.Add(time.Second), failed, failed, false},
		"failed and never reported": {failed.Add(time.Second), failed, time.Time{}, true},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, c.want, IsAvoided(c.now, c.failedAt, c.lastSeen)) })
	}
}
