package planlog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"spurhall.example/spurhall/internal/autoscale"
	"spurhall.example/spurhall/internal/timer"
)

// TestPlansAreLoggedWhenTheyChange checks that there is a line for a changed plan, and one a second at the most.
func TestPlansAreLoggedWhenTheyChange(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	core, lines := observer.New(zap.InfoLevel)
	l := New(clock.Service(), zap.New(core))
	p := autoscale.Planned{Need: 10, OnDemand: 1, Reclaimable: 18, Reason: autoscale.ReasonCalm}
	l.Record("s", p)
	assert.Equal(t, 1, lines.Len())
	clock.Advance(2 * time.Second)
	p.Need = 11
	l.Record("s", p)
	assert.Equal(t, 1, lines.Len(), "neither counts nor reason have changed")
	p.Reason = autoscale.ReasonWave
	l.Record("s", p)
	assert.Equal(t, 2, lines.Len())
	for range 8 {
		p.OnDemand++
		l.Record("s", p)
		clock.Advance(100 * time.Millisecond)
	}
	assert.Equal(t, 2, lines.Len())
	clock.Advance(time.Second)
	l.Record("s", p)
	last := lines.All()[lines.Len()-1]
	assert.Equal(t, 3, lines.Len())
	assert.Equal(t, "room_planned", last.Message)
	assert.Equal(t, "wave", last.ContextMap()["reason"])
	assert.Equal(t, int64(9), last.ContextMap()["on_demand"])
	l.Record("other", p)
	assert.Equal(t, 4, lines.Len(), "each service has its own")
	assert.NotNil(t, roomFigures.Get("other"))
	l.Clear()
	assert.Nil(t, roomFigures.Get("other"), "another process gives the orders")
	l.Record("other", p)
	assert.Equal(t, 5, lines.Len(), "a new term begins with a line")
}
