package edge

import (
	"context"
	"math"
	"time"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/quota"
)

// This file keeps the quotas' levels over the loss of all processes: the holder of the
// duties writes them to the store, and a process that starts reads them. quota/recall.go
// says why.

const (
	// levelsEvery is how often levels are looked at for writing, at most.
	levelsEvery = 500 * time.Millisecond
	// levelsAgain is how often they are written though they didn't change: a process that
	// starts goes by none that are older than some seconds.
	levelsAgain = 3 * time.Second
	// levelsChange is the part of a burst by which a level has to change to be written.
	levelsChange = 0.1
)

// levelsRecord is the levels.
var levelsRecord = record{name: "levels", key: "spurhall/levels"}

// levelsValue is the levels at a moment.
type levelsValue struct {
	At     int64                  `json:"at"` // milliseconds of the wall clock
	Levels map[string]quota.Level `json:"levels"`
}

// levels is the holder's side of them.
type levels struct {
	looked  time.Time
	written time.Time
	last    map[string]quota.Level
}

// write puts the levels into the store if they changed.
func (v *levels) write(ctx context.Context, n *Node, token int64) {
	now := n.clock.Now()
	if now.Sub(v.looked) < levelsEvery-dutyEvery/2 {
		return
	}
	v.looked = now
	n.mu.Lock()
	l := n.quotas.Levels(now)
	n.mu.Unlock()
	if len(l) == 0 || now.Sub(v.written) < levelsAgain && !v.changed(n, l) {
		return
	}
	if levelsRecord.write(ctx, n, token, levelsValue{At: n.clock.WallOf(now).UnixMilli(), Levels: l}) {
		v.written, v.last = now, l
	}
}

// changed tells whether a level differs enough from what was written.
func (v *levels) changed(n *Node, now map[string]quota.Level) bool {
	c := n.current()
	if c == nil {
		return false
	}
	for _, w := range c.Workspaces() {
		if math.Abs(now[w.Name()].Level-v.last[w.Name()].Level) > levelsChange*w.Burst() {
			return true
		}
	}
	return false
}

// recallLevels goes on from what was written down before this process began.
func (n *Node) recallLevels(ctx context.Context) {
	if n.s.FirstStart {
		return
	}
	var v levelsValue
	if !levelsRecord.read(ctx, n, &v) {
		return
	}
	now := n.clock.Now()
	age := now.Sub(n.clock.At(time.UnixMilli(v.At)))
	n.mu.Lock()
	taken := n.quotas.Restore(now, max(0, age), levelsEvery, v.Levels)
	n.mu.Unlock()
	n.log.Info("levels_found", zap.Duration("age", age), zap.Int("workspaces", len(v.Levels)), zap.Bool("taken", taken))
}
