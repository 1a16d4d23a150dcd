package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"spurhall.example/spurhall/internal/member"
)

func TestUpstreamThatLeftAfterItsChoiceIsSentNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	table := member.NewTable(nil)
	table.Observe(now, member.Fact{ID: "u", Address: "10.0.0.1:1", Incarnation: 1, Status: member.StatusLive})
	d := &Dispatcher{o: Options{Table: table}}
	require.NoError(t, d.mayWrite(t.Context(), "u"))
	require.NoError(t, d.mayWrite(t.Context(), "legacy:10.9.0.1:80"), "one that isn't a VM of ours")
	table.Mark(now, "u", member.StatusLeaving, time.Time{})
	assert.ErrorIs(t, d.mayWrite(t.Context(), "u"), errLeft)
	t.Run("nor anything for a caller that has left", func(t *testing.T) {
		c, cancel := context.WithCancel(t.Context())
		cancel()
		assert.ErrorIs(t, d.mayWrite(c, "u"), context.Canceled)
	})
}
