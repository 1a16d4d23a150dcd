// Package stream holds the answer of one request as it grows, apart from the
// connection that asked for it. The writer is whatever attempt is current; the
// readers are the caller's connection, and the same caller coming back after its
// connection or its entry VM went away.
//
// An attempt has a number. When a new one begins, chunks of the older ones are
// dropped, however late they come, and a chunk is only taken at exactly the next
// offset. So the text is always one answer without gaps or repeats, whichever
// upstreams it came from.
package stream

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"spurhall.example/spurhall/internal/fault"
)

var errs = errorx.NewNamespace("stream")

var (
	// ErrOldAttempt says that the chunk belongs to an attempt that was replaced.
	ErrOldAttempt = errs.NewType("old_attempt").New("the chunk belongs to an older attempt")
	// ErrGap says that the chunk is not the next one.
	ErrGap = errs.NewType("gap").New("the chunk is not at the next offset")
	// ErrEnded says that the request has ended.
	ErrEnded = errs.NewType("ended").New("the request has ended")
)

// Outcome is how a request was accounted for.
type Outcome string

// The outcomes, as callers see them in the Spurhall-Outcome header.
const (
	OutcomeOpen    Outcome = ""
	OutcomeDone    Outcome = "done"
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
)

// Record is one request's answer.
type Record struct {
	mu       sync.Mutex
	id       string
	pieces   []string
	attempt  int
	outcome  Outcome
	failure  string
	after    time.Duration
	changed  chan struct{}
	finished time.Time
	usage    Usage
	readers  int
	left     time.Time
}

// Usage is the engine's count of tokens.
type Usage struct {
	Prompt int
	Cached int
}

// SetUsage takes in the engine's count.
func (r *Record) SetUsage(u Usage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.usage = u
}

// Usage returns the engine's count, which is zero until the answer is whole.
func (r *Record) Usage() Usage {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.usage
}

// NewRecord returns an empty record.
func NewRecord(id string) *Record { return &Record{id: id, changed: make(chan struct{})} }

// Restore returns a record that goes on from tokens produced elsewhere.
func Restore(id string, pieces []string, attempt int) *Record {
	r := NewRecord(id)
	r.pieces, r.attempt = append([]string(nil), pieces...), attempt
	return r
}

// ID returns the request's id.
func (r *Record) ID() string { return r.id }

// Begin starts a new attempt and returns its number and the offset that it has to
// go on from.
func (r *Record) StartAttempt() (attempt, offset int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempt++
	return r.attempt, len(r.pieces)
}

// Append takes the next token of an attempt.
func (r *Record) Append(attempt, offset int, text string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.outcome != OutcomeOpen:
		return ErrEnded
	case attempt != r.attempt:
		return fault.Because(ErrOldAttempt, "attempt %d, current %d", attempt, r.attempt)
	case offset != len(r.pieces):
		return fault.Because(ErrGap, "offset %d, next %d", offset, len(r.pieces))
	}
	r.pieces = append(r.pieces, text)
	r.wakeLocked()
	return nil
}

func (r *Record) wakeLocked() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Finish ends the request, once. It tells whether this call was the one.
func (r *Record) Finish(o Outcome, failure string, after time.Duration, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.finishLocked(o, failure, after, now)
}

func (r *Record) finishLocked(o Outcome, failure string, after time.Duration, now time.Time) bool {
	if r.outcome != OutcomeOpen {
		return false
	}
	r.outcome, r.failure, r.after, r.finished = o, failure, after, now
	r.wakeLocked()
	return true
}

// FinishAttempt ends the request as done if the attempt is still the current one.
func (r *Record) FinishAttempt(attempt int, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return attempt == r.attempt && r.finishLocked(OutcomeDone, "", 0, now)
}

// View is what a reader sees.
type View struct {
	Tokens   []string // from the offset asked for
	Outcome  Outcome
	Failure  string
	RetryAfter    time.Duration
	FinishedAt time.Time
}

// Read returns what there is from an offset on, without waiting.
func (r *Record) Read(from int) View {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.viewLocked(from)
}

func (r *Record) viewLocked(from int) View {
	v := View{Outcome: r.outcome, Failure: r.failure, RetryAfter: r.after, FinishedAt: r.finished}
	if from < len(r.pieces) {
		v.Tokens = append(v.Tokens, r.pieces[from:]...)
	}
	return v
}

// Wait returns when there is something from an offset on, or the request has
// ended, or the context has.
func (r *Record) Wait(ctx context.Context, from int) (View, error) {
	for {
		r.mu.Lock()
		v, c := r.viewLocked(from), r.changed
		r.mu.Unlock()
		if len(v.Tokens) > 0 || v.Outcome != OutcomeOpen {
			return v, nil
		}
		select {
		case <-c:
		case <-ctx.Done():
			return v, ctx.Err()
		}
	}
}

// Len returns the number of tokens so far.
func (r *Record) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.pieces)
}

// Attempt returns the number of the current attempt.
func (r *Record) Attempt() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.attempt
}

// Text returns the answer so far.
func (r *Record) Text() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Join(r.pieces, "")
}

// Pieces returns the tokens so far.
func (r *Record) Tokens() []string { return r.Read(0).Tokens }

// Join counts a reader in, and returns the function that counts it out.
func (r *Record) AddReader(now func() time.Time) func() {
	r.mu.Lock()
	r.readers++
	r.mu.Unlock()
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.readers--
		r.left = now()
	}
}

// Alone returns since when nobody reads, and whether that is so.
func (r *Record) UnreadSince() (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.left, r.readers == 0 && !r.left.IsZero()
}
