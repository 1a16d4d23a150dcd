// Package duty carries out what one node at a time owes the platform: a usage report
// for each window, and orders for upstreams.
//
// The node that holds the store's lease does it, and each call bears the lease's fencing
// token. A report is written to the store under a condition before it is sent, so the
// counts of a window are settled once: a successor finds them there and repeats them to
// the letter, however much its own counts differ. A store that comes back from an older copy may have
// lost that: who settled a window writes it again as it was, and who didn't reports none that may have
// been. A window that is missing costs less than one that was told twice. A call that got no answer is
// repeated; a call refused for its token ends the term at once.
//
// Weighed: a duty by rendezvous hashing, which needs no lease, but two nodes that see
// different members would report one window twice.
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
	// ErrFenced says that a later holder has acted already.
	ErrFenced = errs.NewType("fenced").New("a holder with a higher fencing token has acted")
	// ErrNoneLeft says that no such upstreams are to be had now.
	ErrNoneLeft = errs.NewType("none_left").New("no such upstreams are to be had")
	// errDoubted says that a window may have been reported with counts that nobody here knows.
	errMaybeReported = errs.NewType("doubted").New("the window may have been reported before the store came back from a copy")
	errSettledElsewhere   = errs.NewType("taken").New("the counts were settled by another")
)

// Report is the usage of one window.
type Report struct {
	Window    int64
	Counts    map[string]int64
	Processes int // that the counts are of
}

// Tally is what a node knows of a window's counts.
type Tally struct {
	Counts    map[string]int64
	Processes int  // that the counts are of
	Complete     bool // every node has been heard since the window ended
}

// Order states how many upstreams of a service a hall should have.
type Order struct {
	Service     string
	Hall        string
	Count       int
	Reclaimable bool
}

// Cloud is the platform's API for duties. Calls return ErrFenced, ErrNoneLeft or an
// error of package store.
type Cloud struct {
	Report func(ctx context.Context, token int64, r Report) error
	Order  func(ctx context.Context, token int64, o Order) error
}

// Options sets a reporter.
type Options struct {
	Clock *timer.Service
	Log   *zap.Logger
	KV    store.KV
	Cloud Cloud
	// Token returns the lease's fencing token, and whether the lease is held now.
	Token func() (int64, bool)
	// Resign gives the lease up.
	Resign func()
	// Window names the window of a time, End says when a window ends.
	Window func(t time.Time) int64
	WindowEnd    func(window int64) time.Time
	// Counts returns what is known of a window.
	Counts func(window int64) Tally
	// Doubted tells whether the store may have lost how a window was settled; nil: it never does.
	MaybeReported func(window int64) bool
	// Late is how long after its end a window's report is due.
	Deadline time.Duration
}

const (
	keyPrefix = "spurhall/usage/"
	// wholeAfter is when a report goes out if all nodes have been heard; settledShare
	// is the part of the time until it is due after which it goes out anyway.
	completeDelay   = 600 * time.Millisecond
	incompleteShare = 0.55
	// lookBack is how many windows back a new holder looks for reports to repeat.
	lookbackWindows = 4
)

// Reporter reports usage. It isn't safe for concurrent use.
type Reporter struct {
	o     Options
	token int64            // of the term that done belongs to
	done  map[int64]bool   // windows reported in this term
	settled  map[int64]Report // as this process has settled them, in any term
}

// NewReporter returns a reporter.
func NewReporter(o Options) *Reporter {
	return &Reporter{o: o, settled: make(map[int64]Report)}
}

// Step reports what is due.
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

// settle writes a window's counts to the store, or reads those that are there.
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
		return Report{}, err // the next step reads what became of it
	}
	if !a.Succeeded {
		return Report{}, errSettledElsewhere
	}
	r.remember(v)
	return v, nil
}

// note remembers how a window was settled, for as long as it may be looked at.
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
		return v, errors.New("the report at " + p.Key + " is of another window, " + strings.TrimPrefix(key(v.Window), keyPrefix))
	}
	return v, nil
}
