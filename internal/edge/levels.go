package edge

import (
	"context"
	"math"
	"time"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/quota"
)

// This file preserves the quotas' levels over the loss of all processes: the holder of the duties writes
// them to the store, and a starting process reads them. Package quota gives the reasons.

const (
	// levelsCheckInterval is the shortest time between two checks for changed levels.
	levelsCheckInterval = 500 * time.Millisecond
	// levelsRewriteInterval is how often unchanged levels are written: a starting process ignores levels that
	// are older than a few seconds.
	levelsRewriteInterval = 3 * time.Second
	// minLevelChange is the fraction of a burst by which a level has to change to be written.
	minLevelChange = 0.1
)

// levelsRecord holds the levels.
var levelsRecord = record{name: "levels", key: "spurhall/levels"}

// levelsValue is the levels at a point in time.
type levelsValue struct {
	At     int64                  `json:"at"` // Unix milliseconds
	Levels map[string]quota.Level `json:"levels"`
}

// levelsWriter stores the levels for the holder of the duties.
type levelsWriter struct {
	checkedAt     time.Time
	writtenAt     time.Time
	writtenLevels map[string]quota.Level
}

// write stores the levels if they have changed.
func (v *levelsWriter) write(ctx context.Context, n *Node, token int64) {
	now := n.clock.Now()
	if now.Sub(v.checkedAt) < levelsCheckInterval-dutyInterval/2 {
		return
	}
	v.checkedAt = now
	n.mu.Lock()
	l := n.quotas.Levels(now)
	n.mu.Unlock()
	if len(l) == 0 || now.Sub(v.writtenAt) < levelsRewriteInterval && !v.changed(n, l) {
		return
	}
	if levelsRecord.write(ctx, n, token, levelsValue{At: n.clock.WallOf(now).UnixMilli(), Levels: l}) {
		v.writtenAt, v.writtenLevels = now, l
	}
}

// changed reports whether a level differs enough from the stored one.
func (v *levelsWriter) changed(n *Node, now map[string]quota.Level) bool {
	c := n.currentCatalog()
	if c == nil {
		return false
	}
	for _, w := range c.Workspaces() {
		if math.Abs(now[w.Name()].Level-v.writtenLevels[w.Name()].Level) > minLevelChange*w.Burst() {
			return true
		}
	}
	return false
}

// restoreLevels continues from the levels that were stored before this process started.
func (n *Node) restoreLevels(ctx context.Context) {
	if n.settings.FirstStart {
		return
	}
	var v levelsValue
	if !levelsRecord.read(ctx, n, &v) {
		return
	}
	now := n.clock.Now()
	age := now.Sub(n.clock.At(time.UnixMilli(v.At)))
	n.mu.Lock()
	accepted := n.quotas.Restore(now, max(0, age), levelsCheckInterval, v.Levels)
	n.mu.Unlock()
	n.log.Info("levels_found", zap.Duration("age", age), zap.Int("workspaces", len(v.Levels)), zap.Bool("taken", accepted))
}
