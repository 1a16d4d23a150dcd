package lineage

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// This file keeps what a node remembers for its next process.

// Saved connects a keeper with what is stored of it. All functions are needed if Load is set; with its zero value nothing
// is stored.
type Saved struct {
	// Load reads what was stored before this process started. It fails if the store isn't available.
	Load func(ctx context.Context) ([]Record, error)
	// Save stores what the node remembers.
	Save func(ctx context.Context, list []Record) error
	// Needed reports whether what nodes remember has to outlast them: only while a service has several versions.
	Needed func() bool
	// Interval returns the shortest time between two saves.
	Interval func() time.Duration
}

// savesShare is the part of the store's writes that all nodes together use at most for what they keep.
const savesShare = 0.25

// SaveInterval returns the shortest time between two saves of a node in a fleet whose store takes some writes a second from
// all nodes together; 0: it states no rate.
func SaveInterval(nodes []Node, writes float64) time.Duration {
	if writes <= 0 {
		return MinSaveInterval
	}
	return max(MinSaveInterval, time.Duration(float64(time.Second)*float64(len(Candidates(nodes)))/(savesShare*writes)))
}

const (
	loadRetryPause = 200 * time.Millisecond
	saveTimeout    = time.Second
	// restoreTimeout bounds how long a caller waits for what was stored, after which other nodes are asked.
	restoreTimeout = 250 * time.Millisecond
)

// MinSaveInterval is the shortest time between two saves: a stream that began since the last one of both its keepers is
// refused after a loss of all nodes.
const MinSaveInterval = 100 * time.Millisecond

// lateSave is how long the first of the records that a save stores may have waited until it was stored, without a line.
const lateSave = 3 * MinSaveInterval

// RunSaved reads what was stored, and then stores what the node remembers when it has come to keep more, until the context
// ends.
func (k *Keeper) RunSaved(ctx context.Context) {
	if k.o.Load == nil || !k.load(ctx) {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.dirty:
		}
		k.Save(ctx)
		if k.o.Clock.Sleep(ctx, k.o.Interval()) != nil {
			return
		}
	}
}

// keep counts streams that the node has come to keep.
func (k *Keeper) keep(streams int) {
	if streams > 0 {
		k.kept.Add(int64(streams))
		k.SaveSoon()
	}
}

// SaveSoon has what the node remembers stored if it has come to keep more, and if that is needed now.
func (k *Keeper) SaveSoon() {
	if k.o.Save != nil && k.o.Needed() {
		k.unsavedSince.CompareAndSwap(0, max(1, int64(k.o.Clock.Since(k.start))))
		k.markDirty()
	}
}

func (k *Keeper) markDirty() {
	select {
	case k.dirty <- struct{}{}:
	default: // it is marked already
	}
}

// load reads what was stored, and reports whether it could before the context ended.
func (k *Keeper) load(ctx context.Context) bool {
	for {
		list, err := k.o.Load(ctx)
		if err == nil {
			since := k.kept.Load() // not stored yet
			k.Hear(list)
			k.saved.Store(k.kept.Load() - since)
			if since == 0 {
				k.unsavedSince.Store(0)
			}
			close(k.restored)
			k.o.Log.Info("streams_found", zap.Int("streams", len(list)))
			return true
		}
		k.o.Log.Info("streams_unread", zap.String("cause", err.Error()))
		if k.o.Clock.Sleep(ctx, loadRetryPause) != nil {
			return false
		}
	}
}

// Save stores what the node remembers, if it has come to keep more. What the process before stored isn't replaced before it
// is read.
func (k *Keeper) Save(ctx context.Context) {
	kept := k.kept.Load() // before the records are looked up: more may come meanwhile
	if k.o.Save == nil || !k.isRestored() || kept == k.saved.Load() || !k.o.Needed() {
		return
	}
	began := k.o.Clock.Now()
	first := k.unsavedSince.Swap(0)
	list := k.book.Records(began)
	c, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	if err := k.o.Save(c, list); err != nil {
		events.Add("save_failed", 1)
		k.unsavedSince.Store(first)
		k.markDirty()
		k.o.Log.Info("streams_unsaved", zap.Int("streams", len(list)), zap.String("cause", err.Error()))
		return
	}
	events.Add("saves", 1)
	k.saved.Store(kept)
	if waited := k.o.Clock.Since(k.start) - time.Duration(first); first > 0 && waited >= lateSave {
		k.o.Log.Info("streams_saved_late", zap.Int("streams", len(list)), zap.Duration("waited", waited), zap.Duration("took", k.o.Clock.Since(began)))
	}
}

// SaveAgain has what the node remembers stored again: the store may have lost it.
func (k *Keeper) SaveAgain() {
	k.saved.Store(-1)
	k.markDirty()
}

func (k *Keeper) isRestored() bool {
	select {
	case <-k.restored:
		return true
	default:
		return false
	}
}

// AwaitRestored waits for a moment until the node has read what was stored, and reports whether it has.
func (k *Keeper) AwaitRestored(ctx context.Context) bool {
	c, cancel := context.WithTimeout(ctx, restoreTimeout)
	defer cancel()
	select {
	case <-k.restored:
		return true
	case <-c.Done():
		return k.isRestored()
	}
}
