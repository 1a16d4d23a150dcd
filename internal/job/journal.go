// Package job stores accepted jobs in the platform's key-value service, so that no job is
// lost when a node crashes.
//
// Each job has one key. Accept puts it if it is absent; Finish replaces it with the
// response if it is unchanged since this owner read it; TakeOver changes the owner under
// the same condition. Two nodes may therefore run a job at the same time for a while (a
// model call may be repeated), but only one response is stored.
//
// Accepted jobs are committed in batches, one transaction per interval. The interval
// follows from the write budget: at a thousand jobs per second the platform still sees
// only a few writes.
package job

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"spurhall.example/spurhall/internal/fault"
	"spurhall.example/spurhall/internal/request"
	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/stream"
	"spurhall.example/spurhall/internal/timer"
)

const keyPrefix = "/spurhall/jobs/"

var errs = errorx.NewNamespace("job")

var (
	// ErrNotOwner reports that the job has another owner or already has a response.
	ErrNotOwner = errs.NewType("not_owner").New("the job belongs to another node by now, or has its answer")
	// ErrNotWritten reports that the job was not stored, and will not be.
	ErrNotWritten = errs.NewType("unheld").New("the job was not written to the platform")
	// ErrUncertain reports that the job may have been stored, or may still be.
	ErrUncertain = errs.NewType("uncertain").New("the platform gave no answer, the job may be written down")
	// ErrFull reports that the queue of jobs to be stored is full.
	ErrFull = errs.NewType("full").New("too many jobs wait to be written")
)

// Journal writes and reads jobs.
type Journal struct {
	kv       store.KV
	clock    *timer.Service
	interval time.Duration
	queue    chan pendingJob
}

type pendingJob struct {
	spec   request.Spec
	result chan error
}

// maxQueued bounds the jobs that wait for the next commit; further ones are rejected at
// once.
const (
	maxQueued     = 4096
	maxBatchJobs  = 60
	maxBatchBytes = 768 << 10
)

// New returns a journal. Accept only returns a result while Run runs.
func New(kv store.KV, clock *timer.Service, interval time.Duration) *Journal {
	return &Journal{kv: kv, clock: clock, interval: interval, queue: make(chan pendingJob, maxQueued)}
}

// Run commits accepted jobs until the context ends.
func (j *Journal) Run(ctx context.Context) {
	var next *pendingJob
	for {
		var list []pendingJob
		if next != nil {
			list, next = append(list, *next), nil
		} else {
			select {
			case a := <-j.queue:
				list = append(list, a)
			case <-ctx.Done():
				return
			}
		}
		_ = j.clock.Sleep(ctx, j.interval)
		list, next = j.fill(list)
		j.commit(ctx, list)
	}
}

// fill adds queued jobs to a batch, up to the limits of one transaction. A job that would
// exceed the size limit is returned separately and starts the next batch.
func (j *Journal) fill(list []pendingJob) ([]pendingJob, *pendingJob) {
	size := len(list[0].spec.Body)
	for len(list) < maxBatchJobs {
		select {
		case a := <-j.queue:
			size += len(a.spec.Body)
			if size > maxBatchBytes {
				return list, &a
			}
			list = append(list, a)
		default:
			return list, nil
		}
	}
	return list, nil
}

func (j *Journal) commit(ctx context.Context, list []pendingJob) {
	t := store.Txn{}
	for _, a := range list {
		b, err := json.Marshal(a.spec)
		if err != nil {
			continue
		}
		k := keyPrefix + a.spec.ID
		t.If = append(t.If, store.Absent(k))
		t.Then = append(t.Then, store.Op{Kind: store.OpPut, Key: k, Value: b})
	}
	r, err := j.kv.Txn(ctx, t)
	if err == nil && !r.Succeeded {
		err = ErrNotWritten
	}
	if errors.Is(err, store.ErrUnknown) {
		err = j.resolveLostResponse(ctx, list[0].spec)
	} else if err != nil {
		err = fault.Because(ErrNotWritten, "%v", err)
	}
	for _, a := range list {
		a.result <- err
	}
}

// resolveLostResponse determines the outcome of a commit whose response was lost. The keys
// of a commit are written atomically, so one of them shows whether it took effect. If that
// key is absent, the commit may still arrive later.
func (j *Journal) resolveLostResponse(ctx context.Context, s request.Spec) error {
	_, revision, err := j.Get(ctx, s.ID)
	switch {
	case err != nil:
		return fault.Because(ErrUncertain, "%v", err)
	case revision == 0:
		return ErrUncertain
	}
	return nil
}

