// Package duty performs the duties towards the platform that one node at a time has: it sends a usage
// report for each window, and orders for upstreams.
//
// The node that holds the store's lease performs them, and each call carries the lease's fencing token.
// A report is written to the store under a condition before it is sent, so that the counts of a window
// are settled once: the next holder finds them there and repeats them unchanged, even if its own
// counts differ. A store that is restored from an older copy may have lost a settled report. The
// process that settled the window writes it again unchanged; another process does not report a window
// that may have been reported already, since a missing window costs less than one that was reported
// twice. A call without a response is repeated; a call rejected for its token ends the term at once.
//
// Alternatives considered: choosing the node by rendezvous hashing, which needs no lease, but two nodes
// that see different members would both report a window.
package duty

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/logging"
	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/timer"
)

var errs = errorx.NewNamespace("duty")

var (
	// ErrFenced reports that a later holder of the lease has acted already.
	ErrFenced = errs.NewType("fenced").New("a holder with a higher fencing token has acted")
	// ErrNoneLeft reports that no upstreams of the requested kind are available now.
	ErrNoneLeft = errs.NewType("none_left").New("no upstreams of the requested kind are available")
	// errMaybeReported reports that a window may have been reported with counts that this process does
	// not know.
	errMaybeReported    = errs.NewType("doubted").New("the window may have been reported before the store was restored from a copy")
	errSettledElsewhere = errs.NewType("taken").New("the counts were settled by another process")
)

// Report is the usage of one window.
type Report struct {
	Window    int64
	Counts    map[string]int64
	Processes int // processes that the counts are from
}

// Tally is what a node knows of a window's counts.
type Tally struct {
	Counts    map[string]int64
	Processes int  // processes that the counts are from
	Complete  bool // every node has reported since the window ended
}

// Order states how many upstreams of a service a hall should have.
type Order struct {
	Service     string
	Hall        string
	Count       int
	Reclaimable bool
}

// Cloud is the platform's API for duties. Calls return ErrFenced, ErrNoneLeft or an error of package
// store.
type Cloud struct {
	Report func(ctx context.Context, token int64, r Report) error
	Order  func(ctx context.Context, token int64, o Order) error
}

// Options configures a reporter.
type Options struct {
	Clock *timer.Service
	Log   *zap.Logger
	KV    store.KV
	Cloud Cloud
	// Token returns the lease's fencing token, and whether the lease is held now.
	Token func() (int64, bool)
	// Resign gives up the lease.
	Resign func()
	// Window returns the number of the window that holds a time, WindowEnd the time at which a window ends.
	Window    func(t time.Time) int64
	WindowEnd func(window int64) time.Time
	// Counts returns what is known of a window.
	Counts func(window int64) Tally
	// MaybeReported reports whether the store may have lost the settled report of a window; nil: never.
	MaybeReported func(window int64) bool
	// Deadline is the time after its end until which a window's report must be sent.
	Deadline time.Duration
}

const (
	keyPrefix = "spurhall/usage/"
	// completeDelay is the time after a window's end at which its report is sent if all nodes have
	// reported; incompleteShare is the part of the time until the deadline after which it is sent
	// anyway.
	completeDelay   = 600 * time.Millisecond
	incompleteShare = 0.55
	// lookbackWindows is the number of past windows that a new holder checks for reports to repeat.
	lookbackWindows = 4
)

// Reporter sends usage reports. It isn't safe for concurrent use.
type Reporter struct {
	o       Options
	token   int64            // of the term that done belongs to
	done    map[int64]bool   // windows reported in this term
	settled map[int64]Report // reports that this process has settled or read, in any term
}

// NewReporter returns a reporter.
func NewReporter(o Options) *Reporter {
	return &Reporter{o: o, settled: make(map[int64]Report)}
}

