package follow

import (
	"context"
	"time"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/roster"
	"spurhall.example/spurhall/internal/timer"
)

// This file polls the watchers of a hall one after the other, for a node that doesn't watch the store itself.

const (
	pollGap = 100 * time.Millisecond // between two polls without news
	// repeatedFailures is the number of failed polls in a row of which one is logged.
	repeatedFailures = 20
)

// Polling follows the watchers of one node's hall.
type Polling struct {
	Clock    *timer.Service
	Log      *zap.Logger
	Names    func() []string // the nodes to poll, in their order; there is always one
	Poll     func(ctx context.Context, name string) error
	WaitsFor func(lastNews time.Time) bool // this node polls on although the watchers have failed it, since it last had news then
	Late     func() time.Duration          // how late this process runs
}

// Run polls until all watchers have failed in a row, so that this node has to watch by itself, or the context ends. It reports
// whether they have failed.
func (p *Polling) Run(ctx context.Context) (failed bool) {
	inARow, lastNews := 0, p.Clock.Now()
	p.Log.Info("following", zap.Strings("watchers", p.Names()))
	for ctx.Err() == nil {
		names := p.Names()
		name := names[inARow%len(names)]
		asked := p.Clock.Now()
		err := p.Poll(ctx, name)
		if err == nil {
			inARow, lastNews = 0, p.Clock.Now()
			continue
		}
		if ctx.Err() != nil {
			return false
		}
		inARow++
		if inARow <= roster.WatchersPerHall || inARow%repeatedFailures == 0 {
			p.Log.Info("follow_failed", zap.String("peer", name), zap.Int("in_a_row", inARow), zap.String("cause", err.Error()),
				zap.Duration("took", p.Clock.Since(asked)), zap.Duration("late", p.Late()))
		}
		if p.WaitsFor(lastNews) {
			_ = p.Clock.Sleep(ctx, pollGap) // the loop condition checks the context
			continue
		}
		if inARow >= roster.WatchersPerHall {
			return true
		}
	}
	return false
}
