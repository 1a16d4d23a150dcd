// Package job keeps accepted jobs in the platform's key-value service, so that a
// node that dies without notice takes none with it.
//
// A job is one key. Accepting puts it if it is absent; finishing replaces it with
// the answer if it still is as this owner knows it; taking over changes its owner
// under the same condition. So two nodes may both run a job for a while (a model
// call may be repeated), but only one answer is ever the job's.
//
// Many accepts go into one transaction, at an interval that the write budget sets:
// with a thousand jobs a second the platform still sees a few writes.
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

const prefix = "/spurhall/jobs/"

var errs = errorx.NewNamespace("job")

var (
	// ErrNotOwner says that the job has another owner or an answer by now.
	ErrNotOwner = errs.NewType("not_owner").New("the job belongs to another node by now, or has its answer")
	// ErrUnheld says that the job was not written down, and won't be.
	ErrNotWritten = errs.NewType("unheld").New("the job was not written to the platform")
	// ErrUncertain says that the job may have been written down, or may yet be.
	ErrUncertain = errs.NewType("uncertain").New("the platform gave no answer, the job may be written down")
	// ErrFull says that too many jobs wait to be written.
	ErrFull = errs.NewType("full").New("too many jobs wait to be written")
)

// Journal writes and reads jobs.
type Journal struct {
	kv       store.KV
	clock    *timer.Service
	interval time.Duration
	queue    chan accept
}

type accept struct {
	spec   request.Spec
	result chan error
}

// queueLimit bounds the accepts that wait for the next commit. When it is full, a
// job is refused at once.
const (
	queueLimit = 4096
	batchLimit = 60
	batchBytes = 768 << 10
)

// New returns a journal. Run has to be called for Accept to end.
func New(kv store.KV, clock *timer.Service, interval time.Duration) *Journal {
	return &Journal{kv: kv, clock: clock, interval: interval, queue: make(chan accept, queueLimit)}
}

// Run commits accepted jobs until the context ends.
func (j *Journal) Run(ctx context.Context) {
	var held *accept
	for {
		var list []accept
		if held != nil {
			list, held = append(list, *held), nil
		} else {
			select {
			case a := <-j.queue:
				list = append(list, a)
			case <-ctx.Done():
				return
			}
		}
		_ = j.clock.Sleep(ctx, j.interval)
		list, held = j.fill(list)
		j.commit(ctx, list)
	}
}

// fill takes what waits, up to the limits of one transaction. A job that would
// exceed them is kept for the next.
func (j *Journal) fill(list []accept) ([]accept, *accept) {
	size := len(list[0].spec.Body)
	for len(list) < batchLimit {
		select {
		case a := <-j.queue:
			size += len(a.spec.Body)
			if size > batchBytes {
				return list, &a
			}
			list = append(list, a)
		default:
			return list, nil
		}
	}
	return list, nil
}

func (j *Journal) commit(ctx context.Context, list []accept) {
	t := store.Txn{}
	for _, a := range list {
		b, err := json.Marshal(a.spec)
		if err != nil {
			continue
		}
		k := prefix + a.spec.ID
		t.If = append(t.If, store.Absent(k))
		t.Then = append(t.Then, store.Op{Kind: store.OpPut, Key: k, Value: b})
	}
	r, err := j.kv.Txn(ctx, t)
	if err == nil && !r.Succeeded {
		err = ErrNotWritten
	}
	if errors.Is(err, store.ErrUnknown) {
		err = j.readBack(ctx, list[0].spec)
	} else if err != nil {
		err = fault.Because(ErrNotWritten, "%v", err)
	}
	for _, a := range list {
		a.result <- err
	}
}

// readBack settles a commit that got no answer: its keys were written together, so
// one of them tells. A key that isn't there may still come.
func (j *Journal) readBack(ctx context.Context, s request.Spec) error {
	_, revision, err := j.Get(ctx, s.ID)
	switch {
	case err != nil:
		return fault.Because(ErrUncertain, "%v", err)
	case revision == 0:
		return ErrUncertain
	}
	return nil
}

// Withdraw makes sure that a job which is refused to its caller never runs: it puts an
// answer of not-run where the job would be, so that a write still under way finds the
// key taken.
func (j *Journal) Withdraw(ctx context.Context, s request.Spec) error {
	s.Outcome, s.Failure = stream.OutcomeNotRun, "refused when it was asked for"
	return j.Finish(ctx, s, func(owner string) bool { return owner == s.Owner })
}

// Accept writes a job down and returns when it is held.
func (j *Journal) Accept(ctx context.Context, s request.Spec) error {
	a := accept{spec: s, result: make(chan error, 1)}
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

// Get returns a job as it is written down, and its revision; revision 0 means that
// there is none.
func (j *Journal) Get(ctx context.Context, id string) (request.Spec, int64, error) {
	r, err := j.kv.Range(ctx, prefix+id, "")
	if err != nil || len(r.Pairs) == 0 {
		return request.Spec{}, 0, err
	}
	var s request.Spec
	err = json.Unmarshal(r.Pairs[0].Value, &s)
	return s, r.Pairs[0].Modified, err
}

// Entry is what there is to know of a job without its text.
type Entry struct {
	ID    string
	Owner string
	Open  bool // no answer yet
}

// Follow calls f for every job, and again for each that changes, until the watch
// breaks or the context ends. A job that was removed is no longer open.
func (j *Journal) Follow(ctx context.Context, f func(e Entry)) error {
	r, err := j.kv.Range(ctx, prefix, store.PrefixEnd(prefix))
	if err != nil {
		return err
	}
	for _, p := range r.Pairs {
		f(entry(p))
	}
	return j.kv.Watch(ctx, store.PrefixSpan(prefix, r.Revision+1), func(b store.WatchBatch) error {
		for _, e := range b.Events {
			f(entry(e.Pair))
		}
		return nil
	})
}

// entry reads a pair. The value of a deleted one is empty, and so not open.
func entry(p store.Pair) Entry {
	e := Entry{ID: strings.TrimPrefix(p.Key, prefix)}
	var s request.Spec
	if json.Unmarshal(p.Value, &s) == nil {
		e.Owner, e.Open = s.Owner, s.Outcome == stream.OutcomeOpen
	}
	return e
}

// retention is how long an answer is kept.
const retention = 24 * time.Hour

// Finish writes a job's answer. mine tells whether an owner on record is this node
// or one that it took the job over from. A job that was accepted without the platform is
// written now, with its answer. ErrNotOwner means that another answer stands, or
// that another node has the job now.
func (j *Journal) Finish(ctx context.Context, s request.Spec, mine func(owner string) bool) error {
	old, revision, err := j.Get(ctx, s.ID)
	if err != nil {
		return err
	}
	if old.Owner == s.Owner && old.Outcome == s.Outcome && old.Outcome != stream.OutcomeOpen {
		return nil // written before, only the answer was lost
	}
	if revision != 0 && (!mine(old.Owner) || old.Outcome != stream.OutcomeOpen) {
		return ErrNotOwner
	}
	lease, err := j.kv.Grant(ctx, retention)
	if err != nil {
		return err
	}
	return j.replace(ctx, s, revision, lease)
}

// TakeOver makes a node the owner of a job that is as it was read at a revision.
func (j *Journal) TakeOver(ctx context.Context, s request.Spec, revision int64, owner string) error {
	s.Owner = owner
	return j.replace(ctx, s, revision, 0)
}

func (j *Journal) replace(ctx context.Context, s request.Spec, revision, lease int64) error {
	b, err := json.Marshal(s)
	if err != nil {
		return err
	}
	k := prefix + s.ID
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
