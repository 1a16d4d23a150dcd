package handover

import (
	"context"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"spurhall.example/spurhall/internal/quarantine"
	"spurhall.example/spurhall/internal/timer"
	"spurhall.example/spurhall/internal/wire"
)

// This file stores the crash evidence that quarantines parts of prompts, as crashes.go does for requests.

// PartsRecord holds the crashes that quarantine parts.
var PartsRecord = Record{Name: "held_parts", Key: "spurhall/quarantined-parts"}

// storedParts is an update as nodes send it to each other, and when it was made.
type storedParts struct {
	At     int64  `json:"at"` // Unix milliseconds
	Update []byte `json:"update"`
}

// Parts stores the evidence for the holder of the duties.
type Parts struct {
	token   int64 // of the term in which it was written
	written int64
}

// Write stores the evidence that quarantines parts when it has changed. The next step repeats a failed write.
func (v *Parts) Write(ctx context.Context, s *Store, clock *timer.Service, token int64, t *quarantine.Tracker) {
	u, version := t.PartEvidence()
	if version == 0 || version == v.written && token == v.token {
		return // never any evidence, or already stored; a write of an earlier term may be lost
	}
	m := u.ToWire(clock.Now())
	if m == nil {
		m = &wire.Suspicions{}
	}
	b, err := proto.Marshal(m)
	if err != nil {
		s.Log.Error("held_parts_unwritten", zap.String("cause", err.Error()))
		return
	}
	if s.Write(ctx, PartsRecord, token, storedParts{At: clock.Wall().UnixMilli(), Update: b}) {
		v.written, v.token = version, token
	}
}

// ReadParts returns the evidence that was stored before this process started. It waits for the store until the context
// ends.
func ReadParts(ctx context.Context, s *Store, clock *timer.Service) quarantine.Update {
	var v storedParts
	for {
		found, err := s.Load(ctx, PartsRecord, &v)
		if err == nil && !found {
			return quarantine.Update{}
		}
		if err == nil {
			break
		}
		s.Log.Info("held_parts_unread", zap.String("cause", err.Error()))
		if found || clock.Sleep(ctx, crashesRetryPause) != nil {
			return quarantine.Update{}
		}
	}
	m := &wire.Suspicions{}
	if err := proto.Unmarshal(v.Update, m); err != nil {
		s.Log.Info("held_parts_unread", zap.String("cause", err.Error()))
		return quarantine.Update{}
	}
	now := clock.Now()
	stored := max(0, now.Sub(clock.At(time.UnixMilli(v.At)))) // it was not stored in the future
	return quarantine.UpdateFromWire(now.Add(-stored), m)
}
