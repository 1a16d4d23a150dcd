package follow

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/timer"
)

// This file reads the store at a node that watches it: a range, and then the changes from its revision on. Any failure of the
// watch, a compacted history included, leads back to reading the range. The state that was read last stays in force
// meanwhile.
//
// A waiting watch can't tell a lost connection from the absence of changes. It is restarted when another call to the store
// fails, and when peers have reported a change that this node lacks.

const (
	// RetryPause is the pause after a failure. The breaker of the store's client adds its own.
	RetryPause = 100 * time.Millisecond
	// largeBatch is the number of changes in a response from which no pause follows: the store cuts responses off at some
	// 500 entries or 1 MB, so more may be waiting, and with pauses this node would fall behind a store that changes faster
	// than one such response in each of them.
	largeBatch = 100
)

var errs = errorx.NewNamespace("follow")

// ErrBehind cancels a watch that lacks a change which peers have reported.
var ErrBehind = errs.NewType("behind").New("peers have reported later changes")

// ReaderOptions configures a reader. All fields are required.
type ReaderOptions struct {
	Clock         *timer.Service
	Log           *zap.Logger
	Name          string // in the log
	KV            func() store.KV
	Prefix        string
	WatchWait     time.Duration // how long a watch may wait without an event
	ApplySnapshot func(r store.RangeResult)
	ApplyBatch    func(b store.WatchBatch)
	// Pause returns how long changes are batched.
	Pause func() time.Duration
	// OnConnected is called when the store answers again, or for the first time.
	OnConnected func()
	// CountUp counts the ends (-1) and returns (1) of the connection.
	CountUp func(delta int64)
}

// Reader reads a prefix repeatedly and watches it in between.
type Reader struct {
	o           ReaderOptions
	connected   atomic.Bool
	failedSince atomic.Pointer[time.Time] // since when the store is unavailable, as far as this node has tried; nil: it is available

	mu          sync.Mutex
	cancelWatch context.CancelCauseFunc // cancels the watch in progress
}

// NewReader returns a reader that doesn't run.
func NewReader(o ReaderOptions) *Reader { return &Reader{o: o} }

// Connected reports whether the reader has what the store has, as far as it answers.
func (r *Reader) Connected() bool { return r.connected.Load() }

// Lost reports whether the store is unavailable, as far as this node has tried.
func (r *Reader) Lost() bool { return r.failedSince.Load() != nil }

// Run reads and watches until the context ends.
func (r *Reader) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := r.ReadAndWatch(ctx)
		if ctx.Err() != nil {
			break
		}
		if isRestart(err) {
			r.o.Log.Info("watch_begun_anew", zap.String("reader", r.o.Name), zap.String("cause", err.Error()))
		} else {
			r.MarkLost(err)
		}
		_ = r.o.Clock.Sleep(ctx, RetryPause)
	}
	r.Disconnect()
}

// isRestart reports whether a watch ended although the store answers, as far as is known. Entries that disappear right
// after an outage are kept for a while, as they may have lapsed in it, so a restart must not count as an outage.
func isRestart(err error) bool {
	return errors.Is(err, store.ErrCompacted) || errors.Is(err, store.ErrWatchUntrusted) || errors.Is(err, ErrBehind)
}

// Disconnect records that the reader no longer follows the store.
func (r *Reader) Disconnect() { r.connected.Store(false) }

// MarkLost records that the store is unavailable.
func (r *Reader) MarkLost(err error) {
	now := r.o.Clock.Now()
	if !r.failedSince.CompareAndSwap(nil, &now) {
		return
	}
	r.Disconnect()
	r.o.CountUp(-1)
	r.o.Log.Warn("store_lost", zap.String("reader", r.o.Name), zap.String("cause", err.Error()))
}

// MarkConnected records that the store answers.
func (r *Reader) MarkConnected() {
	if !r.connected.Swap(true) {
		r.o.OnConnected() // followers may wait for it
	}
	if since := r.failedSince.Load(); since != nil {
		r.o.Log.Info("store_regained", zap.String("reader", r.o.Name), zap.Duration("after", r.o.Clock.Since(*since)))
		r.ClearFailure()
	}
}

// ClearFailure records that the store is available, whoever read it.
func (r *Reader) ClearFailure() {
	if r.failedSince.Swap(nil) != nil {
		r.o.CountUp(1)
	}
}

// ReadAndWatch reads the range once and watches it until the watch ends.
func (r *Reader) ReadAndWatch(ctx context.Context) error {
	all, err := r.o.KV().Range(ctx, r.o.Prefix, store.PrefixEnd(r.o.Prefix))
	if err != nil {
		return err
	}
	r.o.ApplySnapshot(all)
	r.MarkConnected()
	c, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	r.setCancel(stop)
	span := store.PrefixSpan(r.o.Prefix, all.Revision+1)
	span.Wait = r.o.WatchWait
	err = r.o.KV().Watch(c, span, func(b store.WatchBatch) error {
		r.MarkConnected()
		r.o.ApplyBatch(b)
		if len(b.Events) == 0 || len(b.Events) >= largeBatch {
			return nil
		}
		return r.o.Clock.Sleep(c, r.o.Pause())
	})
	if errors.Is(context.Cause(c), ErrBehind) {
		return ErrBehind
	}
	return err
}

func (r *Reader) setCancel(stop context.CancelCauseFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancelWatch = stop
}

// Restart ends the watch in progress, so that the range is read again.
func (r *Reader) Restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancelWatch != nil {
		r.cancelWatch(ErrBehind)
	}
}
