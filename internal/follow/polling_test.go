package follow

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/roster"
	"spurhall.example/spurhall/internal/timer"
)

func TestPolling(t *testing.T) {
	run := func(t *testing.T, polls int, answer func(i int) error) (asked []string, failed bool) {
		t.Helper()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		p := Polling{
			Clock: timer.Real(), Log: zap.NewNop(), Names: func() []string { return []string{"a", "b"} }, Late: func() time.Duration { return 0 },
			WaitsFor: func(time.Time) bool { return false },
			Poll: func(_ context.Context, name string) error {
				if asked = append(asked, name); len(asked) == polls {
					cancel()
				}
				return answer(len(asked))
			},
		}
		failed = p.Run(ctx)
		return asked, failed
	}
	t.Run("stays with the first one that has news", func(t *testing.T) {
		asked, failed := run(t, 3, func(int) error { return nil })
		assert.Equal(t, []string{"a", "a", "a"}, asked)
		assert.False(t, failed)
	})
	t.Run("asks the next one after a failure", func(t *testing.T) {
		asked, failed := run(t, 4, func(i int) error {
			if i == 1 {
				return errors.New("silent")
			}
			return nil
		})
		assert.Equal(t, []string{"a", "b", "a", "a"}, asked)
		assert.False(t, failed)
	})
	t.Run("ends when all have failed", func(t *testing.T) {
		asked, failed := run(t, 9, func(int) error { return errors.New("silent") })
		assert.Len(t, asked, roster.WatchersPerHall)
		assert.True(t, failed)
	})
}