// Withdraw ensures that a job which was rejected to its caller never runs: it stores a
// not-run response under the job's key, so that a write still in flight finds the key
// present and fails.
func (j *Journal) Withdraw(ctx context.Context, s request.Spec) error {
	s.Outcome, s.Failure = stream.OutcomeNotRun, "refused when it was asked for"
	return j.Finish(ctx, s, func(owner string) bool { return owner == s.Owner })
}

// Accept stores a job and returns once it is stored.
func (j *Journal) Accept(ctx context.Context, s request.Spec) error {
	a := pendingJob{spec: s, result: make(chan error, 1)}
	select {
	case j.queue <- a:
	default:
		return ErrFull
	}
	select {
	case err := <-a.result:
		return err
	case <-ctx.Done():
		return fault.Because(ErrUncertain, "%v", ctx.Err())
	}
}

// Get returns a job as stored and its revision. Revision 0 means that the job doesn't exist.
func (j *Journal) Get(ctx context.Context, id string) (request.Spec, int64, error) {
	r, err := j.kv.Range(ctx, keyPrefix+id, "")
	if err != nil || len(r.Pairs) == 0 {
		return request.Spec{}, 0, err
	}
	var s request.Spec
	err = json.Unmarshal(r.Pairs[0].Value, &s)
	return s, r.Pairs[0].Modified, err
}

// Entry is a stored job without its request and response.
type Entry struct {
	ID    string
	Owner string
	Open  bool // no response yet
}

// Follow calls f for every job, and again for each that changes, until the watch breaks or
// the context ends. A removed job is passed as one that is not open.
func (j *Journal) Follow(ctx context.Context, f func(e Entry)) error {
	r, err := j.kv.Range(ctx, keyPrefix, store.PrefixEnd(keyPrefix))
	if err != nil {
		return err
	}
	for _, p := range r.Pairs {
		f(entry(p))
	}
	return j.kv.Watch(ctx, store.PrefixSpan(keyPrefix, r.Revision+1), func(b store.WatchBatch) error {
		for _, e := range b.Events {
			f(entry(e.Pair))
		}
		return nil
	})
}

// entry decodes a pair. A deleted pair has an empty value, so its entry is not open.
func entry(p store.Pair) Entry {
	e := Entry{ID: strings.TrimPrefix(p.Key, keyPrefix)}
	var s request.Spec
	if json.Unmarshal(p.Value, &s) == nil {
		e.Owner, e.Open = s.Owner, s.Outcome == stream.OutcomeOpen
	}
	return e
}

// retention is how long a response is stored.
const retention = 24 * time.Hour

// Finish stores a job's response. owned reports whether a stored owner is this node or one
// that it took the job over from. A job that was accepted without the platform is stored
// now, with its response. ErrNotOwner means that another response is stored, or that
// another node owns the job.
func (j *Journal) Finish(ctx context.Context, s request.Spec, owned func(owner string) bool) error {
	old, revision, err := j.Get(ctx, s.ID)
	if err != nil {
		return err
	}
	if old.Owner == s.Owner && old.Outcome == s.Outcome && old.Outcome != stream.OutcomeOpen {
		return nil // already stored, but the platform's response was lost
	}
	if revision != 0 && (!owned(old.Owner) || old.Outcome != stream.OutcomeOpen) {
		return ErrNotOwner
	}
	lease, err := j.kv.Grant(ctx, retention)
	if err != nil {
		return err
	}
	return j.replace(ctx, s, revision, lease)
}

// TakeOver makes a node the owner of a job that is unchanged since a revision.
func (j *Journal) TakeOver(ctx context.Context, s request.Spec, revision int64, owner string) error {
	s.Owner = owner
	return j.replace(ctx, s, revision, 0)
}

func (j *Journal) replace(ctx context.Context, s request.Spec, revision, lease int64) error {
	b, err := json.Marshal(s)
	if err != nil {
		return err
	}
	k := keyPrefix + s.ID
	r, err := j.kv.Txn(ctx, store.Txn{
		If:   []store.Compare{store.Unmodified(k, revision)},
		Then: []store.Op{{Kind: store.OpPut, Key: k, Value: b, Lease: lease}},
	})
	switch {
	case err != nil:
		return err
	case !r.Succeeded:
		return ErrNotOwner
	}
	return nil
}
