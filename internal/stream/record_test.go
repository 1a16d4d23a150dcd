package stream

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// TestRecordNeverMixesAttempts: attempts come and go, their chunks arrive late and
// out of order, some from an engine that makes another text of the same prompt.
// The record only ever holds the beginning of an answer without gaps, each part by
// the attempt that was current then.
func TestRecordNeverMixesAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewRecord("x")
		type chunk struct{ attempt, offset int }
		var late []chunk
		current, next := 0, 0
		var want []string
		for i := 0; i < 60; i++ {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				current, next = r.StartAttempt()
				assert.Equal(t, len(want), next, "a new attempt goes on where the answer stands")
			case 1, 2:
				if current == 0 {
					continue
				}
				late = append(late, chunk{current, next})
				next++
			default:
				if len(late) == 0 {
					continue
				}
				k := rapid.IntRange(0, len(late)-1).Draw(t, "which")
				c := late[k]
				text := strconv.Itoa(c.attempt) + ":" + strconv.Itoa(c.offset)
				err := r.Append(c.attempt, c.offset, text)
				fits := c.attempt == current && c.offset == len(want)
				assert.Equal(t, fits, err == nil)
				if fits {
					want = append(want, text)
				}
			}
		}
		assert.Equal(t, strings.Join(want, ""), r.Text())
	})
}

func TestRecordEndsOnce(t *testing.T) {
	r := NewRecord("x")
	a, _ := r.StartAttempt()
	assert.NoError(t, r.Append(a, 0, "a"))
	b, _ := r.StartAttempt()
	assert.False(t, r.FinishAttempt(a, time.Time{}), "an old attempt can't end it")
	assert.True(t, r.FinishAttempt(b, time.Time{}))
	assert.False(t, r.Finish(OutcomeUnknown, "late", 0, time.Time{}))
	assert.ErrorIs(t, r.Append(b, 1, "b"), ErrEnded)
	assert.Equal(t, OutcomeDone, r.Read(0).Outcome)
}
