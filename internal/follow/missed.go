package follow

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/timer"
)

// This file has a node that may have missed versions of upstreams ask others which ones they know.
//
// A version that nobody saw has begun no stream: who began one knows its version. So what was missed is known once a node has
// said what it knows that has missed nothing, or once all that may remember streams have. Until then the versions are asked for
// again.

const (
	// missedPause is the time between two rounds of questions, and missedTimeout bounds the wait for one node.
	missedPause   = time.Second
	missedTimeout = 400 * time.Millisecond
)

// Missed asks other nodes. All fields are required.
type Missed struct {
	Clock *timer.Service
	Log   *zap.Logger
	Step  *Step
	// Nodes returns the other nodes to be asked: a bounded number, whatever the size of the fleet.
	Nodes func() []string
	// Ask records the versions that another node knows, and reports whether that one can't have missed any.
	Ask func(ctx context.Context, node string) (whole bool, err error)

	running atomic.Bool
	triedAt atomic.Pointer[time.Time]
}

// Check asks in the background if that is needed, and not too soon after the last time.
func (m *Missed) Check(ctx context.Context, now time.Time) {
	at := m.triedAt.Load()
	if m.Step.MissedAgo(now) == 0 || m.Step.Heard() || !m.Step.Holds(now) || at != nil && now.Sub(*at) < missedPause || !m.running.CompareAndSwap(false, true) {
		return
	}
	m.triedAt.Store(&now)
	go func() { // ends by its time-outs
		defer m.running.Store(false)
		m.ask(ctx, now)
	}()
}

// ask asks node after node until one says all, and records that what was missed before now is known.
func (m *Missed) ask(ctx context.Context, now time.Time) {
	names, failed := m.Nodes(), 0
	for _, name := range names {
		c, cancel := context.WithTimeout(ctx, missedTimeout)
		whole, err := m.Ask(c, name)
		cancel()
		switch {
		case err != nil:
			failed++
			m.Log.Info("versions_unheard", zap.String("peer", name), zap.String("cause", err.Error()))
		case whole:
			m.Step.Hear(now)
			m.Log.Info("versions_complete", zap.String("peer", name), zap.Duration("missed_ago", m.Step.MissedAgo(now)))
			return
		}
	}
	if len(names) > 0 && failed == 0 {
		m.Step.Hear(now)
		m.Log.Info("versions_complete", zap.Int("peers", len(names)), zap.Duration("missed_ago", m.Step.MissedAgo(now)))
	}
}
