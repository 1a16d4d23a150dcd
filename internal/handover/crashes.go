package handover

import (
	"context"
	"time"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/quarantine"
	"spurhall.example/spurhall/internal/timer"
)

// This file stores the crash evidence that quarantines requests, so that after a loss of all processes each request
// doesn't crash another three upstreams.

// CrashesRecord holds the crashes that quarantine requests.
var CrashesRecord = Record{Name: "held", Key: "spurhall/held"}

// crashesRetryPause is how often a starting process retries the read while the store is unavailable.
const crashesRetryPause = time.Second

// storedCrash is a crash of an upstream with its wall-clock time, as processes on other VMs read it.
type storedCrash struct {
	ID       quarantine.ID      `json:"print"`
	Prefixes []quarantine.Shape `json:"prefixes,omitempty"`
	Upstream string             `json:"upstream"`
	At       int64              `json:"at"` // Unix milliseconds
	Origin   quarantine.Origin  `json:"origin,omitempty"`
}

// Crashes stores the evidence for the holder of the duties.
type Crashes struct {
	token   int64 // of the term in which it was written
	written int64
}

// Write stores the evidence that quarantines requests when it has changed. The next step repeats a failed
// write.
func (v *Crashes) Write(ctx context.Context, s *Store, clock *timer.Service, token int64, t *quarantine.Tracker) {
	crashes, version := t.Evidence()
	if version == 0 || version == v.written && token == v.token {
		return // never any evidence, or already stored; a write of an earlier term may be lost
	}
	list := make([]storedCrash, len(crashes))
	for i, e := range crashes {
		list[i] = storedCrash{e.Fingerprint.ID(), e.Fingerprint.Prefixes(), e.Upstream, clock.WallOf(e.At).UnixMilli(), e.Origin}
	}
	if s.Write(ctx, CrashesRecord, token, list) {
		v.written, v.token = version, token
	}
}

// ReadCrashes returns the evidence that was stored before this process started. It waits for the store until the context
// ends.
func ReadCrashes(ctx context.Context, s *Store, clock *timer.Service) quarantine.Update {
	var u quarantine.Update
	var list []storedCrash
	for {
		found, err := s.Load(ctx, CrashesRecord, &list)
		if err == nil {
			break
		}
		s.Log.Info("held_unread", zap.String("cause", err.Error()))
		if found || clock.Sleep(ctx, crashesRetryPause) != nil {
			return u
		}
	}
	now := clock.Now()
	for _, v := range list {
		at := now.Add(-max(0, now.Sub(clock.At(time.UnixMilli(v.At))))) // no crash lies in the future
		u.Crashes = append(u.Crashes, quarantine.Crash{Fingerprint: quarantine.NewFingerprint(v.ID, v.Prefixes), Upstream: v.Upstream, At: at, Origin: v.Origin})
	}
	return u
}
