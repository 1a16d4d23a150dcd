package edge

import (
	"context"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/handover"
)

// This file connects the records of the duties' holder (package handover) with this node's quotas and usage.

// records returns the store of the records.
func (n *Node) records() *handover.Store {
	return &handover.Store{KV: n.kv, Lease: dutyKey, Log: n.log}
}

// restoreUsage counts what the previous holder has written.
func (n *Node) restoreUsage(ctx context.Context) {
	list := handover.ReadCounts(ctx, n.records())
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range list {
		n.usage.Merge(p.Node, p.Incarnation, p.Windows)
	}
}

func (n *Node) writeUsage(ctx context.Context, v *handover.Usage, token int64) {
	now := n.clock.Wall()
	newest := n.usage.Window(now) - 1
	v.Write(ctx, n.records(), token, now, newest, n.usage.WindowEnd(newest), func() []handover.ProcessCounts {
		n.mu.Lock()
		defer n.mu.Unlock()
		return handover.CountsOf(n.usage, n.settings.Node, n.options.Incarnation, newest)
	})
}

// newLevels returns a writer of levels that writes the newest counts beside them.
func (n *Node) newLevels(u *handover.Usage) *handover.Levels {
	v := handover.NewLevels(n.clock, dutyInterval)
	v.Add(func() []handover.Entry {
		return u.Running(n.clock.Now(), func() []handover.ProcessCounts {
			n.mu.Lock()
			defer n.mu.Unlock()
			return handover.RunningCountsOf(n.usage, n.settings.Node, n.options.Incarnation, n.usage.Window(n.clock.Wall()))
		})
	})
	return v
}

func (n *Node) writeLevels(ctx context.Context, v *handover.Levels, token int64) {
	if !v.IsDue() {
		return
	}
	n.mu.Lock()
	l := n.quotas.Levels(n.clock.Now())
	n.mu.Unlock()
	bursts := make(map[string]float64)
	if c := n.currentCatalog(); c != nil {
		for _, w := range c.Workspaces() {
			bursts[w.Name()] = w.Burst()
		}
	}
	v.Write(ctx, n.records(), token, l, bursts)
}

// restoreLevels continues from the levels that were stored before this process started.
func (n *Node) restoreLevels(ctx context.Context) {
	if n.settings.FirstStart {
		return
	}
	l, age, ok := handover.ReadLevels(ctx, n.records(), n.clock)
	if !ok {
		return
	}
	n.mu.Lock()
	accepted := n.quotas.Restore(n.clock.Now(), age, handover.LevelsCheckInterval, l)
	n.mu.Unlock()
	n.log.Info("levels_found", zap.Duration("age", age), zap.Int("workspaces", len(l)), zap.Bool("taken", accepted))
}
