package handover

import (
	"context"
	"math"
	"time"

	"spurhall.example/spurhall/internal/quota"
	"spurhall.example/spurhall/internal/timer"
)

// This file stores the quotas' levels, which a starting process reads. Package quota gives the reasons.

const (
	// LevelsCheckInterval is the shortest time between two checks for changed levels.
	LevelsCheckInterval = 500 * time.Millisecond
	// levelsRewriteInterval is how often unchanged levels are written: a starting process ignores levels that
	// are older than a few seconds.
	levelsRewriteInterval = 3 * time.Second
	// minLevelChange is the fraction of a burst by which a level has to change to be written.
	minLevelChange = 0.1
)

// LevelsRecord holds the levels.
var LevelsRecord = Record{Name: "levels", Key: "spurhall/levels"}

// levelsValue is the levels at a point in time.
type levelsValue struct {
	At     int64                  `json:"at"` // Unix milliseconds
	Levels map[string]quota.Level `json:"levels"`
}

// Levels stores the quotas' levels for the holder of the duties.
type Levels struct {
	clock         *timer.Service
	step          time.Duration // of the duties
	checkedAt     time.Time
	writtenAt     time.Time
	writtenLevels map[string]quota.Level
	with          func() []Entry
}

// NewLevels returns a writer of levels that is called once per step.
func NewLevels(clock *timer.Service, step time.Duration) *Levels {
	return &Levels{clock: clock, step: step}
}

// Add has f's entries written in the same call as the levels.
func (v *Levels) Add(f func() []Entry) { v.with = f }

// IsDue reports whether the levels are to be checked now.
func (v *Levels) IsDue() bool {
	return v.clock.Since(v.checkedAt) >= LevelsCheckInterval-v.step/2
}

// WrittenAt returns when levels were last written.
func (v *Levels) WrittenAt() time.Time { return v.writtenAt }

// Write stores the levels if one has changed enough for its workspace's burst.
func (v *Levels) Write(ctx context.Context, s *Store, token int64, levels map[string]quota.Level, bursts map[string]float64) {
	now := v.clock.Now()
	v.checkedAt = now
	if len(levels) == 0 || now.Sub(v.writtenAt) < levelsRewriteInterval && !v.changed(levels, bursts) {
		return
	}
	entries := []Entry{{LevelsRecord, levelsValue{At: v.clock.WallOf(now).UnixMilli(), Levels: levels}}}
	if v.with != nil {
		entries = append(entries, v.with()...)
	}
	if s.WriteAll(ctx, token, entries) {
		v.writtenAt, v.writtenLevels = now, levels
	}
}

// changed reports whether a level differs enough from the stored one.
func (v *Levels) changed(now map[string]quota.Level, bursts map[string]float64) bool {
	for name, b := range bursts {
		if math.Abs(now[name].Level-v.writtenLevels[name].Level) > minLevelChange*b {
			return true
		}
	}
	return false
}

// ReadLevels returns the levels that were stored, and their age, if there are any.
func ReadLevels(ctx context.Context, s *Store, clock *timer.Service) (levels map[string]quota.Level, age time.Duration, ok bool) {
	var v levelsValue
	if !s.Read(ctx, LevelsRecord, &v) {
		return nil, 0, false
	}
	return v.Levels, max(0, clock.Since(clock.At(time.UnixMilli(v.At)))), true
}