// Step sends the reports that are due.
func (r *Reporter) Step(ctx context.Context) {
	token, held := r.o.Token()
	if !held {
		return
	}
	if token != r.token {
		r.token, r.done = token, make(map[int64]bool)
		r.o.Log.Info("duty_begun", zap.Int64("token", token))
	}
	now := r.o.Clock.Wall()
	newest := r.o.Window(now) - 1
	for w := newest - lookbackWindows + 1; w <= newest; w++ {
		if r.done[w] || !r.due(now, w) {
			continue
		}
		err := r.report(ctx, token, w)
		if errors.Is(err, errMaybeReported) {
			r.o.Log.Warn("usage_doubted", zap.Int64("window", w), zap.Int64("token", token))
			err = nil
		}
		if err != nil {
			r.failed(w, err)
			return
		}
		r.done[w] = true
	}
}

func (r *Reporter) due(now time.Time, w int64) bool {
	age := now.Sub(r.o.WindowEnd(w))
	if age < completeDelay {
		return false
	}
	if r.o.Counts(w).Complete {
		return true
	}
	return age >= time.Duration(incompleteShare*float64(r.o.Deadline))
}

func (r *Reporter) failed(w int64, err error) {
	r.o.Log.Warn("usage_report_failed", zap.Int64("window", w), zap.Int64("token", r.token), zap.String("cause", err.Error()))
	if errors.Is(err, ErrFenced) {
		r.o.Resign()
	}
}

func (r *Reporter) report(ctx context.Context, token, w int64) error {
	v, err := r.settle(ctx, w)
	if err != nil {
		return err
	}
	if t, held := r.o.Token(); !held || t != token {
		return ErrFenced
	}
	if err := r.o.Cloud.Report(ctx, token, v); err != nil {
		return err
	}
	r.o.Log.Info("usage_reported", zap.Int64("window", w), zap.Int64("token", token), logging.Counts("counts", v.Counts), zap.Int("processes", v.Processes),
		zap.Duration("after_end", r.o.Clock.Wall().Sub(r.o.WindowEnd(w))))
	return nil
}

func key(w int64) string { return keyPrefix + strconv.FormatInt(w, 10) }

// settle writes a window's counts to the store, or reads those that are stored already.
func (r *Reporter) settle(ctx context.Context, w int64) (Report, error) {
	seen, err := r.o.KV.Range(ctx, key(w), "")
	if err != nil {
		return Report{}, err
	}
	v, ok := r.settled[w]
	switch {
	case ok && len(seen.Pairs) > 0:
		return v, nil
	case len(seen.Pairs) > 0:
		v, err := decode(seen.Pairs[0])
		if err == nil {
			r.remember(v)
		}
		return v, err
	case !ok:
		if r.o.MaybeReported != nil && r.o.MaybeReported(w) {
			return Report{}, errMaybeReported
		}
		c := r.o.Counts(w)
		v = Report{Window: w, Counts: maps.Clone(c.Counts), Processes: c.Processes}
	}
	b, err := json.Marshal(v)
	if err != nil {
		return Report{}, err
	}
	t := store.Txn{If: []store.Compare{store.Absent(key(w))}, Then: []store.Op{{Kind: store.OpPut, Key: key(w), Value: b}}}
	t.Then = append(t.Then, store.Op{Kind: store.OpDelete, Key: key(w - 2*lookbackWindows)})
	a, err := r.o.KV.Txn(ctx, t)
	if err != nil {
		return Report{}, err // the next step reads whether the write took effect
	}
	if !a.Succeeded {
		return Report{}, errSettledElsewhere
	}
	r.remember(v)
	return v, nil
}

// remember keeps the settled report of a window for as long as it may be needed.
func (r *Reporter) remember(v Report) {
	r.settled[v.Window] = v
	for w := range r.settled {
		if w < v.Window-2*lookbackWindows {
			delete(r.settled, w)
		}
	}
}

func decode(p store.Pair) (Report, error) {
	var v Report
	if err := json.Unmarshal(p.Value, &v); err != nil {
		return v, err
	}
	if key(v.Window) != p.Key {
		return v, errors.New("the report at " + p.Key + " is of window " + strings.TrimPrefix(key(v.Window), keyPrefix))
	}
	return v, nil
}
